"""Timing of one stream as it is passed on."""

from __future__ import annotations

from datetime import datetime, timedelta

from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._stats import EVENT_GAP, Stats


class StreamTiming:
    """Measures the time to the first event and the gaps between events, over all attempts.

    :ivar first_delay: time to the first event, ``None`` before it.
    """

    def __init__(self, stats: Stats, arrived: datetime) -> None:
        self._stats = stats
        self.first_delay: timedelta | None = None
        self._last_at = arrived
        self._longest_gap = timedelta(0)

    def observe_event(self, now: datetime) -> None:
        """Record that events are passed on at *now*."""
        gap, self._last_at = now - self._last_at, now
        if self.first_delay is None:
            self.first_delay = gap
            return
        self._stats.observe(EVENT_GAP, gap)
        self._longest_gap = max(self._longest_gap, gap)

    def describe(self) -> dict[str, int | None]:
        """Return the timing fields of the log line that ends the stream."""
        first = None if self.first_delay is None else to_milliseconds(self.first_delay)
        return {"first_ms": first, "longest_gap_ms": to_milliseconds(self._longest_gap)}
