from __future__ import annotations

from typing import Any

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.kernel import ReactorClock
from lavenderrun.standins import (
    POISON_DECODE,
    POISON_PREFILL,
    EngineModel,
    EngineSpeed,
    Fabric,
    expected_tokens,
)
from lavenderrun.types import (
    BackendCrashError,
    DataCentre,
    Export,
    FinishReason,
    ModelName,
    RequestId,
    StepError,
)

MODEL = ModelName("m")
HERE, THERE = DataCentre("talca"), DataCentre("chillan")


class EnginePair:
    def __init__(self, **speed: Any) -> None:
        self.reactor = FakeReactor()
        clock = ReactorClock.starting_now(self.reactor)
        self.fabric = Fabric(clock)
        limits = EngineSpeed(**speed)
        self.first = EngineModel(clock, self.fabric, "p", HERE, speed=limits)
        self.second = EngineModel(clock, self.fabric, "d", THERE, speed=limits)
        self.tokens: list[str] = []
        self.finish: FinishReason | None = None
        self.failures: list[BaseException] = []

    def run(self, seconds: float, step: float = 0.01) -> None:
        self.reactor.pump([step] * round(seconds / step))

    def export(self, text: str, seconds: float = 0.1) -> Export:
        out: list[Export] = []
        done = self.first.prefill(RequestId("r"), MODEL, text)
        done.addCallbacks(out.append, self.note)
        self.run(seconds)
        return out[0]

    def decode(self, export: Export, max_tokens: int = 500) -> Any:
        running = self.second.decode(
            RequestId("r"),
            MODEL,
            export.handle,
            export.source,
            max_tokens=max_tokens,
            sink=self.put,
        )
        running.done.addErrback(self.note)
        return running

    def put(self, offset: int, tokens: list[str], finish: FinishReason | None) -> None:
        assert offset == len(self.tokens)
        self.tokens += tokens
        self.finish = finish

    def note(self, failure: Any) -> None:
        self.failures.append(failure.value)

    def held(self) -> int:
        return self.first.held() + self.second.held()


def test_answer_is_complete_and_memory_is_freed() -> None:
    pair = EnginePair()
    export = pair.export("some prompt")
    assert pair.first.held() == 1
    pair.decode(export)
    pair.run(20)
    assert pair.tokens == expected_tokens("some prompt", 500)
    assert pair.finish is not None
    assert pair.held() == 0


@pytest.mark.parametrize("cut", [1, 7, 20])
def test_another_engine_generates_the_same_remaining_tokens(cut: int) -> None:
    prompt = next(p for n in range(99) if len(expected_tokens(p := f"prompt {n}", 500)) > 30)
    whole = expected_tokens(prompt, 500)
    assert expected_tokens(prompt + "".join(whole[:cut]), 500 - cut) == whole[cut:]


def test_export_ends_before_it_is_pulled() -> None:
    pair = EnginePair()
    export = pair.export("late", seconds=1.0)
    pair.decode(export)
    pair.run(0.1)
    assert isinstance(pair.failures[0], StepError)
    assert pair.held() == 0


def test_stalled_link_fails_the_transfer_when_the_export_ends() -> None:
    pair = EnginePair()
    export = pair.export("stall")
    pair.fabric.stall(HERE, THERE, stalled=True)
    pair.decode(export)
    pair.run(1.5)
    assert [type(error) for error in pair.failures] == [StepError]
    assert pair.held() == 0


def test_cancel_frees_prefill_and_decode_at_once() -> None:
    pair = EnginePair()
    done = pair.first.prefill(RequestId("r"), MODEL, "x" * 40_000)
    done.addErrback(pair.note)
    done.cancel()
    assert pair.held() == 0
    running = pair.decode(pair.export("gone"))
    pair.run(0.1)
    assert pair.second.held() == 1
    running.cancel()
    assert pair.held() == 0


def test_cached_prefix_is_reported_and_saves_time() -> None:
    pair = EnginePair()
    text = "y" * 20_000
    assert pair.export(text, 0.3).cached == 0
    assert pair.export(text, 0.02).cached == 5000


def test_decode_without_a_free_slot_is_refused() -> None:
    pair = EnginePair(slots=1)
    pair.decode(pair.export("one"))
    pair.decode(pair.export("two"))
    assert "no seat" in str(pair.failures[0])


@pytest.mark.parametrize("poison", [POISON_PREFILL, POISON_DECODE])
def test_poison_crashes_the_engine_and_it_restarts(poison: str) -> None:
    pair = EnginePair()
    done: Deferred[Export] = pair.first.prefill(RequestId("r"), MODEL, "x" + poison)
    done.addCallbacks(lambda export: pair.decode(export), pair.note)
    pair.run(1)
    assert [type(error) for error in pair.failures] == [BackendCrashError]
    assert pair.first.crashes + pair.second.crashes == 1
    assert pair.held() == 0
    pair.run(4)
    pair.decode(pair.export("after"))
    pair.run(20)
    assert pair.tokens == expected_tokens("after", 500)


def test_frozen_engine_delivers_nothing_until_thawed() -> None:
    pair = EnginePair()
    pair.decode(pair.export("cold"))
    pair.run(0.05)
    pair.second.freeze()
    before = list(pair.tokens)
    pair.run(2)
    assert pair.tokens == before
    pair.second.thaw()
    pair.run(20)
    assert pair.tokens == expected_tokens("cold", 500)
