"""Rows of the limit slots' table."""

from __future__ import annotations

from lavenderrun.codecs._rows import row
from lavenderrun.types import SlotRow

SLOT_TABLE = "limit_slots"

row(SLOT_TABLE, 1)(SlotRow)
