"""Faulty behaviours for backend servers of the stand-in platform."""

from __future__ import annotations

from http.server import BaseHTTPRequestHandler

from platform_standin import Behaviour, SeenRequest, StandinServer, reset


def run_lost(worker: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
    worker.runs.append(seen.headers["x-request-id"])
    reset(handler)
    return True


def reject(worker: StandinServer, handler: BaseHTTPRequestHandler, _seen: SeenRequest) -> bool:
    worker.reply(handler, 503, b"", [("X-Not-Executed", "1")])
    return True


def once(behave: Behaviour) -> Behaviour:
    done: list[bool] = []

    def act(worker: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        if done:
            return False
        done.append(True)
        return behave(worker, handler, seen)

    return act


def break_after(events: int) -> Behaviour:
    def behave(worker: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        worker.runs.append(seen.headers["x-request-id"])
        worker.stream(handler, seen, events)
        handler.wfile.write(b"30\r\nid: 99\ndata: ha")
        reset(handler)
        return True

    return once(behave)
