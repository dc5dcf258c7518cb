"""Collectors of the metrics, with a bound on the series of each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

SERIES_MOST: Final = 512
"""Label sets that one metric keeps; later ones are counted together."""

OTHER: Final = "other"


class MeterKind(Enum):
    """How a metric is counted."""

    COUNTER = "counter"
    GAUGE = "gauge"
    HISTOGRAM = "histogram"


@dataclass(frozen=True)
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
    """Values of all metrics of one daemon."""

    def __init__(self) -> None:
        self._registry = Registry()
        self._collectors: dict[str, Any] = {}
        self._series: dict[str, set[tuple[str, ...]]] = {}

    def add(self, meter: Meter, value: float, *labels: str) -> None:
        """Add to a counter, or one observation to a histogram."""
        self._find(meter).add(self._bound(meter, labels), float(value))

    def replace(self, meter: Meter, values: dict[tuple[str, ...], float]) -> None:
        """Set a gauge or a counter that is kept elsewhere; label sets no longer named go."""
        collector = self._find(meter)
        collector.values.clear()
        self._series[meter.name] = set()
        for labels, value in values.items():
            collector.add(self._bound(meter, labels), float(value))

    def render(self, accept: list[str]) -> tuple[bytes, dict[str, str]]:
        """Return all values and the headers in a form that *accept* allows."""
        body, headers = render(self._registry, accept)
        return body, headers

    def _find(self, meter: Meter) -> Any:
        collector = self._collectors.get(meter.name)
        if collector is None:
            collector = self._collectors[meter.name] = self._make(meter)
        return collector

    def _make(self, meter: Meter) -> Any:
        if meter.kind is MeterKind.HISTOGRAM:
            bounds = (*meter.bounds, float("inf"))
            return Histogram(meter.name, meter.text, registry=self._registry, buckets=bounds)
        kind = Counter if meter.kind is MeterKind.COUNTER else Gauge
        return kind(meter.name, meter.text, registry=self._registry)

    def _bound(self, meter: Meter, labels: tuple[str, ...]) -> dict[str, str]:
        known = self._series.setdefault(meter.name, set())
        if labels not in known and len(known) >= SERIES_MOST:
            labels = (OTHER,) * len(labels)
        known.add(labels)
        return dict(zip(meter.labels, labels, strict=True))
