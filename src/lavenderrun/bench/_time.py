"""Simulated time: one fake reactor for a run, and one clock per host, which can pause and die."""

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
    """A scheduled call; cheaper than ``DelayedCall``, which matters as a run makes very many."""

    __slots__ = ("args", "call", "cancelled", "host")

    def __init__(
        self, host: HostClock | None, call: Callable[..., Any], args: tuple[Any, ...]
    ) -> None:
        self.host = host
        self.call = call
        self.args = args
        self.cancelled = False

    def cancel(self) -> None:
        """Cancel the call."""
        self.cancelled = True

    def fire(self) -> None:
        """Run the call unless it is cancelled, through the host's clock if it has one."""
        if self.cancelled:
            return
        if self.host is None:
            self.call(*self.args)
        else:
            self.host.run_or_hold(self)


class EventClock(FakeReactor):
    """A ``task.Clock`` that keeps its calls in a heap.

    The original sorts all pending calls when one is added, and a run has thousands.

    :ivar metered: whether host clocks measure the time that their calls take.
    """

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, DelayedCall | EventTimer]] = []
        self._numbers = count()
        self._now = EPOCH
        self._now_at = 0.0
        self.metered = False

    def now(self) -> datetime:
        """Return the simulated time."""
        if self._now_at != self.rightNow:
            self._now_at = self.rightNow
            self._now = EPOCH + timedelta(seconds=self.rightNow)
        return self._now

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> EventTimer:
        """Schedule *call* after *delay*; it belongs to no host, so no pause delays it."""
        return self.schedule(delay, EventTimer(None, call, args))

    def schedule(self, delay: timedelta, timer: EventTimer) -> EventTimer:
        """Schedule *timer* after *delay*; a negative delay counts as zero."""
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
        """Schedule a call after *delay* seconds, as ``IReactorTime`` requires."""
        at = self.rightNow + delay
        call = DelayedCall(at, callable, args, kw, _ignore_cancel, self._push, self.seconds)
        self._push(call)
        return call

    def getDelayedCalls(self) -> Sequence[Any]:  # noqa: N802
        """Return the pending calls that were scheduled with :meth:`callLater`."""
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


def _ignore_cancel(call: DelayedCall) -> None:
    # a cancelled call stays in the heap and is skipped when it is due
    del call


class HostClock:
    """Clock of one boot of a host, through which everything reaches the host.

    A paused host keeps due calls until it resumes; a dead host drops them.
    """

    def __init__(self, base: EventClock) -> None:
        self._base = base
        self._backlog: list[EventTimer] = []
        self._paused = False
        self._dead = False
        self.spent_ns = 0
        """Nanoseconds that the host's calls took while the base clock was metered."""

    @property
    def is_dead(self) -> bool:
        """Whether this boot of the host has ended."""
        return self._dead

    def now(self) -> datetime:
        """Return the simulated time, which advances while the host is paused too."""
        return self._base.now()

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> EventTimer:
        """Schedule *call* after *delay* on this host."""
        return self._base.schedule(delay, EventTimer(self, call, args))

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        """Run *call* now, or when a paused host resumes, or never on a dead host."""
        self.run_or_hold(EventTimer(self, call, args))

    def run_or_hold(self, timer: EventTimer) -> None:
        """Run a due call, keep it while the host is paused, or drop it when the host is dead."""
        if self._dead or timer.cancelled:
            return
        if self._paused:
            self._backlog.append(timer)
        elif self._base.metered:
            begun = perf_counter_ns()
            timer.call(*timer.args)
            self.spent_ns += perf_counter_ns() - begun
        else:
            timer.call(*timer.args)

    def pause(self) -> None:
        """Keep all due calls until the host resumes."""
        self._paused = True

    def resume(self) -> None:
        """Run the calls that were due during the pause, in order."""
        self._paused = False
        backlog, self._backlog = self._backlog, []
        for timer in backlog:
            self.run_or_hold(timer)

    def die(self) -> None:
        """End this boot: drop the kept calls and all that fall due later."""
        self._dead = True
        self._backlog.clear()
