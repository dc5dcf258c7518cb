"""Callers that close their writing side after a whole request, and callers that are gone."""

from __future__ import annotations

import http.client
import select
import socket
import time
from http.server import BaseHTTPRequestHandler
from io import BytesIO

import pytest
from gateway_process import Answer, Gateway, StandinPlatform, wait_for
from platform_standin import (
    HOST,
    KEY,
    ORDERS,
    PLAIN,
    RESUMED,
    STREAM,
    Behaviour,
    SeenRequest,
    StandinServer,
    reset,
)
from test_request_account import read_counter

WORK_SECONDS = 0.7
LONG_WORK_SECONDS = 3.0
NOTICE_SECONDS = 0.5
EVENTS = b"".join(f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 7))


def work(server: StandinServer, handler: BaseHTTPRequestHandler, _seen: SeenRequest) -> bool:
    time.sleep(WORK_SECONDS)
    return False


def work_long(server: StandinServer, handler: BaseHTTPRequestHandler, _seen: SeenRequest) -> bool:
    time.sleep(LONG_WORK_SECONDS)
    return False


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    for server in (
        StandinServer("app-1", "apps", behave=work),
        StandinServer("pre-1", "llm", "prefill"),
        StandinServer("dec-1", "llm", "decode", pause=WORK_SECONDS / 6),
    ):
        platform.add(server)
    return platform.wait_known(platform.add_gateway())


def call_and_close_writing(gateway: Gateway, path: str) -> Answer:
    connection = gateway.connect()
    connection.connect()

    def close_writing() -> None:
        connection.sock.shutdown(socket.SHUT_WR)

    try:
        if path in (STREAM, RESUMED):
            return gateway.generate(path + "x", connection=connection, on_sent=close_writing)
        return gateway.call(path + "x", "POST", connection=connection, on_sent=close_writing)
    finally:
        connection.close()


def make_request(name: str, version: str = "1.1") -> bytes:
    head = f"GET {PLAIN}x HTTP/{version}\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    return f"{head}X-Request-Id: {name}\r\nX-Deadline-Ms: 6000\r\n\r\n".encode()


def make_stream_request(name: str) -> bytes:
    head = f"GET {STREAM}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    head += f"X-Request-Id: {name}\r\nX-Deadline-Ms: 6000\r\nX-Model: m\r\n"
    return f"{head}X-Token-Count: 100,50\r\nX-Prefix-Hash: ab:100\r\n\r\n".encode()


def send(gateway: Gateway, data: bytes) -> socket.socket:
    caller = socket.create_connection(("127.0.0.1", gateway.front), timeout=8)
    caller.sendall(data)
    return caller


def read_all(caller: socket.socket) -> bytes:
    return b"".join(iter(lambda: caller.recv(65536), b""))


def wait_running(platform: StandinPlatform, name: str) -> None:
    seen = platform.servers["app-1"].seen
    wait_for(lambda: any(s.headers.get("x-request-id") == name for s in seen), "running")


# the end of the caller's data was taken for the caller's end: closed without an answer
@pytest.mark.parametrize("path", [PLAIN, ORDERS, STREAM, RESUMED])
def test_a_caller_that_closed_its_writing_side_gets_its_answer(gateway: Gateway, path: str) -> None:
    answer = call_and_close_writing(gateway, path)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.body == EVENTS or path in (PLAIN, ORDERS)
    ends = read_counter(gateway, "requests")
    assert {end: number for end, number in ends.items() if number} == {"answered": 1}


def test_the_connection_closes_after_all_answers(gateway: Gateway) -> None:
    with send(gateway, make_request("first") + make_request("second")) as caller:
        caller.shutdown(socket.SHUT_WR)
        received = read_all(caller)
    assert received.count(b"HTTP/1.1 200") == 2
    assert received.index(b"first") < received.index(b"second")
    assert wait_for(lambda: read_counter(gateway, "requests")["answered"] == 2, "both answered")


def test_a_caller_without_interim_answers_gets_one_answer(gateway: Gateway) -> None:
    with send(gateway, make_request("old", "1.0")) as caller:
        caller.shutdown(socket.SHUT_WR)
        received = read_all(caller)
    assert received.split(b"\r\n")[0].endswith(b"200 OK")
    assert received.count(b"HTTP/1.") == 1


def hang_after(events: int, seconds: float, left: list[float]) -> Behaviour:
    """Return a behaviour that sends nothing for some time after some events of a stream.

    :param left: gets the time at which the engine's connection was closed meanwhile.
    """

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        if seen.headers.get("x-stage") == "prefill":
            return False
        server.stream(handler, seen, events)
        if select.select([handler.connection], [], [], seconds)[0]:
            left.append(time.monotonic())
            handler.close_connection = True
            return True
        server.write_events(handler, events + 1, server.events)
        handler.wfile.write(b"0\r\n\r\n")
        return True

    return behave


