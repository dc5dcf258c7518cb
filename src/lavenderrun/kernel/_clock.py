"""The clock interface and its reactor implementation."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime, timedelta
from typing import Any, Protocol

from twisted.internet.defer import Deferred


class ReactorTime(Protocol):
    """The part of a reactor, or of ``twisted.internet.task.Clock``, that keeps time."""

    def seconds(self) -> float:
        """Return monotonic seconds."""

    def callLater(self, delay: float, callable: Callable[..., Any], *args: Any) -> Any:  # noqa: A002, N802
        """Run a call after *delay* seconds."""


class Timer(Protocol):
    """A call that is scheduled for later."""

    def cancel(self) -> None:
        """Cancel the call; do nothing when it has run or was cancelled already."""


class Clock(Protocol):
    """Time and delayed calls on the event loop."""

    def now(self) -> datetime:
        """Return the current UTC time as an aware datetime that never goes back."""

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Run *call* after *delay* on the event loop."""


class GuardedClock:
    """A clock for the parts of one call, whose errors in timers are handled by *guard*.

    :param guard: returns a function with its errors handled.
    """

    def __init__(
        self, clock: Clock, guard: Callable[[Callable[..., Any]], Callable[..., Any]]
    ) -> None:
        self._clock = clock
        self._guard = guard

    def now(self) -> datetime:
        """Return the current time."""
        return self._clock.now()

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Run *call* after *delay*, guarded."""
        return self._clock.call_later(delay, self._guard(call), *args)


def sleep(clock: Clock, delay: timedelta) -> Deferred[None]:
    """Return a deferred that fires after *delay*; cancelling it cancels the timer."""
    done: Deferred[None] = Deferred(lambda _: timer.cancel())
    timer = clock.call_later(delay, done.callback, None)
    return done


class _ReactorTimer:
    def __init__(self, delayed: Any) -> None:
        self._delayed = delayed

    def cancel(self) -> None:
        if self._delayed.active():
            self._delayed.cancel()


class ReactorClock:
    """Clock that takes its time from a reactor.

    The wall clock is read once and then advanced by the reactor's monotonic seconds, so that a step
    of the host's wall clock never affects a lease.

    :param reactor: runs the delayed calls.
    :param epoch: time at which the reactor's seconds were *zero*.
    :param zero: reading of ``reactor.seconds()`` at *epoch*.
    """

    def __init__(self, reactor: ReactorTime, epoch: datetime, *, zero: float) -> None:
        self._reactor = reactor
        self._epoch = epoch
        self._zero = zero

    @classmethod
    def starting_now(cls, reactor: ReactorTime) -> ReactorClock:
        """Return a clock that starts at the current wall time."""
        return cls(reactor, datetime.now(UTC), zero=reactor.seconds())

    def now(self) -> datetime:
        """Return the current UTC time as an aware datetime that never goes back."""
        return self._epoch + timedelta(seconds=self._reactor.seconds() - self._zero)

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Run *call* after *delay*; a negative delay counts as zero."""
        seconds = max(0.0, delay.total_seconds())
        return _ReactorTimer(self._reactor.callLater(seconds, call, *args))
