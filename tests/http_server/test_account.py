"""Each request that was read whole is accounted for."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.task import Clock as FakeReactor
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from lavenderrun.http_server import (
    AccountedChannel,
    AccountedFactory,
    AccountedRequest,
    CloseReason,
    RequestAccount,
    RequestEnd,
)
from lavenderrun.kernel import ReactorClock

REQUEST = b"GET / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\n\r\n"
UPLOAD = b"POST / HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nContent-Length: 9\r\n\r\n"
IDLE = 3.0


class Bench:
    """One connection on a fake clock; *handle* handles each request that was read whole."""

    def __init__(self, handle: Callable[[Any], None]) -> None:
        self.reactor = FakeReactor()
        self.account = RequestAccount(ReactorClock.starting_now(self.reactor))
        factory: Any = AccountedFactory(self.account)

        class HandledRequest(AccountedRequest):
            def process(self) -> None:
                handle(self)

        factory.log = lambda request: None
        make_channel: Any = AccountedChannel
        self.channel = make_channel()
        self.channel.requestFactory = HandledRequest
        self.channel.factory = factory
        self.channel.callLater = self.reactor.callLater
        self.channel.timeOut = IDLE
        self.transport = StringTransport()
        self.channel.makeConnection(self.transport)

    def send(self, data: bytes) -> None:
        self.channel.dataReceived(data)

    def close(self, error: BaseException) -> None:
        self.channel.connectionLost(Failure(error))

    @property
    def ends(self) -> dict[str, int]:
        return {end.value: number for end, number in self.account.ends.items() if number}

    @property
    def unanswered(self) -> dict[str, int]:
        return {reason.value: n for reason, n in self.account.unanswered.items() if n}

    @property
    def partial(self) -> dict[str, int]:
        return {reason.value: number for reason, number in self.account.partial.items() if number}


def ignore(_request: AccountedRequest) -> None: ...


def begin(request: Any) -> None:
    request.write(b"a part")


def refuse(request: AccountedRequest) -> None:
    request.end_when_finished = RequestEnd.REFUSED
    request.finish()


@pytest.mark.parametrize(
    ("handle", "end"), [(lambda request: request.finish(), "answered"), (refuse, "refused")]
)
def test_an_answer_is_accounted_for_once(
    handle: Callable[[AccountedRequest], None], end: str
) -> None:
    bench = Bench(handle)
    bench.send(REQUEST)
    bench.close(ConnectionDone())
    assert bench.ends == {end: 1}
    assert not bench.unanswered


@pytest.mark.parametrize("error", [ConnectionDone(), ConnectionLost()])
def test_a_caller_that_leaves_is_no_fault_of_this_host(error: BaseException) -> None:
    bench = Bench(ignore)
    bench.send(REQUEST)
    bench.close(error)
    assert bench.ends == {"caller_gone": 1}
    assert not bench.unanswered


# a connection that an unexpected error closed left no trace
@pytest.mark.parametrize(
    ("error", "reason"),
    [(ZeroDivisionError(), CloseReason.ERROR), (ConnectionAborted(), CloseReason.ABORT)],
)
def test_a_request_that_this_host_leaves_unanswered_is_counted_by_the_reason(
    error: BaseException, reason: CloseReason
) -> None:
    bench = Bench(ignore)
    bench.send(REQUEST)
    bench.close(error)
    assert bench.ends == {"unanswered": 1}
    assert bench.unanswered == {reason.value: 1}


# the log named the caller for connections that this host closed
@pytest.mark.parametrize("closed_by_library", [True, False])
def test_a_close_by_this_host_is_not_taken_for_one_by_the_caller(closed_by_library: bool) -> None:
    bench = Bench(ignore)
    bench.send(REQUEST)
    if closed_by_library:
        bench.channel.loseConnection()
    else:
        bench.account.is_leaving = True
    bench.close(ConnectionDone())
    assert bench.unanswered == {"host" if closed_by_library else "departure": 1}


# a request that is never answered ended with the caller's close, as if the caller had changed
# its mind
def test_a_caller_that_leaves_after_its_deadline_was_not_answered() -> None:
    def handle(request: AccountedRequest) -> None:
        request.due = bench.account.clock.now() + timedelta(seconds=4)

    bench = Bench(handle)
    bench.send(REQUEST)
    bench.reactor.advance(4.6)
    bench.close(ConnectionDone())
    assert bench.unanswered == {"overdue": 1}


def test_an_answer_that_breaks_off_is_not_whole() -> None:
    bench = Bench(begin)
    bench.send(REQUEST)
    bench.close(ZeroDivisionError())
    assert bench.ends == {"broken_off": 1}


@pytest.mark.parametrize(
    ("sent", "reason"), [(UPLOAD + b"four", "idle_timeout"), (REQUEST[:20], "idle_timeout")]
)
def test_a_request_cut_while_it_comes_in_is_counted_apart(sent: bytes, reason: str) -> None:
    bench = Bench(ignore)
    bench.send(sent)
    bench.reactor.advance(IDLE)
    bench.close(ConnectionDone())
    assert bench.partial == {reason: 1}
    assert not bench.ends


def test_a_pipelined_request_that_is_dropped_is_counted_as_not_read() -> None:
    bench = Bench(ignore)
    bench.send(REQUEST + REQUEST)
    bench.close(ZeroDivisionError())
    assert bench.ends == {"unanswered": 1}
    assert bench.partial == {"error": 1}
