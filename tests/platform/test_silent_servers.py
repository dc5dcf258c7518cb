"""Streams at engines that fall silent for a second or so and go on."""

from __future__ import annotations

import signal
import time
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Answer, Gateway, StandinPlatform, wait_for
from misbehaviour import fall_silent, once, reject
from platform_standin import (
    HOST,
    KEY,
    PLAIN,
    RESUMED,
    STREAM,
    Behaviour,
    SeenRequest,
    StandinServer,
    reset,
)

EVENTS = [f"id: {number}\ndata: piece {number}\n\n".encode() for number in range(1, 7)]
BEGUN = 3
SILENCE = 1.6
SUSPICION = 1.2
MAX_OVERLAP = 0.4
LONG_SILENCE = 2.4
NO_RESENDS = {"grace-s": 8, "retry-ratio": 0, "retry-window-s": 10, "retry-slack": 0}


def is_whole(answer: Answer) -> bool:
    return answer.whole and (answer.status, answer.body) == (200, b"".join(EVENTS))


def list_resumed(platform: StandinPlatform) -> list[str]:
    """Return the requests that an engine was asked to go on with."""
    return [
        seen.headers["x-request-id"]
        for server in platform.servers.values()
        for seen in server.seen
        if "last-event-id" in seen.headers
    ]


def add_engines(platform: StandinPlatform, *names: str) -> list[StandinServer]:
    return [platform.add(StandinServer(name, "llm", "decode")) for name in names]


# the only engine was given up after 1.2 s of silence and the answer was cut
@pytest.mark.parametrize("path", [RESUMED, STREAM])
def test_a_stream_is_whole_when_its_only_engine_is_silent_for_a_moment(
    platform: StandinPlatform, path: str
) -> None:
    (engine,) = add_engines(platform, "dec-1")
    engine.behave = fall_silent(BEGUN, SILENCE)
    gateway = platform.wait_known(platform.add_gateway())
    assert is_whole(gateway.generate(path + "x"))
    assert engine.runs == ["r1"]


# the only engine was given up before its first event and the call was refused
def test_a_stream_is_whole_when_its_only_engine_is_silent_before_the_first_event(
    platform: StandinPlatform,
) -> None:
    (engine,) = add_engines(platform, "dec-1")
    engine.behave = fall_silent(0, LONG_SILENCE)
    gateway = platform.wait_known(platform.add_gateway())
    assert is_whole(gateway.generate(RESUMED + "x"))
    assert engine.runs == ["r1"]


# a silent engine was given up although no resend was left, and the answer was cut
def test_a_stream_is_whole_when_its_engine_is_silent_and_no_resend_is_left(
    platform: StandinPlatform,
) -> None:
    for engine in add_engines(platform, "dec-1", "dec-2"):
        engine.behave = fall_silent(BEGUN, SILENCE)
    gateway = platform.wait_known(platform.add_gateway(bounds=NO_RESENDS))
    assert is_whole(gateway.generate(RESUMED + "x"))
    assert not list_resumed(platform)


# the silent engine was given up, then the other one rejected the call and the answer was cut
def test_a_stream_is_whole_when_its_engine_is_silent_and_the_other_one_rejects_it(
    platform: StandinPlatform,
) -> None:
    silent = fall_silent(BEGUN, SILENCE)

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        if "last-event-id" in seen.headers:
            return reject(server, handler, seen)
        return silent(server, handler, seen)

    for engine in add_engines(platform, "dec-1", "dec-2"):
        engine.behave = behave
    gateway = platform.wait_known(platform.add_gateway())
    assert is_whole(gateway.generate(RESUMED + "x"))


def run_streams(gateway: Gateway, count: int) -> list[Answer]:
    with ThreadPoolExecutor(count) as pool:
        running = []
        for number in range(count):
            running.append(pool.submit(gateway.generate, RESUMED + "x", request=f"r{number}"))
            time.sleep(0.05)
        return [call.result() for call in running]


# streams moved between engines that were all silent: the path or the platform was, not they
def test_no_stream_moves_when_two_engines_are_silent_at_once(platform: StandinPlatform) -> None:
    engines = add_engines(platform, "dec-1", "dec-2")
    for engine in engines:
        engine.behave = fall_silent(BEGUN, SILENCE)
    gateway = platform.wait_known(platform.add_gateway())
    answers = run_streams(gateway, 4)
    assert all(engine.runs for engine in engines)
    assert all(is_whole(answer) for answer in answers)
    assert not list_resumed(platform)


