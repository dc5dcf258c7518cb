"""A timer that tells whether this process ran when it was due."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from lavenderrun.kernel import Clock, Timer

MAX_TIMER_DELAY: Final = timedelta(milliseconds=250)
"""Delay of a timer above which this process did not run, and may not have read what has come."""


class WatchTimer:
    """Calls a function once after a wait; a later start replaces the one before."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._due = clock.now()
        self._timer: Timer | None = None

    @property
    def is_running(self) -> bool:
        """Whether the call is still to come."""
        return self._timer is not None

    @property
    def is_late(self) -> bool:
        """Whether this process did not run when the last call was due."""
        return self._clock.now() - self._due > MAX_TIMER_DELAY

    def start(self, wait: timedelta, call: Callable[[], None]) -> None:
        """Call *call* after *wait*."""
        self.cancel()
        self._due = self._clock.now() + wait
        self._timer = self._clock.call_later(wait, self._run, call)

    def cancel(self) -> None:
        """Do not call."""
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()

    def _run(self, call: Callable[[], None]) -> None:
        self._timer = None
        call()
