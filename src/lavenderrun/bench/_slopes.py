"""Measures how a host's costs grow with the number of links, accounts and requests."""

from __future__ import annotations

import gc
import time
import tracemalloc
from collections.abc import Callable, Sequence
from dataclasses import replace

import msgspec

from lavenderrun.bench._deployments import DEPLOYMENTS, Deployment
from lavenderrun.bench._fleet import Fleet
from lavenderrun.bench._hosts import BenchHost
from lavenderrun.bench._workload import OfferedPrompt, Workload
from lavenderrun.codecs import FileFormat, encode_document, read_document
from lavenderrun.kernel import Registry
from lavenderrun.types import AccountId, BackendRole

SEED = 1
SETTLE_SECONDS = 30.0
IDLE_SECONDS = 60.0
LOADED_SECONDS = 20.0
AGENT_COUNTS = (4, 16, 64)
ACCOUNT_COUNTS = (5, 50, 210)
ENTRY_COUNTS = (2, 8, 24)
LOADS = (0.2, 0.4, 0.8)
BACKEND_COUNTS = (60, 200, 600)


class Slope(msgspec.Struct):
    """Linear fit of one figure against a size.

    :param per: unit of the size.
    :param points: measured pairs of size and figure.
    :param slope: slope of the least-squares line through the points.
    :param base: value of that line at size zero.
    """

    name: str
    unit: str
    per: str
    points: list[tuple[float, float]]
    slope: float
    base: float


Measure = Callable[[], list[Slope]]

SLOPES: Registry[Measure] = Registry("slope")


def measure_slopes() -> list[Slope]:
    """Measure all slopes; the processor figures depend on the hardware."""
    return [slope for _, measure in SLOPES for slope in measure()]


@SLOPES.register("links")
def measure_links() -> list[Slope]:
    """Measure an idle entry against the number of agents."""
    points = {count: _run_idle(_make_deployment(agents=count)) for count in AGENT_COUNTS}
    return [
        *_fit_costs("entry, idle", "agent", points, lambda fleet: fleet.entries),
        _fit(
            "entry, idle: memory", "bytes", "agent", {n: _measure_memory(n) for n in AGENT_COUNTS}
        ),
    ]


@SLOPES.register("entries")
def measure_entries() -> list[Slope]:
    """Measure an idle agent, an idle entry and the store against the number of entries."""
    points = {count: _run_idle(_make_deployment(entries=count)) for count in ENTRY_COUNTS}
    reads = {n: fleet.table.reads / TOTAL_SECONDS for n, fleet in points.items()}
    writes = {n: fleet.table.writes / TOTAL_SECONDS for n, fleet in points.items()}
    return [
        *_fit_costs("agent, idle", "entry", points, lambda fleet: fleet.agents),
        *_fit_costs("entry, idle", "entry", points, lambda fleet: fleet.entries),
        _fit("store reads", "reads/s", "entry", reads),
        _fit("store writes", "writes/s", "entry", writes),
    ]


@SLOPES.register("accounts")
def measure_accounts() -> list[Slope]:
    """Measure an idle entry against the number of client accounts."""
    points = {count: _run_idle(_make_deployment(accounts=count)) for count in ACCOUNT_COUNTS}
    return _fit_costs("entry, idle", "account", points, lambda fleet: fleet.entries)


@SLOPES.register("requests")
def measure_requests() -> list[Slope]:
    """Measure entries and agents of the wire service against the rate of model requests."""
    entry: dict[float, float] = {}
    decode: dict[float, float] = {}
    prefill: dict[float, float] = {}
    for load in LOADS:
        fleet, requests = _run_load(load)
        entry[requests] = _sum_spent_seconds(fleet.entries) / LOADED_SECONDS
        for role, figures in ((BackendRole.DECODE, decode), (BackendRole.PREFILL, prefill)):
            hosts = [host for host in fleet.agents if host.backend and host.backend.role is role]
            figures[requests] = _sum_spent_seconds(hosts) / LOADED_SECONDS
    return [
        _fit(f"{name}, all together: processor", "cores", "request/s", figures)
        for name, figures in (("entries", entry), ("decode", decode), ("prefill", prefill))
    ]


