"""When a silent stream is moved to another engine."""

from __future__ import annotations

from dataclasses import replace
from datetime import UTC, datetime, timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import (
    MIN_SUSPICION,
    EngineEvidence,
    HealthTracker,
    SilenceEvidence,
    SilenceLimits,
    SilenceTracker,
    SilenceVerdict,
    decide_on_silence,
    find_patience,
    find_retry_pause,
    find_silence_limits,
    keeps_silent_engine,
)
from lavenderrun.dispatch._health import FIRST_PAUSE
from lavenderrun.types import BackendId

START = datetime(2026, 1, 1, tzinfo=UTC)
A, B, C = BackendId("a"), BackendId("b"), BackendId("c")
PATIENCE = timedelta(seconds=3.6)
LIMITS = find_silence_limits(PATIENCE, timedelta(seconds=14))
MOMENT = timedelta(milliseconds=1)


def seconds(most: float) -> st.SearchStrategy[timedelta]:
    return st.floats(0, most).map(lambda value: timedelta(seconds=value))


def at(offset: float) -> datetime:
    return START + timedelta(seconds=offset)


ENGINES = st.builds(
    EngineEvidence,
    seconds(20),
    st.integers(0, 6),
    st.integers(0, 6),
    st.integers(0, 9),
    st.integers(0, 9),
)
EVIDENCE = st.builds(
    SilenceEvidence,
    seconds(20),
    st.builds(find_silence_limits, seconds(10), seconds(20)),
    seconds(20),
    ENGINES,
    st.booleans(),
    st.booleans(),
    st.booleans(),
)
SILENT = SilenceEvidence(
    LIMITS.suspicion, LIMITS, timedelta(seconds=9), EngineEvidence(LIMITS.suspicion)
)


def decide(evidence: SilenceEvidence) -> SilenceVerdict:
    return decide_on_silence(evidence).verdict


# a sound engine's silence of a second moved its streams
@given(EVIDENCE)
def test_no_stream_moves_after_a_silence_of_a_second(evidence: SilenceEvidence) -> None:
    if evidence.silent < MIN_SUSPICION:
        assert decide(evidence) is SilenceVerdict.NOT_LONG


@given(EVIDENCE)
def test_a_stream_moves_only_with_an_attempt_a_resend_and_time(evidence: SilenceEvidence) -> None:
    if decide(evidence) is SilenceVerdict.MOVE:
        assert evidence.has_attempts
        assert evidence.has_resend
        assert evidence.left > timedelta(milliseconds=300)


@given(EVIDENCE)
def test_a_silence_is_weighed_again_later_without_a_busy_loop(evidence: SilenceEvidence) -> None:
    assert decide_on_silence(evidence).review_after > timedelta(0)


@given(EVIDENCE)
def test_a_longer_silence_never_keeps_a_stream_that_a_shorter_one_moves(
    evidence: SilenceEvidence,
) -> None:
    if decide(evidence) is SilenceVerdict.MOVE and not evidence.engine.moving:
        longer = replace(evidence, silent=evidence.silent + timedelta(seconds=1))
        assert decide(longer) is SilenceVerdict.MOVE


# all streams of a silent engine moved at once
@given(EVIDENCE)
def test_as_many_streams_move_at_once_as_have_moved_and_one(evidence: SilenceEvidence) -> None:
    if decide(evidence) is SilenceVerdict.MOVE:
        assert evidence.engine.moving <= evidence.engine.moved


@given(seconds(10), seconds(20))
def test_limits_are_in_order_and_leave_time_before_the_caller_gives_up(
    patience: timedelta, call_ends: timedelta
) -> None:
    limits = find_silence_limits(patience, call_ends)
    assert timedelta(0) < limits.quiet < limits.suspicion <= limits.certainty
    if limits.certainty > MIN_SUSPICION:
        assert limits.certainty < min(patience, call_ends)


