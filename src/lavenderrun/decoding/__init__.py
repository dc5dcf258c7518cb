"""Checked decoding of what other writers write: bounds on numbers, one kind of error."""

from __future__ import annotations

from lavenderrun.decoding._decoding import (
    Amount,
    Count,
    Milliseconds,
    Seconds,
    decode_json,
    decode_msgpack,
    is_final_status,
    is_token,
    parse_address,
)

__all__ = [
    "Amount",
    "Count",
    "Milliseconds",
    "Seconds",
    "decode_json",
    "decode_msgpack",
    "is_final_status",
    "is_token",
    "parse_address",
]
