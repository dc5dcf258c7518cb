"""Collectors of the metrics, with a bound on the series of each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.histogram import Histogram as Buckets
from aioprometheus.renderer import render

SERIES_MOST: Final = 512
"""Label sets that one metric keeps; later ones are counted together."""

OTHER: Final = "other"


class MeterKind(Enum):
    """How a metric is counted."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


COLLECTORS: Final = {
    MeterKind.COUNTER: Counter,
    MeterKind.GAUGE: Gauge,
    MeterKind.HISTOGRAM: Histogram,
}


@dataclass(frozen=True, eq=False)
class Meter:
    """One metric.

    :param labels: names of its labels; no value is ever a key or a digest of one.
    :param bounds: upper bounds of a histogram's buckets in the metric's unit.
    """

    name: str
    kind: MeterKind
    text: str
    labels: tuple[str, ...] = ()
    bounds: tuple[float, ...] = ()


class Meters:
    """Values of all metrics of one daemon.

    They are kept here by their label values, and handed to the collectors when the page is asked
    for: a collector encodes its labels at each change.
    """

    def __init__(self) -> None:
        self._registry = Registry()
        self._collectors: dict[Meter, Any] = {}
        self._values: dict[Meter, dict[tuple[str, ...], Any]] = {}

    def add(self, meter: Meter, value: float, *labels: str) -> None:
        """Add to a counter or gauge, or one observation to a histogram."""
        values = self._values.setdefault(meter, {})
        if labels not in values:
            labels = self._begin(meter, values, labels)
        if meter.kind is MeterKind.HISTOGRAM:
            values[labels].observe(value)
        else:
            values[labels] += value

    def replace(self, meter: Meter, values: dict[tuple[str, ...], float]) -> None:
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
        self, meter: Meter, values: dict[tuple[str, ...], Any], labels: tuple[str, ...]
    ) -> tuple[str, ...]:
        if len(values) >= SERIES_MOST:
            labels = (OTHER,) * len(labels)
        if labels not in values:
            is_histogram = meter.kind is MeterKind.HISTOGRAM
            values[labels] = Buckets(*meter.bounds, float("inf")) if is_histogram else 0.0
        return labels

    def _find(self, meter: Meter) -> Any:
        collector = self._collectors.get(meter)
        if collector is None:
            kind = COLLECTORS[meter.kind]
            collector = kind(meter.name, meter.text, registry=self._registry)
            self._collectors[meter] = collector
        return collector
