"""Hosts that share a document over links and one table service, on a fake clock."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.decisions import digest_key
from lavenderrun.kernel import ReactorClock
from lavenderrun.services import AdmissionService, DocumentService, LinksService, WakesService
from lavenderrun.standins import MemoryNetwork, MemoryStore, TableCore, TableFaults
from lavenderrun.types import (
    Account,
    AccountId,
    Backend,
    BackendId,
    BackendRole,
    BootId,
    DataCentre,
    Document,
    DocumentVersion,
    Event,
    Hello,
    HostId,
    HostRole,
    Model,
    ModelName,
    ModelRequest,
    ModelRoute,
    Rate,
    RequestId,
    RouteName,
    ServiceGroup,
)

TALCA = DataCentre("talca")
MODEL = ModelName("acta")
RATE = Rate(requests_per_second=1, request_burst=1, tokens_per_second=1, token_burst=1)


def make_document(*keys: str, agents: int = 3) -> Document:
    return Document(
        accounts=[Account(id=AccountId("a"), rate=RATE, keys=[digest_key(k) for k in keys])],
        models=[Model(name=MODEL)],
        model_routes=[ModelRoute(name=RouteName("m"), model=MODEL)],
        backends=[
            Backend(
                id=BackendId(f"d{n}"),
                group=ServiceGroup(MODEL),
                role=BackendRole.DECODE,
                data_centre=TALCA,
                agent=f"127.0.0.1:{7000 + n}",
            )
            for n in range(agents)
        ],
    )


def result_of(deferred: Deferred[Any]) -> Any:
    found: list[Any] = []
    deferred.addBoth(found.append)
    return found[0] if found else None


class FakeRecord:
    def __init__(self) -> None:
        self.events: list[Event] = []

    def emit(self, event: Event) -> None:
        self.events.append(event)


@dataclass
class Host:
    name: str
    links: LinksService
    document: DocumentService
    admission: AdmissionService
    faults: TableFaults
    versions: list[int] = field(default_factory=list)

    def admission_result(self, key: str) -> str:
        request = ModelRequest(RequestId("r"), key, MODEL, "p", 1, datetime(2026, 1, 1, tzinfo=UTC))
        found: Any = self.admission.admit_model(request)
        return found.refusal.name if hasattr(found, "refusal") else "admitted"


class Hosts:
    """Entries and agents that share a document; entries dial all agents, which have no store."""

    def __init__(self, entries: int = 3, agents: int = 3, *, document: Document | None) -> None:
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.network = MemoryNetwork(self.clock, timedelta(microseconds=500))
        self.core = TableCore()
        self.record = FakeRecord()
        self.hosts: dict[str, Host] = {}
        self.entries = [f"e{n}" for n in range(entries)]
        self.agents = [f"d{n}" for n in range(agents)]
        for name in [*self.agents, *self.entries]:
            self.start(name)
        self.run(0.1)
        if document is not None:
            self.submit("e0", document, 0)

    def __getitem__(self, name: str) -> Host:
        return self.hosts[name]

    def start(self, name: str) -> Host:
        entry = name.startswith("e")
        role = HostRole.ENTRY if entry else HostRole.AGENT
        backend = None if entry else BackendId(name)
        boot = BootId(f"{name}@{self.reactor.seconds()}")
        hello = Hello(HostId(name), boot, role, TALCA, backend, address=name)
        wakes = WakesService(self.clock)
        links = LinksService(self.clock, hello, self.network.transport(name), wakes)
        faults = TableFaults(timeout=timedelta(seconds=1))
        store = MemoryStore(self.clock, self.core, faults) if entry else None
        random_source = random.Random(boot)
        document = DocumentService(
            self.clock, hello, links, store, record=self.record, random_source=random_source
        )
        host = Host(name, links, document, AdmissionService(self.clock, document), faults)
        document.watch(lambda _: host.versions.append(document.version))
        self.hosts[name] = host
        for service in (wakes, links, document, host.admission):
            service.start()
        if entry:
            links.set_peers(self.agents)
        return host

    def stop(self, name: str) -> None:
        host = self.hosts.pop(name)
        for service in (host.admission, host.document, host.links):
            service.stop()
        self.network.unlisten(name)

    def submit(self, name: str, document: Document, expect: int, seconds: float = 4) -> Any:
        answer = self[name].document.submit(document, f"op-{name}", DocumentVersion(expect))
        found: list[Any] = []
        answer.addBoth(found.append)
        self.run(seconds)
        return found[0] if found else None

    def run(self, seconds: float) -> None:
        end = self.reactor.seconds() + seconds
        while (due := self._next_due()) <= end:
            self.reactor.advance(max(0.0, due - self.reactor.seconds()))
        self.reactor.advance(max(0.0, end - self.reactor.seconds()))

    def _next_due(self) -> float:
        # the fake reactor keeps its calls sorted by time
        calls: Any = self.reactor.getDelayedCalls()
        return float(calls[0].getTime())

    def cut_off(self, name: str) -> None:
        """Cut a host off from the store and from all peers, without closing its links."""
        self[name].faults.down = True
        for other in [*self.agents, *self.entries]:
            if other != name:
                self.network.partition(name, other)

    def set_store_down(self, down: bool = True) -> None:
        for host in self.hosts.values():
            host.faults.down = down

    def versions(self) -> set[int]:
        return {host.document.version for host in self.hosts.values()}
