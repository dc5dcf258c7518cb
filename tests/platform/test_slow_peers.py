"""Peers that send a little now and then: the sound ones are served, the stalled ones end."""

from __future__ import annotations

import socket
import time
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Gateway, StandinPlatform
from misbehaviour import once
from platform_standin import (
    HOST,
    KEY,
    ORDERS,
    RESUMED,
    Behaviour,
    SeenRequest,
    StandinServer,
    make_config,
)

IDLE_SECONDS = 1.5


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    limits = {**make_config(1)["limits"], "idle-timeout-ms": int(IDLE_SECONDS * 1000)}
    platform.configure(limits=limits)
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    for name in ("dec-1", "dec-2"):
        platform.add(StandinServer(name, "llm", "decode"))
    return platform.wait_known(platform.add_gateway())


def stall_after(events: int, sent_instead: bytes) -> Behaviour:
    """Return a behaviour that sends *sent_instead* again and again in the place of events."""

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        server.runs.append(seen.headers["x-request-id"])
        server.stream(handler, seen, events)
        for _ in range(40):
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(sent_instead), sent_instead))
            time.sleep(0.2)
        return True

    return once(behave)


# a comment counted as progress, so a stalled stream went on until its deadline
@pytest.mark.parametrize("sent_instead", [b": alive\n\n", b"x"], ids=["comments", "bytes"])
def test_a_stream_that_stalls_goes_on_at_another_engine_whatever_it_sends_instead(
    platform: StandinPlatform, gateway: Gateway, sent_instead: bytes
) -> None:
    stalled = stall_after(3, sent_instead)
    for name in ("dec-1", "dec-2"):
        platform.servers[name].behave = stalled
    found = gateway.generate(RESUMED + "x")
    assert found.whole
    events = [part for part in found.body.split(b"\n\n") if part and not part.startswith(b":")]
    assert events == [f"id: {n}\ndata: piece {n}".encode() for n in range(1, 7)]


def test_a_slow_but_sound_stream_is_not_cut(platform: StandinPlatform, gateway: Gateway) -> None:
    for name in ("dec-1", "dec-2"):
        platform.servers[name].pause = 0.55
    found = gateway.generate(RESUMED + "x", request="slow")
    assert found.whole
    assert found.body.count(b"data: ") == 6
    assert [len(platform.servers[name].runs) for name in ("dec-1", "dec-2")] in ([1, 0], [0, 1])


# each byte restarted the idle timeout, so a caller could keep a connection for good
@pytest.mark.parametrize("part", ["head", "body"])
def test_a_request_that_trickles_in_is_cut_off(
    platform: StandinPlatform, gateway: Gateway, part: str
) -> None:
    head = f"POST {ORDERS}1 HTTP/1.1\r\nHost: {HOST}\r\nAuthorization: Bearer {KEY}\r\n"
    head += "X-Request-Id: r1\r\nX-Deadline-Ms: 4000\r\nContent-Length: 1000\r\n"
    with socket.create_connection(("127.0.0.1", gateway.front), timeout=10) as caller:
        caller.sendall(head.encode() + (b"X-Long: " if part == "head" else b"\r\n"))
        began, closed = time.monotonic(), False
        caller.settimeout(0.2)
        while time.monotonic() < began + 3 * IDLE_SECONDS and not closed:
            try:
                caller.sendall(b"x")
                closed = caller.recv(100) == b""
            except TimeoutError:
                continue
            except OSError:
                closed = True
    assert closed
    assert not platform.servers["app-1"].runs
