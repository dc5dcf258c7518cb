from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest

from lavenderrun.decisions import AttemptHistory, RetryDecision, find_backoff
from lavenderrun.types import Outcome, Refusal, Refused, Repeatability, Step

START = datetime(2026, 1, 1, tzinfo=UTC)
PATIENCE = timedelta(seconds=30)
LOST = Refused(Refusal.BACKEND_LOST, Outcome.NOT_RUN, Step.SEAT)
FULL = Refused(Refusal.NO_ROOM, Outcome.NOT_RUN, Step.SEAT)


def make_history(repeatability: Repeatability = Repeatability.IDEMPOTENT) -> AttemptHistory:
    return AttemptHistory(START, PATIENCE, repeatability)


def fail(history: AttemptHistory, refused: Refused, *, started: bool = False) -> RetryDecision:
    return history.record_failure(refused, START, started=started, costly=started, delivered=False)


def test_attempts_at_a_lost_agent_are_not_counted() -> None:
    history = make_history()
    assert {fail(history, LOST) for _ in range(20)} == {RetryDecision.RETRY}
    assert history.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("started", [False, True])
def test_number_of_attempts_is_bounded(started: bool) -> None:
    history = make_history()
    decisions = [fail(history, FULL, started=started) for _ in range(4)]
    assert RetryDecision.REFUSE not in decisions[:3]
    assert decisions[3] is RetryDecision.REFUSE
    assert (history.outcome is Outcome.UNKNOWN) is started


def test_request_that_may_not_be_repeated_is_not_retried_once_started() -> None:
    history = make_history(Repeatability.AT_MOST_ONCE)
    assert fail(history, LOST) is RetryDecision.RETRY
    assert fail(history, LOST, started=True) is RetryDecision.REFUSE_UNKNOWN


def test_ordered_prefill_of_an_abandoned_attempt_may_have_run() -> None:
    history = make_history()
    history.prefill_ordered = True
    history.record_abandoned()
    assert history.outcome is Outcome.UNKNOWN


def test_patience_starts_again_when_an_answer_is_cut_off() -> None:
    history = make_history()
    later = START + timedelta(minutes=5)
    assert history.find_remaining_patience(later) < timedelta(0)
    history.record_failure(LOST, later, started=True, costly=True, delivered=True)
    assert history.find_remaining_patience(later) == PATIENCE


def test_backoff_grows_to_its_bound() -> None:
    pauses = [find_backoff(attempt, 1.0) for attempt in range(1, 40)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == timedelta(seconds=2)
