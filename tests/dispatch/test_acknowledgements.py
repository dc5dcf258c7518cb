"""Whether a host is lost, by what it acknowledges."""

from __future__ import annotations

from collections.abc import Iterator
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import AcknowledgementTracker, SendState

START = datetime(2026, 12, 7, tzinfo=UTC)
TICK = timedelta(milliseconds=500)
FOUND_IN_TIME = timedelta(seconds=3) + 2 * TICK
RESENDS = (0.2, 0.6, 1.4, 3.0, 6.2, 12.6, 25.4)
LONG = timedelta(minutes=5)


def find_loss(states: Iterator[SendState]) -> timedelta | None:
    """Return when a tracker that is asked each tick finds the host lost."""
    tracker = AcknowledgementTracker()
    for number, state in enumerate(states):
        if tracker.is_lost(state, START + TICK * number):
            return TICK * number
    return None


def watch(
    sends: list[timedelta], answers: list[timedelta], until: timedelta
) -> Iterator[SendState]:
    """Yield the states of a connection over which data is sent and answered at those times."""
    for number in range(until // TICK):
        at = TICK * number
        sent = max((time for time in sends if time <= at), default=-LONG)
        answered = max((time for time in answers if time <= at), default=-LONG)
        yield SendState(int(sent > -LONG), 0, at - sent, at - answered)


# a host was taken for lost when it answered each of ever rarer sends: its process read nothing
@given(st.lists(st.floats(0.2, 20), min_size=1, max_size=12), st.integers(0, 200))
def test_a_host_that_answers_each_send_is_never_lost(pauses: list[float], delay_ms: int) -> None:
    sends, at = [], timedelta(0)
    for pause in pauses:
        at += timedelta(seconds=pause)
        sends.append(at)
    answers = [time + timedelta(milliseconds=delay_ms) for time in sends]
    assert find_loss(watch(sends, answers, at + timedelta(seconds=30))) is None


@given(st.floats(0, 60), st.floats(0, 1))
def test_a_host_that_answers_no_send_is_lost_in_time(idle: float, offset: float) -> None:
    first = timedelta(seconds=idle + offset)
    sends = [first, *(first + timedelta(seconds=wait) for wait in RESENDS)]
    lost = find_loss(watch(sends, [timedelta(0)], first + timedelta(seconds=30)))
    assert lost is not None
    assert timedelta(seconds=3) <= lost - first <= FOUND_IN_TIME


# guards against a segment lost after a long pause, or one just sent, ending a connection
def test_a_single_send_without_an_answer_is_not_enough() -> None:
    sends = [timedelta(seconds=wait) for wait in (1, 7, 20)]
    answers = [timedelta(seconds=wait) for wait in (1.1, 20.1)]
    assert find_loss(watch(sends, answers, timedelta(seconds=40))) is None


@pytest.mark.parametrize(
    ("probes", "silent_seconds", "lost"),
    [(0, 60, False), (1, 60, False), (2, 1, False), (2, 3, True), (5, 60, True)],
)
def test_a_closed_window_is_kept_while_probes_are_answered(
    probes: int, silent_seconds: int, lost: bool
) -> None:
    state = SendState(0, probes, LONG, timedelta(seconds=silent_seconds))
    assert (find_loss(iter([state] * 10)) is not None) == lost
