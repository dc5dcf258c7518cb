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


class Bench:
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


def test_answer_is_whole_and_memory_is_freed() -> None:
    bench = Bench()
    export = bench.export("some prompt")
    assert bench.first.held() == 1
    bench.decode(export)
    bench.run(20)
    assert bench.tokens == expected_tokens("some prompt", 500)
    assert bench.finish is not None
    assert bench.held() == 0


@pytest.mark.parametrize("cut", [1, 7, 20])
def test_rest_is_the_same_elsewhere(cut: int) -> None:
    prompt = next(p for n in range(99) if len(expected_tokens(p := f"prompt {n}", 500)) > 30)
    whole = expected_tokens(prompt, 500)
    assert expected_tokens(prompt + "".join(whole[:cut]), 500 - cut) == whole[cut:]


def test_export_ends_before_it_is_pulled() -> None:
    bench = Bench()
    export = bench.export("late", seconds=1.0)
    bench.decode(export)
    bench.run(0.1)
    assert isinstance(bench.failures[0], StepError)
    assert bench.held() == 0


def test_stalled_link_fails_the_transfer_when_the_export_ends() -> None:
    bench = Bench()
    export = bench.export("stall")
    bench.fabric.stall(HERE, THERE, stalled=True)
    bench.decode(export)
    bench.run(1.5)
    assert [type(error) for error in bench.failures] == [StepError]
    assert bench.held() == 0


def test_cancel_frees_prefill_and_decode_at_once() -> None:
    bench = Bench()
    done = bench.first.prefill(RequestId("r"), MODEL, "x" * 40_000)
    done.addErrback(bench.note)
    done.cancel()
    assert bench.held() == 0
    running = bench.decode(bench.export("gone"))
    bench.run(0.1)
    assert bench.second.held() == 1
    running.cancel()
    assert bench.held() == 0


def test_cached_prefix_is_reported_and_spares_time() -> None:
    bench = Bench()
    text = "y" * 20_000
    assert bench.export(text, 0.3).cached == 0
    assert bench.export(text, 0.02).cached == 5000


def test_no_seat_is_refused() -> None:
    bench = Bench(slots=1)
    bench.decode(bench.export("one"))
    bench.decode(bench.export("two"))
    assert "no seat" in str(bench.failures[0])


@pytest.mark.parametrize("poison", [POISON_PREFILL, POISON_DECODE])
def test_poison_crashes_and_the_engine_comes_back(poison: str) -> None:
    bench = Bench()
    done: Deferred[Export] = bench.first.prefill(RequestId("r"), MODEL, "x" + poison)
    done.addCallbacks(lambda export: bench.decode(export), bench.note)
    bench.run(1)
    assert [type(error) for error in bench.failures] == [BackendCrashError]
    assert bench.first.crashes + bench.second.crashes == 1
    assert bench.held() == 0
    bench.run(4)
    bench.decode(bench.export("after"))
    bench.run(20)
    assert bench.tokens == expected_tokens("after", 500)


def test_freeze_holds_everything_back() -> None:
    bench = Bench()
    bench.decode(bench.export("cold"))
    bench.run(0.05)
    bench.second.freeze()
    before = list(bench.tokens)
    bench.run(2)
    assert bench.tokens == before
    bench.second.thaw()
    bench.run(20)
    assert bench.tokens == expected_tokens("cold", 500)
