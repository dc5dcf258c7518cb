"""Metrics that count recorded events."""

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
    WorkFailed,
)

NO_ROUTE = "none"
"""Label of requests that were refused before their route was known."""

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
WORK_FAILURES = define_metric(
    "lavenderrun_agent_failures_total",
    MetricKind.COUNTER,
    "Calls that an unexpected error in this agent ended.",
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


def _count_end(metrics: MetricsService, request: RequestId, outcome: str) -> None:
    running = metrics.running.pop(request, None)
    route = running.route if running is not None else NO_ROUTE
    metrics.values.add(REQUESTS, 1, route, outcome)


@register_observer(RequestAccepted)
def observe_accepted(metrics: MetricsService, event: Event, data: RequestAccepted) -> None:
    """Keep when a request was accepted."""
    metrics.note_accepted(data.request, event.at, data.route)


@register_observer(AnswerBegun)
def observe_first_token(metrics: MetricsService, event: Event, data: AnswerBegun) -> None:
    """Observe the time to the first token."""
    running = metrics.running.get(data.request)
    if running is not None and not running.answered:
        running.answered = True
        seconds = (event.at - running.began).total_seconds()
        metrics.values.add(FIRST_TOKEN, seconds, running.route)


@register_observer(RequestFinished)
def observe_answer(metrics: MetricsService, event: Event, data: RequestFinished) -> None:
    """Observe the time to the whole answer and count the request as finished."""
    running = metrics.running.get(data.request)
    if running is not None:
        seconds = (event.at - running.began).total_seconds()
        metrics.values.add(ANSWER, seconds, running.route)
    _count_end(metrics, data.request, "finished")


@register_observer(RequestRefused)
def count_refused(metrics: MetricsService, _event: Event, data: RequestRefused) -> None:
    """Count a request as refused, by the refusal's code."""
    _count_end(metrics, data.request, data.refused.refusal.value)


@register_observer(RequestCancelled)
def count_cancelled(metrics: MetricsService, _event: Event, data: RequestCancelled) -> None:
    """Count a request as cancelled, since its caller disconnected."""
    _count_end(metrics, data.request, "cancelled")


@register_observer(PrefillDone)
def count_prefill(metrics: MetricsService, _event: Event, data: PrefillDone) -> None:
    """Count the prompt tokens that a prefill computed and those that it found in its cache."""
    metrics.values.add(PREFILL_TOKENS, max(0, data.tokens - data.cached), "computed")
    metrics.values.add(PREFILL_TOKENS, data.cached, "cached")


@register_observer(PrefillUsed)
def count_imported(metrics: MetricsService, _event: Event, data: PrefillUsed) -> None:
    """Count the prefilled tokens that a decode engine imported."""
    metrics.values.add(PREFILL_TOKENS, data.tokens, "used")


@register_observer(BackendRun)
def count_backend_run(metrics: MetricsService, _event: Event, data: BackendRun) -> None:
    """Count a piece of work handed to the backend server."""
    metrics.values.add(BACKEND_RUNS, 1, data.backend)


@register_observer(BackendCrashed)
def count_backend_crash(metrics: MetricsService, _event: Event, data: BackendCrashed) -> None:
    """Count a crash of the backend server."""
    metrics.values.add(BACKEND_CRASHES, 1, data.backend)


@register_observer(WorkFailed)
def count_work_failure(metrics: MetricsService, _event: Event, data: WorkFailed) -> None:
    """Count a call that an unexpected error ended."""
    metrics.values.add(WORK_FAILURES, 1, data.backend)


@register_observer(TokensGranted)
def count_granted(metrics: MetricsService, _event: Event, data: TokensGranted) -> None:
    """Count the tokens and requests that a client account was charged."""
    metrics.values.add(RATE_TOKENS, data.tokens, data.account, "granted")
    metrics.values.add(RATE_REQUESTS, data.requests, data.account)


@register_observer(TokensReturned)
def count_returned(metrics: MetricsService, _event: Event, data: TokensReturned) -> None:
    """Count the tokens that a client account got back."""
    metrics.values.add(RATE_TOKENS, data.tokens, data.account, "returned")


@register_observer(Placed)
def count_order(metrics: MetricsService, _event: Event, data: Placed) -> None:
    """Count an order to a backend server."""
    metrics.values.add(ORDERS, 1, data.order)