# all streams of a silent engine moved to the other ones at once
def test_the_streams_of_a_silent_engine_do_not_all_move_at_once(
    platform: StandinPlatform,
) -> None:
    silent, sound = add_engines(platform, "dec-1", "dec-2")
    gateway = platform.wait_known(platform.add_gateway())
    platform.store.put("servers", sound.id, sound.entry(state="draining"))
    time.sleep(1)
    silent.behave = fall_silent(BEGUN, SILENCE)
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(run_streams, gateway, 6)
        time.sleep(0.6)
        platform.store.put("servers", sound.id, sound.entry(born=2))
        answers = running.result()
    assert all(is_whole(answer) for answer in answers)
    assert len(list_resumed(platform)) <= 1


def run_prefills(
    platform: StandinPlatform, prefill_engines: int, calls: int
) -> tuple[Gateway, list[StandinServer], list[Answer]]:
    """Run streams while each prefill engine is silent once, for a moment."""
    engines = [
        platform.add(StandinServer(f"pre-{number}", "llm", "prefill"))
        for number in range(prefill_engines)
    ]
    decodes = add_engines(platform, "dec-1", "dec-2", "dec-3", "dec-4")
    gateway = platform.wait_known(platform.add_gateway())
    for engine in engines:
        engine.fall_silent(SILENCE)
    answers = run_streams(gateway, calls)
    assert all(is_whole(answer) for answer in answers)
    return gateway, decodes, answers


def list_computed(decodes: list[StandinServer]) -> list[SeenRequest]:
    """Return the prompts that decode engines computed themselves; reports are none."""
    seen = [request for engine in decodes for request in engine.seen]
    return [
        request
        for request in sorted(seen, key=lambda request: request.at)
        if "x-kv-source" not in request.headers and not request.path.startswith("/api/")
    ]


# each prompt at a prefill engine that was silent for a second was computed again
def test_the_prompts_at_a_silent_prefill_engine_are_not_all_computed_again(
    platform: StandinPlatform,
) -> None:
    gateway, decodes, _ = run_prefills(platform, 1, 4)
    assert len(list_computed(decodes)) <= 1
    assert [line["member"] for line in gateway.lines("call:silent") if line["verdict"] == "move"]


# prompts were computed again though all prefill engines were silent: the path was, not they
def test_no_prompt_is_computed_again_when_two_prefill_engines_are_silent_at_once(
    platform: StandinPlatform,
) -> None:
    _, decodes, _ = run_prefills(platform, 2, 4)
    assert not list_computed(decodes)


# the decode engine computed a prompt though another prefill engine was free
def test_another_prefill_engine_takes_on_the_prompt_of_a_silent_one(
    platform: StandinPlatform,
) -> None:
    (decode,) = add_engines(platform, "dec-1")
    silent = platform.add(StandinServer("pre-1", "llm", "prefill"))
    gateway = platform.wait_known(platform.add_gateway())
    silent.fall_silent(6)
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(gateway.generate, RESUMED + "x")
        wait_for(lambda: silent.seen, "sent")
        platform.add(StandinServer("pre-2", "llm", "prefill"))
        assert is_whole(running.result())
    assert not list_computed([decode])
    (move,) = gateway.lines("call:move")
    assert (move["silent"], move["member"], move["result"]) == ("pre-1", "pre-2", "moved")


# all prompts of a silent prefill engine left it at once, at the certainty
def test_the_prompts_of_a_dead_prefill_engine_leave_it_as_decode_engines_take_them_on(
    platform: StandinPlatform,
) -> None:
    silent = platform.add(StandinServer("pre-1", "llm", "prefill"))
    decodes = add_engines(platform, "dec-1", "dec-2", "dec-3", "dec-4")
    late = 0.8
    for engine in decodes:
        engine.behave = answer_late(late)
    gateway = platform.wait_known(platform.add_gateway())
    silent.fall_silent(6)
    assert all(is_whole(answer) for answer in run_streams(gateway, 3))
    first, second, _ = list_computed(decodes)
    assert second.at - first.at >= late
    assert len(gateway.lines("call:seat")) == 3


class Silence:
    """An engine that is silent until its connection is closed; notes when that is."""

    def __init__(self, events: int | None = None) -> None:
        self._events = events
        self.closed: list[float] = []

    def behave(
        self, server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
    ) -> bool:
        if self._events is not None:
            server.stream(handler, seen, self._events)
        with suppress(OSError):
            handler.connection.recv(1)
        self.closed.append(time.monotonic())
        handler.close_connection = True
        return True


def answer_late(seconds: float) -> Behaviour:
    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        time.sleep(seconds)
        return False

    return behave


def choose_by_resumption(first: Behaviour, resumed: Behaviour) -> Behaviour:
    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        chosen = resumed if "last-event-id" in seen.headers else first
        return chosen(server, handler, seen)

    return behave


