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
from lavenderrun.codecs._stored import (
    StoredDocumentError,
    decode_copy,
    decode_stored,
    encode_copy,
    encode_stored,
    make_stored,
)
from lavenderrun.codecs._wire import WireCodec, WireError

__all__ = [
    "Fault",
    "Faults",
    "Form",
    "StoredDocumentError",
    "WireCodec",
    "WireError",
    "decode_copy",
    "decode_stored",
    "digest_document",
    "encode_copy",
    "encode_document",
    "encode_stored",
    "make_schema",
    "make_stored",
    "read_document",
]