@SLOPES.register("document")
def measure_document() -> list[Slope]:
    """Measure the document's size and check time against the number of backend servers."""
    sizes: dict[float, float] = {}
    times: dict[float, float] = {}
    for count in BACKEND_COUNTS:
        document = _make_deployment(agents=count, accounts=210).build_document()
        data = encode_document(document)
        begun = time.process_time()
        read_document(data, FileFormat.JSON)
        times[count] = time.process_time() - begun
        sizes[count] = len(data)
    return [
        _fit("document: size", "bytes", "backend", sizes),
        _fit("document: read and check", "s", "backend", times),
    ]


TOTAL_SECONDS = SETTLE_SECONDS + IDLE_SECONDS


def _make_deployment(*, agents: int = 4, accounts: int = 5, entries: int = 2) -> Deployment:
    wire = DEPLOYMENTS.find("wire")()
    roles = (BackendRole.PREFILL, BackendRole.DECODE, BackendRole.DECODE, BackendRole.DECODE)
    names = {AccountId(f"account-{number}"): 1 / accounts for number in range(accounts)}
    return replace(
        wire,
        roles=(roles * (-(-agents // len(roles))))[:agents],
        plain_backends=1,
        accounts=names,
        entries=entries,
    )


def _run_idle(deployment: Deployment) -> Fleet:
    """Return a fleet whose counters cover IDLE_SECONDS without requests."""
    fleet = Fleet(deployment, SEED)
    fleet.start()
    fleet.reactor.advance(SETTLE_SECONDS)
    _reset_counters(fleet)
    fleet.reactor.advance(IDLE_SECONDS)
    return fleet


def _run_load(load: float) -> tuple[Fleet, float]:
    """Return a fleet after LOADED_SECONDS of load, and its model requests per second."""
    wire = DEPLOYMENTS.find("wire")()
    fleet = Fleet(replace(wire, plain=replace(wire.plain, per_second=0.0)), SEED)
    fleet.start()
    _reset_counters(fleet)
    fleet.run(Workload(fleet.deployment, SEED, load=load), LOADED_SECONDS, drain=0.0)
    sent = sum(isinstance(each.offered, OfferedPrompt) for each in fleet.observations.all)
    return fleet, sent / LOADED_SECONDS


def _reset_counters(fleet: Fleet) -> None:
    fleet.reactor.metered = True
    fleet.network.sent_bytes.clear()
    fleet.network.sent_batches.clear()
    for host in fleet.hosts.values():
        host.clock.spent_ns = 0


def _sum_spent_seconds(hosts: Sequence[BenchHost]) -> float:
    return sum(host.clock.spent_ns for host in hosts) / 1e9


def _fit_costs(
    name: str,
    per: str,
    fleets: dict[int, Fleet],
    choose: Callable[[Fleet], list[BenchHost]],
) -> list[Slope]:
    """Return slopes of the processor time, bytes and batches per second of an average host."""
    spent: dict[float, float] = {}
    sent: dict[float, float] = {}
    batches: dict[float, float] = {}
    for size, fleet in fleets.items():
        hosts = choose(fleet)
        network, total = fleet.network, len(hosts) * IDLE_SECONDS
        spent[size] = _sum_spent_seconds(hosts) / total
        sent[size] = sum(network.sent_bytes[host.address] for host in hosts) / total
        batches[size] = sum(network.sent_batches[host.address] for host in hosts) / total
    return [
        _fit(f"{name}: processor", "cores", per, spent),
        _fit(f"{name}: control sent", "bytes/s", per, sent),
        _fit(f"{name}: batches sent", "batches/s", per, batches),
    ]


def _measure_memory(agents: int) -> float:
    """Return the bytes of memory that a second entry adds to a fleet with *agents* agents."""

    def build(entries: int) -> int:
        gc.collect()
        tracemalloc.start()
        fleet = Fleet(_make_deployment(agents=agents, entries=entries), SEED)
        fleet.start()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        return size

    return build(2) - build(1)


def _fit(name: str, unit: str, per: str, points: dict[float, float] | dict[int, float]) -> Slope:
    pairs = [(float(size), figure) for size, figure in points.items()]
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return Slope(name, unit, per, pairs, slope, mean_y - slope * mean_x)
