"""Collectors of the metrics, with a bound on the series of each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as Buckets
from aioprometheus.renderer import render

MAX_SERIES: Final = 512
"""Label sets that one metric keeps; later ones are counted together."""

OTHER: Final = "other"


class MetricKind(Enum):
    """How a metric is counted."""

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
    """One metric.

    :param labels: names of its labels; no value is ever a key or a digest of one.
    :param bounds: upper bounds of a histogram's buckets in the metric's unit.
    """

    name: str
    kind: MetricKind
    text: str
    labels: tuple[str, ...] = ()
    bounds: tuple[float, ...] = ()


class MetricValues:
    """Values of all metrics of one daemon.

    They are kept here by their label values, and handed to the collectors when the page is asked
    for: a collector encodes its labels at each change.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._collectors: dict[Metric, Any] = {}
        self._values: dict[Metric, dict[tuple[str, ...], Any]] = {}

    def add(self, meter: Metric, value: float, *labels: str) -> None:
        """Add to a counter or gauge, or one observation to a histogram."""
        values = self._values.setdefault(meter, {})
        if labels not in values:
            labels = self._begin(meter, values, labels)
        if meter.kind is MetricKind.HISTOGRAM:
            values[labels].observe(value)
        else:
            values[labels] += value

    def replace(self, meter: Metric, values: dict[tuple[str, ...], float]) -> None:
        """Set a gauge or a counter that is kept elsewhere; label sets no longer named go."""
        self._values[meter] = {}
        for labels, value in values.items():
            self.add(meter, value, *labels)

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return all values and the headers in a form that *accept* allows."""
        for meter, values in self._values.items():
            collector = self._find(meter)
            collector.values.clear()
            for labels, value in values.items():
                collector.set_value(dict(zip(meter.labels, labels, strict=True)), value)
        body, headers = render(self._registry, accept)
        return body, headers

    def _begin(
        self, meter: Metric, values: dict[tuple[str, ...], Any], labels: tuple[str, ...]
    ) -> tuple[str, ...]:
        if len(values) >= MAX_SERIES:
            labels = (OTHER,) * len(labels)
        if labels not in values:
            is_histogram = meter.kind is MetricKind.HISTOGRAM
            values[labels] = Buckets(*meter.bounds, float("inf")) if is_histogram else 0.0
        return labels

    def _find(self, meter: Metric) -> Any:
        collector = self._collectors.get(meter)
        if collector is None:
            kind = COLLECTORS[meter.kind]
            collector = kind(meter.name, meter.text, registry=self._registry)
            self._collectors[meter] = collector
        return collector
