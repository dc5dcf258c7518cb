from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest
from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from lavenderrun.kernel import ReactorClock
from lavenderrun.services import HttpPlainBackend
from lavenderrun.services._http_client import make_pooled_http_agent, make_unpooled_http_agent
from lavenderrun.standins import PlainResource
from lavenderrun.types import BackendSettings, Outcome, Refused, RequestId

REQUEST = RequestId("r1")


class Reply:
    def __init__(self) -> None:
        self.status = 0
        self.headers: dict[str, str] = {}
        self.body = b""
        self.ends: list[Refused | None] = []

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status
        self.headers = dict(headers)

    def put_body(self, data: bytes) -> None:
        self.body += data

    def finish(self) -> None:
        self.ends.append(None)

    def refuse(self, refused: Refused) -> None:
        self.ends.append(refused)


class Bench:
    def __init__(self) -> None:
        self.reactor: Any = AsyncioSelectorReactor(asyncio.new_event_loop())
        clock = ReactorClock.starting_now(self.reactor)
        self.service = PlainResource(clock)
        site: Any = Site(self.service)
        self.port = self.reactor.listenTCP(0, site, interface="127.0.0.1")
        address = f"127.0.0.1:{self.port.getHost().port}"
        settings = BackendSettings(address=address, silence=timedelta(milliseconds=200))
        pooled, fresh = (
            make_pooled_http_agent(self.reactor, 2),
            make_unpooled_http_agent(self.reactor),
        )
        self.plain = HttpPlainBackend(clock, settings, pooled, fresh)

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

    async def call(self, method: str, target: str, body: bytes = b"") -> Reply:
        reply = Reply()
        headers = [("Authorization", "Bearer marker"), ("X-Kept", "1"), ("Connection", "close")]
        await self.plain.call(REQUEST, method, target, headers, body, reply).done
        return reply


def test_method_body_and_headers_pass_but_the_key() -> None:
    bench = Bench()
    replies: list[Reply] = []

    async def scenario() -> None:
        replies.append(await bench.call("PUT", "/echo?x=1", b"\x00" * 100_000))
        replies.append(await bench.call("HEAD", "/orders/7"))
        replies.append(await bench.call("GET", "/orders/7"))

    bench.run(scenario)
    echo, head, order = replies
    assert (echo.status, echo.body, echo.ends) == (200, b"\x00" * 100_000, [None])
    assert "Content-Length" not in head.headers
    assert order.headers["Content-Length"] == str(len(order.body))
    assert "r1" in bench.service.core.header_values
    assert not any("marker" in value for value in bench.service.core.header_values)


@pytest.mark.parametrize("fault", ["die_before", "die_after", "die_midway", "hang"])
def test_call_that_may_have_run_is_unknown(fault: str) -> None:
    bench = Bench()
    setattr(bench.service.faults, fault, 1)
    replies: list[Reply] = []

    async def scenario() -> None:
        replies.append(await bench.call("POST", "/orders/7/confirm"))

    bench.run(scenario)
    [end] = replies[0].ends
    assert isinstance(end, Refused)
    assert end.outcome is Outcome.UNKNOWN
    assert bench.service.core.confirmed["7"] <= 1


def test_call_that_found_no_listener_did_not_run() -> None:
    bench = Bench()
    replies: list[Reply] = []

    async def scenario() -> None:
        await bench.port.stopListening()
        replies.append(await bench.call("POST", "/orders/7/confirm"))
        replies.append(await bench.call("GET", "/orders/7\x01"))

    bench.run(scenario)
    for reply in replies:
        [end] = reply.ends
        assert isinstance(end, Refused)
        assert end.outcome is Outcome.NOT_RUN


def test_cancelled_call_tells_the_sink_nothing() -> None:
    bench = Bench()
    bench.service.faults.reply_delay = timedelta(milliseconds=50)
    reply = Reply()

    async def scenario() -> None:
        call = bench.plain.call(REQUEST, "GET", "/orders/7", [], b"", reply)
        bench.reactor.callLater(0.01, call.cancel)
        await call.done
        later: Deferred[None] = Deferred()
        bench.reactor.callLater(0.1, later.callback, None)
        await later

    bench.run(scenario)
    assert (reply.status, reply.ends) == (0, [])
