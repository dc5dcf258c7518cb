"""Service ``memory``: the account of the bytes that this process holds for others."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar, Final

from lavenderrun.dispatch import SMALL_BYTES, ByteHolder, HeldBytes, HolderKind
from lavenderrun.gateway._bounds import BoundsService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import HELD_BYTES, HELD_ENDS, Stats
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import GatewayBounds

PROCESS_BYTES: Final = 80 << 20
"""Memory that the process needs by itself, with its connections."""

HELD_SHARE: Final = 0.6
"""Share of the rest that may be held; the allocator and copies on the way take the other part."""

MIN_LIMIT: Final = 20 << 20
"""Smallest limit: two of the largest answers, one of them beside as many bytes of requests."""

CHECK_INTERVAL: Final = timedelta(milliseconds=250)
"""Interval of the search for callers that do not read, while others wait for room."""


class Holding:
    """Bytes that are held for one request, answer or event.

    Without room it may have ``SMALL_BYTES``.

    :ivar request: id of the request, for the log.
    :ivar on_room: called when there is room for all that is needed.
    :ivar on_end: called when the account breaks it off.
    """

    def __init__(self, memory: MemoryService, holder: ByteHolder) -> None:
        self._memory = memory
        self.holder = holder
        self.request: str | None = None
        self.on_room: Callable[[], None] = lambda: None
        self.on_end: Callable[[], None] = lambda: None
        self._is_waiting = False

    def expect(self, need: int) -> None:
        """Set the most that is to be held, as long as there is no room for it."""
        if not self.holder.has_room:
            self.holder.need = need

    def add(self, size: int) -> bool:
        """Count further bytes; return whether more may be taken."""
        self._memory.account.add(self.holder, size)
        if self._is_waiting:
            return False
        return self.holder.held <= SMALL_BYTES or self.request_room()

    def request_room(self) -> bool:
        """Return whether all that is needed may be held."""
        return self._memory.account.request_room(self.holder)

    def wait_for_room(self) -> None:
        """Call ``on_room`` when all that is needed may be held."""
        if not self._is_waiting:
            self._is_waiting = True
            self._memory.wait(self)

    def take_room(self) -> None:
        """Go on, as there is room."""
        self._is_waiting = False
        self.on_room()

    def note_progress(self) -> None:
        """Record that the caller takes its answer."""
        self._memory.note_progress(self.holder)

    def end(self) -> None:
        """Give everything back; a second call does nothing."""
        self._memory.end(self)


class MemoryService:
    """Grants room for bytes of others, and breaks off answers whose callers do not read them.

    :ivar account: who holds what.
    """

    needs: ClassVar[tuple[str, ...]] = ("bounds",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._stats = kernel.find("stats", Stats)
        self.account = HeldBytes(MIN_LIMIT)
        self._waiting: dict[ByteHolder, Holding] = {}
        self._outputs: dict[ByteHolder, Holding] = {}
        self._timer: Timer | None = None
        self._is_granting = False
        kernel.find("bounds", BoundsService).watch(self._set_limit)
        self._stats.register_reader(HELD_BYTES, self._read_held)

    def start(self) -> None:
        """Do nothing, because room is granted on request."""

    def stop(self) -> None:
        """Cancel the search for callers that do not read."""
        if self._timer is not None:
            self._timer.cancel()

    def hold(self, kind: HolderKind, group: str, need: int) -> Holding:
        """Return a holding that has nothing yet.

        :param need: the most that it may come to hold.
        """
        return Holding(self, self.account.begin(kind, group, need, self._clock.now()))

    def hold_output(self, group: str, size: int) -> Holding:
        """Return the holding of a whole answer that is sent to its caller."""
        holding = Holding(self, self.account.hold_output(group, size, self._clock.now()))
        self._outputs[holding.holder] = holding
        return holding

    def log_refusal(self, holding: Holding, request: str | None) -> None:
        """Count and log that there is no room for what *request* needs."""
        self._stats.count(HELD_ENDS, holding.holder.kind.value, "refused")
        log(
            "memory:refused",
            "memory: no room for what is to be held",
            request=request,
            **self._describe(holding.holder),
        )

    def _describe(self, holder: ByteHolder) -> dict[str, object]:
        return {
            "held_for": holder.kind.value,
            "peer": holder.group,
            "held": holder.held,
            "need": holder.need,
            "held_in_all": sum(self.account.held.values()),
            "limit": self.account.limit,
        }

    def wait(self, holding: Holding) -> None:
        """Let a holding wait for room."""
        self._waiting[holding.holder] = holding
        self.account.wait(holding.holder)
        if self._timer is None:
            self._timer = self._clock.call_later(CHECK_INTERVAL, self._end_stalled)

    def note_progress(self, holder: ByteHolder) -> None:
        """Record that a caller takes its answer."""
        holder.progressed = self._clock.now()

    def end(self, holding: Holding) -> None:
        """Give back all that is held."""
        self._waiting.pop(holding.holder, None)
        self._outputs.pop(holding.holder, None)
        self.account.end(holding.holder)
        self._grant()

    def _grant(self) -> None:
        if self._is_granting or not self.account.is_awaited:
            return
        self._is_granting = True
        try:
            while granted := self.account.grant_waiting():
                for holder in granted:
                    holding = self._waiting.pop(holder, None)
                    if holding is not None:
                        holding.take_room()
        finally:
            self._is_granting = False

    def _end_stalled(self) -> None:
        self._timer = None
        holder = self.account.find_stalled(self._clock.now())
        holding = self._outputs.get(holder) if holder is not None else None
        if holding is not None:
            self._stats.count(HELD_ENDS, holding.holder.kind.value, "broken_off")
            log(
                "memory:broken_off",
                "memory: caller does not read its answer, connection closed",
                request=holding.request,
                **self._describe(holding.holder),
            )
            holding.on_end()
            holding.end()
        if self.account.is_awaited:
            self._timer = self._clock.call_later(CHECK_INTERVAL, self._end_stalled)

    def _set_limit(self, bounds: GatewayBounds) -> None:
        self.account.limit = max(MIN_LIMIT, int((bounds.memory - PROCESS_BYTES) * HELD_SHARE))
        self._grant()

    def _read_held(self) -> dict[tuple[str, ...], float]:
        held: dict[tuple[str, ...], float] = {
            (kind.value,): float(size) for kind, size in self.account.held.items()
        }
        held["limit",] = float(self.account.limit)
        return held


@GATEWAY_SERVICES.register("memory")
def make_memory(kernel: Kernel) -> MemoryService:
    """Make the service ``memory``."""
    return MemoryService(kernel)
