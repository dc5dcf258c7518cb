"""Metrics that count events of the record."""

from __future__ import annotations

from lavenderrun.metrics import MetricKind
from lavenderrun.services._metrics import MetricsService, define_metric, observe
from lavenderrun.types import (
    AnswerBegun,
    BackendCrashed,
    BackendRun,
    Event,
    Placed,
    PrefillDone,
    PrefillUsed,
    RequestAccepted,
    RequestCancelled,
    RequestFinished,
    RequestId,
    RequestRefused,
    TokensGranted,
    TokensReturned,
)

NO_ROUTE = "none"
"""Route of a request that was refused before its route was known."""

REQUESTS = define_metric(
    "lavenderrun_requests_total",
    MetricKind.COUNTER,
    "Requests that ended, by route and by how: finished, cancelled or the refusal's code.",
    ("route", "outcome"),
)
FIRST_TOKEN = define_metric(
    "lavenderrun_first_token_seconds",
    MetricKind.HISTOGRAM,
    "Time from acceptance to the first token, or to a reply's head.",
    ("route",),
    (0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.73, 1.0, 2.0, 5.0, 10.0, 30.0),
)
ANSWER = define_metric(
    "lavenderrun_answer_seconds",
    MetricKind.HISTOGRAM,
    "Time from acceptance to the whole answer.",
    ("route",),
    (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0, 120.0),
)
PREFILL_TOKENS = define_metric(
    "lavenderrun_prefill_tokens_total",
    MetricKind.COUNTER,
    "Prompt tokens of prefills: computed, spared by the prefix cache, and used by a decode.",
    ("result",),
)
BACKEND_RUNS = define_metric(
    "lavenderrun_backend_runs_total",
    MetricKind.COUNTER,
    "Pieces of work handed to the backend server beside this agent.",
    ("backend",),
)
BACKEND_CRASHES = define_metric(
    "lavenderrun_backend_crashes_total",
    MetricKind.COUNTER,
    "Times that the backend server beside this agent died.",
    ("backend",),
)
RATE_TOKENS = define_metric(
    "lavenderrun_rate_tokens_total",
    MetricKind.COUNTER,
    "Tokens charged to client accounts on this host, and those returned unused.",
    ("account", "direction"),
)
RATE_REQUESTS = define_metric(
    "lavenderrun_rate_requests_total",
    MetricKind.COUNTER,
    "Requests charged to client accounts on this host.",
    ("account",),
)
ORDERS = define_metric(
    "lavenderrun_orders_total",
    MetricKind.COUNTER,
    "Orders to backend servers to change what they serve.",
    ("order",),
)


def _end(metrics: MetricsService, request: RequestId, outcome: str) -> None:
    running = metrics.running.pop(request, None)
    route = running.route if running is not None else NO_ROUTE
    metrics.meters.add(REQUESTS, 1, route, outcome)


@observe(RequestAccepted)
def take_accepted(metrics: MetricsService, event: Event, what: RequestAccepted) -> None:
    """Keep when the request was accepted."""
    metrics.begin(what.request, event.at, what.route)


@observe(AnswerBegun)
def take_begun(metrics: MetricsService, event: Event, what: AnswerBegun) -> None:
    """Measure the time to the first token."""
    running = metrics.running.get(what.request)
    if running is not None and not running.answered:
        running.answered = True
        seconds = (event.at - running.began).total_seconds()
        metrics.meters.add(FIRST_TOKEN, seconds, running.route)


@observe(RequestFinished)
def take_finished(metrics: MetricsService, event: Event, what: RequestFinished) -> None:
    """Measure the time to the whole answer."""
    running = metrics.running.get(what.request)
    if running is not None:
        seconds = (event.at - running.began).total_seconds()
        metrics.meters.add(ANSWER, seconds, running.route)
    _end(metrics, what.request, "finished")


@observe(RequestRefused)
def take_refused(metrics: MetricsService, _event: Event, what: RequestRefused) -> None:
    """Count a refusal."""
    _end(metrics, what.request, what.refused.refusal.value)


@observe(RequestCancelled)
def take_cancelled(metrics: MetricsService, _event: Event, what: RequestCancelled) -> None:
    """Count a caller that went away."""
    _end(metrics, what.request, "cancelled")


@observe(PrefillDone)
def take_prefill(metrics: MetricsService, _event: Event, what: PrefillDone) -> None:
    """Count what a prefill computed and what its cache spared."""
    metrics.meters.add(PREFILL_TOKENS, max(0, what.tokens - what.cached), "computed")
    metrics.meters.add(PREFILL_TOKENS, what.cached, "cached")


@observe(PrefillUsed)
def take_used(metrics: MetricsService, _event: Event, what: PrefillUsed) -> None:
    """Count what a decode engine imported."""
    metrics.meters.add(PREFILL_TOKENS, what.tokens, "used")


@observe(BackendRun)
def take_run(metrics: MetricsService, _event: Event, what: BackendRun) -> None:
    """Count work handed to the backend server."""
    metrics.meters.add(BACKEND_RUNS, 1, what.backend)


@observe(BackendCrashed)
def take_crash(metrics: MetricsService, _event: Event, what: BackendCrashed) -> None:
    """Count a crash."""
    metrics.meters.add(BACKEND_CRASHES, 1, what.backend)


@observe(TokensGranted)
def take_granted(metrics: MetricsService, _event: Event, what: TokensGranted) -> None:
    """Count what an account was charged."""
    metrics.meters.add(RATE_TOKENS, what.tokens, what.account, "granted")
    metrics.meters.add(RATE_REQUESTS, what.requests, what.account)


@observe(TokensReturned)
def take_returned(metrics: MetricsService, _event: Event, what: TokensReturned) -> None:
    """Count what an account got back."""
    metrics.meters.add(RATE_TOKENS, what.tokens, what.account, "returned")


@observe(Placed)
def take_order(metrics: MetricsService, _event: Event, what: Placed) -> None:
    """Count an order."""
    metrics.meters.add(ORDERS, 1, what.order)
