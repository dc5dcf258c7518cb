"""Encoding and decoding only; no decision is taken here."""

from __future__ import annotations

from lavenderrun.codecs._rows import ROWS, RowCodec, RowError, row
from lavenderrun.codecs._wire import WireCodec, WireError

__all__ = ["ROWS", "RowCodec", "RowError", "WireCodec", "WireError", "row"]
