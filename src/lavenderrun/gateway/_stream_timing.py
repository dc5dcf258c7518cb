"""When the events of one stream were passed on."""

from __future__ import annotations

from datetime import datetime, timedelta

from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._stats import EVENT_GAP, Stats


class StreamTiming:
    """Measures the time to the first event and the gaps after it, over all attempts."""

    def __init__(self, stats: Stats, arrived: datetime) -> None:
        self._stats = stats
        self._first: timedelta | None = None
        self._last = arrived
        self._longest = timedelta(0)

    def observe_event(self, now: datetime) -> None:
        """Take note that events are passed on."""
        gap, self._last = now - self._last, now
        if self._first is None:
            self._first = gap
            return
        self._stats.observe(EVENT_GAP, gap)
        self._longest = max(self._longest, gap)

    def describe(self) -> dict[str, int | None]:
        """Return the fields of the log line that ends the stream."""
        first = None if self._first is None else to_milliseconds(self._first)
        return {"first_ms": first, "longest_gap_ms": to_milliseconds(self._longest)}