# a dead engine's stream went on at another one while the dead one still had it
@pytest.mark.parametrize("resumed", [answer_late(0), answer_late(0.6)])
def test_a_stream_leaves_a_dead_engine_which_has_it_for_300_ms_more_at_most(
    platform: StandinPlatform, resumed: Behaviour
) -> None:
    dead = Silence(BEGUN)
    for engine in add_engines(platform, "dec-1", "dec-2"):
        engine.behave = choose_by_resumption(dead.behave, resumed)
    gateway = platform.wait_known(platform.add_gateway())
    assert is_whole(gateway.generate(RESUMED + "x"))
    (sent,) = [
        seen.at
        for server in platform.servers.values()
        for seen in server.seen
        if "last-event-id" in seen.headers
    ]
    (closed,) = dead.closed
    assert closed - sent < MAX_OVERLAP


# the engine that was silent went on after the stream was sent to another one
def test_a_silent_engine_that_speaks_first_goes_on_and_the_other_one_is_closed(
    platform: StandinPlatform,
) -> None:
    other = Silence()
    for engine in add_engines(platform, "dec-1", "dec-2"):
        engine.behave = choose_by_resumption(fall_silent(BEGUN, SUSPICION + 0.15), other.behave)
    gateway = platform.wait_known(platform.add_gateway())
    assert is_whole(gateway.generate(RESUMED + "x"))
    assert len(list_resumed(platform)) == 1
    wait_for(lambda: other.closed, "the other engine's connection closed")
    assert [line["result"] for line in gateway.lines("call:move")] == ["spoke"]
    page = gateway.get(gateway.metrics, "/metrics").body.decode()
    assert 'lavenderrun_gateway_stream_moves_total{result="spoke",service="llm"} 1' in page
    for step in ("move", "spoke"):
        assert f'lavenderrun_gateway_silences_total{{service="llm",step="{step}"}} 1' in page


def break_off_after(events: int, seconds: float) -> Behaviour:
    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        server.stream(handler, seen, events)
        time.sleep(seconds)
        reset(handler)
        return True

    return behave


# the silent engine broke after the send to another one, and the stream went to a third one
def test_the_other_engine_goes_on_when_the_silent_one_breaks(platform: StandinPlatform) -> None:
    for engine in add_engines(platform, "dec-1", "dec-2", "dec-3"):
        engine.behave = choose_by_resumption(
            break_off_after(BEGUN, SUSPICION + 0.1), answer_late(0.25)
        )
    gateway = platform.wait_known(platform.add_gateway())
    assert is_whole(gateway.generate(RESUMED + "x"))
    assert len(list_resumed(platform)) == 1


# a stream that its caller did not read looked silent
def test_a_stream_that_its_caller_does_not_read_does_not_move(platform: StandinPlatform) -> None:
    large = b"id: 1\ndata: " + b"x" * 900_000 + b"\n\n"

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        server.runs.append(seen.headers["x-request-id"])
        server.stream(handler, seen, 0)
        for number in range(1, 25):
            event = large.replace(b"1", b"%d" % number, 1)
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
        handler.wfile.write(b"0\r\n\r\n")
        return True

    for engine in add_engines(platform, "dec-1", "dec-2"):
        engine.behave = behave
    gateway = platform.wait_known(platform.add_gateway())
    connection = gateway.connect()
    connection.request(
        "POST",
        RESUMED + "x",
        b"a prompt",
        {"Host": HOST, "X-Request-Id": "r1", "Authorization": f"Bearer {KEY}"},
    )
    answer = connection.getresponse()
    time.sleep(2.2)
    assert len(answer.read()) > 24 * 900_000
    assert not list_resumed(platform)


# timers that were due while the gateway was suspended ran before it read what had come meanwhile
def test_no_stream_moves_after_a_suspension_of_the_gateway(platform: StandinPlatform) -> None:
    engines = [
        platform.add(StandinServer(name, "llm", "decode", pause=0.15))
        for name in ("dec-1", "dec-2")
    ]
    gateway = platform.wait_known(platform.add_gateway())
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(gateway.generate, RESUMED + "x")
        wait_for(lambda: any(engine.runs for engine in engines), "begun")
        time.sleep(0.3)
        gateway.signal(signal.SIGSTOP)
        time.sleep(2)
        gateway.signal(signal.SIGCONT)
        answer = running.result()
    assert is_whole(answer)
    assert not list_resumed(platform)


