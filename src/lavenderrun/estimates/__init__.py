"""Estimates that the decisions of entries and of gateways share; no I/O, no clock."""

from __future__ import annotations

from lavenderrun.estimates._average import MovingAverage
from lavenderrun.estimates._prefix_index import PrefixIndex

__all__ = ["MovingAverage", "PrefixIndex"]
