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
    """A call that is due later."""

    def cancel(self) -> None:
        """Drop the call; raise nothing when it has run or was cancelled."""


class Clock(Protocol):
    """Source of time and of delayed calls on the one loop."""

    def now(self) -> datetime:
        """Return an aware UTC instant that never steps back."""

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Run *call* after *delay* on the loop."""


def sleep(clock: Clock, delay: timedelta) -> Deferred[None]:
    """Return what fires after *delay*; cancelling it drops the timer."""
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
    """Clock over a reactor.

    The wall time is read once; the reactor's monotonic seconds advance it, so a step of the
    host's wall clock never reaches a lease.

    :param reactor: where delayed calls run.
    :param epoch: the instant at which the reactor's seconds were *zero*.
    :param zero: reading of ``reactor.seconds()`` that belongs to *epoch*.
    """

    def __init__(self, reactor: ReactorTime, epoch: datetime, *, zero: float) -> None:
        self._reactor = reactor
        self._epoch = epoch
        self._zero = zero

    @classmethod
    def starting_now(cls, reactor: ReactorTime) -> ReactorClock:
        """Return a clock that starts at the wall time of this moment."""
        return cls(reactor, datetime.now(UTC), zero=reactor.seconds())

    def now(self) -> datetime:
        """Return the instant; see :class:`Clock`."""
        return self._epoch + timedelta(seconds=self._reactor.seconds() - self._zero)

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Run *call* after *delay*; a negative delay counts as zero."""
        seconds = max(0.0, delay.total_seconds())
        return _ReactorTimer(self._reactor.callLater(seconds, call, *args))
