from __future__ import annotations

import socket
from collections.abc import Iterator

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
