"""Callers that stop reading for a while, and servers that fail what they have run."""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from typing import TYPE_CHECKING

from platform_standin import PLAIN, SeenRequest, StandinServer

if TYPE_CHECKING:
    from soak import Soak

LONG_BODY = b"x" * (1 << 20)
PAUSE_SECONDS = (3.2, 5.0)
PAUSE_SHARE = 0.3
FAIL_SHARE = 0.4
DENYING_STATUSES = [429, 503]
READERS: list[Callable[[Soak], None]] = []


def reader_fault(act: Callable[[Soak], None]) -> Callable[[Soak], None]:
    """Register a fault of the family ``readers``."""
    READERS.append(act)
    return act


def find_pause(request: str) -> float:
    """Return for how long the caller of a request reads nothing once its answer has begun."""
    source = random.Random(request)
    return source.uniform(*PAUSE_SECONDS) if source.random() < PAUSE_SHARE else 0.0


def answer_at_length(
    server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
) -> bool:
    """Answer with more than fits into the buffers on the way to a caller that does not read."""
    if not seen.path.startswith(PLAIN):
        return False
    request = seen.headers["x-request-id"]
    server.runs.append(request)
    server.reply(handler, 200, b"body of " + server.id.encode() + LONG_BODY, server.sign(request))
    return True


def fail_after_run(
    server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
) -> bool:
    """Run a part of the calls and answer them with a status that denies it."""
    request = seen.headers["x-request-id"]
    source = random.Random(request)
    if seen.headers.get("x-stage") == "prefill" or source.random() >= FAIL_SHARE:
        return False
    server.runs.append(request)
    time.sleep(0.02)
    server.reply(handler, source.choice(DENYING_STATUSES), b"", server.sign(request))
    return True


@reader_fault
def send_long_answers(soak: Soak) -> None:
    """Let all plain servers answer at length."""
    soak.callers_pause = True
    for server in soak.platform.servers.values():
        if server.stage is None:
            server.behave = answer_at_length


@reader_fault
def fail_what_ran(soak: Soak) -> None:
    """Let one server fail a part of the calls that it has run, and no other."""
    servers = sorted(soak.platform.servers.values(), key=lambda server: server.id)
    for server in servers:
        if server.behave is fail_after_run:
            server.behave = None
    soak.random_source.choice(servers).behave = fail_after_run
