from __future__ import annotations

import socket
import time
from collections.abc import Callable, Iterator
from contextlib import suppress

import pytest
from proxy import Proxy, ProxyMode

LOST = 0.3
"""Seconds after which bytes that have not arrived are lost."""


class Connection:
    """A connection through a proxy, with both of its ends."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.proxy = Proxy(f"127.0.0.1:{self.listener.getsockname()[1]}")
        host, _, port = self.proxy.address.rpartition(":")
        self.client = socket.create_connection((host, int(port)), 2)
        self.target, _ = self.listener.accept()
        self.client.settimeout(LOST)

    def close(self) -> None:
        for end in (self.client, self.target, self.listener):
            end.close()
        self.proxy.close()


@pytest.fixture
def connection() -> Iterator[Connection]:
    found = Connection()
    yield found
    found.close()


def test_what_is_held_arrives_later(connection: Connection) -> None:
    connection.proxy.set(ProxyMode.HELD)
    connection.target.sendall(b"one")
    with pytest.raises(TimeoutError):
        connection.client.recv(10)
    connection.proxy.set(ProxyMode.OPEN)
    assert connection.client.recv(10) == b"one"


# soak seed 909: two events of a stream were dropped and its end was delivered
@pytest.mark.parametrize("mode", [ProxyMode.NO_ANSWERS, ProxyMode.SILENT])
@pytest.mark.parametrize("last", [b"the end", b""])
def test_nothing_follows_lost_bytes(connection: Connection, mode: ProxyMode, last: bytes) -> None:
    connection.target.sendall(b"one")
    assert connection.client.recv(10) == b"one"
    connection.proxy.set(mode)
    connection.target.sendall(b"lost")
    with pytest.raises(TimeoutError):
        connection.client.recv(10)
    connection.proxy.set(ProxyMode.OPEN)
    connection.target.sendall(last)
    if not last:
        connection.target.shutdown(socket.SHUT_WR)
    with pytest.raises(ConnectionResetError):
        connection.client.recv(10)


def _break_later(proxy: Proxy, break_path: Callable[[], None]) -> float:
    """Break a path whose proxy acts late, as it does beside load; return when it was ordered."""
    proxy._loop.call_soon_threadsafe(time.sleep, LOST / 2)
    break_path()
    return time.monotonic()


# soak seed 608: an answer that began after the order to crash was broken off by it
@pytest.mark.parametrize("modes", [(), (ProxyMode.RESET, ProxyMode.OPEN)])
def test_a_path_counts_as_broken_until_its_connections_are_closed(
    connection: Connection, modes: tuple[ProxyMode, ...]
) -> None:
    def break_path() -> None:
        if not modes:
            connection.proxy.crash()
        for mode in modes:
            connection.proxy.set(mode)

    ordered = _break_later(connection.proxy, break_path)
    with suppress(ConnectionResetError):
        assert connection.client.recv(10) == b""
    closed = time.monotonic()
    assert connection.proxy.has_broken(ordered, closed)
    assert not connection.proxy.has_broken(closed + LOST, closed + 2 * LOST)
