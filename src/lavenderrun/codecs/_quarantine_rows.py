"""Rows of the table ``quarantine``."""

from __future__ import annotations

from lavenderrun.codecs._rows import row
from lavenderrun.types import QuarantineRow

row("quarantine", 1)(QuarantineRow)
