"""Rows of the leases' table."""

from __future__ import annotations

from lavenderrun.codecs._rows import row
from lavenderrun.types import LeaseRow

LEASE_TABLE = "leases"

row(LEASE_TABLE, 1)(LeaseRow)
