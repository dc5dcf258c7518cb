from __future__ import annotations

import re
from datetime import UTC, datetime, timedelta
from typing import Any

from lavenderrun.kernel import Kernel
from lavenderrun.metrics import MAX_SERIES, Metric, MetricKind, MetricValues
from lavenderrun.services import MetricsService, RecordService
from lavenderrun.types import (
    AccountId,
    AnswerBegun,
    AttemptId,
    BackendId,
    Event,
    EventData,
    HostId,
    KeyDigest,
    Outcome,
    PrefillDone,
    PrefillUsed,
    Refusal,
    Refused,
    RequestAccepted,
    RequestCancelled,
    RequestFinished,
    RequestId,
    RequestRefused,
    RouteName,
    Step,
    TokensGranted,
    TokensReturned,
)

BEGAN = datetime(2026, 1, 1, tzinfo=UTC)
GRUAS = AccountId("gruas")


class RecordedMetrics:
    def __init__(self) -> None:
        clock: Any = None
        kernel = Kernel(clock, None)
        self.record = RecordService()
        kernel.add("record", self.record)
        self.metrics = MetricsService(kernel)
        self.metrics.start()

    def emit(self, data: EventData, seconds: float = 0.0) -> None:
        self.record.emit(Event(BEGAN + timedelta(seconds=seconds), HostId("entry-1"), data))

    def accept(self, request: str) -> None:
        route, digest = RouteName("summaries"), KeyDigest("sha256:marker")
        self.emit(RequestAccepted(RequestId(request), GRUAS, route, 30, digest))

    def render(self) -> str:
        return self.metrics.values.render([])[0].decode()


def test_requests_are_counted_by_outcome_and_timed_from_acceptance() -> None:
    record = RecordedMetrics()
    for request in ("a", "b", "c"):
        record.accept(request)
    record.emit(AnswerBegun(RequestId("a")), 0.2)
    record.emit(AnswerBegun(RequestId("a")), 0.9)
    record.emit(RequestFinished(RequestId("a"), 20), 1.5)
    record.emit(RequestCancelled(RequestId("b")))
    refused = Refused(Refusal.OVER_RATE, Outcome.NOT_RUN, Step.LIMIT)
    record.emit(RequestRefused(RequestId("c"), refused))
    record.emit(RequestRefused(RequestId("unknown"), refused))
    text = record.render()
    for line in (
        'lavenderrun_requests_total{outcome="finished",route="summaries"} 1',
        'lavenderrun_requests_total{outcome="cancelled",route="summaries"} 1',
        'lavenderrun_requests_total{outcome="over_rate",route="summaries"} 1',
        'lavenderrun_requests_total{outcome="over_rate",route="none"} 1',
        'lavenderrun_first_token_seconds_bucket{le="0.1",route="summaries"} 0',
        'lavenderrun_first_token_seconds_bucket{le="0.2",route="summaries"} 1',
        'lavenderrun_first_token_seconds_count{route="summaries"} 1',
        'lavenderrun_answer_seconds_sum{route="summaries"} 1.5',
    ):
        assert re.search(rf"^{re.escape(line)}(\.0)?$", text, re.MULTILINE), (line, text)
    assert not record.metrics.running
    assert "marker" not in text


def test_prefills_done_and_used_and_tokens_returned_are_counted() -> None:
    record = RecordedMetrics()
    request, attempt = RequestId("a"), AttemptId(1)
    record.emit(PrefillDone(request, attempt, BackendId("p1"), 100, 40))
    record.emit(PrefillUsed(request, attempt, 90))
    record.emit(TokensGranted(GRUAS, 1.0, 130.0))
    record.emit(TokensReturned(GRUAS, 0.0, 12.0))
    text = record.render()
    assert 'lavenderrun_prefill_tokens_total{result="computed"} 60' in text
    assert 'lavenderrun_prefill_tokens_total{result="used"} 90' in text
    assert 'lavenderrun_rate_tokens_total{account="gruas",direction="returned"} 12' in text


def test_a_metric_never_has_more_series_than_its_bound() -> None:
    values = MetricValues()
    counter = Metric("requests_total", MetricKind.COUNTER, "Requests.", ("route",))
    gauge = Metric("seats", MetricKind.GAUGE, "Seats.", ("group",))
    for number in range(2 * MAX_SERIES):
        values.add(counter, 1, f"route-{number}")
    values.replace(gauge, {(f"group-{number}",): 1 for number in range(2 * MAX_SERIES)})
    text = values.render([])[0].decode()
    assert len(re.findall("^requests_total", text, re.MULTILINE)) == MAX_SERIES + 1
    assert f'requests_total{{route="other"}} {MAX_SERIES}' in text
    assert f'seats{{group="other"}} {MAX_SERIES}' in text
    values.replace(gauge, {("one",): 3})
    lines = values.render([])[0].decode().splitlines()
    assert [line for line in lines if line.startswith("seats")] == ['seats{group="one"} 3.0']
