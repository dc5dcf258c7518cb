"""Bytes and texts of other writers become values here, checked and bounded."""

from __future__ import annotations

import re
from ipaddress import IPv4Address
from typing import Annotated, Any, Final, TypeVar

import msgspec

T = TypeVar("T")

MAX_PORT: Final = 65535
PORT: Final = re.compile(r"[0-9]{1,5}")
TOKEN: Final = re.compile(r"[!-~]{1,200}")

Seconds = Annotated[float, msgspec.Meta(ge=0, le=30 * 86400)]
Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=30 * 86400 * 1000)]
"""Durations of up to thirty days: no row, document or report means a longer one."""

Amount = Annotated[float, msgspec.Meta(ge=0, le=1e15)]
"""Charged units, rates and shares."""

Count = Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""Counters, versions and start times."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Return the value of *kind* in a JSON text.

    :raises ValueError: for whatever is wrong with it, also when it is nested too deeply.
    """
    return _decode(msgspec.json.decode, data, kind)


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Return the value of *kind* in a MessagePack message.

    :raises ValueError: for whatever is wrong with it, also when it is nested too deeply.
    """
    return _decode(msgspec.msgpack.decode, data, kind)


def _decode(decode: Any, data: bytes, kind: type[T]) -> T:
    try:
        found: T = decode(data, type=kind)
    except (msgspec.DecodeError, ValueError, OverflowError) as error:
        raise ValueError(str(error)) from None
    except RecursionError:
        msg = "nested too deeply"
        raise ValueError(msg) from None
    return found


def parse_address(text: str) -> tuple[str, int]:
    """Return the IP number and the port of ``IP:PORT``.

    :raises ValueError: when either is none that can be called.
    """
    host, _, port = text.rpartition(":")
    if not PORT.fullmatch(port) or not 0 < int(port) <= MAX_PORT:
        msg = "port is not between 1 and 65535"
        raise ValueError(msg)
    return str(IPv4Address(host)), int(port)


def is_final_status(status: int) -> bool:
    """Tell whether *status* is one that a final HTTP answer may have (RFC 9110, section 15)."""
    return 200 <= status < 600


def is_token(text: str) -> bool:
    """Tell whether *text* is an id that can stand in a header or a path."""
    return TOKEN.fullmatch(text) is not None
