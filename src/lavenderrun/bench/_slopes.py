"""Slopes for the capacity page: what a host spends as links, accounts and requests grow."""

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
SETTLE = 30.0
IDLE = 60.0
LOADED = 20.0
AGENTS = (4, 16, 64)
ACCOUNTS = (5, 50, 210)
ENTRIES = (2, 8, 24)
LOADS = (0.2, 0.4, 0.8)
MOST_BACKENDS = (60, 200, 600)


class Slope(msgspec.Struct):
    """Growth of one figure.

    :param per: what grows by one.
    :param points: (size, figure) as measured.
    :param slope: least squares through the points.
    :param base: where that line meets zero.
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
    """Measure all slopes; the processor figures depend on the machine."""
    return [slope for _, measure in SLOPES for slope in measure()]


@SLOPES.register("links")
def measure_links() -> list[Slope]:
    """An idle entry and an idle agent as agents are added."""
    points = {count: _watch_idle(_make(agents=count)) for count in AGENTS}
    return [
        *_fit_costs("entry, idle", "agent", points, lambda fleet: fleet.entries),
        _fit("entry, idle: memory", "bytes", "agent", {n: _weigh(n) for n in AGENTS}),
    ]


@SLOPES.register("entries")
def measure_entries() -> list[Slope]:
    """An idle agent, an idle entry and the store as entries are added."""
    points = {count: _watch_idle(_make(entries=count)) for count in ENTRIES}
    reads = {n: fleet.table.reads / SPAN for n, fleet in points.items()}
    writes = {n: fleet.table.writes / SPAN for n, fleet in points.items()}
    return [
        *_fit_costs("agent, idle", "entry", points, lambda fleet: fleet.agents),
        *_fit_costs("entry, idle", "entry", points, lambda fleet: fleet.entries),
        _fit("store reads", "reads/s", "entry", reads),
        _fit("store writes", "writes/s", "entry", writes),
    ]


@SLOPES.register("accounts")
def measure_accounts() -> list[Slope]:
    """An idle entry as client accounts are added."""
    points = {count: _watch_idle(_make(accounts=count)) for count in ACCOUNTS}
    return _fit_costs("entry, idle", "account", points, lambda fleet: fleet.entries)


@SLOPES.register("requests")
def measure_requests() -> list[Slope]:
    """Entries and agents as model requests come faster; the wire's prompts and answers."""
    entry: dict[float, float] = {}
    decode: dict[float, float] = {}
    prefill: dict[float, float] = {}
    for load in LOADS:
        fleet, requests = _run_load(load)
        entry[requests] = _sum_spent(fleet.entries) / LOADED
        for role, figures in ((BackendRole.DECODE, decode), (BackendRole.PREFILL, prefill)):
            hosts = [host for host in fleet.agents if host.backend and host.backend.role is role]
            figures[requests] = _sum_spent(hosts) / LOADED
    return [
        _fit(f"{name}, all together: processor", "cores", "request/s", figures)
        for name, figures in (("entries", entry), ("decode", decode), ("prefill", prefill))
    ]


@SLOPES.register("document")
def measure_document() -> list[Slope]:
    """The document's size and the time to read and check it, as backend servers are added."""
    sizes: dict[float, float] = {}
    times: dict[float, float] = {}
    for count in MOST_BACKENDS:
        document = _make(agents=count, accounts=210).build_document()
        data = encode_document(document)
        begun = time.process_time()
        read_document(data, FileFormat.JSON)
        times[count] = time.process_time() - begun
        sizes[count] = len(data)
    return [
        _fit("document: size", "bytes", "backend", sizes),
        _fit("document: read and check", "s", "backend", times),
    ]


SPAN = SETTLE + IDLE


def _make(*, agents: int = 4, accounts: int = 5, entries: int = 2) -> Deployment:
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


def _watch_idle(deployment: Deployment) -> Fleet:
    """Return a fleet whose meters hold one idle span."""
    fleet = Fleet(deployment, SEED)
    fleet.begin()
    fleet.reactor.advance(SETTLE)
    _reset(fleet)
    fleet.reactor.advance(IDLE)
    return fleet


def _run_load(load: float) -> tuple[Fleet, float]:
    """Return a fleet after a loaded span and the model requests a second."""
    wire = DEPLOYMENTS.find("wire")()
    fleet = Fleet(replace(wire, plain=replace(wire.plain, per_second=0.0)), SEED)
    fleet.begin()
    _reset(fleet)
    fleet.run(Workload(fleet.deployment, SEED, load=load), LOADED, drain=0.0)
    sent = sum(isinstance(each.offered, OfferedPrompt) for each in fleet.sightings.all)
    return fleet, sent / LOADED


def _reset(fleet: Fleet) -> None:
    fleet.reactor.metered = True
    fleet.network.sent_bytes.clear()
    fleet.network.sent_batches.clear()
    for host in fleet.hosts.values():
        host.clock.spent = 0


def _sum_spent(hosts: Sequence[BenchHost]) -> float:
    return sum(host.clock.spent for host in hosts) / 1e9


def _fit_costs(
    name: str,
    per: str,
    fleets: dict[int, Fleet],
    choose: Callable[[Fleet], list[BenchHost]],
) -> list[Slope]:
    """Return the slopes of processor time, bytes and batches of the mean chosen host."""
    spent: dict[float, float] = {}
    sent: dict[float, float] = {}
    batches: dict[float, float] = {}
    for size, fleet in fleets.items():
        hosts = choose(fleet)
        network, total = fleet.network, len(hosts) * IDLE
        spent[size] = _sum_spent(hosts) / total
        sent[size] = sum(network.sent_bytes[host.address] for host in hosts) / total
        batches[size] = sum(network.sent_batches[host.address] for host in hosts) / total
    return [
        _fit(f"{name}: processor", "cores", per, spent),
        _fit(f"{name}: control sent", "bytes/s", per, sent),
        _fit(f"{name}: batches sent", "batches/s", per, batches),
    ]


def _weigh(agents: int) -> float:
    """Return the bytes that one entry adds to a fleet with *agents*."""

    def build(entries: int) -> int:
        gc.collect()
        tracemalloc.start()
        fleet = Fleet(_make(agents=agents, entries=entries), SEED)
        fleet.begin()
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
