from __future__ import annotations

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import GracePeriod

LENGTHS = st.timedeltas(timedelta(0), timedelta(minutes=5))
TIMES = st.timedeltas(timedelta(0), timedelta(minutes=10))


@pytest.mark.parametrize(
    ("length", "answers_at", "exits_at"),
    [(8.0, 7.0, 7.5), (4.0, 3.5, 3.65), (1.0, 0.7, 0.7), (60.0, 59.0, 59.5), (0.1, 0.0, 0.0)],
)
def test_answers_are_given_shortly_before_the_end(
    length: float, answers_at: float, exits_at: float
) -> None:
    grace = GracePeriod(timedelta(seconds=length))
    assert grace.answers_at.total_seconds() == pytest.approx(answers_at)
    assert grace.exits_at.total_seconds() == pytest.approx(exits_at, abs=0.001)


@given(LENGTHS)
def test_answers_come_before_the_exit_and_the_exit_before_the_end(length: timedelta) -> None:
    grace = GracePeriod(length)
    assert timedelta(0) <= grace.answers_at <= grace.exits_at <= length


# calls that were admitted early lost their servers' work before the last sixth of the grace period
@given(st.timedeltas(timedelta(seconds=2), timedelta(minutes=5)))
def test_calls_run_until_the_last_sixth_of_the_grace_period(length: timedelta) -> None:
    assert GracePeriod(length).answers_at >= length * 5 / 6


@given(LENGTHS, TIMES, TIMES, TIMES, TIMES)
def test_a_call_that_can_end_could_also_have_ended_earlier_and_a_shorter_one_too(
    length: timedelta, elapsed: timedelta, duration: timedelta, left: timedelta, less: timedelta
) -> None:
    grace = GracePeriod(length)
    if grace.can_end(elapsed, duration, left):
        assert grace.can_end(max(timedelta(0), elapsed - less), duration, left)
        assert grace.can_end(elapsed, max(timedelta(0), duration - less), left)
        assert grace.can_end(elapsed, duration, max(timedelta(0), left - less))


@given(LENGTHS, TIMES, TIMES, TIMES)
def test_a_call_that_is_admitted_is_answered_before_the_end_by_its_duration_or_its_deadline(
    length: timedelta, elapsed: timedelta, duration: timedelta, left: timedelta
) -> None:
    grace = GracePeriod(length)
    if grace.may_admit(elapsed, duration, left):
        assert elapsed <= timedelta(seconds=3)
        assert elapsed + min(duration, left) <= length