# a prefill engine that read a long prompt was given up, as one that is silent
@given(seconds(10), seconds(20), seconds(20))
def test_twice_the_time_expected_is_no_silence(
    patience: timedelta, call_ends: timedelta, expected: timedelta
) -> None:
    limits = find_silence_limits(patience, call_ends, expected)
    assert limits.suspicion >= expected * 2
    assert expected <= limits.quiet < limits.suspicion <= limits.certainty
    usual = find_silence_limits(patience, call_ends)
    assert limits.suspicion == max(usual.suspicion, expected * 2)


def test_callers_give_up_after_the_longest_of_the_three_times() -> None:
    assert find_patience(timedelta(seconds=0.1), None) == timedelta(seconds=2)
    assert find_patience(timedelta(seconds=0.9), timedelta(seconds=0.3)) == PATIENCE
    assert find_patience(timedelta(seconds=0.1), timedelta(seconds=1)) == timedelta(seconds=8)


def test_one_stream_of_a_silent_engine_moves_first() -> None:
    assert decide(SILENT) is SilenceVerdict.MOVE
    for engine in (replace(SILENT.engine, moving=1), replace(SILENT.engine, moved=1)):
        assert decide(replace(SILENT, engine=engine)) is SilenceVerdict.OTHERS_FIRST


def test_a_stream_that_waits_at_a_speaking_engine_moves_last() -> None:
    waiting = replace(SILENT, engine=EngineEvidence(timedelta(milliseconds=20)))
    assert decide(waiting) is SilenceVerdict.ENGINE_SPEAKS
    last = replace(waiting, silent=LIMITS.certainty - MOMENT)
    assert decide(last) is SilenceVerdict.ENGINE_SPEAKS
    assert decide(replace(waiting, silent=LIMITS.certainty)) is SilenceVerdict.MOVE


# streams moved between engines that were all silent
def test_a_silence_of_most_engines_is_none_of_this_engine() -> None:
    engine = EngineEvidence(LIMITS.suspicion, silent_others=2, speaking_others=1)
    shared = replace(SILENT, engine=engine)
    assert decide(shared) is SilenceVerdict.SHARED
    speaking = EngineEvidence(LIMITS.suspicion, silent_others=1, speaking_others=1)
    assert decide(replace(SILENT, engine=speaking)) is SilenceVerdict.MOVE
    assert decide(replace(SILENT, engine=speaking, was_shared=True)) is SilenceVerdict.SHARED


def test_the_silent_engine_stays_if_it_spoke_or_the_other_one_is_silent_too() -> None:
    long, brief, none = LIMITS.suspicion, timedelta(milliseconds=50), timedelta(0)
    assert not keeps_silent_engine(long, long + brief, none, LIMITS)
    assert keeps_silent_engine(long, brief, none, LIMITS)
    assert keeps_silent_engine(long, long + brief, long, LIMITS)
    # it serves other streams all the time, and only this one waits
    assert not keeps_silent_engine(none, none, none, LIMITS)


class Engines:
    def __init__(self) -> None:
        self.tracker = SilenceTracker()
        for member in (A, B, C):
            self.tracker.begin_stream(member, START)

    def gather(self, member: BackendId, now: datetime) -> EngineEvidence:
        return self.tracker.gather_evidence(member, timedelta(seconds=0.9), now)


def test_engines_are_told_apart_by_when_they_last_sent_something() -> None:
    engines = Engines()
    engines.tracker.note_sign(B, at(1))
    found = engines.gather(A, at(1.2))
    assert (found.silent, found.silent_others, found.speaking_others) == (
        timedelta(seconds=1.2),
        2,
        0,
    )
    # B had been silent until a moment before, so what held it up may hold up A
    engines.tracker.note_sign(B, at(1.5))
    assert engines.gather(A, at(1.8)).silent_others == 2
    assert engines.gather(A, at(2)).silent_others == 1
    assert engines.tracker.list_silent(timedelta(seconds=0.9), at(1.5)) == {A, C}


# after a suspension of the host all engines looked silent
def test_a_suspension_of_this_process_is_no_silence() -> None:
    engines = Engines()
    engines.tracker.note_stall(at(5))
    assert engines.gather(A, at(5.1)).silent == timedelta(seconds=0.1)
    assert not engines.tracker.list_silent(timedelta(seconds=0.9), at(5.1))


