"""Service ``departure``: tells the peers of a planned stop before other services stop."""

from __future__ import annotations

from eliot import log_message

from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.types import HostLeaving, Links

SERVING_SERVICES = ("front", "prefill_agent", "decode_agent", "plain_agent")


class DepartureAnnouncer:
    """Announces that this host leaves.

    It starts last and so stops first: peers send new work elsewhere while the other services
    finish what they have.
    """

    def __init__(self, kernel: Kernel) -> None:
        self.needs = ("links", *(name for name in SERVING_SERVICES if kernel.has(name)))
        self._links = kernel.find("links", Links)
        self._events = EventEmitter.from_kernel(kernel)

    def start(self) -> None:
        """Do nothing; the service acts only when it stops."""

    def stop(self) -> None:
        """Tell all linked hosts that this host takes no new work."""
        log_message("departure:leaving", text="departure: this host takes no new work")
        self._events.emit(HostLeaving())
        self._links.announce_leaving()


@SERVICES.register("departure")
def make_departure_announcer(kernel: Kernel) -> DepartureAnnouncer:
    """Return the service that announces a stop; it must be the last in a daemon's list."""
    return DepartureAnnouncer(kernel)
