"""Callers stop reading a stream for a few seconds while its gateway stops as planned."""

from __future__ import annotations

import signal
import socket
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib3"))

from harness import BOUNDS, Deployment, Record, has_trouble, run_case  # noqa: E402
from platform_standin import HOST, KEY, STREAM, SeenRequest, StandinServer  # noqa: E402

CALLERS = 6
EVENTS, EVENT_BYTES, STEP = 160, 550, 0.01
READS_FIRST, PAUSE = 0.5, 4.5
RECEIVE_BUFFER = 32768
CALM = 4.5
END = b"0\r\n\r\n"
TIMES = {"contact-ms": 4000, "ack-ms": 6000, "catch-up-s": 6, "drain-ms": 3000}
ROUTE = {
    "name": "r-digest", "host": HOST, "prefix": STREAM, "kind": "stream", "timeout-ms": 14000,
    "slo-ms": 2000, "gap-aim-ms": 300, "priority": 2, "service": "llm", "attempts": 1,
    "public": False, "sticky": True, "resumable": False,
}

SERVICE = {
    "name": "llm", "health-path": "/healthz", "max-conns": 300, "protocol": "h1", "tls": False,
    "engine": {"slots": 12, "kv-tokens": 31220, "kv-token-bytes": 18432, "kv-hold-s": 0.5,
               "swap-s": 6.0},
}


class Caller(threading.Thread):
    """One caller with a connection of its own, which reads a stream to its end."""

    def __init__(self, number: int, port: int, record: Record, *, pauses: bool) -> None:
        super().__init__(daemon=True)
        self.id = f"s{number}"
        self.port, self.record, self.pauses = port, record, pauses
        self.got = b""
        self.end = "no end"

    @property
    def is_whole(self) -> bool:
        return self.got.endswith(END)

    def run(self) -> None:
        body = b"a statement"
        head = (
            f"POST {STREAM}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {self.id}\r\n"
            f"X-Deadline-Ms: 14000\r\nAuthorization: Bearer {KEY}\r\nX-Model: m\r\n"
            f"X-Token-Count: 3000,170\r\nX-Prefix-Hash: ab:200,{self.id.encode().hex()}:2800\r\n"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        with socket.socket() as connection:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
            connection.settimeout(10)
            connection.connect(("127.0.0.1", self.port))
            connection.sendall(head.encode() + body)
            self.record.write(f"{self.id} sent, {'pauses' if self.pauses else 'reads on'}")
            began, paused = time.monotonic(), False
            try:
                while not self.is_whole:
                    if self.pauses and not paused and time.monotonic() > began + READS_FIRST:
                        paused = True
                        self.record.write(f"{self.id} stops reading after {len(self.got)} bytes")
                        time.sleep(PAUSE)
                        self.record.write(f"{self.id} reads on")
                    piece = connection.recv(4096)
                    if not piece:
                        self.end = "closed"
                        break
                    self.got += piece
                else:
                    self.end = "whole"
            except OSError as error:
                self.end = type(error).__name__
        self.record.write(f"{self.id} ended: {self.end}, {len(self.got)} bytes")


def play(deployment: Deployment, record: Record) -> bool:
    ran: dict[str, bool] = {}

    def stream(server: StandinServer, handler: Any, seen: SeenRequest) -> bool:
        request = seen.headers["x-request-id"]
        ran[request] = False
        server.runs.append(request)
        handler.send_response(200)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        for name, value in server.sign(request):
            handler.send_header(name, value)
        handler.end_headers()
        for number in range(1, EVENTS + 1):
            event = f"id: {number}\ndata: {request} {number} ".encode().ljust(EVENT_BYTES - 2, b"x")
            event += b"\n\n"
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(STEP)
        handler.wfile.write(END)
        ran[request] = True
        record.write(f"{request} ran to its end at {server.id}")
        return True

    platform = deployment.platform
    platform.configure(routes=[ROUTE], services=[SERVICE])
    platform.add(StandinServer("i-p1", "llm", "prefill"))
    platform.add(StandinServer("i-e1", "llm", "decode", behave=stream))
    stopped = deployment.add_gateway("front-1", bounds={**BOUNDS, **TIMES})
    deployment.add_gateway("front-2", bounds={**BOUNDS, **TIMES})
    deployment.wait_known()
    time.sleep(CALM)
    callers = [Caller(n, stopped.front, record, pauses=has_trouble()) for n in range(CALLERS)]
    steady = Caller(CALLERS, stopped.front, record, pauses=False)
    for caller in (*callers, steady):
        caller.start()
    time.sleep(0.3)
    stopped.signal(signal.SIGTERM)
    record.write("SIGTERM to front-1, grace-s 8")
    for caller in (*callers, steady):
        caller.join(12)
    assert stopped.popen is not None
    record.write(f"front-1 exited with {stopped.popen.wait(10)}")
    for line in stopped.lines("call:answered"):
        record.write(f"front-1 logged for {line['request']}: {line['text']}")
    lost = [c.id for c in (*callers, steady) if not c.is_whole and ran.get(c.id)]
    record.write(f"ran to the end and not received whole: {lost}")
    if any(not ran.get(c.id) for c in (*callers, steady)):
        raise AssertionError("a worker broke off, so the case says nothing")
    return bool(lost)


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