@given(st.lists(st.tuples(st.sampled_from([A, B]), st.integers(0, 3)), max_size=40))
def test_streams_and_moves_are_counted_exactly(steps: list[tuple[BackendId, int]]) -> None:
    tracker = SilenceTracker()
    streams, moving = dict.fromkeys((A, B), 0), dict.fromkeys((A, B), 0)
    now = START
    for member, step in steps:
        now += timedelta(seconds=0.3)
        if step == 0:
            tracker.begin_stream(member, now)
            streams[member] += 1
        elif step == 1 and streams[member] > moving[member]:
            tracker.end_stream(member)
            streams[member] -= 1
        elif step == 2 and streams[member] > moving[member]:
            tracker.begin_move(member)
            moving[member] += 1
        elif step == 3 and moving[member]:
            tracker.end_move(member, is_moved=True)
            moving[member] -= 1
    for member in (A, B):
        if streams[member]:
            found = tracker.gather_evidence(member, timedelta(seconds=1), now)
            assert found.moving == moving[member]
        else:
            assert tracker.measure_engine_silence(member, now) == timedelta(0)


# each stream that left a silent engine doubled the pause of that engine
def test_streams_that_leave_a_silent_engine_pause_it_once() -> None:
    health = HealthTracker()
    for _ in range(5):
        health.record_silence(A, START)
    assert health.is_paused(A, START + FIRST_PAUSE - MOMENT)
    assert not health.is_paused(A, START + FIRST_PAUSE)


def test_an_engine_that_was_silent_takes_calls_as_soon_as_it_sends_something() -> None:
    health = HealthTracker()
    health.record_silence(A, START)
    health.note_sign(A)
    assert not health.is_paused(A, START)
    health.pause_after_failure(A, START)
    health.note_sign(A)
    assert health.is_paused(A, START)


# a stream without another engine was tried ten times a second until its deadline
def test_failed_moves_are_repeated_after_growing_pauses() -> None:
    pauses = [find_retry_pause(failed) for failed in range(30)]
    assert pauses == sorted(pauses)
    assert pauses[0] == timedelta(milliseconds=100)
    assert pauses[-1] == timedelta(seconds=1)


def test_limits_of_a_call_that_ends_soon_are_shorter() -> None:
    soon = find_silence_limits(PATIENCE, timedelta(seconds=2))
    assert soon.certainty == timedelta(seconds=1.7)
    expected = SilenceLimits(*(timedelta(seconds=value) for value in (0.9, 1.8, 3.06)))
    assert expected == LIMITS


SHORT_PATIENCE = find_patience(timedelta(seconds=0.5), timedelta(seconds=0.2))


def decide_on_prefill(expected: float, silent: float, engine: EngineEvidence) -> SilenceVerdict:
    limits = find_silence_limits(SHORT_PATIENCE, timedelta(seconds=20), timedelta(seconds=expected))
    evidence = SilenceEvidence(timedelta(seconds=silent), limits, timedelta(seconds=10), engine)
    return decide_on_silence(evidence).verdict


# all prompts of an engine left it in a pause of a second if they took over 0.7 s to compute
@pytest.mark.parametrize("expected", [0.1, 0.5, 0.6, 0.75, 0.95, 3.0])
def test_a_pause_of_a_second_moves_one_prefill_at_most(expected: float) -> None:
    silent = expected + 0.99
    engine = EngineEvidence(timedelta(seconds=silent), moved=1)
    assert decide_on_prefill(expected, silent, engine) is not SilenceVerdict.MOVE


@pytest.mark.parametrize("expected", [0.1, 0.5, 0.9, 3.0])
def test_a_prefill_is_kept_at_first_for_what_is_known_of_the_engines(expected: float) -> None:
    silent = max(MIN_SUSPICION.total_seconds(), 2 * expected) + 0.01
    speaks = EngineEvidence(timedelta(seconds=0.01))
    assert decide_on_prefill(expected, silent, speaks) is SilenceVerdict.ENGINE_SPEAKS
    shared = EngineEvidence(timedelta(seconds=silent), silent_others=3)
    assert decide_on_prefill(expected, silent, shared) is SilenceVerdict.SHARED
