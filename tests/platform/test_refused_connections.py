"""Calls to servers that refuse connections wait for them without a busy loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Answer, Gateway, StandinPlatform
from platform_standin import PLAIN, SeenRequest, StandinServer

APPS = ("app-1", "app-2")


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    for name in APPS:
        platform.add(StandinServer(name, "apps"))
    return platform.wait_known(platform.add_gateway())


def stop_all(platform: StandinPlatform) -> None:
    for server in platform.servers.values():
        server.stop_listening()
    # a thread that polls a listening socket keeps it open until its poll ends
    time.sleep(0.1)


def measure(call: Callable[[], Answer]) -> tuple[Answer, float]:
    began = time.monotonic()
    answer = call()
    return answer, time.monotonic() - began


# a call whose second server refused the connection waited for its deadline
def test_a_failed_answer_is_passed_on_at_once_when_the_other_server_refuses(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        stop_all(platform)
        server.reply(handler, 500, b"failed", server.sign(seen.headers["x-request-id"]))
        return True

    for name in APPS:
        platform.servers[name].behave = behave
    answer, took = measure(lambda: gateway.call(PLAIN + "x"))
    assert (answer.status, answer.body) == (500, b"failed")
    assert took < 0.5
