"""Orders through leases, links and agents, with holders that pause."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any

from limit_fleet import Document1, PausedStore, StubService
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
class Settings:
    greeting: Hello
    policies: dict[str, str] = field(default_factory=dict)

    def hello(self) -> Hello:
        return self.greeting


class FakeEngine(StubService):
    """An engine that obeys anybody, as some do."""

    def __init__(self, clock: HostClock) -> None:
        self.obeyed: list[Order] = []
        self._clock = clock

    def find_loaded(self) -> Deferred[LoadedModel | None]:
        answer: Deferred[LoadedModel | None] = Deferred()
        answer.callback(None)
        return answer

    def execute(self, order: Order) -> Deferred[None]:
        self.obeyed.append(order)
        done: Deferred[None] = Deferred()
        self._clock.call_later(LOAD_TIME, done.callback, None)
        return done


class Work(StubService):
    def __init__(self) -> None:
        self.jobs = 0

    def count_jobs(self) -> int:
        return self.jobs


class Record(StubService):
    def emit(self, event: Any) -> None: ...


class Bench:
    """Entries ``e0`` and ``e1`` and agents ``d0``.. that serve a model ``old``."""

    def __init__(self, document: Document, *, agents: int = 3) -> None:
        self.reactor = EventClock()
        self.base = self.reactor
        self.network = BenchNetwork(self.base, Random(1))
        self.core = TableCore()
        self.faults = TableFaults()
        self.clocks: dict[str, HostClock] = {}
        self.engines: dict[str, FakeEngine] = {}
        self.work: dict[str, Work] = {}
        self.document = document
        self.agents = {f"d{n}": self.start_agent(f"d{n}") for n in range(agents)}
        self.entries = {name: self.start_entry(name) for name in ("e0", "e1")}

    def make_kernel(self, name: str, hello: Hello) -> Kernel:
        clock = self.clocks[name] = HostClock(self.base)
        self.network.place(name, TALCA, clock)
        kernel = Kernel(clock, Settings(hello), Random(name))
        kernel.add("transport", self.network.transport(name))
        kernel.add("record", Record())
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
        self.work[name] = Work()
        kernel.add("engine", engine)
        kernel.add("decode_agent", self.work[name])
        kernel.build(["links", "order_agent"])
        Deferred.fromCoroutine(kernel.start())
        return kernel

    def start_entry(self, name: str) -> Kernel:
        hello = Hello(HostId(name), BootId(f"{name}1"), HostRole.ENTRY, TALCA, address=name)
        kernel = self.make_kernel(name, hello)
        store: Any = PausedStore(MemoryStore(self.base, self.core, self.faults), self.clocks[name])
        source = Document1()
        source.put(self.document)
        kernel.provide("store", store)
        kernel.add("document", source)
        kernel.build(["links", "leases", "orders"])
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

    def obeyed(self) -> list[Order]:
        return [order for engine in self.engines.values() for order in engine.obeyed]

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


def test_document_is_reached_and_entries_learn_the_new_group() -> None:
    bench = Bench(make_document())
    bench.run(60)
    models = [order.model for order in bench.obeyed()]
    assert models == ["new", "new"]
    groups = sorted(bench.find_link("e0", name).peer.group or "" for name in bench.agents)
    assert groups == ["new", "new", "old"]


def test_drain_waits_for_work_and_tells_entries() -> None:
    bench = Bench(make_document(1), agents=1)
    bench.work["d0"].jobs = 1
    bench.run(30)
    links: Any = bench.entries["e0"].find("links", object)
    assert links.is_leaving(HostId("d0"))
    assert bench.obeyed() == []
    bench.work["d0"].jobs = 0
    bench.run(10)
    assert len(bench.obeyed()) == 1
    assert not links.is_leaving(HostId("d0"))


def test_paused_holder_wakes_and_its_orders_are_refused() -> None:
    bench = Bench(make_document(0))
    bench.run(20)
    old = bench.find_holder()
    link = bench.find_link(old, "d0")
    bench.clocks[old].pause()
    bench.run(30)
    new = next(name for name in bench.entries if name != old)
    assert bench.fencing(new) == 2
    assert bench.fencing(old) is None
    bench.clocks[old].resume()
    # what it had written before the pause, on a link that lives on or on a new one
    link.send(make_order(7, 1))
    bench.run(3)
    bench.find_link(old, "d0").send(make_order(8, 1))
    bench.run(10)
    assert bench.obeyed() == []
    assert bench.find_holder() == new


def test_order_that_drains_is_given_up_when_a_later_holder_comes() -> None:
    bench = Bench(make_document(0))
    bench.run(20)
    bench.work["d0"].jobs = 1
    bench.find_link("e0", "d0").send(make_order(1, 5))
    bench.run(1)
    bench.find_link("e1", "d0").send(make_order(1, 6))
    bench.work["d0"].jobs = 0
    bench.run(10)
    assert bench.obeyed() == []
    assert bench.agents["d0"].find("order_agent", OrderAgent).count_jobs() == 0


def test_repeated_order_runs_once() -> None:
    bench = Bench(make_document(0))
    bench.run(20)
    for _ in range(3):
        bench.find_link("e0", "d0").send(make_order(1, 5))
        bench.run(4)
    assert len(bench.obeyed()) == 1


def test_store_outage_ends_the_lease_and_no_order_is_given() -> None:
    bench = Bench(make_document(0))
    bench.run(20)
    bench.faults.down = True
    bench.run(30)
    assert [bench.fencing(name) for name in bench.entries] == [None, None]
    bench.faults.down = False
    bench.run(30)
    bench.find_holder()
    assert bench.entries["e0"].find("orders", OrdersService).find_serving(HostId("d0"))
