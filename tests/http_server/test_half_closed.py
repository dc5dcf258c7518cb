"""Callers that closed their writing side, over a transport in memory."""

from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import pytest
from twisted.internet import task
from twisted.internet.abstract import FileDescriptor

from lavenderrun.http_server import (
    AccountedChannel,
    AccountedFactory,
    AccountedRequest,
    RequestAccount,
)
from lavenderrun.kernel import ReactorClock

LARGE = 200_000
SENT_AT_ONCE = 100_000
MAX_SENDS = 50


class MemoryTransport(FileDescriptor):
    """A transport whose peer reads when ``doWrite`` is called."""

    def __init__(self) -> None:
        reactor: Any = self
        super().__init__(reactor)
        self.connected = 1
        self.sent = b""
        self.is_closed = self.is_writing = False

    def addWriter(self, _: Any) -> None:  # noqa: N802
        self.is_writing = True

    def removeWriter(self, _: Any) -> None:  # noqa: N802
        self.is_writing = False

    def addReader(self, _: Any) -> None:  # noqa: N802
        """Do nothing; the test passes on what is read."""

    removeReader = addReader  # noqa: N815

    def writeSomeData(self, data: bytes) -> int:  # noqa: N802
        self.sent += bytes(data[:SENT_AT_ONCE])
        return min(len(data), SENT_AT_ONCE)

    def getHandle(self) -> Any:  # noqa: N802
        return self

    def getsockopt(self, *_: Any) -> int:
        return 0

    def _postLoseConnection(self) -> Any:  # noqa: N802
        self.is_closed = True

    def getPeer(self) -> Any:  # noqa: N802
        return "peer"

    getHost = getPeer  # noqa: N815

    def send_all(self) -> None:
        for _ in range(MAX_SENDS):
            if self.is_writing and not self.is_closed:
                transport: Any = self
                transport.doWrite()


class SlowFirst(AccountedRequest):
    """The path ``/slow`` waits for the test; all others are answered at once."""

    def process(self) -> None:
        self.channel.factory.seen.append(self.uri)
        if self.uri == b"/slow":
            self.channel.factory.waiting.append(self)
        else:
            self.reply(b"ok")

    def reply(self, body: bytes) -> None:
        request: Any = self
        request.setHeader(b"content-length", b"%d" % len(body))
        request.write(body)
        request.finish()


class Channel(AccountedChannel):
    requestFactory: Any = SlowFirst  # noqa: N815
    timeOut: Any = 60  # noqa: N815


make_factory: Any = AccountedFactory
make_channel: Any = Channel


class Caller:
    """A connection of a caller, with the host's side of it."""

    def __init__(self) -> None:
        clock = task.Clock()
        account = RequestAccount(ReactorClock(clock, datetime.now(UTC), zero=0))
        self.factory = make_factory(account)
        self.factory.seen, self.factory.waiting = [], []
        self.factory.log = lambda _: None
        self.channel = make_channel()
        self.channel.factory = self.factory
        self.channel.callLater = clock.callLater
        self.transport = MemoryTransport()
        self.channel.makeConnection(self.transport)

    def answer_slow(self, body: bytes) -> None:
        self.factory.waiting[0].reply(body)
        self.transport.send_all()


def get(path: bytes) -> bytes:
    return b"GET " + path + b" HTTP/1.1\r\nHost: a\r\n\r\n"


def post(path: bytes) -> bytes:
    return b"POST " + path + b" HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"


# requests behind one that was answered at once were dropped without an answer
@pytest.mark.parametrize("make", [get, post])
def test_all_pipelined_requests_of_a_half_closed_caller_are_answered(
    make: Callable[[bytes], bytes],
) -> None:
    caller = Caller()
    caller.channel.dataReceived(make(b"/slow") + make(b"/b") + make(b"/c") + make(b"/d"))
    caller.channel.readConnectionLost()
    caller.answer_slow(b"first")
    assert caller.factory.seen == [b"/slow", b"/b", b"/c", b"/d"]
    assert caller.transport.sent.count(b"HTTP/1.1 200") == 4
    assert caller.transport.is_closed


# the connection stayed open until its idle timeout when the answer was not sent at once
@pytest.mark.parametrize("size", [2_000, LARGE])
@pytest.mark.parametrize("is_answered_first", [False, True])
def test_the_connection_of_a_half_closed_caller_closes_after_its_answer(
    size: int, is_answered_first: bool
) -> None:
    caller = Caller()
    caller.channel.dataReceived(get(b"/slow"))
    steps = [
        caller.channel.readConnectionLost,
        lambda: caller.factory.waiting[0].reply(b"x" * size),
    ]
    for step in reversed(steps) if is_answered_first else steps:
        step()
    caller.transport.send_all()
    assert caller.transport.sent.endswith(b"x" * size)
    assert caller.transport.is_closed
