"""A timer whose due time can be moved."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime

from lavenderrun.kernel import Clock, Timer


class MovableTimer:
    """Calls back once at a due time that can be moved or cleared.

    :param callback: called when the timer is due.
    """

    def __init__(self, clock: Clock, callback: Callable[[], None]) -> None:
        self._clock = clock
        self._callback = callback
        self._due_at: datetime | None = None
        self._timer: Timer | None = None

    def set(self, at: datetime | None) -> None:
        """Set the due time to *at*; ``None`` clears it."""
        if at == self._due_at:
            return
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._due_at = at
        if at is not None:
            self._timer = self._clock.call_later(at - self._clock.now(), self._fire)

    def _fire(self) -> None:
        self._due_at = self._timer = None
        self._callback()
