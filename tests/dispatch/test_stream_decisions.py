"""What follows the end of an attempt at a stream."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import (
    RESENDS,
    AttemptOutcome,
    CacheState,
    StreamDecision,
    StreamSituation,
    decide_after_stream_attempt,
)
from lavenderrun.types import AnswerKind, CallFailure

OUTCOMES = st.builds(
    AttemptOutcome,
    st.booleans(),
    st.sampled_from([None, *AnswerKind]),
    st.sampled_from([None, *CallFailure]),
    st.booleans(),
)
SITUATIONS = st.builds(
    StreamSituation,
    OUTCOMES,
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.booleans(),
    st.sampled_from(CacheState),
    st.booleans(),
)
REFUSALS = {StreamDecision.REFUSE_NOT_RUN, StreamDecision.REFUSE_LOST}


@given(SITUATIONS)
def test_nothing_is_sent_again_without_a_resend(situation: StreamSituation) -> None:
    decision = decide_after_stream_attempt(replace(situation, has_resend=False))
    assert decision not in RESENDS


# an answer that had begun was followed by a refusal's head
@given(SITUATIONS)
def test_a_begun_answer_is_never_refused(situation: StreamSituation) -> None:
    if situation.is_begun and situation.cache is CacheState.NONE:
        decision = decide_after_stream_attempt(situation)
        assert decision not in REFUSALS | {StreamDecision.PASS_FAILURE_ON}


@given(SITUATIONS)
def test_what_may_have_run_runs_again_only_if_the_stream_may_be_resumed(
    situation: StreamSituation,
) -> None:
    decision = decide_after_stream_attempt(situation)
    if situation.outcome.may_have_run and decision in RESENDS:
        assert situation.is_idempotent
        assert situation.has_attempts


@given(SITUATIONS)
def test_what_may_have_run_is_not_refused_as_not_run(situation: StreamSituation) -> None:
    if situation.outcome.may_have_run:
        decision = decide_after_stream_attempt(situation)
        assert decision is not StreamDecision.REFUSE_NOT_RUN


# a stream that may run once and had run was answered as not run
@given(SITUATIONS)
def test_a_failure_that_denies_the_run_is_passed_on_only_if_the_stream_may_be_resumed(
    situation: StreamSituation,
) -> None:
    outcome = situation.outcome
    if outcome.denies_run and outcome.may_have_run and not situation.is_idempotent:
        decision = decide_after_stream_attempt(situation)
        assert decision is not StreamDecision.PASS_FAILURE_ON


# a stream was refused at once, because there was no other engine to take its cache
@given(SITUATIONS)
def test_held_cache_is_offered_again_to_an_engine_that_rejects_it_and_is_the_only_one(
    situation: StreamSituation,
) -> None:
    rejected = AttemptOutcome(sent=True, kind=AnswerKind.NOT_RUN)
    held = replace(
        situation, outcome=rejected, cache=CacheState.OFFERED, has_pause_left=True, has_resend=True
    )
    only = replace(held, has_other_engine=False)
    assert decide_after_stream_attempt(only) is StreamDecision.OFFER_CACHE_LATER
    doubtful = replace(only, cache=CacheState.DOUBTFUL)
    assert decide_after_stream_attempt(doubtful) is StreamDecision.COMPUTE_PROMPT
    others = replace(held, has_other_engine=True, has_attempts=True)
    assert decide_after_stream_attempt(others) is StreamDecision.SEND_TO_ANOTHER


# a cache was offered up to four times in its lifetime, each time for an arrival and a resend
@given(SITUATIONS)
def test_a_rejected_cache_is_offered_again_once_and_never_to_an_engine_that_held_capacity(
    situation: StreamSituation,
) -> None:
    rejected = AttemptOutcome(sent=True, kind=AnswerKind.NOT_RUN)
    held = replace(situation, outcome=rejected, cache=CacheState.OFFERED, has_resend=True)
    with_hold = replace(held, has_hold=True)
    assert decide_after_stream_attempt(with_hold) is StreamDecision.COMPUTE_PROMPT
    again = replace(held, is_offered_again=True)
    assert decide_after_stream_attempt(again) is not StreamDecision.OFFER_CACHE_LATER


# an answer that broke off reached the caller as complete
@given(SITUATIONS)
def test_only_a_whole_answer_is_complete(situation: StreamSituation) -> None:
    is_complete = decide_after_stream_attempt(situation) is StreamDecision.COMPLETE
    is_whole = situation.outcome.failure is None and situation.ends_between_events
    assert is_complete == (is_whole and situation.outcome.kind is AnswerKind.SERVED)
