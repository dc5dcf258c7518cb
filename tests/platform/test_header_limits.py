"""Heads of requests, up to the limit in force and beyond it."""

from __future__ import annotations

import http.client
import json
import socket
import time
from typing import Any

import pytest
from gateway_process import WAIT, Gateway, StandinPlatform, wait_for
from platform_standin import HOST, KEY, PLAIN, StandinServer, make_config

OLD_LIMIT, NEW_LIMIT = 16384, 32768

LONG_HEADS = {
    "two lines": [9000, 9000],
    "one line": [30000],
    "many lines": [10] * 1500,
}
OVERSIZED_HEADS = {
    "one line": [40000],
    "one endless line": [400_000],
    "two lines": [20000, 20000],
    "many lines": [10] * 4000,
}


@pytest.fixture(autouse=True)
def _many_headers(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let the stand-in server read more headers than Python's usual 100."""
    monkeypatch.setattr(http.client, "_MAXHEADERS", 10_000)


def make_limits(header_bytes: int) -> dict[str, int]:
    return {**make_config(1)["limits"], "header-bytes": header_bytes}


def start_gateway(platform: StandinPlatform, header_bytes: int) -> Gateway:
    platform.configure(limits=make_limits(header_bytes))
    platform.add(StandinServer("app-1", "apps"))
    return platform.wait_known(platform.add_gateway())


def change_limit(platform: StandinPlatform, gateway: Gateway, header_bytes: int) -> None:
    platform.configure(limits=make_limits(header_bytes))
    wait_for(lambda: len(gateway.lines("configuration:in_force")) > 1, "new version in force")


def connect(gateway: Gateway) -> socket.socket:
    return socket.create_connection(("127.0.0.1", gateway.front), WAIT)


def call(connection: socket.socket, lengths: list[int], request: str) -> tuple[int, dict[str, Any]]:
    """Send a call with lines of those lengths; return status and body, status 0 without one."""
    lines = [f"X{n:04}: ".ljust(length, "x") for n, length in enumerate(lengths)]
    head = f"GET {PLAIN}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
    head += f"X-Deadline-Ms: 4000\r\nAuthorization: Bearer {KEY}\r\n"
    connection.sendall((head + "\r\n".join(lines) + "\r\n\r\n").encode())
    answer = b""
    while b"\r\n\r\n" not in answer:
        piece = connection.recv(65536)
        if not piece:
            return 0, {}
        answer += piece
    found, _, body = answer.partition(b"\r\n\r\n")
    status = int(found.split()[1])
    if status == 200:
        return status, {}
    while piece := connection.recv(65536):
        body += piece
    return status, json.loads(body)


def send_on(connection: socket.socket) -> None:
    """Send a line of a head that does not end."""
    connection.sendall(b"GET / HTTP/1.1\r\nX: ")
    until = time.monotonic() + WAIT
    while time.monotonic() < until:
        connection.sendall(b"x" * 1000)
        time.sleep(0.01)


# 400 or no answer at all: the limit of the HTTP library was in force instead of the operator's
@pytest.mark.parametrize("kind", LONG_HEADS)
def test_a_limit_that_was_raised_is_kept_on_open_and_new_connections(
    platform: StandinPlatform, kind: str
) -> None:
    gateway = start_gateway(platform, OLD_LIMIT)
    with connect(gateway) as earlier:
        assert call(earlier, [100], "a")[0] == 200
        change_limit(platform, gateway, NEW_LIMIT)
        assert call(earlier, LONG_HEADS[kind], "b")[0] == 200
    with connect(gateway) as later:
        assert call(later, LONG_HEADS[kind], "c")[0] == 200
    assert platform.servers["app-1"].runs == ["a", "b", "c"]


# as above, for a limit in force from the start
@pytest.mark.parametrize("kind", LONG_HEADS)
def test_a_limit_in_force_from_the_start_is_kept(platform: StandinPlatform, kind: str) -> None:
    gateway = start_gateway(platform, NEW_LIMIT)
    with connect(gateway) as connection:
        assert call(connection, LONG_HEADS[kind], "a")[0] == 200
        # a second request on the connection has the whole limit again
        assert call(connection, LONG_HEADS[kind], "b")[0] == 200


# a long line ended its connection without any answer, more lines got 400 without a word
@pytest.mark.parametrize("kind", OVERSIZED_HEADS)
@pytest.mark.parametrize("before", [0, 1])
def test_a_head_over_the_limit_is_refused_with_the_limit(
    platform: StandinPlatform, kind: str, before: int
) -> None:
    gateway = start_gateway(platform, NEW_LIMIT)
    with connect(gateway) as connection:
        for number in range(before):
            assert call(connection, [100], str(number))[0] == 200
        status, body = call(connection, OVERSIZED_HEADS[kind], "long")
    assert status == 431
    assert body["outcome"] == "not-run"
    assert str(NEW_LIMIT) in body["detail"]
    assert "long" not in platform.servers["app-1"].runs
    assert gateway.call(PLAIN + "x").status == 200


# guards against a lowered limit that is not enforced
def test_a_limit_that_was_lowered_is_kept(platform: StandinPlatform) -> None:
    gateway = start_gateway(platform, NEW_LIMIT)
    with connect(gateway) as connection:
        assert call(connection, LONG_HEADS["two lines"], "a")[0] == 200
        change_limit(platform, gateway, OLD_LIMIT)
        assert call(connection, LONG_HEADS["two lines"], "b")[0] == 431


# guards against a refused caller that goes on sending being kept
def test_a_caller_that_sends_on_after_the_refusal_is_closed(platform: StandinPlatform) -> None:
    limits = {**make_limits(OLD_LIMIT), "header-timeout-ms": 1000, "idle-timeout-ms": 1000}
    platform.configure(limits=limits)
    platform.add(StandinServer("app-1", "apps"))
    gateway = platform.wait_known(platform.add_gateway())
    with connect(gateway) as connection, pytest.raises(OSError, match=r"reset|pipe"):
        send_on(connection)
