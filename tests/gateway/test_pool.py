from __future__ import annotations

from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any, cast

import pytest
from twisted.internet.task import Clock as FakeTime

from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import CallFailure, Headers

START = datetime(2026, 1, 1, tzinfo=UTC)
ADDRESS = "127.0.0.1:1"


class FakeConnection:
    is_open = True
    aborted = False

    def abort(self) -> None:
        self.aborted = True


def count_kept(pool: ConnectionPool, connections: int) -> int:
    """Let connections become idle and return how many of them the pool keeps."""
    fakes = [FakeConnection() for _ in range(connections)]
    for connection in fakes:
        typed = cast("Connection", connection)
        pool._addresses[typed] = ADDRESS
        pool.connection_idle(typed)
    return sum(not connection.aborted for connection in fakes)


@pytest.mark.parametrize(("hosts", "kept"), [(1, 64), (5, 12), (26, 2), (350, 1)])
def test_all_hosts_together_keep_no_more_idle_connections_than_a_server_accepts(
    hosts: int, kept: int
) -> None:
    reactor: Any = None
    pool = ConnectionPool(ReactorClock(FakeTime(), START, zero=0.0), reactor)
    pool.set_host_count(hosts)
    assert count_kept(pool, 100) == kept


def test_few_connections_are_kept_until_the_hosts_are_known() -> None:
    reactor: Any = None
    pool = ConnectionPool(ReactorClock(FakeTime(), START, zero=0.0), reactor)
    assert count_kept(pool, 100) == 8


class Failures:
    """Receives the failures of a call."""

    def __init__(self) -> None:
        self.reasons: list[CallFailure] = []

    def head_received(self, status: int, headers: Headers) -> None:
        raise AssertionError

    def body_received(self, data: bytes) -> None:
        raise AssertionError

    def answer_completed(self) -> None:
        raise AssertionError

    def answer_failed(self, reason: CallFailure) -> None:
        self.reasons.append(reason)


# a call whose caller had left was counted as sent, and the next one got no share
def test_an_abandoned_call_is_not_asked_whether_to_send() -> None:
    reactor: Any = None
    pool = ConnectionPool(ReactorClock(FakeTime(), START, zero=0.0), reactor)
    opened: list[tuple[Callable[..., None], tuple[Any, ...]]] = []
    pool.open = lambda _, on_opened, *args, **_options: opened.append((on_opened, args))  # type: ignore[method-assign]
    asked: list[bool] = []

    def may_send() -> bool:
        asked.append(True)
        return True

    pool.call(ADDRESS, "GET", "/", [], b"", Failures(), may_send=may_send).abandon()
    ((on_opened, args),), connection = opened, FakeConnection()
    on_opened(connection, *args)
    assert connection.aborted
    assert not asked


# a server began to leave while the connection to it was opened, and the call was sent all the same
def test_a_call_is_withdrawn_when_its_server_leaves_before_the_connection_is_open() -> None:
    reactor: Any = None
    pool = ConnectionPool(ReactorClock(FakeTime(), START, zero=0.0), reactor)
    opened: list[Callable[..., None]] = []
    arguments: list[Any] = []

    def open_later(
        _address: str, on_opened: Callable[..., None], *args: Any, **_options: Any
    ) -> None:
        opened.append(on_opened)
        arguments.extend(args)

    pool.open = open_later  # type: ignore[method-assign, assignment]
    receiver, is_ready = Failures(), True
    exchange = pool.call(ADDRESS, "GET", "/", [], b"", receiver, may_send=lambda: is_ready)
    is_ready = False
    connection = FakeConnection()
    opened[0](connection, *arguments)
    assert receiver.reasons == [CallFailure.WITHDRAWN]
    assert connection.aborted
    assert not exchange.sent
