"""Test fleet: real services in one process, on a fake clock and an in-memory network."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from random import Random
from typing import Any, ClassVar

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import DecodeAgent, LinksService, ModelRouterService, PrefillAgent
from lavenderrun.standins import (
    EngineModel,
    Fabric,
    MemoryNetwork,
    MemoryStore,
    TableCore,
    TableFaults,
)
from lavenderrun.types import (
    AccountId,
    AdmittedModel,
    AdmittedPlain,
    AdmittedRequest,
    BackendId,
    BackendRole,
    BootId,
    Charge,
    DataCentre,
    Document,
    DocumentVersion,
    Event,
    Fingerprint,
    FinishReason,
    Hello,
    HostId,
    HostRole,
    ModelName,
    ModelRequest,
    ModelRoute,
    PlainRequest,
    Refusal,
    Refused,
    RequestId,
    RouteName,
    ServiceGroup,
)

TALCA = DataCentre("talca")
MODEL = ModelName("tensile")


class StubService:
    needs: ClassVar[tuple[str, ...]] = ()

    def start(self) -> None: ...

    def stop(self) -> None: ...


class MemoryRecord(StubService):
    def __init__(self) -> None:
        self.events: list[Event] = []

    def emit(self, event: Event) -> None:
        self.events.append(event)

    def all(self, kind: type) -> list[Any]:
        return [event.data for event in self.events if isinstance(event.data, kind)]


class FixedDocument(StubService):
    version = DocumentVersion(1)
    current = Document()

    def watch(self, handler: Callable[[Document], None]) -> None:
        handler(self.current)


class OpenAdmission(StubService):
    def __init__(self, route: ModelRoute) -> None:
        self.route = route
        self.valid = True
        self.refusal = Refusal.UNKNOWN_KEY
        self._handlers: list[Callable[[], None]] = []

    def admit_model(self, request: ModelRequest) -> AdmittedModel | Refused:
        fingerprint = Fingerprint(f"gruas:{request.prompt}")
        return AdmittedModel(AccountId("gruas"), None, 1.0, fingerprint, self.route)

    def admit_plain(self, request: PlainRequest) -> AdmittedPlain | Refused:
        raise NotImplementedError

    def find_refusal(self, admitted: AdmittedRequest) -> Refusal | None:
        return None if self.valid else self.refusal

    def watch(self, handler: Callable[[], None]) -> None:
        self._handlers.append(handler)

    def withdraw(self) -> None:
        self.valid = False
        for handler in self._handlers:
            handler()


class CountingLimits(StubService):
    def __init__(self) -> None:
        self.charged_tokens = 0.0

    def charge(
        self, account: AccountId, requests: float, tokens: float, patience: timedelta
    ) -> Deferred[Charge | Refused]:
        self.charged_tokens += tokens
        return succeed(Charge(account, requests, tokens))

    def refund(self, charge: Charge, tokens: float) -> None:
        self.charged_tokens -= tokens


@dataclass(frozen=True)
class FakeSettings:
    greeting: Hello

    def hello(self) -> Hello:
        return self.greeting

    def slots(self) -> int:
        return 2

    def kv_blocks(self) -> int:
        return 640


class RecordingSink:
    def __init__(self) -> None:
        self.tokens: list[str] = []
        self.ends: list[FinishReason | Refused] = []

    def put_tokens(self, tokens: list[str]) -> None:
        assert not self.ends
        self.tokens += tokens

    def finish(self, reason: FinishReason) -> None:
        self.ends.append(reason)

    def refuse(self, refused: Refused) -> None:
        self.ends.append(refused)


class Fleet:
    """Entries ``e1``.., a prefill agent ``p1`` and decode agents ``d1``.. with their engines."""

    def __init__(
        self, *, decoders: int = 1, route: ModelRoute | None = None, entries: int = 1
    ) -> None:
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.network = MemoryNetwork(self.clock, timedelta(microseconds=500))
        self.fabric = Fabric(self.clock)
        self.record = MemoryRecord()
        self.admission = OpenAdmission(route or ModelRoute(name=RouteName("sum"), model=MODEL))
        self.limits = CountingLimits()
        self.table = TableCore()
        self.table_faults = TableFaults()
        self.engines: dict[str, EngineModel] = {}
        self.agents: dict[str, Kernel] = {}
        self.addresses = ["p1", *(f"d{n}" for n in range(1, decoders + 1))]
        for host in self.addresses:
            self.engines[host] = EngineModel(self.clock, self.fabric, f"engine-{host}", TALCA)
            self.start_agent(host)
        self.entries: dict[str, Kernel] = {}
        for number in range(entries):
            self.start_entry(f"e{number + 1}")
        self.router = self.find_router("e1")
        self.run(0.1)

    def start_entry(self, host: str) -> None:
        kernel = self.make_kernel(host, HostRole.ENTRY, None)
        for name, part in (("document", FixedDocument()), ("admission", self.admission)):
            kernel.add(name, part)
        kernel.add("limits", self.limits)
        kernel.provide("store", MemoryStore(self.clock, self.table, self.table_faults))
        kernel.build(["wakes", "links", "quarantine", "crashing_texts", "model_router"])
        Deferred.fromCoroutine(kernel.start())
        self.entries[host] = kernel
        links = kernel.find("links", LinksService)
        links.set_peers(self.addresses + [other for other in self.entries if other < host])

    def find_router(self, entry: str) -> ModelRouterService:
        return self.entries[entry].find("model_router", ModelRouterService)

    def make_kernel(self, host: str, role: HostRole, backend: BackendRole | None) -> Kernel:
        greeting = Hello(
            HostId(host),
            BootId(f"{host}-{self.reactor.seconds()}"),
            role,
            TALCA,
            BackendId(host),
            backend,
            ServiceGroup(MODEL),
            host,
        )
        kernel = Kernel(self.clock, FakeSettings(greeting), Random(1))
        kernel.add("transport", self.network.transport(host))
        kernel.add("record", self.record)
        return kernel

    def start_agent(self, host: str) -> None:
        role = BackendRole.PREFILL if host.startswith("p") else BackendRole.DECODE
        kernel = self.make_kernel(host, HostRole.AGENT, role)
        kernel.provide("engine", self.engines[host])
        kernel.build(["wakes", "links", f"{role.value}_agent", "departure"])
        Deferred.fromCoroutine(kernel.start())
        self.agents[host] = kernel

    def stop_agent(self, host: str) -> Deferred[None]:
        """Stop the agent in order: it announces that it leaves, drains, and ends."""
        return Deferred.fromCoroutine(self.agents[host].stop())

    def kill_agent(self, host: str) -> None:
        """Stop the agent without a drain; its engine drops the calls of the lost connection."""
        kernel = self.agents.pop(host)
        kernel.find("links", LinksService).stop()
        name = "prefill_agent" if host.startswith("p") else "decode_agent"
        agent: Any = kernel.find(name, object)
        agent.close()
        self.network.unlisten(host)

    def submit(
        self, prompt: str = "heat record 17", max_tokens: int = 40, entry: str = "e1"
    ) -> tuple[Any, RecordingSink]:
        sink = RecordingSink()
        number = len(self.record.events)
        request = ModelRequest(
            RequestId(f"r{number}"), None, MODEL, prompt, max_tokens, self.clock.now()
        )
        return self.find_router(entry).submit(request, sink), sink

    def run(self, seconds: float, step: float = 0.005) -> None:
        self.reactor.pump([step] * round(seconds / step))

    def count_held(self) -> int:
        jobs = 0
        for host, kernel in self.agents.items():
            if host.startswith("p"):
                jobs += kernel.find("prefill_agent", PrefillAgent).count_jobs()
            else:
                jobs += kernel.find("decode_agent", DecodeAgent).count_jobs()
        return jobs + sum(engine.held() for engine in self.engines.values())
