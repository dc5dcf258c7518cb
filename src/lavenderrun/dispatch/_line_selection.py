"""Which log lines are written when there are more than the rate allows."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime
from typing import Final

from lavenderrun.types import RequestId

STORY_RESERVE_SHARE: Final = 0.5
"""Share of the burst that is kept for calls whose first line was written, and for failures."""

MAX_INCOMPLETE: Final = 10_000
"""Calls with dropped lines that are remembered; the oldest have ended."""


@dataclass(frozen=True)
class LineTraits:
    """What decides whether a line is written.

    :param call: the call that it belongs to, ``None`` for a line of the host.
    :param is_first: it is the first line of its call.
    :param is_last: it is the last line of its call.
    :param is_essential: it tells of a failure, a refusal or a resend, or belongs to no call.
    """

    call: RequestId | None = None
    is_first: bool = False
    is_last: bool = False
    is_essential: bool = True


class LineSelection:
    """Limits the rate of lines.

    The lines of a call are written or dropped together: once too few lines are left for the calls
    under way, those of further calls are dropped, except the essential ones.

    :param rate: sustained rate of lines a second.
    :param burst: lines that may be written at once.
    """

    def __init__(self, rate: float, burst: float, now: datetime) -> None:
        self._rate = rate
        self._burst = burst
        self._allowed = burst
        self._refilled = now
        # in order of their first dropped line
        self._incomplete: dict[RequestId, int] = {}

    def take(self, line: LineTraits, now: datetime) -> bool:
        """Return whether *line* is written; if so, it counts against the rate."""
        self._refill(now)
        is_late = line.is_first and self._allowed < self._burst * STORY_RESERVE_SHARE
        is_left_out = is_late or line.call in self._incomplete
        if self._allowed < 1 or (is_left_out and not line.is_essential):
            self.note_dropped(line)
            return False
        self._allowed -= 1
        return True

    def note_dropped(self, line: LineTraits) -> None:
        """Record that a line was not written; further lines of its call are not written either."""
        if line.call is None or line.is_last:
            return
        self._incomplete[line.call] = self._incomplete.get(line.call, 0) + 1
        while len(self._incomplete) > MAX_INCOMPLETE:
            del self._incomplete[next(iter(self._incomplete))]

    def count_dropped(self, call: RequestId | None) -> int:
        """Return how many lines of a call that has not ended were dropped."""
        return 0 if call is None else self._incomplete.get(call, 0)

    def forget(self, line: LineTraits) -> None:
        """Forget the call of *line* if it is the last one."""
        if line.is_last and line.call is not None:
            self._incomplete.pop(line.call, None)

    def _refill(self, now: datetime) -> None:
        elapsed = (now - self._refilled).total_seconds()
        self._allowed = min(self._burst, self._allowed + elapsed * self._rate)
        self._refilled = now
