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


class EngineHarness:
    """A client and an engine model that talk HTTP on their own event loop."""

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

    def take_tokens(self, offset: int, tokens: list[str], finish: FinishReason | None) -> None:
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
            REQUEST,
            MODEL,
            export.handle,
            export.source,
            max_tokens=max_tokens,
            sink=self.take_tokens,
        )

    async def sleep(self, seconds: float) -> None:
        done: Deferred[None] = Deferred()
        self.reactor.callLater(seconds, done.callback, None)
        await done


def test_prefill_and_decode_return_the_complete_answer() -> None:
    harness = EngineHarness()

    async def scenario() -> None:
        running = await harness.start()
        await running.done
        await harness.engine.find_load()

    harness.run(scenario)
    assert harness.tokens == expected_tokens("heat record", 30)
    assert harness.offsets[0] == 0
    assert harness.finish is not None
    assert harness.model.held() == 0


def test_cancel_completes_only_when_the_memory_is_free() -> None:
    harness = EngineHarness()

    async def scenario() -> None:
        running = await harness.start(max_tokens=4000)
        first: Deferred[None] = Deferred()
        harness.on_token = lambda: None if first.called else first.callback(None)
        await first
        running.cancel()
        await running.done
        assert harness.model.held() == 0
        seen = len(harness.tokens)
        await harness.sleep(0.02)
        assert len(harness.tokens) == seen

    harness.run(scenario)


def test_cancel_before_the_response_completes() -> None:
    harness = EngineHarness()

    async def scenario() -> None:
        running = await harness.start(max_tokens=4000)
        running.cancel()
        await running.done
        await harness.sleep(0.05)

    harness.run(scenario)
    assert harness.model.held() == 0


def test_crash_during_decode_is_reported_as_crash_and_dead_engine_as_down() -> None:
    harness = EngineHarness()

    async def scenario() -> None:
        running = await harness.start(max_tokens=4000)
        harness.on_token = harness.model.crash
        with pytest.raises(BackendCrashError, match="decode at"):
            await running.done
        with pytest.raises(BackendDownError):
            await harness.engine.prefill(REQUEST, MODEL, "x")
        harness.port.stopListening()
        await harness.sleep(0.02)
        with pytest.raises(BackendDownError):
            await harness.engine.prefill(REQUEST, MODEL, "x")

    harness.run(scenario)


def test_missing_export_is_an_error_but_no_crash() -> None:
    harness = EngineHarness()

    async def scenario() -> None:
        export = await harness.engine.prefill(REQUEST, MODEL, "heat record")
        await harness.engine.release(export.handle)
        assert harness.model.held() == 0
        running = harness.engine.decode(
            REQUEST, MODEL, export.handle, export.source, max_tokens=3, sink=harness.take_tokens
        )
        with pytest.raises(StepError) as caught:
            await running.done
        assert not isinstance(caught.value, BackendCrashError)

    harness.run(scenario)


def test_cancelled_prefill_is_dropped_by_the_engine() -> None:
    harness = EngineHarness()

    async def scenario() -> None:
        prefill_done = harness.engine.prefill(REQUEST, MODEL, "heat record " * 9000)
        prefill_done.addErrback(lambda _: None)
        await harness.sleep(0.05)
        assert harness.model.held() > 0
        prefill_done.cancel()
        await harness.sleep(0.05)
        assert harness.model.held() == 0

    harness.run(scenario)


def test_old_fencing_number_is_refused() -> None:
    harness = EngineHarness()

    async def scenario() -> None:
        await harness.engine.send_order(OrderCall(OrderKind.LOAD_MODEL, FencingNumber(7), MODEL))
        with pytest.raises(StepError, match="fencing number 6 is older than 7"):
            await harness.engine.send_order(
                OrderCall(OrderKind.LOAD_MODEL, FencingNumber(6), MODEL)
            )

    harness.run(scenario)
    assert len(harness.resource.orders) == 1


@given(st.lists(st.lists(st.sampled_from(["a", "\n\n", "\u1200"]))), st.integers(1, 7))
def test_events_are_parsed_however_the_stream_is_split(tokens: list[list[str]], size: int) -> None:
    events = [DecodeEvent(offset, part) for offset, part in enumerate(tokens)]
    data = b"".join(encode_decode_event(event) for event in events)
    parser = DecodeEventParser()
    read: list[DecodeEvent] = []
    for start in range(0, len(data), size):
        read += parser.feed(data[start : start + size])
    assert read == events


@pytest.mark.parametrize("data", [b"nonsense\n\n", b"data: {\n\n", b"x" * (1 << 20) + b"y"])
def test_bytes_that_are_no_events_are_rejected(data: bytes) -> None:
    with pytest.raises(EngineProtocolError):
        DecodeEventParser().feed(data)
