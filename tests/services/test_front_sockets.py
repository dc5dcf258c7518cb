"""The front over real sockets, with and without TLS."""

from __future__ import annotations

import asyncio
import socket
import ssl
import threading
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest
from test_listener import make_key, read_all, write_certificate, write_key
from twisted.internet.asyncioreactor import AsyncioSelectorReactor

from lavenderrun.http_server import CloseReason, RequestAccount
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import FrontService
from lavenderrun.services._listener import Listener
from lavenderrun.types import FrontSettings

HEAD = b"POST /orders HTTP/1.1\r\nHost: front\r\nContent-Length: 200000\r\n\r\n"
DRAIN = timedelta(seconds=0.5)


def stop_front(
    tls: tuple[str, str] | None, call: Callable[[int], bytes]
) -> tuple[bytes, RequestAccount]:
    """Stop a front once *call* has begun; return what it returns, and the account."""
    reactor: Any = AsyncioSelectorReactor(asyncio.new_event_loop())
    kernel = Kernel(
        ReactorClock.starting_now(reactor), SimpleNamespace(front=FrontSettings(drain=DRAIN))
    )
    front = FrontService(kernel)
    listener = Listener("127.0.0.1:0", tls)
    listener.open(front.make_factory, reactor)
    seen: list[bytes] = []
    caller = threading.Thread(target=lambda: seen.append(call(listener.port)))

    def stop_when_reading() -> None:
        if any(channel.is_reading for channel in front._list_channels()):
            listener.close()
            front.stop().addCallback(lambda _: reactor.stop())
        else:
            reactor.callLater(0.01, stop_when_reading)

    reactor.callWhenRunning(caller.start)
    reactor.callWhenRunning(stop_when_reading)
    reactor.callLater(20, reactor.stop)
    reactor.run()
    caller.join()
    assert front.account is not None
    return seen[0], front.account


# the connection of a request whose body was half read was aborted without an answer
@pytest.mark.parametrize("is_secure", [False, True], ids=["tcp", "tls"])
def test_at_the_end_of_the_drain_a_half_read_request_is_refused_as_not_run(
    tmp_path: Path, is_secure: bool
) -> None:
    tls = None
    if is_secure:
        key = make_key()
        certificate = write_certificate(tmp_path / "front.pem", key)
        tls = (certificate, write_key(tmp_path / "front.key", key))

    def call(port: int) -> bytes:
        with socket.create_connection(("127.0.0.1", port)) as connection:
            if tls is None:
                return send_slowly(connection)
            context = ssl.create_default_context(cafile=tls[0])
            with context.wrap_socket(connection, server_hostname="front") as secure:
                return send_slowly(secure)

    def send_slowly(connection: socket.socket) -> bytes:
        connection.sendall(HEAD + b"x" * 1000)
        threading.Event().wait(DRAIN.total_seconds() + 0.3)
        # a close of the whole connection would answer this by a reset
        connection.sendall(b"x" * 1000)
        return read_all(connection)

    answer, account = stop_front(tls, call)
    head, _, body = answer.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 ")
    assert b"connection: close" in head.lower()
    assert b"Lavenderrun-Outcome: not-run" in head
    assert b"X-Request-Id: " in head
    assert b'"code":"leaving","outcome":"not-run"' in body
    assert account.partial[CloseReason.DEPARTURE] == 1
