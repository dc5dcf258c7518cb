"""What callers get from a gateway that was ordered to stop."""

from __future__ import annotations

import http.client
import json
import select
import signal
import socket
import threading
import time
from collections.abc import Callable
from functools import partial
from http.server import BaseHTTPRequestHandler
from pathlib import Path
from typing import Any

import pytest
from gateway_process import WAIT, Answer, Gateway, StandinPlatform, wait_for
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
    make_config,
)

GRACE = 4.0
PATIENT = {"X-Deadline-Ms": "20000"}
SIZES = {"X-Model": "m", "X-Token-Count": "100,50", "X-Prefix-Hash": "ab:100"}


def delay(seconds: float) -> Behaviour:
    def behave(
        _server: StandinServer, _handler: BaseHTTPRequestHandler, _seen: SeenRequest
    ) -> bool:
        time.sleep(seconds)
        return False

    return behave


def start_gateway(platform: StandinPlatform, grace: float = GRACE) -> Gateway:
    """Return a ready gateway whose routes leave calls 20 s."""
    config = make_config(0)
    for route in config["routes"]:
        route["timeout-ms"] = 20000
    platform.configure(routes=config["routes"])
    bounds = {"grace-s": grace, "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 58}
    gateway = Gateway(platform.folder, platform.store.address, bounds=bounds).start()
    platform.gateways.append(gateway)
    return platform.wait_known(gateway)


def generate(gateway: Gateway, path: str, request: str) -> Answer:
    headers = {**PATIENT, **SIZES}
    return gateway.call(path + "x", "POST", request=request, body=b"a prompt", headers=headers)


class Stop:
    """A planned stop of a gateway; times are seconds since SIGTERM."""

    def __init__(self, gateway: Gateway) -> None:
        self.gateway = gateway
        self._began = time.monotonic()
        gateway.signal(signal.SIGTERM)

    @property
    def elapsed(self) -> float:
        return time.monotonic() - self._began

    def wait_until(self, seconds: float) -> None:
        time.sleep(max(0.0, seconds - self.elapsed))

    def wait_exit(self) -> float:
        assert self.gateway.popen is not None
        assert self.gateway.popen.wait(WAIT) == 0
        return self.elapsed


class Call(threading.Thread):
    """A call in a thread of its own; ``answer`` is the answer, or the error without one."""

    def __init__(self, make: Callable[[], Answer]) -> None:
        super().__init__(daemon=True)
        self._make = make
        self.answer: Answer | Exception | None = None
        self.ended = 0.0
        self.start()

    def run(self) -> None:
        try:
            self.answer = self._make()
        except (OSError, http.client.HTTPException) as error:
            self.answer = error
        self.ended = time.monotonic()

    def wait(self) -> Answer:
        self.join(WAIT)
        assert isinstance(self.answer, Answer), repr(self.answer)
        return self.answer


def check_refusal(answer: Answer, status: int, outcome: str) -> None:
    assert answer.status == status, answer.body
    assert answer.whole
    assert json.loads(answer.body)["outcome"] == outcome
    assert ("retry-after" in answer.headers) is (outcome == "not-run")


def check_no_caller_blamed(gateway: Gateway) -> None:
    assert not [line for line in gateway.lines("call:cancelled") if "caller" in line["text"]]


# issue 33, way 4: calls still running at the end of the grace period were cut without an answer
def test_a_call_that_outlasts_the_grace_period_is_answered_as_unknown(
    platform: StandinPlatform,
) -> None:
    platform.add(StandinServer("app-1", "apps", behave=delay(7.0)))
    gateway = start_gateway(platform, 8.0)
    stop = Stop(gateway)
    calls = []
    for number, sent in enumerate((1.6, 2.0, 2.4, 2.8)):
        stop.wait_until(sent)
        for path, method in ((PLAIN, "GET"), (ORDERS, "POST")):
            request = f"r{number}-{method}"
            make = partial(gateway.call, path + "x", method, request=request, headers=PATIENT)
            calls.append(Call(make))
    ended = stop.wait_exit()
    assert ended < 8.0
    for call in calls:
        check_refusal(call.wait(), 504, "unknown")
        # what may still end was left to run until the last sixth of the grace period
        assert call.ended - stop._began >= 8.0 * 5 / 6
    assert {line["reason"] for line in gateway.lines("call:refused")} == {"leaving"}
    check_no_caller_blamed(gateway)


# a gateway went by the grace period that was set when it started, and was killed before it answered
@pytest.mark.parametrize("changed", ["signalled", "silently", "while it stops", "read too early"])
def test_a_stop_goes_by_the_grace_period_that_is_set_now(
    platform: StandinPlatform, changed: str
) -> None:
    platform.add(StandinServer("app-1", "apps", behave=delay(7.0)))
    gateway = start_gateway(platform, 20.0)
    call = Call(partial(gateway.call, PLAIN + "x", request="r1", headers=PATIENT))
    wait_for(lambda: gateway.lines("call:send"), "call sent")
    settings = json.loads(gateway.settings.read_text())
    settings["bounds"]["grace-s"] = 4
    written = json.dumps(settings)
    if changed in {"signalled", "silently"}:
        gateway.settings.write_text(written)
    if changed == "signalled":
        gateway.signal(signal.SIGHUP)
        wait_for(lambda: gateway.lines("daemon:reloaded"), "reload")
    if changed == "read too early":
        gateway.settings.write_text(written[: len(written) // 2])
    stop = Stop(gateway)
    if changed in {"while it stops", "read too early"}:
        stop.wait_until(0.3)
        gateway.settings.write_text(written)
        gateway.signal(signal.SIGHUP)
    assert stop.wait_exit() < 4.0
    check_refusal(call.wait(), 504, "unknown")


# issue 33, way 4: the log said that the caller of a cut stream was gone
def test_a_stream_that_outlasts_the_grace_period_is_broken_off_with_the_reason_logged(
    platform: StandinPlatform,
) -> None:
    platform.add(StandinServer("dec-1", "llm", "decode", events=200, pause=0.1))
    gateway = start_gateway(platform)
    calls = [Call(partial(generate, gateway, path, path)) for path in (STREAM, RESUMED)]
    wait_for(lambda: len(platform.servers["dec-1"].runs) == 2, "streams run")
    stop = Stop(gateway)
    assert stop.wait_exit() < GRACE
    for call in calls:
        answer = call.wait()
        assert answer.status == 200
        assert not answer.whole
    assert [line["detail"] for line in gateway.lines("call:cut")] == ["departure", "departure"]
    check_no_caller_blamed(gateway)


# calls that wait for a decode slot were held until the end of the grace period and then cut
def test_a_call_that_waits_for_a_decode_slot_is_refused_as_not_run_before_the_end(
    platform: StandinPlatform,
) -> None:
    engine = platform.add(StandinServer("dec-1", "llm", "decode", events=200, pause=0.1))
    platform.store.put("servers", "dec-1", engine.entry(slots=1))
    gateway = start_gateway(platform)
    running = Call(lambda: generate(gateway, STREAM, "first"))
    wait_for(lambda: engine.runs, "first stream runs")
    stop = Stop(gateway)
    stop.wait_until(1.2)
    waiting = Call(lambda: generate(gateway, STREAM, "second"))
    check_refusal(waiting.wait(), 503, "not-run")
    assert waiting.ended - stop._began < GRACE * 5 / 6 - 0.2
    assert engine.runs == ["first"]
    stop.wait_exit()
    running.join(WAIT)


# issue 32: calls that came late in the grace period were passed on and cut at its end
def test_a_call_that_can_not_end_in_the_time_left_is_refused_at_once(
    platform: StandinPlatform,
) -> None:
    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        time.sleep(2.0 if seen.path.startswith(ORDERS) else 0.01)
        return False

    server = platform.add(StandinServer("app-1", "apps", behave=behave))
    gateway = start_gateway(platform)
    for number in range(3):
        assert (
            gateway.call(ORDERS + "x", "POST", request=f"b{number}", headers=PATIENT).status == 200
        )
        assert gateway.call(PLAIN + "x", request=f"p{number}", headers=PATIENT).status == 200
    stop = Stop(gateway)
    early = gateway.call(ORDERS + "x", "POST", request="early", headers=PATIENT)
    assert early.status == 200
    stop.wait_until(2.2)
    began = time.monotonic()
    late = gateway.call(ORDERS + "x", "POST", request="late", headers=PATIENT)
    assert time.monotonic() - began < 0.5
    check_refusal(late, 503, "not-run")
    assert gateway.call(PLAIN + "x", request="short", headers=PATIENT).status == 200
    stop.wait_exit()
    assert "late" not in server.runs


HEAD = (
    f"GET {PLAIN}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: raw\r\n"
    f"Authorization: Bearer {KEY}\r\n\r\n"
)


def read_answer(connection: socket.socket) -> bytes:
    connection.settimeout(WAIT)
    found = b""
    while data := connection.recv(65536):
        found += data
    return found


# a connection with a part of a request line was closed as if it were idle
def test_a_request_whose_head_is_half_read_when_idle_connections_close_is_served(
    platform: StandinPlatform,
) -> None:
    platform.add(StandinServer("app-1", "apps"))
    gateway = start_gateway(platform, 8.0)
    with socket.create_connection(("127.0.0.1", gateway.front)) as connection:
        stop = Stop(gateway)
        stop.wait_until(2.0)
        connection.sendall(HEAD[:6].encode())
        stop.wait_until(2.9)
        connection.sendall(HEAD[6:].encode())
        assert read_answer(connection).startswith(b"HTTP/1.1 200 ")
    stop.wait_exit()


# the process ended with requests half read and gave them no answer
@pytest.mark.parametrize("part", [6, 40, len(HEAD) - 1], ids=["line", "head", "last byte"])
def test_a_request_that_is_half_read_at_the_end_of_the_grace_period_is_refused(
    platform: StandinPlatform, part: int
) -> None:
    platform.add(StandinServer("app-1", "apps"))
    gateway = start_gateway(platform)
    with socket.create_connection(("127.0.0.1", gateway.front)) as connection:
        stop = Stop(gateway)
        connection.sendall(HEAD[:part].encode())
        assert read_answer(connection).startswith(b"HTTP/1.1 503 ")
        assert stop.wait_exit() < GRACE


# a body that was still coming in at the end of the grace period got no answer
def test_an_upload_that_is_not_complete_at_the_end_of_the_grace_period_is_refused(
    platform: StandinPlatform,
) -> None:
    platform.add(StandinServer("app-1", "apps"))
    gateway = start_gateway(platform)
    head = HEAD.replace("GET", "POST")[:-2] + "Content-Length: 100\r\n\r\n"
    with socket.create_connection(("127.0.0.1", gateway.front)) as connection:
        stop = Stop(gateway)
        connection.sendall(head.encode() + b"some of it")
        assert read_answer(connection).startswith(b"HTTP/1.1 503 ")
        assert stop.wait_exit() < GRACE


# requests that were sent before their connection was closed got no answer
def test_requests_on_idle_connections_around_their_close_are_answered(
    platform: StandinPlatform,
) -> None:
    platform.add(StandinServer("app-1", "apps"))
    gateway = start_gateway(platform)
    connections = [socket.create_connection(("127.0.0.1", gateway.front)) for _ in range(100)]
    stop = Stop(gateway)
    unanswered = []
    for number, connection in enumerate(connections):
        stop.wait_until(2.4 + number * 0.01)
        if select.select([connection], [], [], 0)[0]:
            continue
        try:
            connection.sendall(HEAD.encode())
            answer = read_answer(connection)
        except OSError as error:
            answer = repr(error).encode()
        if not answer.startswith(b"HTTP/1.1 200 "):
            unanswered.append((number, answer))
    stop.wait_exit()
    assert unanswered == []


# connections in the backlog were reset when the process closed its port
def test_new_connections_until_the_port_closes_are_answered(platform: StandinPlatform) -> None:
    platform.add(StandinServer("app-1", "apps"))
    gateway = start_gateway(platform)
    stop = Stop(gateway)
    unanswered: list[Any] = []
    answered: list[int] = []

    def keep_calling(name: str) -> None:
        number = 0
        while True:
            try:
                connection = socket.create_connection(("127.0.0.1", gateway.front))
            except OSError:
                return
            number += 1
            with connection:
                try:
                    connection.sendall(HEAD.replace("raw", f"{name}-{number}").encode())
                    answer = read_answer(connection)
                except OSError as error:
                    answer = repr(error).encode()
            if answer.startswith((b"HTTP/1.1 200 ", b"HTTP/1.1 503 ")):
                answered.append(number)
            else:
                unanswered.append((stop.elapsed, answer))

    threads = [threading.Thread(target=keep_calling, args=(f"n{n}",)) for n in range(8)]
    for thread in threads:
        thread.start()
    stop.wait_exit()
    for thread in threads:
        thread.join(WAIT)
    assert answered
    assert unanswered == []


# a process that was suspended in its grace period ended without answering what it ran
def test_a_process_that_wakes_at_the_end_of_its_grace_period_answers_at_once(
    platform: StandinPlatform,
) -> None:
    platform.add(StandinServer("app-1", "apps", behave=delay(7.0)))
    gateway = start_gateway(platform)
    call = Call(lambda: gateway.call(ORDERS + "x", "POST", headers=PATIENT))
    wait_for(lambda: platform.servers["app-1"].seen, "call runs")
    stop = Stop(gateway)
    stop.wait_until(1.0)
    gateway.signal(signal.SIGSTOP)
    stop.wait_until(3.7)
    gateway.signal(signal.SIGCONT)
    check_refusal(call.wait(), 504, "unknown")
    assert call.ended - stop._began < GRACE
    stop.wait_exit()
    check_no_caller_blamed(gateway)


# a grace period shorter than the usual shutdown left calls without an answer
def test_a_call_is_answered_within_a_very_short_grace_period(platform: StandinPlatform) -> None:
    platform.add(StandinServer("app-1", "apps", behave=delay(7.0)))
    gateway = start_gateway(platform, 1.0)
    call = Call(lambda: gateway.call(ORDERS + "x", "POST", headers=PATIENT))
    wait_for(lambda: platform.servers["app-1"].seen, "call runs")
    stop = Stop(gateway)
    check_refusal(call.wait(), 504, "unknown")
    assert stop.wait_exit() < 1.0


def test_further_signals_and_configurations_in_the_grace_period_change_nothing(
    platform: StandinPlatform,
) -> None:
    engine = platform.add(StandinServer("dec-1", "llm", "decode", events=25, pause=0.1))
    gateway = start_gateway(platform)
    call = Call(lambda: generate(gateway, STREAM, "r1"))
    wait_for(lambda: engine.runs, "stream runs")
    stop = Stop(gateway)
    steps: list[tuple[float, Callable[[], None]]] = [
        (0.5, partial(gateway.signal, signal.SIGHUP)),
        (0.8, platform.configure),
        (1.1, partial(gateway.signal, signal.SIGTERM)),
        (1.4, partial(platform.configure, routes=[])),
    ]
    for seconds, act in steps:
        stop.wait_until(seconds)
        act()
    answer = call.wait()
    assert answer.status == 200
    assert answer.whole
    assert 3.0 < stop.wait_exit() < GRACE


# a second request that was read behind the first one was dropped without an answer
def test_requests_that_are_sent_in_a_row_are_all_answered(platform: StandinPlatform) -> None:
    platform.add(StandinServer("app-1", "apps", behave=delay(0.3)))
    gateway = start_gateway(platform)
    with socket.create_connection(("127.0.0.1", gateway.front)) as connection:
        stop = Stop(gateway)
        wait_for(lambda: gateway.ask_ready() == 503, "not ready")
        for number in range(3):
            connection.sendall(HEAD.replace("raw", f"p{number}").encode())
        found = read_answer(connection)
    assert found.count(b"HTTP/1.1 200 ") == 3
    assert found.count(b"Connection: close") == 1
    stop.wait_exit()


# a call that waited for the store to confirm its refusal did not count as running
def test_a_call_that_waits_for_the_store_is_refused_as_not_run_before_the_end(
    platform: StandinPlatform, monkeypatch: pytest.MonkeyPatch
) -> None:
    platform.add(StandinServer("app-1", "apps"))
    gateway = start_gateway(platform)
    answer_store = platform.store.answer
    is_silent = threading.Event()

    def answer(*given: Any) -> tuple[int, dict[str, Any]]:
        if is_silent.is_set():
            time.sleep(3.0)
        return answer_store(*given)

    monkeypatch.setattr(platform.store, "answer", answer)
    stop = Stop(gateway)
    stop.wait_until(2.4)
    is_silent.set()
    refused = gateway.call(PLAIN + "x", key="unknown", headers=PATIENT)
    assert stop.elapsed < GRACE * 5 / 6 - 0.2
    check_refusal(refused, 503, "not-run")
    assert json.loads(refused.body)["error"] == "leaving"


# the process waited for the store after its last answer, beyond the end of its grace period
def test_a_silent_store_does_not_hold_up_the_exit(
    platform: StandinPlatform, monkeypatch: pytest.MonkeyPatch
) -> None:
    gateway = start_gateway(platform)
    answer_store = platform.store.answer

    def answer(*given: Any) -> tuple[int, dict[str, Any]]:
        time.sleep(3.0)
        return answer_store(*given)

    Stop(gateway)
    monkeypatch.setattr(platform.store, "answer", answer)
    assert gateway.popen is not None
    gateway.popen.wait(WAIT)
    (done,), (stopped,) = gateway.lines("departure:done"), gateway.lines("daemon:stopped")
    assert stopped["timestamp"] - done["timestamp"] < 1.0


def read_to_end(connection: socket.socket) -> bytes:
    connection.settimeout(WAIT)
    parts = []
    while part := connection.recv(65536):
        parts.append(part)
    return b"".join(parts)


# the connection closed after the first answer, though a whole second request had come
def test_a_request_that_comes_behind_a_running_one_during_a_stop_is_answered(
    platform: StandinPlatform,
) -> None:
    server = platform.add(StandinServer("app-1", "apps"))
    server.behave = delay(4.0)
    gateway = start_gateway(platform, 8.0)
    head = HEAD[:-2] + "X-Deadline-Ms: 20000\r\n\r\n"
    with socket.create_connection(("127.0.0.1", gateway.front)) as connection:
        connection.sendall(head.encode())
        time.sleep(0.5)
        stop = Stop(gateway)
        stop.wait_until(2.9)
        connection.sendall(head.replace("raw", "raw-2").encode())
        answers = read_to_end(connection)
    assert answers.count(b"HTTP/1.1 ") == 2
    assert answers.count(b"Connection: close") == 1


# a body over the limit was refused at once, and a second answer followed at the end of the stop
def test_a_refused_upload_gets_one_answer_at_the_end_of_the_grace_period(
    platform: StandinPlatform,
) -> None:
    gateway = start_gateway(platform)
    head = HEAD.replace("GET", "POST")[:-2] + f"Content-Length: {5 << 20}\r\n\r\n"
    with socket.create_connection(("127.0.0.1", gateway.front)) as connection:
        Stop(gateway)
        connection.sendall(head.encode() + b"a part")
        assert read_to_end(connection).count(b"HTTP/1.1 ") == 1


# soak seed 302: a gateway was ordered to stop while it loaded its modules, and served on
def test_a_stop_during_the_start_ends_the_process_whatever_is_running(
    platform: StandinPlatform,
) -> None:
    gateway = Gateway(platform.folder, platform.store.address)
    gateway.program = Path(__file__).with_name("interrupted_gateway.py")
    platform.gateways.append(gateway.start())
    assert gateway.popen is not None
    assert gateway.popen.wait(WAIT) == 0
