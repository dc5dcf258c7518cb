from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from lavenderrun.codecs import (
    DecodeEvent,
    DecodeEventParser,
    EngineProtocolError,
    OrderCall,
    encode_decode_event,
)
from lavenderrun.kernel import ReactorClock
from lavenderrun.services import HttpEngine
from lavenderrun.services._http_client import make_pooled_http_agent
from lavenderrun.standins import (
    EngineModel,
    EngineResource,
    EngineSpeed,
    Fabric,
    expected_tokens,
)
from lavenderrun.types import (
    BackendCrashError,
    BackendDownError,
    DataCentre,
    FencingNumber,
    FinishReason,
    ModelName,
    OrderKind,
    RequestId,
    StepError,
)

REQUEST = RequestId("r1")
MODEL = ModelName("mill")
FAST = EngineSpeed(step=timedelta(milliseconds=1), step_per_slot=timedelta(0))


class Bench:
    """An engine over HTTP on a loop of its own."""

    def __init__(self) -> None:
        self.reactor: Any = AsyncioSelectorReactor(asyncio.new_event_loop())
        self.clock = ReactorClock.starting_now(self.reactor)
        self.model = EngineModel(
            self.clock, Fabric(self.clock), "engine", DataCentre("talca"), speed=FAST
        )
        self.resource = EngineResource(self.model)
        site: Any = Site(self.resource)
        self.port = self.reactor.listenTCP(0, site, interface="127.0.0.1")
        address = f"127.0.0.1:{self.port.getHost().port}"
        self.engine = HttpEngine(address, make_pooled_http_agent(self.reactor, 4))
        self.tokens: list[str] = []
        self.offsets: list[int] = []
        self.finish: FinishReason | None = None
        self.on_token: Callable[[], None] = lambda: None

    def put(self, offset: int, tokens: list[str], finish: FinishReason | None) -> None:
        self.offsets.append(offset)
        self.tokens += tokens
        self.finish = finish
        self.on_token()

    def run(self, scenario: Callable[[], Coroutine[Deferred[Any], Any, Any]]) -> None:
        failures: list[Any] = []

        def begin() -> None:
            done: Deferred[Any] = Deferred.fromCoroutine(scenario())
            done.addErrback(failures.append)
            done.addBoth(lambda _: self.reactor.stop())
            self.reactor.callLater(10, done.cancel)

        self.reactor.callWhenRunning(begin)
        self.reactor.run()
        if failures:
            failures[0].raiseException()

    async def start(self, max_tokens: int = 30) -> Any:
        export = await self.engine.prefill(REQUEST, MODEL, "heat record")
        return self.engine.decode(
            REQUEST, MODEL, export.handle, export.source, max_tokens=max_tokens, sink=self.put
        )

    async def sleep(self, seconds: float) -> None:
        done: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, done.callback, None)
        await done


def test_prefill_and_decode_give_the_whole_answer() -> None:
    bench = Bench()

    async def scenario() -> None:
        running = await bench.start()
        await running.done
        await bench.engine.find_load()

    bench.run(scenario)
    assert bench.tokens == expected_tokens("heat record", 30)
    assert bench.offsets[0] == 0
    assert bench.finish is not None
    assert bench.model.held() == 0


def test_cancel_ends_only_when_the_memory_is_free() -> None:
    bench = Bench()

    async def scenario() -> None:
        running = await bench.start(max_tokens=4000)
        first: Deferred[None] = Deferred()
        bench.on_token = lambda: None if first.called else first.callback(None)
        await first
        running.cancel()
        await running.done
        assert bench.model.held() == 0
        seen = len(bench.tokens)
        await bench.sleep(0.02)
        assert len(bench.tokens) == seen

    bench.run(scenario)


def test_cancel_before_the_reply_ends_too() -> None:
    bench = Bench()

    async def scenario() -> None:
        running = await bench.start(max_tokens=4000)
        running.cancel()
        await running.done
        await bench.sleep(0.05)

    bench.run(scenario)
    assert bench.model.held() == 0


def test_crash_in_the_middle_is_a_crash_and_a_dead_engine_is_down() -> None:
    bench = Bench()

    async def scenario() -> None:
        running = await bench.start(max_tokens=4000)
        bench.on_token = bench.model.crash
        with pytest.raises(BackendCrashError, match="decode at"):
            await running.done
        with pytest.raises(BackendDownError):
            await bench.engine.prefill(REQUEST, MODEL, "x")
        bench.port.stopListening()
        await bench.sleep(0.02)
        with pytest.raises(BackendDownError):
            await bench.engine.prefill(REQUEST, MODEL, "x")

    bench.run(scenario)


def test_gone_export_is_a_fault_and_no_crash() -> None:
    bench = Bench()

    async def scenario() -> None:
        export = await bench.engine.prefill(REQUEST, MODEL, "heat record")
        await bench.engine.release(export.handle)
        assert bench.model.held() == 0
        running = bench.engine.decode(
            REQUEST, MODEL, export.handle, export.source, max_tokens=3, sink=bench.put
        )
        with pytest.raises(StepError) as caught:
            await running.done
        assert not isinstance(caught.value, BackendCrashError)

    bench.run(scenario)


def test_cancelled_prefill_is_dropped_by_the_engine() -> None:
    bench = Bench()

    async def scenario() -> None:
        doing = bench.engine.prefill(REQUEST, MODEL, "heat record " * 9000)
        doing.addErrback(lambda _: None)
        await bench.sleep(0.05)
        assert bench.model.held() > 0
        doing.cancel()
        await bench.sleep(0.05)
        assert bench.model.held() == 0

    bench.run(scenario)


def test_old_fencing_number_is_refused() -> None:
    bench = Bench()

    async def scenario() -> None:
        await bench.engine.send_order(OrderCall(OrderKind.LOAD_MODEL, FencingNumber(7), MODEL))
        with pytest.raises(StepError, match="fencing number 6 is older than 7"):
            await bench.engine.send_order(OrderCall(OrderKind.LOAD_MODEL, FencingNumber(6), MODEL))

    bench.run(scenario)
    assert len(bench.resource.orders) == 1


@given(st.lists(st.lists(st.sampled_from(["a", "\n\n", "\u1200"]))), st.integers(1, 7))
def test_events_survive_any_cut_of_the_stream(tokens: list[list[str]], size: int) -> None:
    events = [DecodeEvent(offset, part) for offset, part in enumerate(tokens)]
    data = b"".join(encode_decode_event(event) for event in events)
    reader = DecodeEventParser()
    read: list[DecodeEvent] = []
    for start in range(0, len(data), size):
        read += reader.feed(data[start : start + size])
    assert read == events


@pytest.mark.parametrize("data", [b"nonsense\n\n", b"data: {\n\n", b"x" * (1 << 20) + b"y"])
def test_bytes_that_are_no_events_are_refused(data: bytes) -> None:
    with pytest.raises(EngineProtocolError):
        DecodeEventParser().feed(data)
