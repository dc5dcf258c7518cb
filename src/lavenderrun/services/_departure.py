"""Service ``departure``: a planned stop tells the peers before anything else ends."""

from __future__ import annotations

from eliot import log_message

from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.types import HostLeaving, Links

SERVING = ("front", "prefill_agent", "decode_agent", "plain_agent")


class DepartureAnnouncer:
    """Starts last and so stops first: new work goes elsewhere while the rest drains."""

    def __init__(self, kernel: Kernel) -> None:
        self.needs = ("links", *(name for name in SERVING if kernel.has(name)))
        self._links = kernel.find("links", Links)
        self._events = EventEmitter.from_kernel(kernel)

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Tell all peers that this host takes no new work."""
        log_message("departure:leaving", text="departure: this host takes no new work")
        self._events.emit(HostLeaving())
        self._links.announce_leaving()


@SERVICES.register("departure")
def make_departure_announcer(kernel: Kernel) -> DepartureAnnouncer:
    """Make the service; it must be the last in a daemon's list."""
    return DepartureAnnouncer(kernel)
