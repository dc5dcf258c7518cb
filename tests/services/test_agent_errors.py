"""Unexpected errors in agents end the call that they belong to, with its true outcome."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from fleet import MODEL, Fleet, MemoryRecord, RecordingSink
from plain_fleet import PlainFleet
from test_order_path import LOAD_TIME, OrderHarness, make_document, make_order

from lavenderrun.decisions._attempt_history import MAX_ATTEMPTS
from lavenderrun.services._decode_job import DecodeJob
from lavenderrun.services._plain_job import PlainJob
from lavenderrun.types import (
    BackendEnded,
    BackendRun,
    ModelRoute,
    OrderAnswer,
    OrderOutcome,
    Outcome,
    Refusal,
    Refused,
    Repeatability,
    RouteName,
    SeatFreed,
    SeatTaken,
    WorkFailed,
)

SECRET = "marker-prompt-5150"
END_TIME = 4.0
MODEL_END_TIME = 20.0
"""Seconds within which all attempts of a request fail, with the pauses between them."""


def fail_for(monkeypatch: pytest.MonkeyPatch, owner: Any, name: str, mark: str) -> list[str]:
    """Make a method raise when its arguments, or the job that it belongs to, contain *mark*."""
    original, raised = getattr(owner, name), []

    def run(*args: Any, **kwargs: Any) -> Any:
        subjects = [getattr(arg, "key", None) or getattr(arg, "reserve", None) for arg in args]
        if mark in repr((args, kwargs, subjects)):
            raised.append(name)
            raise RuntimeError(SECRET)
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, run)
    return raised


def find_part(fleet: Fleet | PlainFleet, host: str, name: str) -> Any:
    kernel = fleet.agents[host] if isinstance(fleet, Fleet) else fleet.hosts[host]
    return kernel.find(name, object)


def assert_noted(record: MemoryRecord, request: str) -> None:
    failures = record.all(WorkFailed)
    assert {failed.request for failed in failures} == {request}
    assert all(failed.error.startswith("RuntimeError at ") for failed in failures)


MODEL_FAULTS: dict[str, tuple[str, Callable[[Fleet], Any], str]] = {
    "reserve": ("d1", lambda fleet: find_part(fleet, "d1", "decode_agent")._scheduler, "reserve"),
    "promise": ("d1", lambda fleet: find_part(fleet, "d1", "decode_agent"), "_promise_slot"),
    "submit": ("p1", lambda fleet: find_part(fleet, "p1", "prefill_agent")._scheduler, "submit"),
    "prefill": ("p1", lambda fleet: fleet.engines["p1"], "prefill"),
    "exported": ("p1", lambda fleet: find_part(fleet, "p1", "prefill_agent")._scheduler, "finish"),
    "start": ("d1", lambda fleet: find_part(fleet, "d1", "decode_agent")._scheduler, "start"),
    "decode": ("d1", lambda fleet: fleet.engines["d1"], "decode"),
    "tokens": ("d1", lambda fleet: DecodeJob, "take_tokens"),
}
RUN_FAULTS = {"exported", "prefill", "start", "decode", "tokens"}
DECODE_FAULTS = {"decode", "tokens"}


# the call waited for a time-out of its entry, the agent's slot was lost, and the messages behind
# it in the batch, of other calls, were dropped
@pytest.mark.parametrize("fault", MODEL_FAULTS)
@pytest.mark.parametrize("repeatability", Repeatability, ids=lambda each: each.value)
def test_an_unexpected_error_in_an_agent_ends_that_model_request_only(
    monkeypatch: pytest.MonkeyPatch, fault: str, repeatability: Repeatability
) -> None:
    route = ModelRoute(name=RouteName("sum"), model=MODEL, repeatability=repeatability)
    fleet = Fleet(route=route)
    host, find_owner, name = MODEL_FAULTS[fault]
    failing, sink = fleet.submit("heat record 1", 4)
    others = [fleet.submit(f"heat record {n}", 4)[1] for n in range(2, 5)]
    raised = fail_for(monkeypatch, find_owner(fleet), name, repr(failing.request.request))
    fleet.run(MODEL_END_TIME)
    assert raised
    [refused] = sink.ends
    assert isinstance(refused, Refused)
    # the agent's answer ended it, no time-out of the entry
    is_final = repeatability is Repeatability.AT_MOST_ONCE and fault in DECODE_FAULTS
    assert refused.refusal is (Refusal.OUTCOME_UNKNOWN if is_final else Refusal.INTERNAL)
    assert refused.outcome is (Outcome.UNKNOWN if fault in RUN_FAULTS else Outcome.NOT_RUN)
    assert len(raised) == (1 if is_final else MAX_ATTEMPTS)
    assert all(is_whole(other) for other in others)
    assert_noted(fleet.record, failing.request.request)
    fleet.run(2)
    assert fleet.count_held() == 0
    assert len(fleet.record.all(SeatTaken)) == len(fleet.record.all(SeatFreed))
    assert find_part(fleet, "d1", "decode_agent")._scheduler.load().taken == 0
    assert find_part(fleet, host, "links").failed_messages == 0


def is_whole(sink: RecordingSink) -> bool:
    return len(sink.ends) == 1 and not isinstance(sink.ends[0], Refused)


def test_a_model_request_goes_on_after_one_unexpected_error(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = Fleet()
    with monkeypatch.context() as patched:
        run, sink = fleet.submit("heat record 1", 4)
        engine = fleet.engines["d1"]
        raised = fail_for(patched, engine, "decode", repr(run.request.request))
        while not raised:
            fleet.run(0.005)
    fleet.run(END_TIME)
    assert is_whole(sink)
    assert fleet.count_held() == 0


# the place at the agent was lost, and the call waited for its entry's time-out
@pytest.mark.parametrize(
    ("name", "outcome"),
    [("push", Outcome.NOT_RUN), ("call", Outcome.UNKNOWN), ("put_body", Outcome.UNKNOWN)],
)
@pytest.mark.parametrize("method", ["GET", "POST"])
def test_an_unexpected_error_in_an_agent_ends_that_plain_call_only(
    monkeypatch: pytest.MonkeyPatch, name: str, outcome: Outcome, method: str
) -> None:
    fleet = PlainFleet(agents=1, max_running=1, patience=timedelta(seconds=30))
    agent = find_part(fleet, "a1", "plain_agent")
    owner = {"push": agent._queue, "call": agent._plain, "put_body": PlainJob}[name]
    raised = fail_for(monkeypatch, owner, name, "'r1'")
    _, reply = fleet.submit(method, "/orders/1/confirm" if method == "POST" else "/orders/1")
    others = [fleet.submit("GET", f"/orders/{n}")[1] for n in range(2, 5)]
    fleet.run(END_TIME)
    assert raised
    assert reply.refused.outcome is outcome
    assert all(other.is_whole for other in others)
    assert fleet.core.confirmed["1"] <= 1
    if method == "POST" and outcome is Outcome.UNKNOWN:
        assert len(raised) == 1
        assert reply.refused.refusal is Refusal.INTERNAL
    assert_noted(fleet.record, "r1")
    assert fleet.count_jobs() == 0
    assert agent.load().taken == 0
    assert len(fleet.record.all(BackendRun)) == len(fleet.record.all(BackendEnded))


# a revocation that fails tells nothing: what it was asked for may have run
def test_a_call_whose_revocation_fails_is_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    fleet = PlainFleet(agents=1, patience=timedelta(seconds=1))
    fleet.faults["a1"].hang = 1
    agent = find_part(fleet, "a1", "plain_agent")
    raised = fail_for(monkeypatch, agent._history, "revoke", "'r1'")
    _, reply = fleet.submit("POST", "/orders/1/confirm")
    fleet.run(END_TIME)
    assert raised
    assert reply.refused.outcome is Outcome.UNKNOWN
    assert_noted(fleet.record, "r1")


# an at-most-once call was ended with its outcome lost, though only a message about it had failed
def test_a_call_that_runs_keeps_its_reply_when_a_message_about_it_fails(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    fleet = PlainFleet(agents=1, patience=timedelta(seconds=30))
    _, reply = fleet.submit("POST", "/orders/1/confirm", key="k")
    raised = fail_for(monkeypatch, PlainJob, "take_ack", "'r1'")
    fleet.run(1)
    _, again = fleet.submit("POST", "/orders/1/confirm", key="k")
    fleet.run(1)
    assert raised
    assert reply.is_whole
    assert again.is_whole
    assert fleet.core.confirmed["1"] == 1


# the agent took no other order until it was started anew
@pytest.mark.parametrize("comes_late", [False, True], ids=["in the message", "in a timer"])
def test_an_order_that_fails_unexpectedly_is_answered_and_frees_the_agent(
    monkeypatch: pytest.MonkeyPatch, comes_late: bool
) -> None:
    harness = OrderHarness(make_document(0), agents=1)
    agent: Any = harness.agents["d0"].find("order_agent", object)
    harness.workers["d0"].jobs = int(comes_late)
    harness.run(20)
    answers: list[OrderAnswer] = []
    entry: Any = harness.entries["e0"].find("links", object)
    entry.subscribe(OrderAnswer, lambda _, answer: answers.append(answer))
    with monkeypatch.context() as patched:
        raised = fail_for(patched, harness.engines["d0"], "execute", "Order(")
        harness.find_link("e0", "d0").send(make_order(1, 5))
        harness.run(1)
        harness.workers["d0"].jobs = 0
        harness.run(1)
        assert raised
    assert [(answer.number, answer.outcome) for answer in answers] == [(1, OrderOutcome.FAILED)]
    assert agent.count_jobs() == 0
    harness.find_link("e0", "d0").send(make_order(2, 5))
    harness.run(LOAD_TIME.total_seconds() + 1)
    assert len(harness.executed()) == 1
    assert agent.count_jobs() == 0
