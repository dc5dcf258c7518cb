"""A small fleet of plain services on a fake clock: two entries, agents and a table service."""

from __future__ import annotations

import hashlib
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any

from fleet import CountingLimits, FakeSettings, FixedDocument, MemoryRecord, StubService
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import PlainRouterService
from lavenderrun.standins import (
    MemoryNetwork,
    MemoryPlain,
    MemoryStore,
    PlainCore,
    PlainFaults,
    TableCore,
    TableFaults,
)
from lavenderrun.types import (
    AccountId,
    AdmittedPlain,
    AdmittedRequest,
    BackendId,
    BackendRole,
    BootId,
    DataCentre,
    Fingerprint,
    Hello,
    HostId,
    HostRole,
    IdempotencyKey,
    PlainRequest,
    PlainRoute,
    Refusal,
    Refused,
    Repeatability,
    RequestId,
    RouteName,
    ServiceGroup,
)

DESK = ServiceGroup("order-desk")
TALCA = DataCentre("talca")


class PlainAdmission(StubService):
    """Admits every call; the method tells whether it may be repeated."""

    def __init__(self, patience: timedelta) -> None:
        self.patience = patience
        self.valid = True
        self.fault = Refusal.UNKNOWN_KEY
        self._handlers: list[Any] = []

    def admit_plain(self, request: PlainRequest) -> AdmittedPlain:
        once = request.method == "POST"
        route = PlainRoute(
            name=RouteName("confirm" if once else "status"),
            prefix="/",
            service=DESK,
            patience=self.patience,
            repeatability=Repeatability.AT_MOST_ONCE if once else Repeatability.IDEMPOTENT,
        )
        content = f"{request.method} {request.path}".encode() + request.body
        fingerprint = Fingerprint(hashlib.sha256(content).hexdigest())
        return AdmittedPlain(AccountId("gruas"), None, 1.0, fingerprint, route)

    def find_refusal(self, admitted: AdmittedRequest) -> Refusal | None:
        return None if self.valid else self.fault

    def watch(self, handler: Any) -> None:
        self._handlers.append(handler)

    def withdraw(self) -> None:
        self.valid = False
        for handler in self._handlers:
            handler()


class Reply:
    def __init__(self) -> None:
        self.status = 0
        self.body = b""
        self.ends: list[Refused | None] = []

    @property
    def refused(self) -> Refused:
        [end] = self.ends
        assert isinstance(end, Refused)
        return end

    @property
    def is_whole(self) -> bool:
        return self.ends == [None]

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        assert not self.status
        self.status = status

    def put_body(self, data: bytes) -> None:
        assert not self.ends
        self.body += data

    def finish(self) -> None:
        self.ends.append(None)

    def refuse(self, refused: Refused) -> None:
        self.ends.append(refused)


class PlainFleet:
    """Entries ``e1`` and ``e2`` before agents ``a1``.., all of one service."""

    def __init__(
        self, *, agents: int = 2, seats: int = 2, patience: timedelta = timedelta(seconds=5)
    ) -> None:
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.network = MemoryNetwork(self.clock, timedelta(microseconds=500))
        self.record = MemoryRecord()
        self.seats = seats
        self.admission = PlainAdmission(patience)
        self.core = PlainCore()
        self.table = TableCore()
        self.hosts: dict[str, Kernel] = {}
        self.faults: dict[str, PlainFaults] = {}
        self.table_faults: dict[str, TableFaults] = {}
        self.routers: dict[str, PlainRouterService] = {}
        self.addresses = [f"a{n}" for n in range(1, agents + 1)]
        self._asked = 0
        for host in self.addresses:
            self.faults[host] = PlainFaults()
            self.start_agent(host)
        for host in ("e1", "e2"):
            self.table_faults[host] = TableFaults()
            self.start_entry(host)
        self.run(0.05)

    def start_agent(self, host: str) -> None:
        kernel = self._make_kernel(host, HostRole.AGENT, BackendRole.PLAIN)
        kernel.provide("plain", MemoryPlain(self.clock, self.core, self.faults[host]))
        kernel.build(["links", "plain_agent"])
        Deferred.fromCoroutine(kernel.start())

    def start_entry(self, host: str) -> None:
        kernel = self._make_kernel(host, HostRole.ENTRY, None)
        kernel.add("document", FixedDocument())
        kernel.add("admission", self.admission)
        kernel.add("limits", CountingLimits())
        store = MemoryStore(self.clock, self.table, self.table_faults[host])
        kernel.provide("store", store)
        kernel.build(["links", "plain_router"])
        Deferred.fromCoroutine(kernel.start())
        self.links(host).set_peers(self.addresses)
        self.routers[host] = kernel.find("plain_router", PlainRouterService)

    def _make_kernel(self, host: str, role: HostRole, backend: BackendRole | None) -> Kernel:
        boot = BootId(f"{host}-{self.reactor.seconds()}")
        group = DESK if backend else None
        hello = Hello(HostId(host), boot, role, TALCA, BackendId(host), backend, group, host)
        settings: Any = FakeSettings(hello)
        object.__setattr__(settings, "slots", lambda: self.seats)
        kernel = Kernel(self.clock, settings, Random(1))
        kernel.add("transport", self.network.transport(host))
        kernel.add("record", self.record)
        self.hosts[host] = kernel
        return kernel

    def links(self, host: str) -> Any:
        return self.hosts[host].find("links", object)

    def kill(self, host: str, *, silent: bool = False) -> None:
        """End a host without a planned stop; *silent* leaves its peers unaware."""
        if silent:
            for pipe in self.network.pipes:
                if host in (pipe.source, pipe.target):
                    pipe.silent = True
        if host in self.table_faults:
            self.table_faults[host].down = True
        self.links(host).stop()
        self.network.unlisten(host)

    def silence(self, one: str, other: str) -> None:
        """Lose all traffic on the open link between two hosts; a new one works."""
        for pipe in self.network.pipes:
            if {pipe.source, pipe.target} == {one, other}:
                pipe.silent = True

    def ask(
        self,
        method: str,
        path: str,
        *,
        key: str | None = None,
        entry: str = "e1",
        body: bytes = b"",
    ) -> tuple[Any, Reply]:
        self._asked += 1
        reply = Reply()
        request = PlainRequest(
            RequestId(f"r{self._asked}"),
            "marker-key",
            method,
            path,
            [],
            body,
            self.clock.now(),
            IdempotencyKey(key) if key else None,
        )
        return self.routers[entry].submit(request, reply), reply

    def run(self, seconds: float, step: float = 0.001) -> None:
        self.reactor.pump([step] * round(seconds / step))

    def held(self) -> int:
        """Return the calls that entries and agents have in hand."""
        entries = sum(router.count_jobs() for router in self.routers.values())
        agents: list[Any] = [
            self.hosts[host].find("plain_agent", object) for host in self.addresses
        ]
        return entries + sum(int(agent.count_jobs()) for agent in agents)
