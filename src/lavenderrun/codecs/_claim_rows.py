"""Rows of the table ``claims``."""

from __future__ import annotations

from lavenderrun.codecs._rows import row
from lavenderrun.types import Claim

row("claims", 1)(Claim)
