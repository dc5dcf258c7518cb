"""Orders to engines around the hand-over of the lease from one gateway to another."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import Any

from engine_row import ENGINE, START
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeTime

from lavenderrun.dispatch import RoleBacklog, RoleBalancer, RoleChange, RoleOrder, StoreEras
from lavenderrun.gateway import HttpAnswer, HttpRequest
from lavenderrun.gateway._ports import RowPage
from lavenderrun.gateway._roles import RolesService
from lavenderrun.gateway._suspension import CHECK_INTERVAL, SuspensionService
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.platform._backends import PlatformBackends
from lavenderrun.types import (
    BackendId,
    BackendRole,
    BootId,
    FencingNumber,
)

CHANGE = RoleChange(ENGINE, BackendRole.PREFILL)
REPORT = {"stage": "decode", "busy": False, "seq": 3}


class Engine:
    """Answers reports when told to and records orders."""

    def __init__(self) -> None:
        self.orders: list[dict[str, Any]] = []
        self.pending: Deferred[HttpAnswer] = Deferred()

    def forget(self, _address: str) -> None:
        """Keep no connections."""

    def close_idle(self) -> None:
        """Keep no connections."""

    async def fetch(
        self, _address: str, call: HttpRequest, _timeout: timedelta, _max_bytes: int
    ) -> HttpAnswer:
        if call.method == "POST":
            self.orders.append(json.loads(call.body))
            return HttpAnswer(202, b"", [])
        return await self.pending


class Rows:
    """A table with one writer, whose transactions all succeed."""

    dialect = SimpleNamespace(leases_table="leases")
    eras = StoreEras()

    def watch_era(self, _watcher: object) -> None:
        """Stay in one era."""

    async def read(self, _table: str) -> RowPage:
        return RowPage([], 1)

    async def write(self, _table: str, _rows: Any) -> int:
        return 2


class Fixture:
    """A host that orders one change of roles.

    :param silence: for how long hosts whose names come before it have been silent.
    """

    def __init__(self, silence: float = 60.0) -> None:
        self.time = FakeTime()
        self.boot_time = 0.0
        clock = ReactorClock(self.time, START, zero=0.0)
        kernel = Kernel(clock, SimpleNamespace(host="h1"), Random(1))
        self.engines = [ENGINE]
        self.engine = Engine()
        follower = SimpleNamespace(restart=lambda: None)
        watched = SimpleNamespace(follower=follower, watch=lambda _handler: None)
        kernel.provide("configuration", watched)
        members = SimpleNamespace(**vars(watched), list_members=lambda _: self.engines)
        kernel.provide("members", members)
        others_silent = timedelta(seconds=silence)
        peers = SimpleNamespace(
            follower=follower,
            boot=BootId("b1"),
            is_first_by_name=lambda silence=None: silence is not None and silence <= others_silent,
        )
        kernel.provide("peers", peers)
        kernel.provide("stats", SimpleNamespace(observe=lambda *_: None))
        kernel.provide("rows", Rows())
        kernel.provide("pool", self.engine)
        self.engine_takes_calls = True
        self.orders_of_others: list[RoleOrder] = []
        view = SimpleNamespace(
            note_role_order=lambda _: None,
            list_role_orders=lambda: self.orders_of_others,
            occupancy=SimpleNamespace(sum_reserved_tokens=lambda _: 0),
            takes_calls=lambda _: self.engine_takes_calls,
            observe_fleet_work=lambda: None,
            measure_backlog=lambda _: RoleBacklog(),
            find_role_change_time=lambda _: timedelta(0),
            describe_fleet_work=lambda _: {},
        )
        kernel.provide("view", view)
        kernel.provide("backend_dialect", PlatformBackends())
        self.suspension = SuspensionService(kernel)
        self.suspension.read_boot_time = lambda: self.boot_time
        kernel.provide("wakes", self.suspension)
        self.roles = RolesService(kernel)
        self.suspension.start()
        self.roles.start()
        self.order = Deferred.fromCoroutine(self.roles._order_change(CHANGE, RoleBalancer()))

    def advance(self, seconds: float) -> None:
        """Let time pass while the host runs."""
        self.boot_time += seconds
        self.time.advance(seconds)

    def suspend(self, seconds: float) -> None:
        """Let time pass that the clock of the timers does not count."""
        self.boot_time += seconds

    def answer_report(self) -> None:
        self.engine.pending.callback(HttpAnswer(200, json.dumps(REPORT).encode(), []))


def test_a_holder_orders_an_engine_after_reading_its_report() -> None:
    fixture = Fixture()
    fixture.answer_report()
    (order,) = fixture.engine.orders
    assert (order["op"], order["fence"], order["expected"]) == ("stage", 1, 3)


# a gateway that did not report for a second lost the lease, and another one ordered engines
def test_a_short_silence_of_the_gateway_that_orders_engines_is_no_hand_over() -> None:
    for silence, orders in ((1.2, 0), (3.5, 1)):
        fixture = Fixture(silence)
        fixture.answer_report()
        assert len(fixture.engine.orders) == orders


def test_no_order_is_sent_when_the_lease_ended_while_the_report_was_read() -> None:
    fixture = Fixture()
    for _ in range(20):
        fixture.advance(0.25)
    fixture.answer_report()
    assert fixture.engine.orders == []


def test_no_order_is_sent_after_a_suspension_that_the_timers_do_not_count() -> None:
    fixture = Fixture()
    fixture.advance(0.1)
    fixture.suspend(20.0)
    fixture.answer_report()
    assert fixture.engine.orders == []


def test_a_lease_held_before_a_suspension_is_not_used_after_it() -> None:
    fixture = Fixture()
    fixture.advance(0.1)
    fixture.suspend(20.0)
    fixture.advance(CHECK_INTERVAL.total_seconds())
    assert fixture.roles._keeper.find_fencing_number(START) is None


def test_a_busy_loop_is_no_suspension() -> None:
    fixture = Fixture()
    fixture.advance(0.2)
    fixture.suspension.check()
    fixture.advance(0.04)
    fixture.suspension.check()
    fixture.answer_report()
    assert len(fixture.engine.orders) == 1


# soak seed 30: the next holder of the lease ordered the other decode engine to prefill as well, and
# streams found no engine
def test_an_engine_that_another_gateway_ordered_counts_as_what_it_becomes() -> None:
    fixture = Fixture()
    fixture.engines = [replace(ENGINE, id=BackendId(name)) for name in ("e1", "e2")]
    plan = fixture.roles._plan_change(ENGINE.service, RoleBalancer())
    assert plan is not None
    assert plan.role is BackendRole.PREFILL
    ordered = plan.member
    fixture.orders_of_others = [
        RoleOrder(ordered.id, ordered.incarnation, plan.role, FencingNumber(1), 0)
    ]
    assert fixture.roles._plan_change(ENGINE.service, RoleBalancer()) is None
