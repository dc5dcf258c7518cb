"""When a whole call without an answer is sent to a second server."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import (
    CallSilence,
    HedgeVerdict,
    ServiceSilence,
    decide_on_hedge,
    find_certainty,
)
from lavenderrun.types import BackendId

START = datetime(2026, 1, 1, tzinfo=UTC)
A, B, C = BackendId("a"), BackendId("b"), BackendId("c")
MEMBERS = st.sampled_from([A, B, C])
NONE, QUIET = timedelta(0), timedelta(milliseconds=150)
WAITED, CERTAINTY = timedelta(milliseconds=300), timedelta(seconds=1.7)


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def decide(silence: CallSilence, seconds: float, server: BackendId = A) -> HedgeVerdict:
    return decide_on_hedge(silence.gather(QUIET, at(seconds)), server, WAITED, CERTAINTY)


# calls were hedged though all servers were silent, and used up the budget of resends
def test_no_call_goes_to_a_second_server_while_several_are_silent_and_none_is_heard() -> None:
    silence = CallSilence()
    silence.begin_call(A, NONE, at(0))
    assert decide(silence, 0.3) is HedgeVerdict.HEDGE
    silence.begin_call(B, NONE, at(0.1))
    assert decide(silence, 0.3) is HedgeVerdict.SHARED
    silence.begin_call(C, NONE, at(0.2))
    silence.note_sign(C, at(0.25))
    assert decide(silence, 0.3) is HedgeVerdict.HEDGE


def test_a_server_that_goes_on_after_a_silence_does_not_tell_that_the_others_are_lost() -> None:
    silence = CallSilence()
    for member in (A, B, C):
        silence.begin_call(member, NONE, at(0))
    silence.note_sign(C, at(1))
    silence.note_sign(C, at(1.01))
    assert decide(silence, 1.1) is HedgeVerdict.SHARED
    silence.note_sign(C, at(1.14))
    assert decide(silence, 1.16) is HedgeVerdict.HEDGE


def test_an_answer_that_takes_no_longer_than_usual_is_no_silence() -> None:
    silence = CallSilence()
    silence.begin_call(A, NONE, at(0))
    silence.begin_call(B, timedelta(seconds=0.2), at(0))
    assert decide(silence, 0.3) is HedgeVerdict.HEDGE
    assert decide(silence, 0.4) is HedgeVerdict.SHARED


def test_the_time_in_which_this_process_did_not_run_is_no_silence() -> None:
    silence = CallSilence()
    for member in (A, B):
        silence.begin_call(member, NONE, at(0))
    silence.note_stall(at(2))
    assert silence.gather(QUIET, at(2.1)) == ServiceSilence()
    assert decide(silence, 2.2) is HedgeVerdict.SHARED


# the server was forgotten with the call that left it, and the next silent call was sent there
def test_a_silent_server_that_its_last_call_has_left_counts_as_silent_for_as_long() -> None:
    silence = CallSilence()
    for member in (A, B):
        silence.begin_call(member, NONE, at(0))
    assert decide(silence, 0.3) is HedgeVerdict.SHARED
    silence.end_call(A)
    assert silence.gather(QUIET, at(0.5)).silent == {A, B}
    assert silence.gather(QUIET, at(0.6)).silent == {B}
    silence.begin_call(A, NONE, at(0.7))
    assert silence.gather(QUIET, at(0.9)).silent == {A, B}
    silence.note_sign(A, at(0.95))
    silence.end_call(A)
    assert silence.gather(QUIET, at(1)).silent == {B}


# a sound server without calls was not asked before the silence was certain
def test_one_call_at_a_time_asks_a_server_without_calls() -> None:
    silence = CallSilence()
    for member in (A, B):
        silence.begin_call(member, NONE, at(0))

    def decide_with_idle(seconds: float) -> HedgeVerdict:
        known = silence.gather(QUIET, at(seconds))
        return decide_on_hedge(known, B, WAITED, CERTAINTY, has_idle=True)

    assert decide_with_idle(0.3) is HedgeVerdict.PROBE
    assert silence.list_known() == {A, B}
    silence.begin_call(C, NONE, at(0.3), is_probe=True)
    assert silence.list_known() == {A, B, C}
    assert decide_with_idle(0.4) is HedgeVerdict.SHARED
    # silent, too: the next one without calls may be asked
    assert decide_with_idle(0.5) is HedgeVerdict.PROBE


def test_calls_go_to_a_server_that_has_answered_the_one_call_that_asked_it() -> None:
    silence = CallSilence()
    for member in (A, B):
        silence.begin_call(member, NONE, at(0))
    silence.begin_call(C, NONE, at(0.3), is_probe=True)
    silence.note_sign(C, at(0.4))
    assert decide(silence, 0.45) is HedgeVerdict.HEDGE


# with a deadline of 1000 ms the silence was never certain
def test_a_silence_is_certain_before_the_deadline_of_its_call() -> None:
    second = timedelta(seconds=1)
    assert find_certainty(2 * second, 4 * second) == 1.7 * second
    assert find_certainty(2 * second, second) == 0.85 * second


# without it, calls at servers that died at once would wait until their deadline
def test_one_call_tries_another_server_once_the_silence_is_certain() -> None:
    silence = CallSilence()
    for member in (A, B):
        silence.begin_call(member, NONE, at(0))
    known = silence.gather(QUIET, at(2))
    assert decide_on_hedge(known, A, CERTAINTY, CERTAINTY) is HedgeVerdict.TRIAL
    silence.begin_trial()
    known = silence.gather(QUIET, at(2))
    assert decide_on_hedge(known, B, CERTAINTY, CERTAINTY) is HedgeVerdict.SHARED
    silence.end_trial()
    known = silence.gather(QUIET, at(2))
    assert decide_on_hedge(known, B, CERTAINTY, CERTAINTY) is HedgeVerdict.TRIAL


def test_a_server_that_restarts_is_not_heard_before_it_answers() -> None:
    silence = CallSilence()
    for member in (A, B, C):
        silence.begin_call(member, NONE, at(0))
    silence.note_sign(C, at(0.25))
    silence.forget(C)
    silence.end_call(C)
    assert decide(silence, 0.3) is HedgeVerdict.SHARED


@given(st.lists(st.tuples(st.sampled_from(["begin", "sign", "end"]), MEMBERS, st.floats(0, 1))))
def test_a_server_is_silent_or_speaks_by_its_last_sign(
    steps: list[tuple[str, BackendId, float]],
) -> None:
    silence, running, now = CallSilence(), dict.fromkeys((A, B, C), 0), 0.0
    last: dict[BackendId, float] = {}
    heard: dict[BackendId, float] = {}
    for kind, member, pause in steps:
        now += pause
        if kind == "begin":
            last[member] = last[member] if running[member] else now
            running[member] += 1
            silence.begin_call(member, NONE, at(now))
        elif running[member] and kind == "sign":
            last[member] = heard[member] = now
            silence.note_sign(member, at(now))
        elif running[member]:
            running[member] -= 1
            silence.end_call(member)
    known = silence.gather(QUIET, at(now))
    assert known.silent == {m for m in last if running[m] and at(now) - at(last[m]) >= QUIET}
    assert known.speaking <= {m for m in heard if at(now) - at(heard[m]) < QUIET}
