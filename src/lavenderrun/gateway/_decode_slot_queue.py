"""Service ``seats``: calls wait here until a decode engine has room for them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from typing import ClassVar, Final

from lavenderrun.dispatch import PATIENCE_MOST, CallRequirements, QueuedCall, is_late, order_key
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import QUEUED, Stats
from lavenderrun.gateway._view import FleetView
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import BackendId, Member, ServiceGroup

LOOK_EVERY: Final = timedelta(milliseconds=50)
"""How often waiting calls are looked at beside each freed seat; a peer's report may free one."""


class DecodeSlotReservation:
    """Room reserved at a decode engine; freed once."""

    def __init__(self, seats: DecodeSlotQueueService, member: Member, tokens: int) -> None:
        self._seats = seats
        self.member = member
        self._tokens = tokens
        self._held = True

    def free(self) -> None:
        """Return the room; a second time does nothing."""
        if self._held:
            self._held = False
            self._seats.give_back(self.member.id, self._tokens)


class DecodeSlotWaiter:
    """A call that waits.

    :param taken: called with the seat, or with ``None`` when the wait was too long.
    """

    def __init__(
        self,
        service: ServiceGroup,
        need: CallRequirements,
        waiting: QueuedCall,
        taken: Callable[[DecodeSlotReservation | None], None],
    ) -> None:
        self.service = service
        self.need = need
        self.waiting = waiting
        self.taken = taken


class DecodeSlotQueueService:
    """Serves waiting calls in order; see ``order_key``."""

    needs: ClassVar[tuple[str, ...]] = ("view",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._view = kernel.find("view", FleetView)
        self._queue: list[DecodeSlotWaiter] = []
        self._timer: Timer | None = None
        kernel.find("stats", Stats).register_reader(QUEUED, lambda: {(): float(len(self._queue))})

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def ask(self, request: DecodeSlotWaiter) -> None:
        """Give the call a seat as soon as there is one."""
        self._queue.append(request)
        self._look()

    def withdraw(self, request: DecodeSlotWaiter) -> None:
        """The call waits no more."""
        if request in self._queue:
            self._queue.remove(request)

    def give_back(self, member: BackendId, tokens: int) -> None:
        """Take a freed seat and look who may have it."""
        self._view.free(member, tokens)
        if self._queue:
            self._clock.call_later(timedelta(0), self._look)

    def _look(self) -> None:
        now = self._clock.now()
        full: set[ServiceGroup] = set()
        for request in sorted(self._queue, key=lambda request: order_key(request.waiting, now)):
            if request not in self._queue:
                continue
            if now - request.waiting.arrived >= PATIENCE_MOST:
                self._queue.remove(request)
                request.taken(None)
                continue
            if request.service in full:
                continue
            need = replace(request.need, late=is_late(request.waiting, now))
            member = self._view.place(request.service, "decode", need)
            if member is None:
                full.add(request.service)
                continue
            self._queue.remove(request)
            self._view.reserve(member.id, request.need.tokens)
            request.taken(DecodeSlotReservation(self, member, request.need.tokens))
        self._plan()

    def _plan(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._queue:
            self._timer = self._clock.call_later(LOOK_EVERY, self._look)


@GATEWAY_SERVICES.register("seats")
def make_seats(kernel: Kernel) -> DecodeSlotQueueService:
    """Make the service."""
    return DecodeSlotQueueService(kernel)
