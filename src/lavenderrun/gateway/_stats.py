"""Service ``stats``: counters, gauges and latency histograms of a gateway."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar, Final

from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.kernel import Kernel, Registry
from lavenderrun.metrics import Metric, MetricKind, MetricValues

LATENCY_BOUNDS: Final = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.9, 2.0, 5.0, 14.0)
"""Upper bounds of latency buckets in seconds, around the usual latency objectives."""

GATEWAY_METRICS: Registry[Metric] = Registry("gateway metric")


def define_gateway_metric(
    name: str, kind: MetricKind, text: str, labels: tuple[str, ...] = ()
) -> Metric:
    """Return a new metric, registered in :data:`GATEWAY_METRICS`.

    :param text: help text on the metrics page.
    """
    bounds = LATENCY_BOUNDS if kind is MetricKind.HISTOGRAM else ()
    return GATEWAY_METRICS.register(name)(Metric(name, kind, text, labels, bounds))


CALLS = define_gateway_metric(
    "lavenderrun_gateway_calls_total",
    MetricKind.COUNTER,
    "Callers' calls by service, delivery and outcome.",
    ("service", "delivery", "outcome"),
)
REQUESTS = define_gateway_metric(
    "lavenderrun_gateway_requests_total",
    MetricKind.COUNTER,
    "Callers' requests that were read whole, by how they ended.",
    ("end",),
)
UNANSWERED = define_gateway_metric(
    "lavenderrun_gateway_unanswered_requests_total",
    MetricKind.COUNTER,
    "Callers' requests that were read whole and ended without an answer, by who closed.",
    ("closed_by",),
)
PARTIAL = define_gateway_metric(
    "lavenderrun_gateway_partial_requests_total",
    MetricKind.COUNTER,
    "Callers' requests whose connection closed before they were read whole, by who closed.",
    ("closed_by",),
)
REFUSALS = define_gateway_metric(
    "lavenderrun_gateway_refusals_total",
    MetricKind.COUNTER,
    "Refusals of this host by reason, step and outcome.",
    ("reason", "step", "outcome"),
)
DEPARTURE_ENDS = define_gateway_metric(
    "lavenderrun_gateway_departure_ends_total",
    MetricKind.COUNTER,
    "Calls that a planned stop ended, by service, delivery and what the caller got.",
    ("service", "delivery", "outcome"),
)
ATTEMPTS = define_gateway_metric(
    "lavenderrun_gateway_attempts_total",
    MetricKind.COUNTER,
    "Sends to backend servers by service and how they ended.",
    ("service", "result"),
)
NOTICES = define_gateway_metric(
    "lavenderrun_gateway_server_notices_total",
    MetricKind.COUNTER,
    "Answers in which a backend server says something about itself, by service and notice.",
    ("service", "notice"),
)
EVACUATED = define_gateway_metric(
    "lavenderrun_gateway_evacuated",
    MetricKind.GAUGE,
    "Data centres that are evacuated, with the value one.",
    ("data_centre",),
)
TIME_FACTOR = define_gateway_metric(
    "lavenderrun_gateway_server_time_factor",
    MetricKind.GAUGE,
    "Expected time of a call at a plain server that reports its pace, relative to the others.",
    ("backend",),
)
REUSED_TOKENS = define_gateway_metric(
    "lavenderrun_gateway_reused_tokens_total",
    MetricKind.COUNTER,
    "Prompt tokens that a prefill engine was expected to hold already, by service.",
    ("service",),
)
COLD = define_gateway_metric(
    "lavenderrun_gateway_cold_servers",
    MetricKind.GAUGE,
    "Backend servers that are cold, by service, where calls to them are bounded.",
    ("service",),
)
COLD_SENDS = define_gateway_metric(
    "lavenderrun_gateway_cold_sends_total",
    MetricKind.COUNTER,
    "Calls to cold backend servers by service, sent or withheld at the moment of the write.",
    ("service", "result"),
)
PREFILL_SHARE = define_gateway_metric(
    "lavenderrun_gateway_prefill_share",
    MetricKind.GAUGE,
    "Fraction of a call's engine time that its prefill takes, over all hosts, by service.",
    ("service",),
)
SUSPECT_PARTS = define_gateway_metric(
    "lavenderrun_gateway_suspect_parts_total",
    MetricKind.COUNTER,
    "Steps in finding parts of prompts that crash backend servers, by step.",
    ("step",),
)
LOST_CONNECTIONS = define_gateway_metric(
    "lavenderrun_gateway_lost_connections_total",
    MetricKind.COUNTER,
    "Connections closed because the peer acknowledged nothing, by side.",
    ("side",),
)
HELD_BYTES = define_gateway_metric(
    "lavenderrun_gateway_held_bytes",
    MetricKind.GAUGE,
    "Bytes of requests and answers that are held, by kind, and their limit.",
    ("kind",),
)
HELD_ENDS = define_gateway_metric(
    "lavenderrun_gateway_held_ends_total",
    MetricKind.COUNTER,
    "What was refused or broken off because there was no room for its bytes, by kind.",
    ("kind", "end"),
)
RESENDS = define_gateway_metric(
    "lavenderrun_gateway_resends_total",
    MetricKind.COUNTER,
    "Resends by service, taken from the budget or denied by it.",
    ("service", "result"),
)
HOLDS = define_gateway_metric(
    "lavenderrun_gateway_decode_holds_total",
    MetricKind.COUNTER,
    "Requests for holds at decode engines and ends of holds, by service and result.",
    ("service", "result"),
)
UNUSED_PROMPTS = define_gateway_metric(
    "lavenderrun_gateway_unused_prompts_total",
    MetricKind.COUNTER,
    "Prompts that prefill engines computed and no decode engine used, by service and reason.",
    ("service", "reason"),
)
SILENCES = define_gateway_metric(
    "lavenderrun_gateway_silences_total",
    MetricKind.COUNTER,
    "Steps in weighing silent streams and calls, by service and step.",
    ("service", "step"),
)
STREAM_MOVES = define_gateway_metric(
    "lavenderrun_gateway_stream_moves_total",
    MetricKind.COUNTER,
    "Tries to move a stream or its prompt from a silent engine, by service and how they ended.",
    ("service", "result"),
)
STORE_CALLS = define_gateway_metric(
    "lavenderrun_gateway_store_calls_total",
    MetricKind.COUNTER,
    "Calls to the table service by kind and result.",
    ("kind", "result"),
)
FIRST_ANSWER = define_gateway_metric(
    "lavenderrun_gateway_first_answer_seconds",
    MetricKind.HISTOGRAM,
    "Time from a call's arrival to the first byte of its answer.",
    ("delivery",),
)
WHOLE_ANSWER = define_gateway_metric(
    "lavenderrun_gateway_whole_answer_seconds",
    MetricKind.HISTOGRAM,
    "Time from a call's arrival to the end of its answer.",
    ("delivery",),
)
EVENT_GAP = define_gateway_metric(
    "lavenderrun_gateway_event_gap_seconds",
    MetricKind.HISTOGRAM,
    "Time between events passed on.",
)
LOOP_LAG = define_gateway_metric(
    "lavenderrun_gateway_loop_lag_seconds",
    MetricKind.HISTOGRAM,
    "How late timers run.",
)
QUEUED = define_gateway_metric(
    "lavenderrun_gateway_queued_calls", MetricKind.GAUGE, "Calls that wait for a seat."
)
FLEET_WAITING = define_gateway_metric(
    "lavenderrun_gateway_fleet_waiting_calls",
    MetricKind.GAUGE,
    "Calls that wait for a decode slot at all hosts, as this host knows, by service and rank.",
    ("service", "rank"),
)
WAIT_FORECASTS = define_gateway_metric(
    "lavenderrun_gateway_wait_forecasts_total",
    MetricKind.COUNTER,
    "Forecasts of the wait for a decode slot by service, rank and what followed.",
    ("service", "rank", "result"),
)
OPEN_CONNECTIONS = define_gateway_metric(
    "lavenderrun_gateway_open_connections",
    MetricKind.GAUGE,
    "Open connections by side.",
    ("side",),
)
MEMBERS = define_gateway_metric(
    "lavenderrun_gateway_backend_servers",
    MetricKind.GAUGE,
    "Backend servers by state.",
    ("state",),
)
DOCUMENT_VERSION = define_gateway_metric(
    "lavenderrun_gateway_configuration_version",
    MetricKind.GAUGE,
    "Version of the configuration in force.",
)
STORE_AGE = define_gateway_metric(
    "lavenderrun_gateway_store_age_seconds",
    MetricKind.GAUGE,
    "Time since the newest answered call to the table service was sent.",
)
QUOTA_USED = define_gateway_metric(
    "lavenderrun_gateway_quota_used_units",
    MetricKind.GAUGE,
    "Units charged by this host since its start, by account.",
    ("account",),
)
QUOTA_LEFT = define_gateway_metric(
    "lavenderrun_gateway_quota_left_units",
    MetricKind.GAUGE,
    "Units left in the fleet's bucket as this host sees it, by account; below zero for a debt.",
    ("account",),
)
RESENDS_LEFT = define_gateway_metric(
    "lavenderrun_gateway_resends_left",
    MetricKind.GAUGE,
    "Resends that the budget of this host has left in the present window, by service.",
    ("service",),
)
EJECTED = define_gateway_metric(
    "lavenderrun_gateway_ejected_servers",
    MetricKind.GAUGE,
    "Backend servers that this host sends nothing for a while, by service.",
    ("service",),
)
PEERS_HEARD = define_gateway_metric(
    "lavenderrun_gateway_peers", MetricKind.GAUGE, "Other gateways by state.", ("state",)
)
LATE_SENDS = define_gateway_metric(
    "lavenderrun_gateway_late_sends_total",
    MetricKind.COUNTER,
    "Sends that waited until sockets were read after a late turn of the event loop.",
)
SUM_DATAGRAMS = define_gateway_metric(
    "lavenderrun_gateway_sum_datagrams_total",
    MetricKind.COUNTER,
    "Datagrams with soft state exchanged in groups, by kind of message and direction.",
    ("kind", "direction"),
)
SUMS_AGE = define_gateway_metric(
    "lavenderrun_gateway_sums_age_seconds",
    MetricKind.GAUGE,
    "Time since the fleet's sums were last taken; absent while hosts report to each other.",
)
LINES_DROPPED = define_gateway_metric(
    "lavenderrun_gateway_log_lines_dropped", MetricKind.GAUGE, "Log lines dropped since the start."
)

GaugeReader = Callable[[], dict[tuple[str, ...], float]]


class Stats:
    """Holds the metrics of one gateway; gauges are read at each scrape."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self._metric_values = MetricValues()
        self._readers: dict[Metric, GaugeReader] = {}

    def start(self) -> None:
        """Do nothing; metrics are recorded on call."""

    def stop(self) -> None:
        """Do nothing; metrics need no cleanup."""

    def count(self, metric: Metric, *labels: str, amount: int = 1) -> None:
        """Add *amount* to a counter."""
        self._metric_values.add(metric, amount, *labels)

    def observe(self, metric: Metric, duration: timedelta, *labels: str) -> None:
        """Add one observation to a latency histogram."""
        self._metric_values.add(metric, duration.total_seconds(), *labels)

    def register_reader(self, metric: Metric, reader: GaugeReader) -> None:
        """Call *reader* at each scrape for the values of *metric*, by label values."""
        self._readers[metric] = reader

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page and its headers.

        :param accept: values of the request's Accept header.
        """
        for metric, reader in self._readers.items():
            self._metric_values.replace(metric, reader())
        return self._metric_values.render(accept)


@GATEWAY_SERVICES.register("stats")
def make_stats(_kernel: Kernel) -> Stats:
    """Make the service ``stats``."""
    return Stats()
