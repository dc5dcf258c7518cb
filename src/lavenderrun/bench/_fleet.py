"""All hosts of a benchmark on one fake reactor, and the callers that send to them."""

from __future__ import annotations

import random
from collections import Counter
from datetime import timedelta
from typing import Any

from twisted.python.failure import Failure

from lavenderrun.bench._callers import CallerSink, Observation, Observations, digest_answer
from lavenderrun.bench._deployments import ENTRY_PORT, Deployment, make_key, make_key_digest
from lavenderrun.bench._hosts import BenchHost
from lavenderrun.bench._memory_record import MemoryRecord
from lavenderrun.bench._network import BenchNetwork
from lavenderrun.bench._recording_table import DOCUMENT_TABLE, TOKEN_BYTES, RecordingTable
from lavenderrun.bench._time import EventClock
from lavenderrun.bench._workload import Offered, OfferedCall, OfferedPrompt, Workload
from lavenderrun.codecs import encode_stored_document, make_stored_document
from lavenderrun.daemons import ENTRY_SERVICES, list_agent_services
from lavenderrun.kernel import Kernel
from lavenderrun.services import PolicyNames
from lavenderrun.standins import (
    EngineModel,
    Fabric,
    MemoryPlain,
    PlainCore,
    TableFaults,
    expected_tokens,
)
from lavenderrun.types import (
    Backend,
    BackendId,
    BackendRole,
    CallerSent,
    DocumentVersion,
    Event,
    EventData,
    HostId,
    MemoryHeld,
    ModelRequest,
    PlainRequest,
    RequestHandle,
    RequestId,
    Revision,
    Targets,
)

CALLER_DELAY = timedelta(milliseconds=1)
RETRY_DELAY = timedelta(milliseconds=100)
WARM_UP_SECONDS = 6.0
"""Time from the start of the hosts to the first request."""
MAX_TRIES = 3
PLATFORM = HostId("platform")