# a call used a resend for a second server although the answer of the first one had come meanwhile
def test_a_call_is_sent_once_though_the_gateway_is_suspended(platform: StandinPlatform) -> None:
    servers = [platform.add(StandinServer(name, "apps")) for name in ("app-1", "app-2")]
    for server in servers:
        server.behave = answer_late(0.25)
    gateway = platform.wait_known(platform.add_gateway())
    with ThreadPoolExecutor(1) as pool:
        running = pool.submit(gateway.call, PLAIN + "x")
        wait_for(lambda: any(server.seen for server in servers), "sent")
        gateway.signal(signal.SIGSTOP)
        time.sleep(0.8)
        gateway.signal(signal.SIGCONT)
        assert running.result().status == 200
    assert sum(len(server.seen) for server in servers) == 1
    assert not gateway.lines("call:hedged")


# second servers were asked though all were silent: the path was, not they
def test_no_call_is_sent_twice_when_all_servers_of_its_service_are_silent_at_once(
    platform: StandinPlatform,
) -> None:
    servers = [platform.add(StandinServer(name, "apps")) for name in ("app-1", "app-2")]
    gateway = platform.wait_known(platform.add_gateway())
    for server in servers:
        server.fall_silent(1)
    with ThreadPoolExecutor(4) as pool:
        names = [f"r{number}" for number in range(4)]
        answers = list(pool.map(lambda name: gateway.call(PLAIN + "x", request=name), names))
    assert [answer.status for answer in answers] == [200] * 4
    assert sum(len(server.seen) for server in servers) == 4


# both calls waited for the certainty, longer than their deadline, and ended with 504
def test_calls_at_silent_servers_go_to_one_that_had_no_calls(platform: StandinPlatform) -> None:
    servers = [platform.add(StandinServer(f"app-{n}", "apps")) for n in (1, 2, 3)]
    silent: list[StandinServer] = []

    def behave(server: StandinServer, _: BaseHTTPRequestHandler, __: SeenRequest) -> bool:
        if len(silent) < 2:
            silent.append(server)
            server.fall_silent(SILENCE)
            time.sleep(SILENCE)
        return False

    for server in servers:
        server.behave = behave
    gateway = platform.wait_known(platform.add_gateway())

    def call(request: str) -> int:
        headers = {"X-Deadline-Ms": "1000"}
        return gateway.call(PLAIN + "x", request=request, headers=headers).status

    with ThreadPoolExecutor(2) as pool:
        assert list(pool.map(call, ["r1", "r2"])) == [200] * 2
    assert [len(server.seen) for server in silent] == [1, 1]


def test_a_call_at_the_only_silent_server_is_sent_to_a_second_one(
    platform: StandinPlatform,
) -> None:
    servers = [platform.add(StandinServer(name, "apps")) for name in ("app-1", "app-2")]
    gateway = platform.wait_known(platform.add_gateway())
    servers[0].fall_silent(3)
    for number in range(40):
        assert gateway.call(PLAIN + "x", request=f"r{number}").status == 200
        if servers[0].seen:
            break
    assert gateway.lines("call:hedged")
    assert not gateway.lines("call:silent")


def reject_with_late_body(
    server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
) -> bool:
    head = f"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\nX-Request-Id: {seen.headers['x-request-id']}"
    handler.wfile.write(f"{head}\r\nContent-Length: 4\r\n\r\nab".encode())
    time.sleep(2 * MAX_OVERLAP)
    with suppress(OSError):
        handler.wfile.write(b"cd")
    return True


# a rejection whose body was late took the stream from the silent engine, and the answer was cut
def test_a_rejection_by_the_other_engine_does_not_take_the_stream(
    platform: StandinPlatform,
) -> None:
    for engine in add_engines(platform, "dec-1", "dec-2"):
        engine.behave = choose_by_resumption(fall_silent(BEGUN, SILENCE), reject_with_late_body)
    gateway = platform.wait_known(platform.add_gateway())
    assert is_whole(gateway.generate(RESUMED + "x"))


def end_late(*, is_rejected: bool) -> Behaviour:
    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        time.sleep(MAX_OVERLAP)
        if is_rejected:
            return reject(server, handler, seen)
        reset(handler)
        return True

    return once(behave)


# the engine after a silent one ended without an answer, and the answer was cut without a way back
@pytest.mark.parametrize("is_rejected", [True, False])
def test_a_stream_returns_to_the_silent_engine_when_the_other_one_fails(
    platform: StandinPlatform, is_rejected: bool
) -> None:
    resumed = end_late(is_rejected=is_rejected)
    for engine in add_engines(platform, "dec-1", "dec-2"):
        engine.behave = choose_by_resumption(fall_silent(BEGUN, SILENCE), resumed)
    gateway = platform.wait_known(platform.add_gateway())
    assert is_whole(gateway.generate(RESUMED + "x"))
    assert len(list_resumed(platform)) == 2
