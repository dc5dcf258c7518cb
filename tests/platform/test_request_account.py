"""A gateway's account of requests, on its metrics page and in its log."""

from __future__ import annotations

import re
import socket

import pytest
from gateway_process import Gateway, StandinPlatform, wait_for
from platform_standin import HOST, KEY, ORDERS, PLAIN, RESUMED, StandinServer, make_config

IDLE_SECONDS = 0.5


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    limits = {**make_config(1)["limits"], "idle-timeout-ms": int(IDLE_SECONDS * 1000)}
    platform.configure(limits=limits)
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    platform.add(StandinServer("dec-1", "llm", "decode"))
    return platform.wait_known(platform.add_gateway())


def read_counter(gateway: Gateway, name: str) -> dict[str, float]:
    page = gateway.get(gateway.metrics, "/metrics").body.decode()
    found = re.findall(rf'^lavenderrun_gateway_{name}_total{{\w+="(\w+)"}} (\S+)$', page, re.M)
    return {label: float(value) for label, value in found}


def test_every_request_that_was_read_whole_is_counted_by_its_end(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for number in range(3):
        assert gateway.call(PLAIN + "x", request=f"plain-{number}").status == 200
    assert gateway.generate(RESUMED + "x", request="stream").whole
    assert gateway.call("/unknown/", request="refused").status == 404
    ends = read_counter(gateway, "requests")
    expected = {"answered": 4, "refused": 1, "broken_off": 0, "caller_gone": 0, "unanswered": 0}
    assert ends == expected
    assert set(read_counter(gateway, "unanswered_requests").values()) == {0}


# the log did not tell who had closed a connection over which a request came in
def test_a_request_that_stops_coming_in_is_logged_with_who_closed(gateway: Gateway) -> None:
    head = f"POST {ORDERS}1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    head += "X-Request-Id: half\r\nContent-Length: 100\r\n\r\n"
    with socket.create_connection(("127.0.0.1", gateway.front), timeout=10) as caller:
        caller.sendall(head.encode() + b"half")
        assert caller.recv(100) == b""
    (line,) = wait_for(lambda: gateway.lines("requests:partial"), "logged")
    found = {name: line[name] for name in ("request", "closed_by", "received_bytes")}
    assert found == {"request": "half", "closed_by": "idle_timeout", "received_bytes": 4}
    assert read_counter(gateway, "partial_requests")["idle_timeout"] == 1
