"""Rows of the table ``entries``."""

from __future__ import annotations

from lavenderrun.codecs._rows import row
from lavenderrun.types import EntryHost

row("entries", 1)(EntryHost)
