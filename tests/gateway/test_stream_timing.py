from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.gateway._stats import Stats
from lavenderrun.gateway._stream_timing import StreamTiming

START = datetime(2026, 1, 1, tzinfo=UTC)


def test_gaps_are_counted_from_the_first_event_and_the_longest_is_kept() -> None:
    stats = Stats()
    timing = StreamTiming(stats, START)
    assert timing.describe() == {"first_ms": None, "longest_gap_ms": 0}
    for seconds in (0.4, 0.45, 1.45, 1.5):
        timing.observe_event(START + timedelta(seconds=seconds))
    assert timing.describe() == {"first_ms": 400, "longest_gap_ms": 1000}
    page, _ = stats.render([])
    assert b"lavenderrun_gateway_event_gap_seconds_count 3" in page
