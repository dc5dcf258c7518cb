from __future__ import annotations

from dataclasses import replace
from datetime import datetime, timedelta
from random import Random

import pytest
from engine_row import ENGINE, START

from lavenderrun.dispatch import MAX_ROLE_CHANGE_TIME, RoleOrder, RoleOrders
from lavenderrun.types import (
    BackendRole,
    FencingNumber,
    Member,
)


def make_order(fencing: int = 1, sequence: int = 0) -> RoleOrder:
    return RoleOrder(
        ENGINE.id, ENGINE.incarnation, BackendRole.PREFILL, FencingNumber(fencing), sequence
    )


ORDER = make_order()


class Host:
    """What one host knows of orders, and the row of the engine that it read last."""

    def __init__(self) -> None:
        self.orders = RoleOrders()
        self.row: Member | None = ENGINE

    def list_pending(self, now: datetime) -> dict[RoleOrder, timedelta]:
        return dict(self.orders.list_pending(lambda _: self.row, now))

    def report_to(self, other: Host, now: datetime, delay: timedelta) -> None:
        for order, left in self.list_pending(now).items():
            other.orders.record(order, left, now + delay)


# soak seed 30: each host began the change anew when it heard of it from another one, and the
# engine, which had not taken the role, got no call from any of them
@pytest.mark.parametrize("seed", range(10))
def test_hosts_that_tell_each_other_of_a_role_change_do_not_prolong_it(seed: int) -> None:
    random_source = Random(seed)
    hosts = [Host() for _ in range(random_source.randint(2, 5))]
    hosts[0].orders.record(ORDER, MAX_ROLE_CHANGE_TIME, START)
    now, until = START, START + timedelta(seconds=60)
    while now < until:
        now += timedelta(seconds=random_source.uniform(0, 0.5))
        for host in hosts:
            delay = timedelta(seconds=random_source.uniform(0, 0.1))
            host.report_to(random_source.choice(hosts), now, delay)
        if random_source.random() < 0.02:
            hosts[random_source.randrange(len(hosts))] = Host()
        # an order that is passed on from host to host is late by the delay at each of them
        if now > START + MAX_ROLE_CHANGE_TIME + len(hosts) * timedelta(seconds=1):
            assert not any(host.list_pending(now) for host in hosts)


def test_a_host_that_starts_anew_learns_of_the_order_and_its_rest() -> None:
    first, second = Host(), Host()
    first.orders.record(ORDER, MAX_ROLE_CHANGE_TIME, START)
    first.report_to(second, START + timedelta(seconds=4), timedelta(0))
    assert second.list_pending(START + timedelta(seconds=4)) == {ORDER: timedelta(seconds=6)}


@pytest.mark.parametrize(
    ("row", "is_pending"),
    [
        (ENGINE, True),
        (replace(ENGINE, role=BackendRole.PREFILL), False),
        (replace(ENGINE, started=2), False),
        (None, False),
    ],
)
def test_an_order_is_pending_until_its_run_of_the_engine_has_the_role(
    row: Member | None, is_pending: bool
) -> None:
    host = Host()
    host.orders.record(ORDER, MAX_ROLE_CHANGE_TIME, START)
    host.row = row
    assert bool(host.list_pending(START)) is is_pending


def test_only_the_newest_order_of_an_engine_is_pending() -> None:
    host = Host()
    newest = make_order(fencing=2, sequence=1)
    for order in (make_order(1, 0), newest, make_order(1, 1)):
        host.orders.record(order, MAX_ROLE_CHANGE_TIME, START)
    assert list(host.list_pending(START)) == [newest]


def test_orders_that_are_kept_are_bounded() -> None:
    host = Host()
    for number in range(5000):
        order = replace(ORDER, incarnation=replace(ENGINE, started=number).incarnation)
        host.orders.record(order, MAX_ROLE_CHANGE_TIME, START)
    assert len(host.orders._newest) == 1024
    assert len(host.orders._expected_until) == 1024
