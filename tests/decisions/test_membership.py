from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest

from lavenderrun.decisions import StaleRowDetector

START = datetime(2026, 1, 1, tzinfo=UTC)
ROUND = timedelta(seconds=30)


def find_after(rounds: int, gap: timedelta, rounds_after: int) -> list[str]:
    """Return the stale rows after regular reads, a gap and regular reads; one row never changes."""
    detector, now, stale = StaleRowDetector(), START, list[str]()
    for number in range(rounds + rounds_after):
        stale = detector.find_stale({"lost": 1, "live": number}, now)
        now += gap if number == rounds - 1 else ROUND
    return stale


def test_a_row_that_does_not_change_for_ten_minutes_is_stale() -> None:
    assert find_after(20, ROUND, 0) == []
    assert find_after(23, ROUND, 0) == ["lost"]


# after an outage of the store the first entry to read it removed the rows of all others
@pytest.mark.parametrize("gap", [timedelta(minutes=11), timedelta(hours=9)])
def test_time_in_which_no_rows_were_read_does_not_count(gap: timedelta) -> None:
    assert find_after(5, gap, 1) == []
    assert find_after(5, gap, 8) == []
    assert find_after(5, gap, 20) == ["lost"]
