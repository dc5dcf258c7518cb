from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from datetime import timedelta
from typing import Any

import pytest
from twisted.internet.asyncioreactor import AsyncioSelectorReactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory, Protocol
from twisted.web.server import Site

from lavenderrun.kernel import ReactorClock
from lavenderrun.services import HttpPlainBackend
from lavenderrun.services._http_client import make_pooled_http_agent, make_unpooled_http_agent
from lavenderrun.standins import PlainResource
from lavenderrun.types import BackendSettings, Outcome, Refused, RequestId

REQUEST = RequestId("r1")


class RecordedReply:
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


class HttpFixture:
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

    def answer_raw(self, data: bytes, *, with_reset: bool) -> None:
        """Answer each call with *data* and the end of its connection."""

        class Answer(Protocol):
            transport: Any

            def dataReceived(self, _data: bytes) -> None:  # noqa: N802
                self.transport.write(data)
                # the answer is read before the connection ends
                fixture.reactor.callLater(0.02, self.end)

            def end(self) -> None:
                if with_reset:
                    self.transport.abortConnection()
                else:
                    self.transport.loseConnection()

        fixture = self
        raw = self.reactor.listenTCP(0, Factory.forProtocol(Answer), interface="127.0.0.1")
        address = f"127.0.0.1:{raw.getHost().port}"
        self.plain.settings = BackendSettings(address=address, silence=timedelta(milliseconds=200))

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

    async def call(self, method: str, target: str, body: bytes = b"") -> RecordedReply:
        reply = RecordedReply()
        headers = [("Authorization", "Bearer marker"), ("X-Kept", "1"), ("Connection", "close")]
        await self.plain.call(REQUEST, method, target, headers, body, reply).done
        return reply


def test_method_body_and_headers_are_forwarded_without_the_api_key() -> None:
    fixture = HttpFixture()
    replies: list[RecordedReply] = []

    async def scenario() -> None:
        replies.append(await fixture.call("PUT", "/echo?x=1", b"\x00" * 100_000))
        replies.append(await fixture.call("HEAD", "/orders/7"))
        replies.append(await fixture.call("GET", "/orders/7"))

    fixture.run(scenario)
    echo, head, order = replies
    assert (echo.status, echo.body, echo.ends) == (200, b"\x00" * 100_000, [None])
    assert "Content-Length" not in head.headers
    assert order.headers["Content-Length"] == str(len(order.body))
    assert "r1" in fixture.service.core.header_values
    assert not any("marker" in value for value in fixture.service.core.header_values)


@pytest.mark.parametrize("fault", ["die_before", "die_after", "die_midway", "hang"])
def test_call_that_may_have_run_is_unknown(fault: str) -> None:
    fixture = HttpFixture()
    setattr(fixture.service.faults, fault, 1)
    replies: list[RecordedReply] = []

    async def scenario() -> None:
        replies.append(await fixture.call("POST", "/orders/7/confirm"))

    fixture.run(scenario)
    [end] = replies[0].ends
    assert isinstance(end, Refused)
    assert end.outcome is Outcome.UNKNOWN
    assert fixture.service.core.confirmed["7"] <= 1


def test_call_that_was_never_sent_is_refused_as_not_run() -> None:
    fixture = HttpFixture()
    replies: list[RecordedReply] = []

    async def scenario() -> None:
        await fixture.port.stopListening()
        replies.append(await fixture.call("POST", "/orders/7/confirm"))
        replies.append(await fixture.call("GET", "/orders/7\x01"))

    fixture.run(scenario)
    for reply in replies:
        [end] = reply.ends
        assert isinstance(end, Refused)
        assert end.outcome is Outcome.NOT_RUN


def test_cancelled_call_passes_nothing_to_the_sink() -> None:
    fixture = HttpFixture()
    fixture.service.faults.reply_delay = timedelta(milliseconds=50)
    reply = RecordedReply()

    async def scenario() -> None:
        call = fixture.plain.call(REQUEST, "GET", "/orders/7", [], b"", reply)
        fixture.reactor.callLater(0.01, call.cancel)
        await call.done
        later: Deferred[None] = Deferred()
        fixture.reactor.callLater(0.1, later.callback, None)
        await later

    fixture.run(scenario)
    assert (reply.status, reply.ends) == (0, [])


# a reset in the middle of a body without length was taken for its end
@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize("with_reset", [False, True], ids=["closed", "reset"])
def test_a_body_without_length_is_complete_only_if_its_connection_is_closed_in_order(
    method: str, with_reset: bool
) -> None:
    fixture = HttpFixture()
    fixture.answer_raw(b"HTTP/1.1 200 OK\r\n\r\na part", with_reset=with_reset)
    replies: list[RecordedReply] = []

    async def scenario() -> None:
        replies.append(await fixture.call(method, "/orders/7", b"x" * 100))

    fixture.run(scenario)
    [reply] = replies
    assert reply.body == b"a part"
    [end] = reply.ends
    if with_reset:
        assert isinstance(end, Refused)
        assert end.outcome is Outcome.UNKNOWN
    else:
        assert end is None


# a server's answer with the status 000 was passed on to the caller
@pytest.mark.parametrize("status", ["000", "099", "600", "999", "20", "-20", "2000"])
def test_an_answer_without_a_valid_status_is_lost(status: str) -> None:
    fixture = HttpFixture()
    answer = f"HTTP/1.1 {status} Odd\r\nContent-Length: 2\r\n\r\nok"
    fixture.answer_raw(answer.encode(), with_reset=False)
    replies: list[RecordedReply] = []

    async def scenario() -> None:
        replies.append(await fixture.call("POST", "/orders/7/confirm"))

    fixture.run(scenario)
    [reply] = replies
    assert (reply.status, reply.body) == (0, b"")
    [end] = reply.ends
    assert isinstance(end, Refused)
    assert end.outcome is Outcome.UNKNOWN
