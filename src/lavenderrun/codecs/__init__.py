"""Encoding and decoding only; no decision is taken here."""

from __future__ import annotations

from lavenderrun.codecs._wire import WireCodec, WireError

__all__ = ["WireCodec", "WireError"]