class Fleet:
    """A simulated deployment: entries, agents, engines, plain service and table service.

    :param seed: seed of all random sources.
    :param policies: policy name by the part of the router that it configures.
    """

    def __init__(
        self, deployment: Deployment, seed: int, policies: dict[str, str] | None = None
    ) -> None:
        self.deployment = deployment
        self.seed = seed
        self.policy_names = policies or {}
        self.policies = PolicyNames(**self.policy_names)
        self.reactor = self.clock = EventClock()
        self.record = MemoryRecord()
        self.network = BenchNetwork(self.clock, random.Random(f"network-{seed}"))
        self.table = RecordingTable(lambda data: self.emit(PLATFORM, data))
        self.extra: Counter[str] = Counter()
        self.store_faults = TableFaults()
        self.document = deployment.build_document()
        rates = {(link.source, link.target): link.bytes_per_second for link in self.document.links}
        self.fabric = Fabric(self.clock, rates)
        self.engines: dict[BackendId, EngineModel] = {}
        self.plain_servers: dict[BackendId, MemoryPlain] = {}
        self.plain_core = PlainCore()
        self.hosts: dict[HostId, BenchHost] = {}
        self.observations = Observations()
        self.failures: list[Failure] = []
        self.random_source = random.Random(f"fleet-{seed}")
        self._open: dict[
            HostId, dict[RequestId, tuple[CallerSink, RequestHandle, Observation, int]]
        ] = {}
        self._requests = 0
        self._build_hosts()

    @property
    def seconds(self) -> float:
        """Seconds since the end of the warm-up; negative before it."""
        return self.reactor.seconds() - WARM_UP_SECONDS

    @property
    def entries(self) -> list[BenchHost]:
        """The entry hosts."""
        return [host for host in self.hosts.values() if host.is_entry]

    @property
    def agents(self) -> list[BenchHost]:
        """The hosts that run an agent beside a backend server."""
        return [host for host in self.hosts.values() if not host.is_entry]

    def start(self) -> None:
        """Store the first document, start all hosts and run the warm-up."""
        self._put_first_document()
        for host in self.hosts.values():
            host.start()
        self.reactor.advance(WARM_UP_SECONDS)

    def run(self, workload: Workload, seconds: float, drain: float) -> None:
        """Send the requests of *workload*, then wait for the answers.

        :param seconds: length of the load.
        :param drain: longest wait for answers after the load, in seconds.
        """
        self._arrivals = workload.offer(seconds)
        self._schedule_next()
        self.reactor.advance(seconds)
        while drain > 0 and any(self._open.values()):
            self.reactor.advance(1.0)
            drain -= 1.0

    def finish(self, settle: float) -> None:
        """Wait until leases have expired, record what is still held, and stop all hosts.

        :param settle: seconds to wait before and after the stop.
        """
        self.reactor.advance(settle)
        for host in self.hosts.values():
            host.record_held()
        for name, engine in self.engines.items():
            self.emit(PLATFORM, MemoryHeld(f"engine {name}", engine.held()))
        for host in [*self.entries, *self.agents]:
            if host.is_up:
                host.stop()
        self.reactor.advance(settle)

    def send(self, observation: Observation) -> None:
        """Send a caller's request and record its outcome in *observation*."""
        self.observations.all.append(observation)
        self._send(observation, 1)

    def at(self, seconds: float, call: Any, *args: Any) -> None:
        """Run *call* at *seconds* after the end of the warm-up."""
        delay = timedelta(seconds=max(0.0, seconds - self.seconds))
        self.clock.call_later(delay, call, *args)

    def emit(self, host: HostId, data: EventData) -> None:
        """Append an event of *host* to the record."""
        self.record.emit(Event(self.clock.now(), host, data))

    def record_failure(self, failure: Failure) -> None:
        """Keep a failure that no service handled."""
        self.failures.append(failure)

    def service_names(self, host: BenchHost) -> tuple[str, ...]:
        """Return the names of a host's services, without the HTTP front end."""
        if host.backend is None:
            return tuple(name for name in ENTRY_SERVICES if name != "front")
        return list_agent_services(host.backend.role)

    def build_services(self, host: BenchHost, kernel: Kernel) -> None:
        """Build a host's services in *kernel*."""
        kernel.build(self.service_names(host))

    def disconnect_callers(self, entry: HostId) -> None:
        """Break the callers' connections to a dead entry; retry requests that may be repeated."""
        for sink, _, observation, tries in list(self._open.pop(entry, {}).values()):
            sink.hang_up()
            if tries < MAX_TRIES and may_retry(observation.offered):
                observation.gone = False
                self.clock.call_later(RETRY_DELAY, self._send, observation, tries + 1)

    def find_targets(self, offered: Offered) -> Targets:
        """Return the latency targets of the request's route."""
        if isinstance(offered, OfferedCall):
            return self.document.plain_routes[0].targets
        return self.document.model_routes[0].targets

    def _put_first_document(self) -> None:
        version = DocumentVersion(1)
        revision = Revision(version, "bench", self.clock.now(), "first")
        row = encode_stored_document(make_stored_document(self.document, revision, None))
        self.table.put(DOCUMENT_TABLE, "current", bytes(TOKEN_BYTES) + row, expect=0)

    def _build_hosts(self) -> None:
        data_centres = self.deployment.data_centres
        for number in range(self.deployment.entries):
            data_centre = data_centres[number % len(data_centres)]
            address = f"10.0.0.{number + 1}:{ENTRY_PORT}"
            entry = BenchHost(self, f"entry-{number}", address, data_centre)
            self.hosts[entry.host] = entry
        for backend in self.document.backends:
            host = BenchHost(
                self, f"agent-{backend.id}", backend.agent, backend.data_centre, backend
            )
            self.hosts[host.host] = host
            if backend.role is BackendRole.PLAIN:
                self.plain_servers[backend.id] = MemoryPlain(self.clock, self.plain_core)
            else:
                self.engines[backend.id] = self._make_engine(backend)

    def _make_engine(self, backend: Backend) -> EngineModel:
        return EngineModel(
            self.clock,
            self.fabric,
            f"engine-{backend.id}",
            backend.data_centre,
            speed=self.deployment.speed,
            random_source=random.Random(f"engine-{self.seed}-{backend.id}"),
        )

    def _schedule_next(self) -> None:
        offered = next(self._arrivals, None)
        if offered is not None:
            self.at(offered.at, self._send_offered, offered)

    def _send_offered(self, offered: Offered) -> None:
        self.send(Observation(offered, self.find_targets(offered), self.clock.now()))
        self._schedule_next()

    def _send(self, observation: Observation, tries: int) -> None:
        entries = [host for host in self.entries if host.is_in_rotation()]
        if not entries:
            self.clock.call_later(RETRY_DELAY, self._send, observation, tries)
            return
        entry = self.random_source.choice(entries)
        self._requests += 1
        request = RequestId(f"r{self._requests}")
        emit_sent(self, request, observation.offered)
        sink = CallerSink(self.clock, CALLER_DELAY, self.emit, request, observation)
        self.clock.call_later(CALLER_DELAY, self._deliver, entry, sink, observation, tries)

    def _deliver(
        self, entry: BenchHost, sink: CallerSink, observation: Observation, tries: int
    ) -> None:
        if not entry.is_up:
            sink.hang_up()
            observation.gone = False
            self._send(observation, tries)
            return
        entry.clock.run(self._submit, entry, sink, observation, tries)

    def _submit(
        self, entry: BenchHost, sink: CallerSink, observation: Observation, tries: int
    ) -> None:
        open_here = self._open.setdefault(entry.host, {})
        sink.closed = lambda: open_here.pop(sink.request, None)
        handle = self._submit_to_router(entry, sink, observation.offered)
        if sink.is_open:
            open_here[sink.request] = (sink, handle, observation, tries)

    def _submit_to_router(
        self, entry: BenchHost, sink: CallerSink, offered: Offered
    ) -> RequestHandle:
        router, now, key = entry.find("router"), self.clock.now(), make_key(offered.account)
        if isinstance(offered, OfferedPrompt):
            order = ModelRequest(
                sink.request, key, self.deployment.model, offered.prompt, offered.max_tokens, now
            )
            return router.submit_model(order, sink)  # type: ignore[no-any-return]
        assert isinstance(offered, OfferedCall)
        call = PlainRequest(
            sink.request,
            key,
            offered.method,
            offered.path,
            [("Accept", "application/json")],
            offered.body,
            now,
            offered.idempotency_key,
        )
        return router.submit_plain(call, sink)  # type: ignore[no-any-return]


def may_retry(offered: Offered) -> bool:
    """Tell whether a caller may send a request again after its connection broke."""
    if isinstance(offered, OfferedCall):
        return offered.method == "GET" or offered.idempotency_key is not None
    return True


def emit_sent(fleet: Fleet, request: RequestId, offered: Offered) -> None:
    """Record that a request was sent, with the digest of the answer that it must get."""
    digest = make_key_digest(make_key(offered.account))
    data = CallerSent(request, offered.account, "", digest)
    if isinstance(offered, OfferedPrompt):
        mean = fleet.deployment.speed.mean_tokens
        answer = "".join(expected_tokens(offered.prompt, offered.max_tokens, mean))
        data = CallerSent(request, offered.account, digest_answer(answer), digest)
    elif isinstance(offered, OfferedCall):
        data = CallerSent(
            request,
            offered.account,
            digest_answer(offered.answer),
            digest,
            offered.idempotency_key,
            offered.repeatability,
        )
    fleet.emit(HostId("callers"), data)
