from __future__ import annotations

from datetime import UTC, datetime
from typing import Any, cast

import pytest
from twisted.internet.task import Clock as FakeTime

from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.kernel import ReactorClock

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
