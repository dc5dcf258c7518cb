"""Encoding and decoding only; no decision is taken here."""

from __future__ import annotations

from lavenderrun.codecs._document import (
    Form,
    digest_document,
    encode_document,
    make_schema,
    read_document,
)
from lavenderrun.codecs._faults import Fault, Faults
from lavenderrun.codecs._wire import WireCodec, WireError

__all__ = [
    "Fault",
    "Faults",
    "Form",
    "WireCodec",
    "WireError",
    "digest_document",
    "encode_document",
    "make_schema",
    "read_document",
]
