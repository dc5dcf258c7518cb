from __future__ import annotations

from collections.abc import Collection
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

import pytest
from fleet import FakeSettings, FixedDocument, StubService
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import MembershipService
from lavenderrun.standins import MemoryStore, TableCore, TableFaults
from lavenderrun.types import BootId, DataCentre, Hello, HostId, HostRole


class RecordedPeers(StubService):
    """Takes the place of the links and records how many peers were to be linked."""

    def __init__(self) -> None:
        self.counts: list[int] = []

    def set_peers(self, addresses: Collection[str]) -> None:
        self.counts.append(len(addresses))


class Entries:
    """Entries that register in one table service."""

    def __init__(self, hosts: int) -> None:
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.table = TableCore()
        self.faults = TableFaults()
        self.peers: dict[str, RecordedPeers] = {}
        self.memberships: dict[str, MembershipService] = {}
        for number in range(hosts):
            self.start(f"e{number}", number)

    def start(self, host: str, seed: int) -> None:
        hello = Hello(HostId(host), BootId("b"), HostRole.ENTRY, DataCentre("talca"), address=host)
        settings: Any = FakeSettings(hello)
        kernel = Kernel(self.clock, settings, Random(seed))
        self.peers[host] = RecordedPeers()
        kernel.add("links", self.peers[host])
        kernel.add("document", FixedDocument())
        kernel.provide("store", MemoryStore(self.clock, self.table, self.faults))
        kernel.build(["membership"])
        Deferred.fromCoroutine(kernel.start())
        self.memberships[host] = kernel.find("membership", MembershipService)

    def run(self, period: timedelta) -> None:
        self.reactor.pump([0.5] * round(period / timedelta(seconds=0.5)))

    def count_known(self) -> list[int]:
        return [len(membership.entries()) for membership in self.memberships.values()]


# after an outage of the store the first entry to read it removed the rows of all others
@pytest.mark.parametrize("outage", [timedelta(minutes=9), timedelta(minutes=25)])
def test_no_entry_is_forgotten_after_an_outage_of_the_store(outage: timedelta) -> None:
    entries = Entries(4)
    entries.run(timedelta(minutes=2))
    assert entries.count_known() == [3] * 4
    before = {host: len(peers.counts) for host, peers in entries.peers.items()}
    entries.faults.down = True
    entries.run(outage)
    entries.faults.down = False
    entries.run(timedelta(minutes=2))
    assert entries.count_known() == [3] * 4
    # each entry links to those with a greater id, and drops no link for a moment
    for number, (host, peers) in enumerate(entries.peers.items()):
        assert set(peers.counts[before[host] :]) == {3 - number}
