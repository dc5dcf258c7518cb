"""A fleet on a fake clock: two entries, agents of a plain service and a table service."""

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

ORDER_SERVICE = ServiceGroup("order-desk")
DATA_CENTRE = DataCentre("talca")


class PlainAdmission(StubService):
    """Admits every call; a ``POST`` may not be repeated."""

    def __init__(self, patience: timedelta) -> None:
        self.patience = patience
        self.valid = True
        self.refusal = Refusal.UNKNOWN_KEY
        self._handlers: list[Any] = []

    def admit_plain(self, request: PlainRequest) -> AdmittedPlain:
        at_most_once = request.method == "POST"
        route = PlainRoute(
            name=RouteName("confirm" if at_most_once else "status"),
            prefix="/",
            service=ORDER_SERVICE,
            patience=self.patience,
            repeatability=Repeatability.AT_MOST_ONCE if at_most_once else Repeatability.IDEMPOTENT,
        )
        content = f"{request.method} {request.path}".encode() + request.body
        fingerprint = Fingerprint(hashlib.sha256(content).hexdigest())
        return AdmittedPlain(AccountId("gruas"), None, 1.0, fingerprint, route)

    def find_refusal(self, admitted: AdmittedRequest) -> Refusal | None:
        return None if self.valid else self.refusal

    def watch(self, handler: Any) -> None:
        self._handlers.append(handler)

    def withdraw(self) -> None:
        self.valid = False
        for handler in self._handlers:
            handler()


class RecordedReply:
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
    """Entries ``e1`` and ``e2``, and agents ``a1``, ``a2`` and so on of one plain service."""

    def __init__(
        self, *, agents: int = 2, max_running: int = 2, patience: timedelta = timedelta(seconds=5)
    ) -> None:
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.network = MemoryNetwork(self.clock, timedelta(microseconds=500))
        self.record = MemoryRecord()
        self.max_running = max_running
        self.admission = PlainAdmission(patience)
        self.core = PlainCore()
        self.table = TableCore()
        self.hosts: dict[str, Kernel] = {}
        self.faults: dict[str, PlainFaults] = {}
        self.table_faults: dict[str, TableFaults] = {}
        self.routers: dict[str, PlainRouterService] = {}
        self.addresses = [f"a{n}" for n in range(1, agents + 1)]
        self._submitted = 0
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
        kernel.build(["wakes", "links", "plain_agent"])
        Deferred.fromCoroutine(kernel.start())

    def start_entry(self, host: str) -> None:
        kernel = self._make_kernel(host, HostRole.ENTRY, None)
        kernel.add("document", FixedDocument())
        kernel.add("admission", self.admission)
        kernel.add("limits", CountingLimits())
        store = MemoryStore(self.clock, self.table, self.table_faults[host])
        kernel.provide("store", store)
        kernel.build(["wakes", "links", "plain_router"])
        Deferred.fromCoroutine(kernel.start())
        self.find_links(host).set_peers(self.addresses)
        self.routers[host] = kernel.find("plain_router", PlainRouterService)

    def _make_kernel(self, host: str, role: HostRole, backend: BackendRole | None) -> Kernel:
        boot = BootId(f"{host}-{self.reactor.seconds()}")
        group = ORDER_SERVICE if backend else None
        hello = Hello(HostId(host), boot, role, DATA_CENTRE, BackendId(host), backend, group, host)
        settings: Any = FakeSettings(hello)
        object.__setattr__(settings, "slots", lambda: self.max_running)
        kernel = Kernel(self.clock, settings, Random(1))
        kernel.add("transport", self.network.transport(host))
        kernel.add("record", self.record)
        self.hosts[host] = kernel
        return kernel

    def find_links(self, host: str) -> Any:
        return self.hosts[host].find("links", object)

    def kill(self, host: str, *, silent: bool = False) -> None:
        """End a host without a planned stop; with *silent* its peers see no link close."""
        if silent:
            for pipe in self.network.pipes:
                if host in (pipe.source, pipe.target):
                    pipe.silent = True
        if host in self.table_faults:
            self.table_faults[host].down = True
        self.find_links(host).stop()
        self.network.unlisten(host)

    def drop_traffic(self, one: str, other: str) -> None:
        """Drop all traffic on the open link between two hosts; a later link works."""
        for pipe in self.network.pipes:
            if {pipe.source, pipe.target} == {one, other}:
                pipe.silent = True

    def submit(
        self,
        method: str,
        path: str,
        *,
        key: str | None = None,
        entry: str = "e1",
        body: bytes = b"",
    ) -> tuple[Any, RecordedReply]:
        self._submitted += 1
        reply = RecordedReply()
        request = PlainRequest(
            RequestId(f"r{self._submitted}"),
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

    def count_jobs(self) -> int:
        """Return the number of calls that entries and agents have not ended."""
        entries = sum(router.count_jobs() for router in self.routers.values())
        agents: list[Any] = [
            self.hosts[host].find("plain_agent", object) for host in self.addresses
        ]
        return entries + sum(int(agent.count_jobs()) for agent in agents)
