"""Values of metrics, with a limit on the number of series of each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as HistogramValue
from aioprometheus.renderer import render

MAX_SERIES: Final = 512
"""Largest number of label sets of one metric; further ones are counted together."""

OTHER_LABEL: Final = "other"


class MetricKind(Enum):
    """Type of a metric."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


COLLECTORS: Final = {
    MetricKind.COUNTER: Counter,
    MetricKind.GAUGE: Gauge,
    MetricKind.HISTOGRAM: Histogram,
}


@dataclass(frozen=True, eq=False)
class Metric:
    """Definition of one metric.

    :param text: help text on the metrics page.
    :param labels: names of its labels; their values never contain an API key or its digest.
    :param bounds: upper bounds of a histogram's buckets in the metric's unit.
    """

    name: str
    kind: MetricKind
    text: str
    labels: tuple[str, ...] = ()
    bounds: tuple[float, ...] = ()


class MetricValues:
    """Values of all metrics of one daemon.

    Values are kept by their label values and copied to the collectors at each scrape only, since
    a collector encodes its labels at each change.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._collectors: dict[Metric, Any] = {}
        self._values: dict[Metric, dict[tuple[str, ...], Any]] = {}

    def add(self, metric: Metric, value: float, *labels: str) -> None:
        """Add *value* to a counter or gauge, or as one observation to a histogram."""
        values = self._values.setdefault(metric, {})
        if labels not in values:
            labels = self._start_series(metric, values, labels)
        if metric.kind is MetricKind.HISTOGRAM:
            values[labels].observe(value)
        else:
            values[labels] += value

    def replace(self, metric: Metric, values: dict[tuple[str, ...], float]) -> None:
        """Replace all values of a gauge or counter; label sets that are missing are dropped."""
        self._values[metric] = {}
        for labels, value in values.items():
            self.add(metric, value, *labels)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return the metrics page in a format that *accept* allows, and its headers."""
        for metric, values in self._values.items():
            collector = self._find_collector(metric)
            collector.values.clear()
            for labels, value in values.items():
                collector.set_value(dict(zip(metric.labels, labels, strict=True)), value)
        body, headers = render(self._registry, accept)
        return body, headers

    def _start_series(
        self, metric: Metric, values: dict[tuple[str, ...], Any], labels: tuple[str, ...]
    ) -> tuple[str, ...]:
        if len(values) >= MAX_SERIES:
            labels = (OTHER_LABEL,) * len(labels)
        if labels not in values:
            is_histogram = metric.kind is MetricKind.HISTOGRAM
            values[labels] = HistogramValue(*metric.bounds, float("inf")) if is_histogram else 0.0
        return labels

    def _find_collector(self, metric: Metric) -> Any:
        collector = self._collectors.get(metric)
        if collector is None:
            kind = COLLECTORS[metric.kind]
            collector = kind(metric.name, metric.text, registry=self._registry)
            self._collectors[metric] = collector
        return collector
