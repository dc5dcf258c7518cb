"""What gateways tell each other about engines that were ordered to another role."""

from __future__ import annotations

from dataclasses import replace
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import msgspec
from engine_row import ENGINE, START
from store_fixture import BOUNDS
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.dispatch import CallRequirements, GroupPlan, RoleOrder
from lavenderrun.gateway._fleet_reports import FleetReportsService
from lavenderrun.gateway._peer_messages import decode_report
from lavenderrun.gateway._view import FleetView
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import (
    BackendRole,
    BootId,
    DataCentre,
    FencingNumber,
    HostId,
)

REPORT_SECONDS = 0.25


class Host:
    """A gateway's view of one engine."""

    def __init__(self, name: str, reactor: FakeReactor) -> None:
        self.row = ENGINE
        members = MagicMock(host_count=2)
        members.find = lambda _: self.row
        members.list_members = lambda _: [self.row]
        members.list_departures.return_value = ()
        suspects = MagicMock()
        nothing = SimpleNamespace(crashes={}, answered={})
        suspects.make_call_report.return_value = nothing
        suspects.make_part_report.return_value = nothing
        pool = MagicMock()
        pool.unreached.find_next_try.return_value = None
        configuration = SimpleNamespace(watch=lambda _: None, current=None, version=1)
        evacuations = MagicMock()
        evacuations.list_notices.return_value = {}
        peers = MagicMock(boot=BootId(f"boot of {name}"), previous=BootId(""), plan=GroupPlan({}))
        services: dict[str, Any] = {
            "bounds": SimpleNamespace(current=BOUNDS, watch=lambda _: None),
            "cold_servers": MagicMock(),
            "configuration": configuration,
            "evacuations": evacuations,
            "members": members,
            "peers": peers,
            "pool": pool,
            "stats": MagicMock(),
            "suspects": suspects,
        }
        kernel: Any = SimpleNamespace(
            clock=ReactorClock(reactor, START, zero=0.0),
            random_source=Random(1),
            settings=SimpleNamespace(host=HostId(name), data_centre=DataCentre("here")),
            find=lambda name, _: services[name],
        )
        self.view = services["view"] = FleetView(kernel)
        self.reports = FleetReportsService(kernel)

    def report_to(self, other: Host) -> None:
        report = decode_report(msgspec.msgpack.encode(self.reports.make_report()))
        assert report is not None
        other.reports.apply_report(report)

    def takes_engine(self) -> bool:
        return self.view.place(ENGINE.service, "decode", CallRequirements()) is not None


class Fixture:
    """Two gateways that report to each other; the first one has ordered the engine."""

    def __init__(self) -> None:
        self.reactor = FakeReactor()
        self.hosts = [Host("h1", self.reactor), Host("h2", self.reactor)]
        order = RoleOrder(ENGINE.id, ENGINE.incarnation, BackendRole.PREFILL, FencingNumber(1), 0)
        self.hosts[0].view.note_role_order(order)

    def advance(self, seconds: float) -> None:
        for _ in range(round(seconds / REPORT_SECONDS)):
            first, second = self.hosts
            self.reactor.advance(REPORT_SECONDS / 2)
            first.report_to(second)
            self.reactor.advance(REPORT_SECONDS / 2)
            second.report_to(first)
            self.list_takers()  # calls come all the time

    def list_takers(self) -> list[bool]:
        return [host.takes_engine() for host in self.hosts]


# soak seed 30: an engine that accepted an order and did not carry it out got no call for as long as
# two gateways told each other of it
def test_an_engine_that_does_not_change_its_role_is_called_again_by_all() -> None:
    fixture = Fixture()
    fixture.advance(9)
    assert fixture.list_takers() == [False, False]
    fixture.advance(2)
    assert fixture.list_takers() == [True, True]


# an engine that crashed between its order and its new role got no call in its next run
def test_an_engine_that_starts_anew_has_no_order() -> None:
    fixture = Fixture()
    fixture.advance(1)
    for host in fixture.hosts:
        host.row = replace(ENGINE, started=2)
    fixture.advance(1)
    assert fixture.list_takers() == [True, True]


def test_a_gateway_that_starts_anew_leaves_the_engine_alone_for_the_rest() -> None:
    fixture = Fixture()
    fixture.advance(4)
    fixture.hosts[0] = Host("h1", fixture.reactor)
    fixture.advance(1)
    assert fixture.list_takers() == [False, False]
    fixture.advance(6)
    assert fixture.list_takers() == [True, True]


def report_as_before(host: Host, other: Host) -> None:
    """Send a report without the fields of this release."""
    fields = msgspec.msgpack.decode(msgspec.msgpack.encode(host.reports.make_report()))
    report = decode_report(msgspec.msgpack.encode(fields[:11]))
    assert report is not None
    assert report.moving
    assert not report.ordered
    other.reports.apply_report(report)


# gateways of this release did not hear of the orders of earlier ones
def test_an_order_that_an_earlier_release_reports_holds_once() -> None:
    fixture = Fixture()
    first, second = fixture.hosts
    for _ in range(8):
        report_as_before(first, second)
        assert not second.takes_engine()
        fixture.reactor.advance(1)
    # two of them go on telling each other
    first.view.note_role_order(
        RoleOrder(ENGINE.id, ENGINE.incarnation, BackendRole.PREFILL, FencingNumber(2), 0)
    )
    report_as_before(first, second)
    fixture.reactor.advance(3)
    report_as_before(first, second)
    assert second.takes_engine()


# the gateway that orders engines knew only its own calls, a small part of the fleet's
def test_the_work_of_other_gateways_counts_until_they_have_not_reported_for_five_seconds() -> None:
    fixture = Fixture()
    first, second = fixture.hosts
    for _ in range(400):
        balancer = second.view.find_balancer(ENGINE.service)
        balancer.observe_prefill(timedelta(milliseconds=300), 9000)
        balancer.observe_decode(timedelta(seconds=1), 0.1)
    second.report_to(first)
    first.view.find_balancer(ENGINE.service)
    first.view.observe_fleet_work()
    assert first.view.find_balancer(ENGINE.service).prefill_share > 0.7
    assert first.view.describe_fleet_work(ENGINE.service) == {
        "prefills": 400,
        "decodes": 400,
        "work_hosts": 1,
        "work_age_ms": 0,
        "prefill_queue_ms": 0,
        "full_share": 0.0,
    }
    fixture.reactor.advance(6)
    first.view.observe_fleet_work()
    assert first.view.describe_fleet_work(ENGINE.service)["work_hosts"] == 0
    assert first.view.find_balancer(ENGINE.service).work.calls == 0
