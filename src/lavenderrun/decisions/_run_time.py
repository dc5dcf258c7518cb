"""Time that a process ran: the time in which it was suspended does not count.

Lateness that goes on is no suspension, see :class:`SuspensionSeries`.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch import SuspensionSeries

ALIVE_INTERVAL: Final = timedelta(milliseconds=250)
"""Longest time between two signs of life of a process that runs."""

MIN_SUSPENSION: Final = timedelta(milliseconds=250)
"""Shortest delay of a sign of life that counts as a suspension."""

SETTLE_TIME: Final = timedelta(milliseconds=50)
"""Time after a suspension in which a process reads what its connections received meanwhile."""


class RunTime:
    """Adds up the time that this process ran, from signs of life at regular intervals.

    :param now: when the process began to run.
    """

    def __init__(self, now: datetime) -> None:
        self._alive_at = now
        self._elapsed = timedelta(0)
        self._settled_at = now
        self._read_at = now
        self._series = SuspensionSeries()

    def note_alive(self, now: datetime) -> timedelta:
        """Record that this process runs at *now*; return how long it was suspended before."""
        since = now - self._alive_at
        self._alive_at = now
        if since < ALIVE_INTERVAL + MIN_SUSPENSION:
            self._elapsed += since
            self._series.note_run(since)
            return timedelta(0)
        self._read_at = now + SETTLE_TIME
        if not self._series.note_late_turn():
            self._elapsed += since
            return timedelta(0)
        self._elapsed += ALIVE_INTERVAL
        self._settled_at = now + SETTLE_TIME
        return since - ALIVE_INTERVAL

    def measure(self) -> timedelta:
        """Return the time that this process ran, up to its last sign of life."""
        return self._elapsed

    def is_settling(self) -> bool:
        """Tell whether a suspension has ended so recently that connections may be closed unread."""
        return self._alive_at < self._settled_at

    def has_unread(self) -> bool:
        """Tell whether this process was late, so that what peers sent may not be read yet."""
        return self._alive_at < self._read_at
