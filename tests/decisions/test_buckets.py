from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions._buckets import MAX_MARKS, Bucket

START = datetime(2026, 1, 1, tzinfo=UTC)
RATE, BURST = 100.0, 1000.0


def make_bucket() -> Bucket:
    bucket = Bucket(RATE, BURST, START)
    bucket.change_share(1.0)
    bucket.add(BURST)
    return bucket


def find_excess(used: list[tuple[float, float]]) -> float:
    """Return by how much the use in any time window exceeds the burst plus the window's rate."""
    level, before, least = BURST, 0.0, BURST
    for at, amount in sorted(used, key=lambda pair: pair[0]):
        level = min(BURST, level + RATE * (at - before)) - amount
        before, least = at, min(least, level)
    return max(0.0, -least)


def run(bucket: Bucket, steps: list[Any]) -> list[tuple[float, float]]:
    """Charge and refund by *steps*; return the time and the unrefunded amount of each charge."""
    used: dict[int, tuple[float, float]] = {}
    held: list[tuple[int, float, float]] = []
    now = 0.0
    for number, (pause, take, place, share) in enumerate(steps):
        now += pause
        bucket.fill(START + timedelta(seconds=now))
        if held and place is not None:
            mark, amount, at = held.pop(place % len(held))
            bucket.refund(mark, amount * share)
            used[mark] = (at, amount * (1 - share))
        if number % 5 == 4:
            bucket.change_share(0.25 + share * 0.75)
        if bucket.level >= take:
            mark = bucket.take(take)
            held.append((mark, take, now))
            used[mark] = (now, take)
    return list(used.values())


STEPS = st.tuples(
    st.sampled_from([0.0, 0.1, 3.0, 10.0]),
    st.sampled_from([50.0, 400.0, 1000.0]),
    st.none() | st.integers(0, 20),
    st.floats(0.0, 1.0),
)


@given(st.lists(STEPS, max_size=60))
def test_refunds_never_let_what_is_used_exceed_rate_and_burst(steps: list[Any]) -> None:
    assert find_excess(run(make_bucket(), steps)) <= 1e-6


@given(st.lists(STEPS, min_size=200, max_size=300))
def test_the_bound_holds_when_marks_are_merged(steps: list[Any]) -> None:
    bucket = make_bucket()
    assert find_excess(run(bucket, steps)) <= 1e-6
    assert len(bucket._marks) <= MAX_MARKS


def test_refund_to_a_bucket_that_never_filled_is_credited_in_full() -> None:
    bucket = make_bucket()
    mark = bucket.take(1000.0)
    bucket.fill(START + timedelta(seconds=2))
    assert bucket.refund(mark, 700.0) == 700.0
    assert bucket.level == pytest.approx(900.0)


def test_refund_to_a_bucket_that_filled_up_since_is_not_credited() -> None:
    bucket = make_bucket()
    mark = bucket.take(1000.0)
    bucket.fill(START + timedelta(seconds=10))
    bucket.take(1000.0)
    assert bucket.refund(mark, 1000.0) == 0.0


def test_the_check_detects_refunds_that_ignore_a_refill() -> None:
    class UnlimitedRefundBucket(Bucket):
        def refund(self, number: int, unused: float) -> float:
            self.level = min(self.burst, self.level + unused)
            return unused

    bucket = UnlimitedRefundBucket(RATE, BURST, START)
    bucket.change_share(1.0)
    bucket.add(BURST)
    steps = [(0.0, 1000.0, None, 1.0), (10.0, 1000.0, None, 1.0), (0.0, 1000.0, 0, 1.0)]
    assert find_excess(run(bucket, steps)) >= 900.0
