"""Metrics that count events of the record."""

from __future__ import annotations

from lavenderrun.metrics import MetricKind
from lavenderrun.services._metrics import MetricsService, define_metric, register_observer
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
    metrics.values.add(REQUESTS, 1, route, outcome)


@register_observer(RequestAccepted)
def take_accepted(metrics: MetricsService, event: Event, what: RequestAccepted) -> None:
    """Keep when the request was accepted."""
    metrics.note_accepted(what.request, event.at, what.route)


@register_observer(AnswerBegun)
def take_begun(metrics: MetricsService, event: Event, what: AnswerBegun) -> None:
    """Measure the time to the first token."""
    running = metrics.running.get(what.request)
    if running is not None and not running.answered:
        running.answered = True
        seconds = (event.at - running.began).total_seconds()
        metrics.values.add(FIRST_TOKEN, seconds, running.route)


@register_observer(RequestFinished)
def take_finished(metrics: MetricsService, event: Event, what: RequestFinished) -> None:
    """Measure the time to the whole answer."""
    running = metrics.running.get(what.request)
    if running is not None:
        seconds = (event.at - running.began).total_seconds()
        metrics.values.add(ANSWER, seconds, running.route)
    _end(metrics, what.request, "finished")


@register_observer(RequestRefused)
def take_refused(metrics: MetricsService, _event: Event, what: RequestRefused) -> None:
    """Count a refusal."""
    _end(metrics, what.request, what.refused.refusal.value)


@register_observer(RequestCancelled)
def take_cancelled(metrics: MetricsService, _event: Event, what: RequestCancelled) -> None:
    """Count a caller that went away."""
    _end(metrics, what.request, "cancelled")


@register_observer(PrefillDone)
def take_prefill(metrics: MetricsService, _event: Event, what: PrefillDone) -> None:
    """Count what a prefill computed and what its cache spared."""
    metrics.values.add(PREFILL_TOKENS, max(0, what.tokens - what.cached), "computed")
    metrics.values.add(PREFILL_TOKENS, what.cached, "cached")


@register_observer(PrefillUsed)
def take_used(metrics: MetricsService, _event: Event, what: PrefillUsed) -> None:
    """Count what a decode engine imported."""
    metrics.values.add(PREFILL_TOKENS, what.tokens, "used")


@register_observer(BackendRun)
def take_run(metrics: MetricsService, _event: Event, what: BackendRun) -> None:
    """Count work handed to the backend server."""
    metrics.values.add(BACKEND_RUNS, 1, what.backend)


@register_observer(BackendCrashed)
def take_crash(metrics: MetricsService, _event: Event, what: BackendCrashed) -> None:
    """Count a crash."""
    metrics.values.add(BACKEND_CRASHES, 1, what.backend)


@register_observer(TokensGranted)
def take_granted(metrics: MetricsService, _event: Event, what: TokensGranted) -> None:
    """Count what an account was charged."""
    metrics.values.add(RATE_TOKENS, what.tokens, what.account, "granted")
    metrics.values.add(RATE_REQUESTS, what.requests, what.account)


@register_observer(TokensReturned)
def take_returned(metrics: MetricsService, _event: Event, what: TokensReturned) -> None:
    """Count what an account got back."""
    metrics.values.add(RATE_TOKENS, what.tokens, what.account, "returned")


@register_observer(Placed)
def take_order(metrics: MetricsService, _event: Event, what: Placed) -> None:
    """Count an order."""
    metrics.values.add(ORDERS, 1, what.order)
