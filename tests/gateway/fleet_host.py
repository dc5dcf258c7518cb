"""Gateways with their queues for decode slots, which tell each other by reports in memory."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace
from typing import Any
from unittest.mock import MagicMock

import msgspec
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.dispatch import REJECTION_POLICIES, CallRequirements, QueuedCall
from lavenderrun.gateway._decode_slot_queue import (
    DecodeSlotQueueService,
    DecodeSlotReservation,
    DecodeSlotWaiter,
)
from lavenderrun.gateway._fleet_reports import FleetReportsService
from lavenderrun.gateway._peer_messages import decode_report
from lavenderrun.gateway._view import FleetView
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import (
    BackendId,
    BackendRole,
    BootId,
    DataCentre,
    HostId,
    Member,
    MemberState,
    ServiceGroup,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
SERVICE = ServiceGroup("llm")
HERE = DataCentre("here")
MEMORY = 10_000
CALL_TOKENS = 1000
URGENT, OTHER = 0, 2


def make_engine(name: str, slots: int = 12) -> Member:
    return Member(
        BackendId(name),
        SERVICE,
        "127.0.0.1:1",
        HERE,
        BackendRole.DECODE,
        slots,
        MemberState.READY,
        timedelta(0),
        1,
    )


class FleetHost:
    """One gateway; the calls that it serves hold their slots until they are freed."""

    def __init__(self, name: str, reactor: FakeReactor, engines: list[Member]) -> None:
        members = MagicMock(host_count=2)
        members.list_members = lambda _: engines
        members.list_departures.return_value = ()
        suspects, evacuations = MagicMock(), MagicMock()
        nothing = SimpleNamespace(crashes={}, answered={})
        suspects.make_call_report.return_value = nothing
        suspects.make_part_report.return_value = nothing
        evacuations.list_notices.return_value = {}
        pool = MagicMock()
        pool.unreached.find_next_try.return_value = None
        engine = SimpleNamespace(kv_tokens=MEMORY)
        configuration = SimpleNamespace(
            watch=lambda _: None,
            current=SimpleNamespace(
                lowest_rank=OTHER,
                has_stream_ranks=True,
                services={SERVICE: SimpleNamespace(engine=engine)},
            ),
            version=1,
        )
        plan = SimpleNamespace(is_aggregated=False)
        self.peers = MagicMock(boot=BootId(f"boot of {name}"), previous=BootId(""), plan=plan)
        cold_servers = MagicMock()
        cold_servers.list_withheld.return_value = []
        services: dict[str, Any] = {
            "bounds": SimpleNamespace(
                current=SimpleNamespace(
                    retry_ratio=0.1, retry_window=timedelta(seconds=10), retry_reserve=1.0
                ),
                watch=lambda _: None,
            ),
            "cold_servers": cold_servers,
            "configuration": configuration,
            "evacuations": evacuations,
            "members": members,
            "peers": self.peers,
            "pool": pool,
            "stats": MagicMock(),
            "suspects": suspects,
        }
        kernel: Any = SimpleNamespace(
            clock=ReactorClock(reactor, START, zero=0.0),
            random_source=Random(1),
            settings=SimpleNamespace(host=HostId(name), data_centre=HERE),
            find=lambda name, _: services[name],
        )
        self.clock = kernel.clock
        self.configuration = configuration
        self.view = services["view"] = FleetView(kernel)
        self.view.rejects_by_forecast = REJECTION_POLICIES.find("ranked")
        self.reports = FleetReportsService(kernel)
        self.queue = DecodeSlotQueueService(kernel)
        self.served: list[str] = []
        self.refused: list[str] = []
        self.slots: list[DecodeSlotReservation] = []

    def enqueue(
        self,
        name: str,
        rank: int,
        tokens: int = CALL_TOKENS,
        objective: timedelta = timedelta(seconds=1),
    ) -> DecodeSlotWaiter:
        def take(slot: DecodeSlotReservation | None) -> None:
            if slot is None:
                self.refused.append(name)
            else:
                self.served.append(name)
                self.slots.append(slot)

        call = QueuedCall(rank, self.clock.now(), objective)
        waiter = DecodeSlotWaiter(SERVICE, CallRequirements(tokens=tokens), call, take)
        self.queue.enqueue(waiter)
        return waiter

    def free_slot(self) -> None:
        self.slots.pop(0).free()


class Fleet:
    """Gateways that exchange reports every 10 ms, or those among them that are connected."""

    def __init__(self, hosts: int, engines: int = 1, slots: int = 12) -> None:
        self.reactor = FakeReactor()
        self.engines = [make_engine(f"e{n}", slots) for n in range(engines)]
        self.hosts = [FleetHost(f"h{n}", self.reactor, self.engines) for n in range(hosts)]
        self.is_cut = False

    def exchange(self) -> None:
        for host in self.hosts:
            report = decode_report(msgspec.msgpack.encode(host.reports.make_report()))
            assert report is not None
            for other in self.hosts:
                if other is not host:
                    other.reports.apply_report(report)

    def advance(self, milliseconds: int) -> None:
        for _ in range(milliseconds // 10):
            self.reactor.advance(0.01)
            if not self.is_cut:
                self.exchange()
