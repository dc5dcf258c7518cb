"""Metrics by name, with a bound on the series of each."""

from __future__ import annotations

from lavenderrun.meters._meters import SERIES_MOST, Meter, MeterKind, Meters

__all__ = ["SERIES_MOST", "Meter", "MeterKind", "Meters"]
