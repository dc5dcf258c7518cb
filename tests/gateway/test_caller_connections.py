"""Connections of callers keep what an earlier configuration promised."""

from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace
from typing import Any, NamedTuple

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock as FakeReactor
from twisted.internet.testing import StringTransport

from lavenderrun.gateway._caller_channel import MIN_BODY_TIME, CallerFactory
from lavenderrun.gateway._callers import CallersService
from lavenderrun.gateway._stats import Stats
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import CallerLimits, GatewayCall, Headers, Refused, RequestId

SHARE = 0.8
"""Share of each limit that callers use at most."""


class Router:
    is_leaving = False

    def __init__(self) -> None:
        self.calls: list[bytes] = []

    def submit(self, call: GatewayCall, sink: Any) -> None:
        self.calls.append(call.body)
        sink.answer(200, [], b"")


class Dialect:
    def decode_call(self, method: str, target: str, _headers: Any, body: bytes) -> GatewayCall:
        return GatewayCall(
            RequestId("r"), method, "h", target, [], body, None, None, None, None, ()
        )

    def encode_refusal(self, _request: Any, refused: Refused) -> tuple[int, Headers, bytes]:
        return 503, [], refused.refusal.value.encode()


class Transport(StringTransport):
    def setTcpNoDelay(self, _enabled: bool) -> None: ...  # noqa: N802

    def setTcpKeepAlive(self, _enabled: bool) -> None: ...  # noqa: N802

    def getHandle(self) -> Any:  # noqa: N802
        return SimpleNamespace(setsockopt=lambda *_: None)


make_transport: Any = Transport


class Host:
    """The service for callers with one connection, on a fake clock."""

    def __init__(self, limits: CallerLimits) -> None:
        self.reactor = FakeReactor()
        self.router = Router()
        found = {
            "configuration": None,
            "router": self.router,
            "caller_dialect": Dialect(),
            "stats": Stats(),
            "pool": SimpleNamespace(count_open=lambda: 0),
            "memory": None,
        }
        kernel: Any = SimpleNamespace(
            settings=SimpleNamespace(callers=""),
            clock=ReactorClock.starting_now(self.reactor),
            find=lambda name, _kind: found[name],
        )
        self.service = CallersService(kernel)
        self.service._factory = CallerFactory(self.service, self.reactor.callLater)
        self.configure(limits)
        self.channel: Any = self.service._factory.buildProtocol(None)
        self.transport: Any = make_transport()
        self.channel.makeConnection(self.transport)

    def configure(self, limits: CallerLimits) -> None:
        self.limits = limits
        configuration: Any = SimpleNamespace(limits=limits)
        self.service._configure(configuration)

    def pass_time(self, seconds: float) -> None:
        self.reactor.advance(seconds)

    def send(self, data: bytes) -> None:
        # a transport never delivers nothing
        if data:
            self.channel.dataReceived(data)


class Step(NamedTuple):
    """One request: a pause, a head in two parts and a body in two parts.

    :param idle: share of the idle timeout for which the connection is idle before it.
    :param head: share of the head's limit that its head takes.
    :param body: share of the shortest limit for bodies that its body takes.
    :param changes: limits that come into force before each of the four parts, and after them.
    """

    idle: float
    head: float
    body: float
    cut: int
    changes: list[CallerLimits | None]


TIMES = st.integers(50, 20000).map(lambda number: timedelta(milliseconds=number))
LIMITS = st.builds(CallerLimits, st.integers(0, 30), TIMES, st.none() | TIMES, st.integers(60, 120))
STEPS = st.builds(
    Step,
    st.floats(0, SHARE),
    st.floats(0, SHARE),
    st.floats(0, SHARE),
    st.integers(1, 30),
    st.lists(st.none() | LIMITS, min_size=5, max_size=5),
)
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n"


