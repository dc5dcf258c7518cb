"""Time in a benchmark: one fake reactor, and a clock a host that can pause and die."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta
from itertools import count
from time import perf_counter_ns
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock as FakeReactor

EPOCH = datetime(2026, 1, 5, 6, 0, tzinfo=UTC)


class EventTimer:
    """A call that is due later; lighter than the reactor's own, for a run makes very many."""

    __slots__ = ("args", "call", "cancelled", "host")

    def __init__(
        self, host: HostClock | None, call: Callable[..., Any], args: tuple[Any, ...]
    ) -> None:
        self.host = host
        self.call = call
        self.args = args
        self.cancelled = False

    def cancel(self) -> None:
        """Drop the call."""
        self.cancelled = True

    def fire(self) -> None:
        """Run the call, through the host's clock when it has one."""
        if self.cancelled:
            return
        if self.host is None:
            self.call(*self.args)
        else:
            self.host.take(self)


class EventClock(FakeReactor):
    """A ``task.Clock`` over a heap, for it sorts all calls at each one and a run has thousands."""

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, DelayedCall | EventTimer]] = []
        self._numbers = count()
        self._now = EPOCH
        self._now_at = 0.0
        self.metered = False

    def now(self) -> datetime:
        """Return the instant; see ``Clock``."""
        if self._now_at != self.rightNow:
            self._now_at = self.rightNow
            self._now = EPOCH + timedelta(seconds=self.rightNow)
        return self._now

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> EventTimer:
        """Run *call* after *delay*; see ``Clock``."""
        return self.schedule(delay, EventTimer(None, call, args))

    def schedule(self, delay: timedelta, timer: EventTimer) -> EventTimer:
        """Let *timer* fire after *delay*; a negative one counts as zero."""
        at = self.rightNow + max(0.0, delay.total_seconds())
        heapq.heappush(self._heap, (at, next(self._numbers), timer))
        return timer

    def callLater(  # noqa: N802
        self,
        delay: float,
        callable: Callable[..., object],  # noqa: A002
        *args: object,
        **kw: object,
    ) -> Any:
        """Run a call after *delay* seconds."""
        at = self.rightNow + delay
        call = DelayedCall(at, callable, args, kw, _ignore, self._push, self.seconds)
        self._push(call)
        return call

    def getDelayedCalls(self) -> Sequence[Any]:  # noqa: N802
        """Return the reactor's own calls that are due."""
        calls = [call for _, _, call in sorted(self._heap) if isinstance(call, DelayedCall)]
        return [call for call in calls if call.active()]

    def advance(self, amount: float) -> None:
        """Run all calls up to *amount* seconds from now, each at its own time."""
        end = self.rightNow + amount
        while self._heap and self._heap[0][0] <= end:
            at, _, call = heapq.heappop(self._heap)
            self.rightNow = max(self.rightNow, at)
            if isinstance(call, EventTimer):
                call.fire()
            elif call.active():
                self._fire(call, at)
        self.rightNow = end

    def _fire(self, call: DelayedCall, at: float) -> None:
        if call.getTime() > at:
            self._push(call)
            return
        call.called = 1
        call.func(*call.args, **call.kw)

    def _push(self, call: DelayedCall) -> None:
        heapq.heappush(self._heap, (call.getTime(), next(self._numbers), call))


def _ignore(call: DelayedCall) -> None:
    # a cancelled call is skipped when its turn comes
    del call


class HostClock:
    """Clock of one life of a host; whatever enters the host passes through it.

    A paused host runs nothing until it goes on, and then all that was due; a dead one never.
    """

    def __init__(self, base: EventClock) -> None:
        self._base = base
        self._backlog: list[EventTimer] = []
        self._paused = False
        self._dead = False
        self.spent = 0
        """Nanoseconds that the host's own code took, while the base is metered."""

    @property
    def is_dead(self) -> bool:
        """Whether this life is over."""
        return self._dead

    def now(self) -> datetime:
        """Return the instant; see ``Clock``."""
        return self._base.now()

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> EventTimer:
        """Run *call* after *delay*; see ``Clock``."""
        return self._base.schedule(delay, EventTimer(self, call, args))

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        """Run *call* at once, when the host goes on, or never."""
        self.take(EventTimer(self, call, args))

    def take(self, timer: EventTimer) -> None:
        """Run a due call, keep it while the host is paused, or drop it."""
        if self._dead or timer.cancelled:
            return
        if self._paused:
            self._backlog.append(timer)
        elif self._base.metered:
            begun = perf_counter_ns()
            timer.call(*timer.args)
            self.spent += perf_counter_ns() - begun
        else:
            timer.call(*timer.args)

    def pause(self) -> None:
        """Stop the host's work."""
        self._paused = True

    def resume(self) -> None:
        """Run what was held back, in order."""
        self._paused = False
        backlog, self._backlog = self._backlog, []
        for timer in backlog:
            self.take(timer)

    def die(self) -> None:
        """End this life."""
        self._dead = True
        self._backlog.clear()
