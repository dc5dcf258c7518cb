"""What a gateway holds for all calls together stays within its memory."""

from __future__ import annotations

import socket
import threading
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import ExitStack, suppress
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Answer, Gateway, StandinPlatform, wait_for
from platform_standin import HOST, KEY, ORDERS, PLAIN, STREAM, SeenRequest, StandinServer
from test_endless_answers import (
    ANSWERS,
    CHUNK,
    EVENT_STREAM,
    FIRST_EVENT,
    HEAD,
    MEGABYTE,
    EndlessAnswer,
    measure_memory,
)

MEMORY_MB = 128
GROWTH_LIMIT = 48 * MEGABYTE
CALM_SECONDS = 1.0
LONG_ANSWER = b"long " * MEGABYTE
UPLOAD = b"u" * (4 * MEGABYTE)
AT_ONCE = 50


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    """A gateway of the smallest memory before one faulty and one sound server of each kind."""
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    platform.add(StandinServer("dec-1", "llm", "decode"))
    limits = {"idle-timeout-ms": 15000, "max-body-bytes": len(UPLOAD)}
    platform.configure(limits=limits)
    found = platform.add_gateway(limits={"memory-mb": MEMORY_MB})
    platform.wait_known(found)
    # what the first calls load is no growth
    found.call(ORDERS + "first", "POST", body=b"x", request="first")
    found.generate(STREAM + "x", request="first-stream")
    return found


class CalmCaller:
    """Streams while other calls are in trouble, and keeps the longest time to an answer."""

    def __init__(self, gateway: Gateway) -> None:
        self.statuses: list[int] = []
        self.slowest = 0.0
        self._gateway = gateway
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._call)

    def __enter__(self) -> CalmCaller:
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._stopping.set()
        self._thread.join()

    def _call(self) -> None:
        is_stopping = False
        while not is_stopping:
            began = time.monotonic()
            name = f"calm-{len(self.statuses)}"
            answer = self._gateway.generate(STREAM + "x", request=name)
            self.statuses.append(answer.status if answer.whole else 0)
            self.slowest = max(self.slowest, time.monotonic() - began)
            is_stopping = self._stopping.wait(0.05)


def check_empty(gateway: Gateway) -> None:
    def is_empty() -> bool:
        page = gateway.get(gateway.metrics, "/metrics").body.decode()
        held = [
            float(line.split()[-1])
            for line in page.splitlines()
            if line.startswith("lavenderrun_gateway_held_bytes") and 'kind="limit"' not in line
        ]
        return bool(held) and not any(held)

    wait_for(is_empty, "nothing is held")


def call_at_once(gateway: Gateway, method: str = "POST", body: bytes = b"x") -> list[Answer]:
    def call(number: int) -> Answer:
        path = f"{ORDERS if method == 'POST' else PLAIN}{number}"
        return gateway.call(path, method, body=body, request=f"call-{number}")

    with ThreadPoolExecutor(AT_ONCE) as threads:
        return list(threads.map(call, range(AT_ONCE)))


ENDLESS = {
    name: ANSWERS[name] for name in ("chunks", "body without length", "error body", "header line")
} | {"length": (HEAD + b"Content-Length: 99999999999\r\n\r\n", b"b" * 65536)}


# each answer was bounded and their sum was not: 40 at once took 285 to 320 MB
@pytest.mark.parametrize("kind", ENDLESS)
def test_answers_without_end_of_one_server_cost_little_memory_and_no_other_call(
    platform: StandinPlatform, gateway: Gateway, kind: str
) -> None:
    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        return EndlessAnswer(*ENDLESS[kind])(server, handler, seen)

    platform.servers["app-1"].behave = behave
    before = measure_memory(gateway)
    with CalmCaller(gateway) as calm:
        answers = call_at_once(gateway)
    assert {answer.status for answer in answers} <= {502, 503, 504}
    assert set(calm.statuses) == {200}
    assert measure_memory(gateway) - before < GROWTH_LIMIT
    check_empty(gateway)


