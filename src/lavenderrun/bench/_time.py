"""Time in a benchmark: one fake reactor, and a clock a host that can pause and die."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Sequence
from datetime import UTC, datetime, timedelta
from itertools import count
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.kernel import ReactorClock, Timer

EPOCH = datetime(2026, 1, 5, 6, 0, tzinfo=UTC)


class EventClock(FakeReactor):
    """A ``task.Clock`` over a heap, for it sorts all calls at each one and a run has thousands."""

    def __init__(self) -> None:
        super().__init__()
        self._heap: list[tuple[float, int, DelayedCall]] = []
        self._numbers = count()

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
        """Return the calls that are due."""
        return [call for _, _, call in sorted(self._heap) if call.active()]

    def advance(self, amount: float) -> None:
        """Run all calls up to *amount* seconds from now, each at its own time."""
        end = self.rightNow + amount
        while self._heap and self._heap[0][0] <= end:
            at, _, call = heapq.heappop(self._heap)
            if call.cancelled or call.called:
                continue
            if call.getTime() > at:
                self._push(call)
                continue
            self.rightNow = max(self.rightNow, at)
            call.called = 1
            call.func(*call.args, **call.kw)
        self.rightNow = end

    def _push(self, call: DelayedCall) -> None:
        heapq.heappush(self._heap, (call.getTime(), next(self._numbers), call))


def _ignore(call: DelayedCall) -> None:
    # a cancelled call is skipped when its turn comes
    del call


def make_clock(reactor: EventClock) -> ReactorClock:
    """Return the clock of the outer world."""
    return ReactorClock(reactor, EPOCH, zero=0.0)


class _HostTimer:
    def __init__(self) -> None:
        self.cancelled = False
        self.timer: Timer | None = None

    def cancel(self) -> None:
        self.cancelled = True
        if self.timer is not None:
            self.timer.cancel()


class HostClock:
    """Clock of one life of a host; whatever enters the host passes through it.

    A paused host runs nothing until it goes on, and then all that was due; a dead one never.
    """

    def __init__(self, base: ReactorClock) -> None:
        self._base = base
        self._backlog: list[tuple[_HostTimer, Callable[..., Any], tuple[Any, ...]]] = []
        self._paused = False
        self._dead = False

    @property
    def is_dead(self) -> bool:
        """Whether this life is over."""
        return self._dead

    def now(self) -> datetime:
        """Return the instant; see ``Clock``."""
        return self._base.now()

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Run *call* after *delay*; see ``Clock``."""
        timer = _HostTimer()
        timer.timer = self._base.call_later(delay, self._run, timer, call, args)
        return timer

    def run(self, call: Callable[..., Any], *args: Any) -> None:
        """Run *call* at once, when the host goes on, or never."""
        self._run(_HostTimer(), call, args)

    def pause(self) -> None:
        """Stop the host's work."""
        self._paused = True

    def go_on(self) -> None:
        """Run what was held back, in order."""
        self._paused = False
        backlog, self._backlog = self._backlog, []
        for timer, call, args in backlog:
            self._run(timer, call, args)

    def die(self) -> None:
        """End this life."""
        self._dead = True
        self._backlog.clear()

    def _run(self, timer: _HostTimer, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        if self._dead or timer.cancelled:
            return
        if self._paused:
            self._backlog.append((timer, call, args))
        else:
            call(*args)
