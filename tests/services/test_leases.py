from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace

from twisted.internet.task import Clock as FakeTime

from lavenderrun.codecs import LEASE_TABLE, RowCodec
from lavenderrun.decisions import LeaseTerms
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import LeasesService
from lavenderrun.standins import MemoryStore, TableCore, TableFaults
from lavenderrun.types import NO_HOST, BootId, HostId, LeaseName

START = datetime(2026, 1, 1, tzinfo=UTC)
NAME = LeaseName("orders")
LATENCY = timedelta(milliseconds=400)


class Fixture:
    """A host that holds a lease; calls to the store take a while."""

    def __init__(self) -> None:
        self.time = FakeTime()
        self.core = TableCore()
        clock = ReactorClock(self.time, START, zero=0.0)
        hello = SimpleNamespace(host=HostId("h1"), boot=BootId("b1"))
        kernel = Kernel(clock, SimpleNamespace(hello=lambda: hello), Random(1))
        kernel.provide("links", SimpleNamespace(list_live=list))
        self.faults = TableFaults(latency=LATENCY)
        kernel.provide("store", MemoryStore(clock, self.core, self.faults))
        self.leases = LeasesService(kernel, LeaseTerms())
        self.leases.compete(NAME)
        self.leases.start()
        self.advance(2)

    def advance(self, seconds: float) -> None:
        self.time.pump([0.05] * round(seconds / 0.05))

    def find_holder(self) -> HostId | None:
        row = self.core.get(LEASE_TABLE, NAME)
        return None if row is None else RowCodec(LEASE_TABLE).decode(NAME, row.value).holder


# the row stayed the stopped host's until it expired, and the renewal made it the holder again
def test_a_stop_while_a_renewal_is_under_way_frees_the_lease() -> None:
    fixture = Fixture()
    assert fixture.find_holder() == "h1"
    writes = fixture.core.writes
    while fixture.core.writes == writes:
        fixture.advance(0.05)
    stopped = fixture.leases.stop()
    assert not stopped.called
    fixture.advance(2)
    assert stopped.called
    assert fixture.leases.find_fencing_number(NAME) is None
    assert fixture.find_holder() == NO_HOST


# the release expected the version before the renewal, conflicted and was not tried again
def test_a_stop_after_a_renewal_whose_reply_is_lost_frees_the_lease() -> None:
    fixture = Fixture()
    fixture.faults.lost_replies = 1
    writes = fixture.core.writes
    while fixture.core.writes == writes:
        fixture.advance(0.05)
    stopped = fixture.leases.stop()
    fixture.advance(3)
    assert stopped.called
    assert not fixture.faults.lost_replies
    assert fixture.find_holder() == NO_HOST
