"""Service ``stats``: counters, gauges and latency histograms of a gateway."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar, Final

from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.kernel import Kernel, Registry
from lavenderrun.meters import Meter, MeterKind, Meters

LATENCIES: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.9, 2.0, 5.0, 14.0)
"""Upper bounds of latency buckets in seconds, around the usual objectives."""

GATEWAY_METERS: Registry[Meter] = Registry("gateway metric")


def define(name: str, kind: MeterKind, text: str, labels: tuple[str, ...] = ()) -> Meter:
    """Return a new metric that is part of :data:`GATEWAY_METERS`."""
    bounds = LATENCIES if kind is MeterKind.HISTOGRAM else ()
    return GATEWAY_METERS.register(name)(Meter(name, kind, text, labels, bounds))


CALLS = define(
    "lavenderrun_gateway_calls_total",
    MeterKind.COUNTER,
    "Callers' calls by service, delivery and outcome.",
    ("service", "delivery", "outcome"),
)
REFUSALS = define(
    "lavenderrun_gateway_refusals_total",
    MeterKind.COUNTER,
    "Refusals of this host by reason, step and outcome.",
    ("reason", "step", "outcome"),
)
ATTEMPTS = define(
    "lavenderrun_gateway_attempts_total",
    MeterKind.COUNTER,
    "Sends to backend servers by service and how they ended.",
    ("service", "result"),
)
RESENDS = define(
    "lavenderrun_gateway_resends_total",
    MeterKind.COUNTER,
    "Resends by service, taken from the budget or denied by it.",
    ("service", "result"),
)
STORE_CALLS = define(
    "lavenderrun_gateway_store_calls_total",
    MeterKind.COUNTER,
    "Calls to the table service by kind and result.",
    ("kind", "result"),
)
FIRST_ANSWER = define(
    "lavenderrun_gateway_first_answer_seconds",
    MeterKind.HISTOGRAM,
    "Time from a call's arrival to the first byte of its answer.",
    ("delivery",),
)
WHOLE_ANSWER = define(
    "lavenderrun_gateway_whole_answer_seconds",
    MeterKind.HISTOGRAM,
    "Time from a call's arrival to the end of its answer.",
    ("delivery",),
)
EVENT_GAP = define(
    "lavenderrun_gateway_event_gap_seconds",
    MeterKind.HISTOGRAM,
    "Time between events passed on.",
)
LOOP_LAG = define(
    "lavenderrun_gateway_loop_lag_seconds",
    MeterKind.HISTOGRAM,
    "How late timers run.",
)
QUEUED = define("lavenderrun_gateway_queued_calls", MeterKind.GAUGE, "Calls that wait for a seat.")
OPEN_CONNECTIONS = define(
    "lavenderrun_gateway_open_connections",
    MeterKind.GAUGE,
    "Open connections by side.",
    ("side",),
)
MEMBERS = define(
    "lavenderrun_gateway_backend_servers",
    MeterKind.GAUGE,
    "Backend servers by state.",
    ("state",),
)
DOCUMENT_VERSION = define(
    "lavenderrun_gateway_configuration_version",
    MeterKind.GAUGE,
    "Version of the configuration in force.",
)
STORE_AGE = define(
    "lavenderrun_gateway_store_age_seconds",
    MeterKind.GAUGE,
    "Time since the newest answered call to the table service was sent.",
)
QUOTA_USED = define(
    "lavenderrun_gateway_quota_used_units",
    MeterKind.GAUGE,
    "Units charged by this host since its start, by account.",
    ("account",),
)
QUOTA_LEFT = define(
    "lavenderrun_gateway_quota_left_units",
    MeterKind.GAUGE,
    "Units left in the fleet's bucket as this host sees it, by account; below zero for a debt.",
    ("account",),
)
RESENDS_LEFT = define(
    "lavenderrun_gateway_resends_left",
    MeterKind.GAUGE,
    "Resends that the budget of this host has left in the present window, by service.",
    ("service",),
)
EJECTED = define(
    "lavenderrun_gateway_ejected_servers",
    MeterKind.GAUGE,
    "Backend servers that this host sends nothing for a while, by service.",
    ("service",),
)
PEERS_HEARD = define(
    "lavenderrun_gateway_peers", MeterKind.GAUGE, "Other gateways by state.", ("state",)
)
LINES_DROPPED = define(
    "lavenderrun_gateway_log_lines_dropped", MeterKind.GAUGE, "Log lines dropped since the start."
)

Reader = Callable[[], dict[tuple[str, ...], float]]


class Stats:
    """Counts what happens; gauges are read when the page is asked for."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self._meters = Meters()
        self._readers: dict[Meter, Reader] = {}

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def count(self, meter: Meter, *labels: str) -> None:
        """Add one to a counter."""
        self._meters.add(meter, 1, *labels)

    def observe(self, meter: Meter, took: timedelta, *labels: str) -> None:
        """Add one observation to a latency histogram."""
        self._meters.add(meter, took.total_seconds(), *labels)

    def read(self, meter: Meter, reader: Reader) -> None:
        """Take the values of *meter* from a function at each scrape."""
        self._readers[meter] = reader

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the page of metrics and its headers."""
        for meter, reader in self._readers.items():
            self._meters.replace(meter, reader())
        return self._meters.render(accept)


@GATEWAY_SERVICES.register("stats")
def make_stats(_kernel: Kernel) -> Stats:
    """Make the service."""
    return Stats()
