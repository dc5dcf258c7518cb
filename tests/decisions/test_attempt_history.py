from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest

from lavenderrun.decisions import AttemptHistory, RetryDecision, find_backoff
from lavenderrun.types import Outcome, Refusal, Refused, Repeatability, Step

START = datetime(2026, 1, 1, tzinfo=UTC)
PATIENCE = timedelta(seconds=30)
LOST = Refused(Refusal.BACKEND_LOST, Outcome.NOT_RUN, Step.SEAT)
FULL = Refused(Refusal.NO_ROOM, Outcome.NOT_RUN, Step.SEAT)


def make(repeatability: Repeatability = Repeatability.IDEMPOTENT) -> AttemptHistory:
    return AttemptHistory(START, PATIENCE, repeatability)


def fail(tries: AttemptHistory, refused: Refused, *, started: bool = False) -> RetryDecision:
    return tries.record_failure(refused, START, started=started, costly=started, delivered=False)


def test_attempts_that_met_a_lost_agent_cost_patience_only() -> None:
    tries = make()
    assert {fail(tries, LOST) for _ in range(20)} == {RetryDecision.RETRY}
    assert tries.outcome is Outcome.NOT_RUN


@pytest.mark.parametrize("started", [False, True])
def test_tries_are_bounded(started: bool) -> None:
    tries = make()
    steps = [fail(tries, FULL, started=started) for _ in range(4)]
    assert RetryDecision.REFUSE not in steps[:3]
    assert steps[3] is RetryDecision.REFUSE
    assert (tries.outcome is Outcome.UNKNOWN) is started


def test_a_request_that_may_not_be_repeated_is_not_tried_again_once_started() -> None:
    tries = make(Repeatability.AT_MOST_ONCE)
    assert fail(tries, LOST) is RetryDecision.RETRY
    assert fail(tries, LOST, started=True) is RetryDecision.REFUSE_UNKNOWN


def test_an_ordered_prefill_may_have_run_unless_its_agent_says_not() -> None:
    tries = make()
    tries.prefill_ordered = True
    tries.record_abandoned()
    assert tries.outcome is Outcome.UNKNOWN


def test_an_answer_that_was_cut_off_waits_anew() -> None:
    tries = make()
    later = START + timedelta(minutes=5)
    assert tries.find_remaining_patience(later) < timedelta(0)
    tries.record_failure(LOST, later, started=True, costly=True, delivered=True)
    assert tries.find_remaining_patience(later) == PATIENCE


def test_backoff_grows_to_its_bound() -> None:
    pauses = [find_backoff(attempt, 1.0) for attempt in range(1, 40)]
    assert pauses == sorted(pauses)
    assert pauses[-1] == timedelta(seconds=2)
