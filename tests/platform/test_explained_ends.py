"""``lavenderrun explain`` tells from the log of a gateway how a request ended."""

from __future__ import annotations

import socket
import time
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Gateway, StandinPlatform, wait_for
from misbehaviour import break_after
from platform_standin import HOST, KEY, PLAIN, STREAM, SeenRequest, StandinServer

from lavenderrun.commands import main

SLOW_SECONDS = 2.0


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("dec-1", "llm", "decode"))
    return platform.wait_known(platform.add_gateway())


def run_slowly(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
    time.sleep(SLOW_SECONDS)
    return False


def explain(gateway: Gateway, request: str, capsys: pytest.CaptureFixture[str]) -> str:
    """Return what ``explain`` says last about a request."""
    assert main(["explain", request, str(gateway.log)]) == 0
    return capsys.readouterr().out.splitlines()[-1].partition(": ")[2]


def send_request(gateway: Gateway, request: str) -> socket.socket:
    head = f"GET {PLAIN}x HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    caller = socket.create_connection(("127.0.0.1", gateway.front), timeout=10)
    caller.sendall(f"{head}X-Request-Id: {request}\r\nX-Deadline-Ms: 9000\r\n\r\n".encode())
    return caller


def test_whole_answers_refusals_and_broken_streams(
    platform: StandinPlatform, gateway: Gateway, capsys: pytest.CaptureFixture[str]
) -> None:
    gateway.call(PLAIN + "x", request="whole")
    gateway.call("/unknown/", request="refused")
    platform.servers["dec-1"].behave = break_after(2)
    gateway.generate(STREAM + "x", request="broken")
    wait_for(lambda: gateway.lines("call:cut"), "logged")
    assert explain(gateway, "whole", capsys) == "the whole answer was passed on  status=200"
    assert explain(gateway, "refused", capsys).startswith("refused  reason=")
    broken = "broken off after its answer had begun  detail=engine lost last=2"
    assert explain(gateway, "broken", capsys) == broken


def test_a_caller_that_left(
    platform: StandinPlatform, gateway: Gateway, capsys: pytest.CaptureFixture[str]
) -> None:
    platform.servers["app-1"].behave = run_slowly
    with send_request(gateway, "gone"):
        wait_for(lambda: gateway.lines("call:send"), "sent")
    wait_for(lambda: gateway.lines("call:cancelled"), "cancelled")
    assert explain(gateway, "gone", capsys) == "the caller left before the end of the answer"


def test_a_request_that_stopped_coming_in(
    platform: StandinPlatform, capsys: pytest.CaptureFixture[str]
) -> None:
    platform.configure(limits={"idle-timeout-ms": 500, "max-body-bytes": 100000})
    gateway = platform.add_gateway().wait_ready()
    with socket.create_connection(("127.0.0.1", gateway.front), timeout=10) as caller:
        caller.sendall(b"POST / HTTP/1.1\r\nX-Request-Id: half\r\nContent-Length: 9\r\n\r\nhalf")
        assert caller.recv(100) == b""
    wait_for(lambda: gateway.lines("requests:partial"), "logged")
    half = "the connection closed before the request was read whole  "
    assert explain(gateway, "half", capsys) == f"{half}closed_by=idle_timeout received_bytes=4"