def test_events_without_end_cost_little_memory(platform: StandinPlatform, gateway: Gateway) -> None:
    chunk = b"%x\r\n%s\r\n" % (len(FIRST_EVENT), FIRST_EVENT)

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        return EndlessAnswer(EVENT_STREAM + chunk, CHUNK)(server, handler, seen)

    platform.servers["dec-1"].behave = behave
    before = measure_memory(gateway)
    with ThreadPoolExecutor(AT_ONCE) as threads:
        answers = list(
            threads.map(lambda n: gateway.generate(STREAM + "x", request=f"s{n}"), range(AT_ONCE))
        )
    assert not any(answer.whole and answer.status == 200 for answer in answers)
    assert measure_memory(gateway) - before < GROWTH_LIMIT
    check_empty(gateway)


def answer_long(_server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
    request = seen.headers["x-request-id"].encode()
    head = HEAD.replace(b"REQUEST", request) + b"Content-Length: %d\r\n\r\n" % len(LONG_ANSWER)
    with suppress(OSError):
        handler.wfile.write(head + LONG_ANSWER)
    return True


# all that waited for room had a part of it
def test_sound_long_answers_all_pass_one_after_the_other(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    platform.servers["app-1"].behave = answer_long
    before = measure_memory(gateway)
    answers = call_at_once(gateway)
    assert [answer.status for answer in answers] == [200] * AT_ONCE
    assert all(answer.body == LONG_ANSWER for answer in answers)
    assert measure_memory(gateway) - before < GROWTH_LIMIT
    check_empty(gateway)


# 50 callers that did not read their answers of 5 MB took 308 MB
def test_callers_that_do_not_read_cost_themselves_and_not_others(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    platform.servers["app-1"].behave = answer_long
    before = measure_memory(gateway)
    with ExitStack() as stack:
        for number in range(AT_ONCE):
            caller = stack.enter_context(
                socket.create_connection(("127.0.0.1", gateway.front), timeout=10)
            )
            lines = [
                f"GET {PLAIN}{number} HTTP/1.1",
                f"Host: {HOST}",
                f"Authorization: Bearer {KEY}",
                f"X-Request-Id: unread-{number}",
                "X-Deadline-Ms: 4000",
            ]
            caller.sendall("\r\n".join(lines).encode() + b"\r\n\r\n")
        time.sleep(1)
        found = gateway.call(PLAIN + "x", request="reads")
        assert (found.status, found.body) == (200, LONG_ANSWER)
    assert measure_memory(gateway) - before < GROWTH_LIMIT
    check_empty(gateway)


# 50 uploads of 4 MB took 562 MB, 11 MB each
def test_long_uploads_take_their_size_and_those_without_room_are_refused_as_not_run(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    def behave(
        _server: StandinServer, _handler: BaseHTTPRequestHandler, _seen: SeenRequest
    ) -> bool:
        time.sleep(1)
        return False

    app = platform.servers["app-1"]
    app.behave = behave
    before = measure_memory(gateway)
    with CalmCaller(gateway) as calm:
        answers = call_at_once(gateway, body=UPLOAD)
    statuses = {answer.status for answer in answers}
    assert statuses <= {200, 503}
    assert statuses >= {200}
    ran = {seen.headers["x-request-id"] for seen in app.seen}
    for number, answer in enumerate(answers):
        assert (f"call-{number}" in ran) == (answer.status == 200)
        if answer.status == 503:
            assert float(answer.headers["retry-after"]) > 0
    assert set(calm.statuses) == {200}
    assert measure_memory(gateway) - before < GROWTH_LIMIT
    check_empty(gateway)
    assert gateway.call(ORDERS + "x", "POST", body=UPLOAD, request="alone").status == 200
    assert app.seen[-1].body == UPLOAD


def send_in_chunks() -> Iterator[bytes]:
    for _ in range(32):
        yield b"c" * 65536


def test_a_long_upload_in_chunks_reaches_the_server_whole(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    body = b"".join(send_in_chunks())
    answer = gateway.call(ORDERS + "x", "POST", body=send_in_chunks(), request="chunks")
    assert answer.status == 200
    assert platform.servers["app-1"].seen[-1].body == body
    check_empty(gateway)
