"""Metrics, with a limit on the number of series of each."""

from __future__ import annotations

from lavenderrun.metrics._metrics import MAX_SERIES, Metric, MetricKind, MetricValues

__all__ = ["MAX_SERIES", "Metric", "MetricKind", "MetricValues"]
