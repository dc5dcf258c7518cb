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


class Line:
    is_open = True
    dropped = False

    def abort(self) -> None:
        self.dropped = True


def rest(pool: ConnectionPool, lines: int) -> int:
    """Return how many of so many connections the pool keeps."""
    found = [Line() for _ in range(lines)]
    for line in found:
        connection = cast("Connection", line)
        pool._addresses[connection] = ADDRESS
        pool.rested(connection)
    return sum(not line.dropped for line in found)


@pytest.mark.parametrize(("hosts", "kept"), [(1, 64), (5, 12), (26, 2), (350, 1)])
def test_all_hosts_together_keep_no_more_idle_connections_than_a_server_accepts(
    hosts: int, kept: int
) -> None:
    reactor: Any = None
    pool = ConnectionPool(ReactorClock(FakeTime(), START, zero=0.0), reactor)
    pool.set_host_count(hosts)
    assert rest(pool, 100) == kept


def test_until_the_hosts_are_known_few_connections_are_kept() -> None:
    reactor: Any = None
    pool = ConnectionPool(ReactorClock(FakeTime(), START, zero=0.0), reactor)
    assert rest(pool, 100) == 8
