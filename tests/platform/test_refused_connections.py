"""Calls to servers that refuse connections wait for them without a busy loop."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Answer, Gateway, StandinPlatform, wait_for
from misbehaviour import break_after
from platform_standin import ORDERS, PLAIN, RESUMED, STREAM, SeenRequest, StandinServer

ENGINES = ("dec-1", "dec-2", "dec-3")
APPS = ("app-1", "app-2")
MAX_TRIES_PER_SECOND = 4
"""Tries of one server a second, after the first few."""

FIRST_TRIES = 4
RETURN_SECONDS = 0.8
"""Time within which a server that is back is found, with the time of the answer itself."""


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    for name in ENGINES:
        platform.add(StandinServer(name, "llm", "decode"))
    for name in APPS:
        platform.add(StandinServer(name, "apps"))
    return platform.wait_known(platform.add_gateway())


def stop_all(platform: StandinPlatform) -> None:
    for server in platform.servers.values():
        server.stop_listening()
    # a thread that polls a listening socket keeps it open until its poll ends
    time.sleep(0.1)


def count_tries(gateway: Gateway) -> int:
    """Return how many connections to servers were refused to calls."""
    refused = [line for line in gateway.lines("call:attempt") if line["result"] == "unreachable"]
    return len(gateway.lines("call:unreachable")) + len(refused)


def measure(call: Callable[[], Answer]) -> tuple[Answer, float]:
    began = time.monotonic()
    answer = call()
    return answer, time.monotonic() - began


def check_tries(gateway: Gateway, seconds: float, servers: int) -> None:
    tries = count_tries(gateway)
    assert 0 < tries <= servers * (FIRST_TRIES + MAX_TRIES_PER_SECOND * seconds)
    assert not gateway.lines("log:dropped")


# one call was tried over a hundred times a second, until its deadline
@pytest.mark.parametrize("path", [STREAM, RESUMED], ids=["once", "resumable"])
def test_a_stream_that_every_engine_refuses_is_tried_a_few_times(
    platform: StandinPlatform, gateway: Gateway, path: str
) -> None:
    stop_all(platform)
    answer, took = measure(lambda: gateway.generate(path + "x"))
    assert answer.status == 503
    assert b"no engine could be reached" in answer.body
    assert float(answer.headers["retry-after"]) > 0
    check_tries(gateway, took, len(ENGINES))


def test_a_begun_stream_that_every_other_engine_refuses_is_tried_a_few_times(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    breaks = break_after(2)

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        stop_all(platform)
        return breaks(server, handler, seen)

    for name in ENGINES:
        platform.servers[name].behave = behave
    answer, took = measure(lambda: gateway.generate(RESUMED + "x"))
    assert (answer.status, answer.whole) == (200, False)
    assert took < 4
    check_tries(gateway, took, len(ENGINES))
    details = [line["detail"] for line in gateway.lines("call:cut")]
    assert details == ["engine lost, no other could be reached"]


def test_many_waiting_calls_try_a_server_no_oftener_than_one(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    gateway.generate(STREAM + "x", request="first")
    stop_all(platform)
    gateway.generate(STREAM + "x", request="alone")
    before = count_tries(gateway)
    with ThreadPoolExecutor(20) as threads:
        began = time.monotonic()
        calls = [
            threads.submit(gateway.generate, RESUMED + "x", request=f"m{number}")
            for number in range(20)
        ]
        assert {call.result().status for call in calls} == {503}
        took = time.monotonic() - began
    assert count_tries(gateway) - before <= len(ENGINES) * (1 + MAX_TRIES_PER_SECOND * took)


@pytest.mark.parametrize("method", ["GET", "POST"], ids=["plain call", "order"])
def test_plain_calls_and_orders_are_tried_a_few_times(
    platform: StandinPlatform, gateway: Gateway, method: str
) -> None:
    stop_all(platform)
    path = PLAIN + "x" if method == "GET" else ORDERS + "1"
    answer, took = measure(lambda: gateway.call(path, method))
    assert answer.status == 503
    assert b"no backend server could be reached" in answer.body
    assert float(answer.headers["retry-after"]) > 0
    assert took < 0.5
    check_tries(gateway, took, len(APPS))


@pytest.mark.parametrize("down_seconds", [0.3, 1.2])
def test_a_stream_finds_an_engine_that_is_back(
    platform: StandinPlatform, gateway: Gateway, down_seconds: float
) -> None:
    stop_all(platform)
    back: list[float] = []

    def return_one() -> None:
        back.append(time.monotonic())
        platform.servers["dec-2"].start_again()

    timer = threading.Timer(down_seconds, return_one)
    timer.start()
    answer = gateway.generate(RESUMED + "x")
    ended = time.monotonic()
    timer.join()
    assert (answer.status, answer.whole) == (200, True)
    assert ended - back[0] < RETURN_SECONDS


def test_a_stream_finds_a_new_engine_at_once(platform: StandinPlatform, gateway: Gateway) -> None:
    stop_all(platform)
    added: list[float] = []

    def add_one() -> None:
        added.append(time.monotonic())
        platform.add(StandinServer("dec-4", "llm", "decode"))

    timer = threading.Timer(1.0, add_one)
    timer.start()
    answer = gateway.generate(STREAM + "x")
    ended = time.monotonic()
    timer.join()
    assert (answer.status, answer.whole) == (200, True)
    assert ended - added[0] < 0.4


def test_a_plain_call_finds_a_server_that_is_back(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    stop_all(platform)
    threading.Timer(0.1, platform.servers["app-1"].start_again).start()
    assert gateway.call(PLAIN + "x").status == 200


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


def test_a_stream_with_little_time_left_is_refused_at_once(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    stop_all(platform)
    gateway.generate(STREAM + "x", request="first")
    wait_for(lambda: gateway.lines("call:refused"), "refused")
    sizes = {"X-Model": "m", "X-Token-Count": "100,50", "X-Deadline-Ms": "100"}
    began = time.monotonic()
    answers = [
        gateway.call(STREAM + "x", "POST", request=f"s{number}", headers=sizes)
        for number in range(5)
    ]
    assert time.monotonic() - began < 0.4
    assert {answer.status for answer in answers} == {503}
    assert all(float(answer.headers["retry-after"]) > 0 for answer in answers)
