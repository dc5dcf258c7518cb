"""Odd requests of callers get an answer, and harm no other call."""

from __future__ import annotations

import http.client
import socket
import time

import pytest
from gateway_process import WAIT, Gateway, StandinPlatform
from platform_standin import HOST, KEY, ORDERS, PLAIN, RESUMED, StandinServer

SOON = 1.5


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    platform.add(StandinServer("dec-1", "llm", "decode"))
    return platform.wait_known(platform.add_gateway())


def make_request(path: str, line: bytes = b"", body: bytes = b"", method: bytes = b"POST") -> bytes:
    head = f" {path} HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    head += f"X-Request-Id: odd\r\nX-Deadline-Ms: 4000\r\nContent-Length: {len(body)}\r\n"
    return method + head.encode("latin-1") + line + b"\r\n" + body


def open_caller(gateway: Gateway) -> socket.socket:
    return socket.create_connection(("127.0.0.1", gateway.front), timeout=WAIT)


def read_status(caller: socket.socket) -> int:
    """Return the status of the next answer, 0 without one."""
    response = http.client.HTTPResponse(caller)
    try:
        response.begin()
        response.read()
    except (OSError, http.client.HTTPException):
        return 0
    return response.status


def read_statuses(caller: socket.socket, count: int) -> list[int]:
    """Return the statuses of the next answers, which may have arrived together."""
    statuses = []
    with caller.makefile("rb") as received:
        for _ in range(count):
            statuses.append(int(received.readline().split()[1]))
            headers = http.client.parse_headers(received)
            received.read(int(headers["Content-Length"]))
    return statuses


# the call waited for its deadline, or each server was tried in vain
@pytest.mark.parametrize(
    "request_bytes",
    [
        make_request(PLAIN + "x", b"X-Odd: a\x0bb\r\n"),
        make_request(PLAIN + "x", b"X-Odd: a\x0c\r\n"),
        make_request(PLAIN + "x\x80"),
        make_request(PLAIN + "x\x01"),
        make_request(RESUMED + "x", b"X-Odd: a\x0bb\r\n"),
        make_request(PLAIN + "x", method=b"G(T"),
        make_request(PLAIN + "x", b"X Odd: a\r\n"),
    ],
    ids=["tab", "feed", "target", "control in target", "stream", "method", "name"],
)
def test_a_request_that_cannot_be_forwarded_is_refused_as_malformed(
    platform: StandinPlatform, gateway: Gateway, request_bytes: bytes
) -> None:
    with open_caller(gateway) as caller:
        caller.sendall(request_bytes)
        began = time.monotonic()
        assert read_status(caller) == 400
        assert time.monotonic() - began < SOON
    assert not [server for server in platform.servers.values() if server.runs]
    assert gateway.call(PLAIN + "x").status == 200


# the connection was reset while the body was sent
# a second one was passed on: the account was charged by the first
@pytest.mark.parametrize("name", ["X-Token-Count", "X-Request-Id", "x-deadline-ms", "Host"])
def test_a_header_that_comes_twice_is_refused_before_it_is_charged(
    platform: StandinPlatform, gateway: Gateway, name: str
) -> None:
    line = f"{name}: 1,1\r\n{name}: 5,5\r\n".encode()
    with open_caller(gateway) as caller:
        caller.sendall(make_request(PLAIN + "x", line))
        assert read_status(caller) == 400
    assert not platform.servers["app-1"].seen
    assert not gateway.lines("call:admitted")


def test_a_body_far_over_the_limit_gets_an_answer(gateway: Gateway) -> None:
    body = b"x" * (3 << 20)
    with open_caller(gateway) as caller:
        caller.sendall(make_request(ORDERS + "1", body=body))
        assert read_status(caller) == 413


# shows that a caller which waits for leave to send its body gets one answer
@pytest.mark.parametrize(("length", "status"), [(10, 200), (200_000, 413)])
def test_a_caller_that_waits_for_leave_to_send_its_body_is_answered(
    gateway: Gateway, length: int, status: int
) -> None:
    request = make_request(ORDERS + "1", b"Expect: 100-continue\r\n", b"x" * length)
    head, _, body = request.partition(b"\r\n\r\n")
    with open_caller(gateway) as caller:
        caller.sendall(head + b"\r\n\r\n")
        caller.sendall(body)
        assert read_status(caller) == status


# shows that a request which arrives behind another one is answered after it
@pytest.mark.parametrize("reads_after", [0.0, 0.5])
def test_requests_sent_at_once_are_answered_in_turn(gateway: Gateway, reads_after: float) -> None:
    with open_caller(gateway) as caller:
        caller.sendall(make_request(PLAIN + "x") * 3)
        time.sleep(reads_after)
        assert read_statuses(caller, 3) == [200, 200, 200]
