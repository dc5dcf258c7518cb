"""Timer of a stream's silence, after which it goes to another engine."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import CallRoute

FIRST_EVENT_TIMEOUT: Final = timedelta(seconds=2)
"""Silence before the first event after which a resumable stream goes to another engine; callers
give up after twice that time."""

GAP_TIMEOUT_FACTOR: Final = 4.0
"""Silence between events, as a multiple of the gap objective, after which a resumable stream goes
to another engine."""

DEFAULT_GAP_TIMEOUT: Final = timedelta(seconds=1.2)
"""Silence between events after which a resumable stream goes to another engine, on a route without
an objective for gaps."""


class SilenceTimer:
    """Tells when a resumable stream has been silent for too long.

    :param on_silence: called then.
    """

    def __init__(self, clock: Clock, route: CallRoute, on_silence: Callable[[], None]) -> None:
        self._clock = clock
        self._route = route
        self._on_silence = on_silence
        self._timer: Timer | None = None

    def begin(self, *, may_move: bool) -> None:
        """Wait for the first event.

        :param may_move: another engine may take the stream.
        """
        self._restart(FIRST_EVENT_TIMEOUT, may_move=may_move)

    def note_event(self, *, may_move: bool) -> None:
        """Wait for the next event."""
        gap = self._route.gap_objective
        wait = DEFAULT_GAP_TIMEOUT if gap is None else gap * GAP_TIMEOUT_FACTOR
        self._restart(wait, may_move=may_move)

    def end(self) -> None:
        """Wait for no more events."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _restart(self, wait: timedelta, *, may_move: bool) -> None:
        self.end()
        if self._route.is_idempotent and may_move:
            self._timer = self._clock.call_later(wait, self._on_silence)
