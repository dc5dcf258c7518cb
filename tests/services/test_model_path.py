from __future__ import annotations

from datetime import timedelta
from typing import Any

import pytest
from eliot import add_destinations, remove_destination
from fleet import MODEL, Fleet, RecordingSink

from lavenderrun.services._model_request import ModelRun
from lavenderrun.standins import expected_tokens
from lavenderrun.types import (
    BackendRun,
    FinishReason,
    ModelRoute,
    Outcome,
    PrefillDone,
    PrefillStarted,
    PrefillUsed,
    Refusal,
    Refused,
    Repeatability,
    RouteName,
)

PROMPT = "heat record 17"


def find_long_prompt() -> str:
    return next(
        prompt
        for prompt in (f"heat record {n}" for n in range(1000))
        if len(expected_tokens(prompt, 400)) == 400
    )


LONG = find_long_prompt()


def assert_whole(sink: RecordingSink, prompt: str, max_tokens: int) -> None:
    assert sink.tokens == expected_tokens(prompt, max_tokens)
    assert len(sink.ends) == 1
    assert isinstance(sink.ends[0], FinishReason)


def test_answer_is_complete_and_frees_everything() -> None:
    fleet = Fleet()
    _, sink = fleet.submit(PROMPT)
    fleet.run(5)
    assert_whole(sink, PROMPT, 40)
    assert fleet.count_held() == 0
    assert fleet.limits.charged_tokens == pytest.approx(4 + len(sink.tokens))


def test_requests_beyond_the_decode_slots_wait_their_turn() -> None:
    fleet = Fleet()
    submitted = [fleet.submit(f"{PROMPT} {n}") for n in range(6)]
    fleet.run(12)
    for n, (_, sink) in enumerate(submitted):
        assert_whole(sink, f"{PROMPT} {n}", 40)
    assert fleet.count_held() == 0


