"""Callers and servers that stop reading for a while, and hosts that are gone without a word."""

from __future__ import annotations

import signal
import socket
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import WAIT, Gateway, StandinPlatform, wait_for
from lost_hosts import drop_all_segments
from platform_standin import (
    HOST,
    KEY,
    ORDERS,
    PLAIN,
    RESUMED,
    STREAM,
    SeenRequest,
    StandinServer,
    make_config,
)

RECEIVE_BUFFER = 32768
EVENTS, EVENT_BYTES = 160, 2000
LARGE_BODY = b"x" * (1 << 20)
PAUSE = 4.5
ALLOWED_SECONDS = 3.0
SLACK_SECONDS = 1.5


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    config = make_config(1)
    for route in config["routes"]:
        route["timeout-ms"] = 20000
    platform.configure(routes=config["routes"], limits={"max-body-bytes": 4 << 20})
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    platform.add(StandinServer("dec-1", "llm", "decode"))
    return platform.wait_known(platform.add_gateway())


@dataclass
class LargeAnswers:
    """Sends much in each answer.

    :ivar events: events of a stream.
    :ivar pause: seconds between two of them.
    :ivar broken_at: when an answer could not be sent to its end, one entry each.
    """

    events: int = EVENTS
    pause: float = 0.002
    broken_at: list[float] = field(default_factory=list)

    def serve(
        self, server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
    ) -> bool:
        if seen.headers.get("x-stage") == "prefill":
            return False
        server.runs.append(seen.headers["x-request-id"])
        try:
            if server.stage is None:
                headers = server.sign(seen.headers["x-request-id"])
                server.reply(handler, 200, LARGE_BODY, headers)
            else:
                self._stream(server, handler, seen)
        except OSError:
            self.broken_at.append(time.monotonic())
        return True

    def _stream(
        self, server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
    ) -> None:
        server.stream(handler, seen, 0)
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: {'x' * EVENT_BYTES}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.pause)
        handler.wfile.write(b"0\r\n\r\n")


@pytest.fixture
def answers(platform: StandinPlatform, gateway: Gateway) -> LargeAnswers:
    found = LargeAnswers()
    for server in platform.servers.values():
        server.behave = found.serve
    return found


def open_caller(gateway: Gateway, path: str) -> socket.socket:
    """Send a request over a connection with a small receive buffer."""
    caller = socket.socket()
    caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
    caller.settimeout(WAIT)
    caller.connect(("127.0.0.1", gateway.front))
    head = f"GET {path}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    head += "X-Request-Id: slow\r\nX-Deadline-Ms: 19000\r\nX-Model: m\r\n"
    caller.sendall((head + "X-Token-Count: 100,50\r\nX-Prefix-Hash: ab:100\r\n\r\n").encode())
    return caller


def pause_reading(caller: socket.socket, seconds: float) -> bytes:
    """Read the beginning of an answer, then nothing for *seconds*."""
    time.sleep(0.3)
    begun = caller.recv(8192)
    time.sleep(seconds)
    return begun


def read_on(caller: socket.socket, begun: bytes, end: Callable[[bytearray], bool]) -> bytes:
    found = bytearray(begun)
    while not end(found):
        piece = caller.recv(65536)
        assert piece, "the answer was cut off"
        found += piece
    return bytes(found)


def is_whole_stream(found: bytearray) -> bool:
    return found.endswith(b"\r\n0\r\n\r\n")


def is_whole_body(found: bytearray) -> bool:
    return len(found.partition(b"\r\n\r\n")[2]) >= len(LARGE_BODY)


# the kernel reset the connection after three seconds, though the caller acknowledged each probe
@pytest.mark.parametrize("path", [STREAM, RESUMED, PLAIN])
def test_a_caller_that_stops_reading_for_a_while_gets_its_whole_answer(
    gateway: Gateway, answers: LargeAnswers, path: str
) -> None:
    with open_caller(gateway, path) as caller:
        begun = pause_reading(caller, PAUSE)
        is_whole = is_whole_body if path == PLAIN else is_whole_stream
        found = read_on(caller, begun, is_whole)
    if path != PLAIN:
        assert found.count(b"\ndata: ") == EVENTS
    assert not answers.broken_at


# as above, while the gateway stops as planned
def test_a_planned_stop_leaves_paused_callers_their_answers(
    gateway: Gateway, answers: LargeAnswers
) -> None:
    with open_caller(gateway, STREAM) as caller:
        time.sleep(0.2)
        assert gateway.popen is not None
        gateway.popen.send_signal(signal.SIGTERM)
        begun = pause_reading(caller, PAUSE)
        assert read_on(caller, begun, is_whole_stream).count(b"\ndata: ") == EVENTS
    assert not answers.broken_at


# guards against an upload being cut because its server reads it late
def test_an_upload_to_a_server_that_reads_late_comes_whole(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    server = platform.servers["app-1"]
    server.reads_after = PAUSE
    answer = gateway.call(
        ORDERS + "1", "POST", body=LARGE_BODY * 3, headers={"X-Deadline-Ms": "15000"}
    )
    assert answer.status == 200
    assert [len(seen.body) for seen in server.seen if seen.path == ORDERS + "1"] == [3 << 20]


# guards against an engine working on for a caller whose host is gone
def test_a_caller_that_is_gone_without_a_word_is_found_in_time(
    gateway: Gateway, answers: LargeAnswers
) -> None:
    answers.pause = 0.1
    with open_caller(gateway, STREAM) as caller:
        assert b" 200 " in pause_reading(caller, 0.5)
        drop_all_segments(caller)
        gone_at = time.monotonic()
        wait_for(lambda: answers.broken_at, "call of a lost caller cancelled")
    assert answers.broken_at[0] - gone_at < ALLOWED_SECONDS + SLACK_SECONDS
    (line,) = gateway.lines("connections:lost")
    assert line["side"] == "callers"
    assert line["unacknowledged"]


# as above, for a caller that had stopped reading, so that only probes were sent to it
def test_a_caller_that_is_gone_while_it_does_not_read_is_found(
    gateway: Gateway, answers: LargeAnswers
) -> None:
    answers.events = EVENTS * 100
    with open_caller(gateway, STREAM) as caller:
        assert b" 200 " in pause_reading(caller, 1.0)
        drop_all_segments(caller)
        wait_for(lambda: answers.broken_at, "call of a lost caller cancelled")
    (line,) = gateway.lines("connections:lost")
    assert line["unanswered_probes"] >= 2


# guards against a call waiting for its deadline at a server whose host is gone
def test_a_server_that_is_gone_without_a_word_is_found_in_time(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    platform.servers["app-1"].lose_host()
    began = time.monotonic()
    answer = gateway.call(ORDERS + "1", "POST", body=b"x", headers={"X-Deadline-Ms": "15000"})
    assert answer.status == 502
    assert time.monotonic() - began < ALLOWED_SECONDS + SLACK_SECONDS
    assert gateway.lines("connections:lost")


# guards against a host that acknowledges being taken for a lost one while many callers pause
def test_many_paused_callers_get_their_answers(gateway: Gateway, answers: LargeAnswers) -> None:
    found: list[bytes] = []

    def call(number: int) -> None:
        with open_caller(gateway, PLAIN) as caller:
            begun = pause_reading(caller, PAUSE + number / 10)
            found.append(read_on(caller, begun, is_whole_body))

    callers = [threading.Thread(target=call, args=(number,)) for number in range(20)]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join(WAIT * 2)
    assert len(found) == len(callers)