# the engine kept the stream until it went on: no probe was sent once the answer had begun
@pytest.mark.parametrize("events", [0, 2])
def test_a_caller_that_leaves_a_hanging_stream_is_noticed_soon(
    platform: StandinPlatform, gateway: Gateway, events: int
) -> None:
    left: list[float] = []
    platform.servers["dec-1"].behave = hang_after(events, LONG_WORK_SECONDS, left)
    caller = send(gateway, make_stream_request("gone"))
    received = b""
    while received.count(b"data: ") < events or b"\r\n\r\n" not in received:
        received += caller.recv(65536)
    time.sleep(NOTICE_SECONDS)
    began = time.monotonic()
    caller.close()
    wait_for(lambda: left, "stream closed at its engine")
    assert left[0] - began < NOTICE_SECONDS
    assert wait_for(lambda: read_counter(gateway, "requests")["caller_gone"] == 1, "counted")


# soak seeds 914, 915, 917, 918 of the family all: a stream ended with one more line, the blank one
@pytest.mark.parametrize("hang", [0.4, 1.5, 3.2])
@pytest.mark.parametrize("events", [0, 2, 6])
def test_a_caller_that_closed_its_side_before_a_hanging_stream_gets_it_unchanged(
    platform: StandinPlatform, gateway: Gateway, hang: float, events: int
) -> None:
    engine = platform.servers["dec-1"]
    engine.pause, engine.behave = 0.02, hang_after(events, hang, [])
    answer = call_and_close_writing(gateway, STREAM)
    assert (answer.status, answer.whole, answer.body) == (200, True, EVENTS)


def read_after_closing_in_stream(gateway: Gateway, events: int) -> Answer:
    """Close the writing side of a caller once some events have come, and read on."""
    with send(gateway, make_stream_request("reads")) as caller:
        received = b""
        while received.count(b"data: ") < events or b"\r\n\r\n" not in received:
            received += caller.recv(65536)
        caller.shutdown(socket.SHUT_WR)
        received += read_all(caller)
    response = http.client.HTTPResponse(ReceivedAnswer(received))  # type: ignore[arg-type]
    response.begin()
    return Answer(response)


class ReceivedAnswer:
    """Bytes in the place of a socket."""

    def __init__(self, received: bytes) -> None:
        self._received = received

    def makefile(self, _mode: str) -> BytesIO:
        return BytesIO(self._received)


# guards against a probe that changes the answer of a caller which still reads
@pytest.mark.parametrize("hang", [0.4, 1.5, 3.2])
@pytest.mark.parametrize("events", [0, 2, 5, 6])
def test_a_caller_that_still_reads_a_hanging_stream_gets_all_of_it(
    platform: StandinPlatform, gateway: Gateway, hang: float, events: int
) -> None:
    engine = platform.servers["dec-1"]
    engine.pause, engine.behave = 0.02, hang_after(events, hang, [])
    answer = read_after_closing_in_stream(gateway, events)
    assert (answer.status, answer.whole) == (200, True)
    # a stream that ends after a probe ends with a blank line, which is no event
    assert answer.body == (EVENTS + b"\n" if events == 6 else EVENTS)


# guards against a stream that is cut after a probe and looks complete
def test_a_stream_that_is_cut_after_a_probe_does_not_look_complete(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    def cut(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        server.stream(handler, seen, 2)
        time.sleep(WORK_SECONDS)
        reset(handler)
        return True

    platform.servers["dec-1"].behave = cut
    answer = read_after_closing_in_stream(gateway, 2)
    assert not answer.whole
    assert EVENTS.startswith(answer.body)


# a caller that closes its connection sends the same as one that closes its writing side only
def test_a_caller_that_is_gone_is_noticed_soon(platform: StandinPlatform, gateway: Gateway) -> None:
    platform.servers["app-1"].behave = work_long
    send(gateway, make_request("gone")).close()
    wait_running(platform, "gone")
    began = time.monotonic()
    wait_for(lambda: read_counter(gateway, "requests")["caller_gone"] == 1, "noticed")
    assert time.monotonic() - began < NOTICE_SECONDS


# a caller that has closed its writing side sends nothing when it goes
def test_a_caller_that_goes_later_is_noticed(platform: StandinPlatform, gateway: Gateway) -> None:
    platform.servers["app-1"].behave = work_long
    caller = send(gateway, make_request("gone"))
    caller.shutdown(socket.SHUT_WR)
    wait_running(platform, "gone")
    time.sleep(2 * NOTICE_SECONDS / 5)
    assert read_counter(gateway, "requests")["caller_gone"] == 0
    began = time.monotonic()
    caller.close()
    wait_for(lambda: read_counter(gateway, "requests")["caller_gone"] == 1, "noticed")
    assert time.monotonic() - began < LONG_WORK_SECONDS / 2


def test_a_request_that_can_not_become_whole_is_closed(gateway: Gateway) -> None:
    with send(gateway, make_request("half")[:-2]) as caller:
        caller.shutdown(socket.SHUT_WR)
        began = time.monotonic()
        assert read_all(caller) == b""
        assert time.monotonic() - began < NOTICE_SECONDS
    assert wait_for(lambda: read_counter(gateway, "partial_requests")["caller"] == 1, "counted")


def test_a_reset_is_noticed(platform: StandinPlatform, gateway: Gateway) -> None:
    platform.servers["app-1"].behave = work_long
    caller = send(gateway, make_request("reset"))
    wait_running(platform, "reset")
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    caller.close()
    wait_for(lambda: read_counter(gateway, "requests")["caller_gone"] == 1, "noticed")
