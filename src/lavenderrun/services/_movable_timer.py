"""A timer that always stands at the earliest instant asked for."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime

from lavenderrun.kernel import Clock, Timer


class MovableTimer:
    """Calls back at an instant that may be moved.

    :param ring: what to call.
    """

    def __init__(self, clock: Clock, ring: Callable[[], None]) -> None:
        self._clock = clock
        self._ring = ring
        self._at: datetime | None = None
        self._timer: Timer | None = None

    def set(self, at: datetime | None) -> None:
        """Move the alarm to *at*; ``None`` turns it off."""
        if at == self._at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._at = at
        if at is not None:
            self._timer = self._clock.call_later(at - self._clock.now(), self._fire)

    def _fire(self) -> None:
        self._at = self._timer = None
        self._ring()