# a version that came into force closed connections over which a request came in, or refused it
@settings(max_examples=150)
@given(LIMITS, st.lists(STEPS, min_size=1, max_size=4))
def test_versions_change_only_requests_that_come_after_them(
    first: CallerLimits, steps: list[Step]
) -> None:
    host = Host(first)
    for number, step in enumerate(steps, 1):
        idle = host.limits.idle_timeout.total_seconds()
        apply_change(host, step.changes[0])
        host.pass_time(idle * step.idle)
        limits = host.limits
        body = b"x" * limits.body_bytes
        head = HEAD % len(body)
        head_limit = limits.head_timeout or limits.idle_timeout
        host.send(head[: step.cut])
        apply_change(host, step.changes[1])
        host.pass_time(head_limit.total_seconds() * step.head)
        host.send(head[step.cut :])
        apply_change(host, step.changes[2])
        host.send(body[:1])
        host.pass_time(MIN_BODY_TIME.total_seconds() * step.body if body else 0)
        apply_change(host, step.changes[3])
        host.send(body[1:])
        assert host.router.calls[-1:] == [body]
        assert len(host.router.calls) == number
        assert not host.transport.disconnecting
        apply_change(host, step.changes[4])
    assert host.transport.value().count(b"200 OK") == len(steps)


def apply_change(host: Host, limits: CallerLimits | None) -> None:
    if limits is not None:
        host.configure(limits)


def test_a_lower_idle_timeout_is_in_force_once_no_caller_can_rely_on_the_earlier_one() -> None:
    host = Host(CallerLimits(10, timedelta(seconds=15)))
    host.configure(CallerLimits(10, timedelta(seconds=1)))
    host.pass_time(14.9)
    assert host.service.find_idle_timeout() == timedelta(seconds=15)
    host.pass_time(0.2)
    assert host.service.find_idle_timeout() == timedelta(seconds=1)


# a request that had arrived while this process was suspended was dropped by the timers, which run
# before anything is read
def test_a_request_that_waits_in_the_socket_when_the_idle_timeout_ends_is_read() -> None:
    host = Host(CallerLimits(10, timedelta(seconds=1)))
    host.pass_time(30)
    assert not host.transport.disconnecting
    host.send(HEAD % 0)
    assert host.router.calls == [b""]


GET = b"GET / HTTP/1.1\r\nHost: h\r\n\r\n"
POST = HEAD % 3 + b"abc"
CHUNKED = b"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
LEAVING_LIMITS = CallerLimits(1000, timedelta(seconds=10), None)


class SlowRouter(Router):
    """Answers no call by itself."""

    def __init__(self) -> None:
        super().__init__()
        self.sinks: list[Any] = []

    def submit(self, _call: GatewayCall, sink: Any) -> None:
        self.sinks.append(sink)


# answers to requests with a body left the connection open, and its next request was cut
@pytest.mark.parametrize("request_", [GET, POST, CHUNKED], ids=["get", "post", "chunked"])
@pytest.mark.parametrize("closes_idle", [False, True])
def test_an_answer_of_a_leaving_gateway_says_that_it_closes(
    request_: bytes, closes_idle: bool
) -> None:
    host = Host(LEAVING_LIMITS)
    router: Any = SlowRouter()
    host.service.router = router
    host.send(request_)
    router.is_leaving = True
    if closes_idle:
        host.channel.close_when_idle()
    router.sinks[0].answer(200, [], b"ok")
    assert b"connection: close" in host.transport.value().lower()
    assert host.transport.disconnecting


# the answer to the last of several requests with a body left the connection open
@pytest.mark.parametrize("request_", [GET, POST, CHUNKED], ids=["get", "post", "chunked"])
def test_a_leaving_gateway_answers_what_has_arrived_behind_a_request(request_: bytes) -> None:
    host = Host(LEAVING_LIMITS)
    router: Any = SlowRouter()
    host.service.router = router
    host.send(request_ + request_)
    router.is_leaving = True
    host.channel.close_when_idle()
    for number in range(2):
        router.sinks[number].answer(200, [], b"ok")
    assert host.transport.value().count(b"HTTP/1.1 200") == 2
    assert host.transport.value().lower().count(b"connection: close") == 1
    assert host.transport.disconnecting
