"""Orders from the lease holder to agents, also from a holder that was paused."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

from limit_fleet import FakeDocument, PausedStore, StubService
from msgspec.structs import replace
from twisted.internet.defer import Deferred

from lavenderrun.bench._network import BenchNetwork
from lavenderrun.bench._time import EventClock, HostClock
from lavenderrun.kernel import Kernel
from lavenderrun.services import LeasesService, OrderAgent, OrdersService
from lavenderrun.standins import MemoryStore, TableCore, TableFaults
from lavenderrun.types import (
    BackendId,
    BackendRole,
    BootId,
    DataCentre,
    Document,
    FencingNumber,
    Hello,
    HostId,
    HostRole,
    LeaseName,
    Link,
    LoadedModel,
    Model,
    ModelName,
    Order,
    OrderKind,
    ServiceGroup,
)

TALCA = DataCentre("talca")
LEASE = LeaseName("orders")
LOAD_TIME = timedelta(seconds=3)


@dataclass(frozen=True)
class FakeSettings:
    greeting: Hello
    policies: dict[str, str] = field(default_factory=dict)

    def hello(self) -> Hello:
        return self.greeting


class FakeEngine(StubService):
    """An engine that does not check fencing numbers, as some real ones do not."""

    def __init__(self, clock: HostClock) -> None:
        self.executed: list[Order] = []
        self._clock = clock

    def find_loaded(self) -> Deferred[LoadedModel | None]:
        answer: Deferred[LoadedModel | None] = Deferred()
        answer.callback(None)
        return answer

    def execute(self, order: Order) -> Deferred[None]:
        self.executed.append(order)
        done: Deferred[None] = Deferred()
        self._clock.call_later(LOAD_TIME, done.callback, None)
        return done


class StubWorker(StubService):
    def __init__(self) -> None:
        self.jobs = 0

    def count_jobs(self) -> int:
        return self.jobs


class FakeRecord(StubService):
    def emit(self, event: Any) -> None: ...


class OrderHarness:
    """Entries ``e0`` and ``e1``, and agents ``d0``.. that serve the model ``old``."""

    def __init__(self, document: Document, *, agents: int = 3) -> None:
        self.reactor = EventClock()
        self.base = self.reactor
        self.network = BenchNetwork(self.base, Random(1))
        self.core = TableCore()
        self.faults = TableFaults()
        self.clocks: dict[str, HostClock] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.workers: dict[str, StubWorker] = {}
        self.document = document
        self.agents = {f"d{n}": self.start_agent(f"d{n}") for n in range(agents)}
        self.entries = {name: self.start_entry(name) for name in ("e0", "e1")}

    def make_kernel(self, name: str, hello: Hello) -> Kernel:
        clock = self.clocks[name] = HostClock(self.base)
        self.network.place(name, TALCA, clock)
        kernel = Kernel(clock, FakeSettings(hello), Random(name))
        kernel.add("transport", self.network.transport(name))
        kernel.add("record", FakeRecord())
        return kernel

    def start_agent(self, name: str) -> Kernel:
        hello = Hello(
            HostId(name),
            BootId(f"{name}1"),
            HostRole.AGENT,
            TALCA,
            BackendId(name),
            BackendRole.DECODE,
            ServiceGroup("old"),
            name,
        )
        kernel = self.make_kernel(name, hello)
        engine = self.engines[name] = FakeEngine(self.clocks[name])
        self.workers[name] = StubWorker()
        kernel.add("engine", engine)
        kernel.add("decode_agent", self.workers[name])
        kernel.build(["wakes", "links", "order_agent"])
        Deferred.fromCoroutine(kernel.start())
        return kernel

    def start_entry(self, name: str) -> Kernel:
        hello = Hello(HostId(name), BootId(f"{name}1"), HostRole.ENTRY, TALCA, address=name)
        kernel = self.make_kernel(name, hello)
        store: Any = PausedStore(MemoryStore(self.base, self.core, self.faults), self.clocks[name])
        source = FakeDocument()
        source.put(self.document)
        kernel.provide("store", store)
        kernel.add("document", source)
        kernel.build(["wakes", "links", "leases", "orders"])
        Deferred.fromCoroutine(kernel.start())
        links: Any = kernel.find("links", object)
        links.set_peers(list(self.agents))
        return kernel

    def run(self, seconds: float) -> None:
        self.reactor.advance(seconds)

    def find_holder(self) -> str:
        holders = [name for name in self.entries if self.fencing(name) is not None]
        assert len(holders) == 1
        return holders[0]

    def fencing(self, name: str) -> FencingNumber | None:
        return self.entries[name].find("leases", LeasesService).find_fencing_number(LEASE)

    def executed(self) -> list[Order]:
        return [order for engine in self.engines.values() for order in engine.executed]

    def find_link(self, entry: str, agent: str) -> Link:
        links: Any = self.entries[entry].find("links", object)
        link = links.find(HostId(agent))
        assert link is not None
        return link  # type: ignore[no-any-return]


def make_document(decode: int = 2) -> Document:
    models = [Model(name=ModelName("new"), prefill=0, decode=decode, size=2_000_000_000)]
    return Document(models=models)


def make_order(number: int, fencing: int) -> Order:
    return Order(number, FencingNumber(fencing), OrderKind.LOAD_MODEL, ModelName("stale"), "1")


def test_orders_load_the_models_of_the_document_and_entries_learn_the_new_group() -> None:
    harness = OrderHarness(make_document())
    harness.run(60)
    models = [order.model for order in harness.executed()]
    assert models == ["new", "new"]
    groups = sorted(harness.find_link("e0", name).peer.group or "" for name in harness.agents)
    assert groups == ["new", "new", "old"]


def test_drain_waits_for_jobs_and_is_announced_to_entries() -> None:
    harness = OrderHarness(make_document(1), agents=1)
    harness.workers["d0"].jobs = 1
    harness.run(30)
    links: Any = harness.entries["e0"].find("links", object)
    assert links.is_leaving(HostId("d0"))
    assert harness.executed() == []
    harness.workers["d0"].jobs = 0
    harness.run(10)
    assert len(harness.executed()) == 1
    assert not links.is_leaving(HostId("d0"))


def test_orders_of_a_holder_that_was_paused_are_refused() -> None:
    harness = OrderHarness(make_document(0))
    harness.run(20)
    old = harness.find_holder()
    link = harness.find_link(old, "d0")
    harness.clocks[old].pause()
    harness.run(30)
    new = next(name for name in harness.entries if name != old)
    assert harness.fencing(new) == 2
    assert harness.fencing(old) is None
    harness.clocks[old].resume()
    # orders written before the pause, over the link from before and over the link it has now
    link.send(make_order(7, 1))
    harness.run(3)
    harness.find_link(old, "d0").send(make_order(8, 1))
    harness.run(10)
    assert harness.executed() == []
    assert harness.find_holder() == new


def test_order_that_waits_for_jobs_is_dropped_when_a_later_holder_takes_over() -> None:
    harness = OrderHarness(make_document(0))
    harness.run(20)
    harness.workers["d0"].jobs = 1
    harness.find_link("e0", "d0").send(make_order(1, 5))
    harness.run(1)
    harness.find_link("e1", "d0").send(make_order(1, 6))
    harness.workers["d0"].jobs = 0
    harness.run(10)
    assert harness.executed() == []
    assert harness.agents["d0"].find("order_agent", OrderAgent).count_jobs() == 0


def test_repeated_order_runs_once() -> None:
    harness = OrderHarness(make_document(0))
    harness.run(20)
    for _ in range(3):
        harness.find_link("e0", "d0").send(make_order(1, 5))
        harness.run(4)
    assert len(harness.executed()) == 1


# a second order began while the engine loaded an adapter, and the end of the first one was taken
# for the end of both
def test_an_order_is_not_begun_while_an_adapter_is_loaded() -> None:
    harness = OrderHarness(make_document(0))
    harness.run(20)
    adapter = replace(make_order(1, 5), kind=OrderKind.LOAD_ADAPTER, adapter="a")
    harness.find_link("e0", "d0").send(adapter)
    harness.run(1)
    harness.find_link("e0", "d0").send(make_order(2, 5))
    harness.run(1)
    assert harness.executed() == [adapter]
    harness.run(3)
    harness.find_link("e0", "d0").send(make_order(2, 5))
    harness.run(1)
    assert harness.executed() == [adapter, make_order(2, 5)]


def test_store_outage_ends_the_lease_and_no_order_is_sent() -> None:
    harness = OrderHarness(make_document(0))
    harness.run(20)
    harness.faults.down = True
    harness.run(30)
    assert [harness.fencing(name) for name in harness.entries] == [None, None]
    harness.faults.down = False
    harness.run(30)
    harness.find_holder()
    assert harness.entries["e0"].find("orders", OrdersService).find_serving(HostId("d0"))