def test_request_is_refused_as_not_run_after_its_patience() -> None:
    route = ModelRoute(name=RouteName("sum"), model=MODEL, patience=timedelta(milliseconds=500))
    fleet = Fleet(route=route)
    for _ in range(2):
        fleet.submit(LONG, 400)
    _, late = fleet.submit(PROMPT)
    fleet.run(3)
    [refused] = late.ends
    assert isinstance(refused, Refused)
    assert (refused.refusal, refused.outcome) == (Refusal.NO_ROOM, Outcome.NOT_RUN)
    begun = sum(1 for event in fleet.record.all(BackendRun))
    assert begun == 2
    long_requests = 2 * (-(-len(LONG) // 4) + 400)
    assert fleet.limits.charged_tokens <= long_requests


# the request hung, or its caller waited for its patience
@pytest.mark.parametrize("method", ["_order_prefill", "_start_decode", "_handle_frame"])
def test_a_request_whose_handling_fails_is_refused_and_frees_everything(
    monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError

    fleet = Fleet()
    with monkeypatch.context() as patched:
        patched.setattr(ModelRun, method, fail)
        _, sink = fleet.submit(PROMPT)
        fleet.run(1)
    [refused] = sink.ends
    assert isinstance(refused, Refused)
    assert refused.outcome is Outcome.UNKNOWN
    _, later = fleet.submit(PROMPT)
    fleet.run(5)
    assert_whole(later, PROMPT, 40)
    assert fleet.count_held() == 0


def test_cancelled_request_frees_its_slot_and_memory() -> None:
    for after in (0.0, 0.004, 0.01, 0.02, 0.5):
        fleet = Fleet()
        handle, sink = fleet.submit(LONG, 400)
        fleet.run(after)
        handle.cancel()
        fleet.run(1.5)
        assert sink.ends == []
        assert fleet.count_held() == 0, after


def test_resume_after_a_silent_link_neither_repeats_nor_loses_tokens() -> None:
    fleet = Fleet()
    _, sink = fleet.submit(LONG, 400)
    fleet.run(0.5)
    for pipe in fleet.network.pipes:
        pipe.silent = True
    fleet.run(12)
    assert_whole(sink, LONG, 400)
    assert fleet.count_held() == 0


def test_answer_continues_on_another_agent_when_its_agent_dies() -> None:
    fleet = Fleet(decoders=2)
    _, sink = fleet.submit(LONG, 400)
    fleet.run(0.5)
    assert 0 < len(sink.tokens) < 400
    busy = next(host for host in ("d1", "d2") if fleet.engines[host].held())
    fleet.kill_agent(busy)
    fleet.run(15)
    assert_whole(sink, LONG, 400)
    assert fleet.count_held() == 0


def test_answer_continues_after_its_agent_restarts() -> None:
    fleet = Fleet()
    _, sink = fleet.submit(LONG, 400)
    fleet.run(0.5)
    fleet.kill_agent("d1")
    fleet.run(0.3)
    fleet.start_agent("d1")
    fleet.run(15)
    assert_whole(sink, LONG, 400)


def test_answer_continues_on_another_engine_when_its_engine_crashes() -> None:
    fleet = Fleet(decoders=2)
    _, sink = fleet.submit(LONG, 400)
    fleet.run(0.5)
    busy = next(engine for engine in fleet.engines.values() if engine.held())
    busy.crash()
    fleet.run(15)
    assert_whole(sink, LONG, 400)
    assert fleet.count_held() == 0


def test_at_most_once_route_refuses_with_unknown_outcome_after_a_crash() -> None:
    route = ModelRoute(
        name=RouteName("publish"), model=MODEL, repeatability=Repeatability.AT_MOST_ONCE
    )
    fleet = Fleet(decoders=2, route=route)
    _, sink = fleet.submit(LONG, 400)
    fleet.run(0.5)
    next(engine for engine in fleet.engines.values() if engine.held()).crash()
    fleet.run(5)
    [refused] = sink.ends
    assert isinstance(refused, Refused)
    assert (refused.refusal, refused.outcome) == (Refusal.OUTCOME_UNKNOWN, Outcome.UNKNOWN)


def test_withdrawn_key_refuses_waiting_requests_and_lets_started_answers_finish() -> None:
    fleet = Fleet()
    begun = [fleet.submit(LONG, 400)[1] for _ in range(2)]
    fleet.run(0.5)
    _, queued = fleet.submit(PROMPT)
    fleet.run(0.1)
    fleet.admission.withdraw()
    [refused] = queued.ends
    assert isinstance(refused, Refused)
    assert (refused.refusal, refused.outcome) == (Refusal.UNKNOWN_KEY, Outcome.NOT_RUN)
    fleet.run(12)
    assert [sink.ends for sink in begun] == [[FinishReason.LENGTH]] * 2


def test_router_stop_waits_for_accepted_requests() -> None:
    fleet = Fleet()
    _, sink = fleet.submit(PROMPT)
    stopped: list[None] = []
    fleet.router.stop().addCallback(stopped.append)
    assert stopped == []
    fleet.run(5)
    assert_whole(sink, PROMPT, 40)
    assert stopped == [None]


def test_the_outcome_of_a_running_request_is_known_at_any_time() -> None:
    fleet = Fleet()
    handle, sink = fleet.submit(LONG, 400)
    assert handle.find_outcome() is Outcome.NOT_RUN
    fleet.run(0.5)
    assert sink.tokens
    assert handle.find_outcome() is Outcome.UNKNOWN


def test_requests_wait_while_the_host_cannot_tell_whether_keys_are_valid() -> None:
    fleet = Fleet()
    fleet.admission.refusal = Refusal.NOT_READY
    fleet.admission.withdraw()
    _, sink = fleet.submit(PROMPT)
    fleet.run(2)
    assert sink.ends == []
    fleet.admission.valid = True
    fleet.run(5)
    assert_whole(sink, PROMPT, 40)


def test_key_withdrawn_during_prefill_starts_no_decode() -> None:
    fleet = Fleet()
    _, sink = fleet.submit(PROMPT)
    while not fleet.record.all(PrefillStarted):
        fleet.run(0.001, step=0.001)
    fleet.admission.valid = False
    fleet.run(5)
    [refused] = sink.ends
    assert isinstance(refused, Refused)
    assert (refused.refusal, refused.outcome) == (Refusal.UNKNOWN_KEY, Outcome.UNKNOWN)
    assert fleet.record.all(BackendRun) == []
    assert fleet.count_held() == 0


def test_stopping_agent_refuses_waiting_requests_and_finishes_started_ones() -> None:
    fleet = Fleet(decoders=2)
    sinks = {}
    for n in range(6):
        prompt = f"{LONG} {n}"
        sinks[prompt] = fleet.submit(prompt, 120)[1]
        fleet.run(0.1)
    stopped: list[None] = []
    fleet.stop_agent("d1").addCallback(stopped.append)
    fleet.run(15)
    assert stopped == [None]
    for prompt, sink in sinks.items():
        assert_whole(sink, prompt, 120)
    assert fleet.count_held() == 0


def test_leaving_agent_gets_no_new_requests() -> None:
    fleet = Fleet(decoders=2)
    fleet.stop_agent("d1")
    left_at = len(fleet.record.events)
    fleet.run(0.1)
    for n in range(4):
        fleet.submit(f"{PROMPT} {n}")
    fleet.run(10)
    runs = [e for e in fleet.record.events[left_at:] if isinstance(e.data, BackendRun)]
    assert {event.host for event in runs} == {"d2"}


def test_waiting_request_moves_to_a_slot_that_becomes_free_elsewhere() -> None:
    fleet = Fleet(decoders=2)
    fleet.kill_agent("d2")
    fleet.run(0.1)
    for _ in range(2):
        fleet.submit(LONG, 400)
    fleet.run(0.2)
    _, waiting = fleet.submit(PROMPT)
    fleet.run(0.3)
    assert waiting.tokens == []
    fleet.start_agent("d2")
    fleet.run(3)
    assert_whole(waiting, PROMPT, 40)
    fleet.run(20)
    assert fleet.count_held() == 0


def test_engines_that_stay_down_waste_few_prefills() -> None:
    fleet = Fleet(decoders=2)
    prompts = [f"certificate {n} of a long coil" for n in range(30)]
    sinks = [fleet.submit(prompt, 60)[1] for prompt in prompts]
    fleet.run(0.3)
    fleet.engines["d1"].crash()
    fleet.engines["d2"].crash()
    fleet.run(2.9)
    wasted = len(fleet.record.all(PrefillDone)) - len(fleet.record.all(PrefillUsed))
    # each engine wastes what ran in its two decode slots, and one trial every half second
    assert wasted <= 2 * (2 + 6)
    fleet.run(20)
    for prompt, sink in zip(prompts, sinks, strict=True):
        assert_whole(sink, prompt, 60)
    assert fleet.count_held() == 0


# requests waited for a prefill agent until their patience ended, and no line told what they lacked
def test_a_request_that_finds_no_prefill_agent_says_so_in_the_log() -> None:
    fleet = Fleet()
    fleet.kill_agent("p1")
    fleet.run(5)
    lines: list[dict[str, Any]] = []
    take = lines.append
    add_destinations(take)
    try:
        fleet.submit()
        fleet.run(1)
    finally:
        remove_destination(take)
    chosen = [line for line in lines if line["message_type"] == "placement:chosen"]
    assert "placement: no prefill agent" in {line["text"] for line in chosen}
