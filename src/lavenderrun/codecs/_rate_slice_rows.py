"""Rows of the rate slices' table."""

from __future__ import annotations

from lavenderrun.codecs._rows import row
from lavenderrun.types import RateSliceRow

RATE_SLICE_TABLE = "limit_slots"

row(RATE_SLICE_TABLE, 1)(RateSliceRow)
