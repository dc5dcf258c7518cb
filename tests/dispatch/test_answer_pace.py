from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.dispatch import AnswerPace

START = datetime(2026, 1, 1, tzinfo=UTC)
NO_WAIT = timedelta(0)
WAIT = timedelta(seconds=5)


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def test_late_answers_end_with_one_in_time_to_a_later_call() -> None:
    pace = AnswerPace()
    pace.note_answer(START, WAIT, at(5.1), is_expected=True)
    assert not pace.is_late
    pace.note_answer(at(5), NO_WAIT, at(6), is_expected=True)
    # it was sent before answers were known to be late
    pace.note_answer(at(5), WAIT, at(10), is_expected=True)
    assert pace.is_late
    pace.note_answer(at(10), NO_WAIT, at(10.1), is_expected=True)
    assert not pace.is_late
    assert pace.late_ended == at(10.1)


def test_an_answer_that_may_come_at_any_time_does_not_tell_that_answers_are_in_time() -> None:
    pace = AnswerPace()
    pace.note_answer(START, NO_WAIT, at(1), is_expected=True)
    pace.note_answer(at(1), WAIT, at(3), is_expected=False)
    assert pace.is_late
    assert pace.late_ended is None


def test_an_answer_that_may_come_at_any_time_is_late_after_that_time() -> None:
    pace = AnswerPace()
    pace.note_answer(START, WAIT, at(6), is_expected=False)
    assert pace.is_late
