"""Faulty behaviours for backend servers of the stand-in platform."""

from __future__ import annotations

import time
from http.server import BaseHTTPRequestHandler

from platform_standin import Behaviour, SeenRequest, StandinServer, reset


def run_and_reset(
    server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
) -> bool:
    server.runs.append(seen.headers["x-request-id"])
    reset(handler)
    return True


def reject(server: StandinServer, handler: BaseHTTPRequestHandler, _seen: SeenRequest) -> bool:
    server.reply(handler, 503, b"", [("X-Not-Executed", "1")])
    return True


def once(behave: Behaviour) -> Behaviour:
    done: list[bool] = []

    def act(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        if done:
            return False
        done.append(True)
        return behave(server, handler, seen)

    return act


def break_after(events: int) -> Behaviour:
    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        server.runs.append(seen.headers["x-request-id"])
        server.stream(handler, seen, events)
        handler.wfile.write(b"30\r\nid: 99\ndata: ha")
        reset(handler)
        return True

    return once(behave)


def fall_silent(events: int, seconds: float) -> Behaviour:
    """Stream some events of an answer, then none for some time, then the others."""

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        if seen.headers.get("x-stage") == "prefill" or "last-event-id" in seen.headers:
            return False
        server.runs.append(seen.headers["x-request-id"])
        server.stream(handler, seen, events)
        time.sleep(seconds)
        server.write_events(handler, events + 1, server.events)
        handler.wfile.write(b"0\r\n\r\n")
        return True

    return behave
