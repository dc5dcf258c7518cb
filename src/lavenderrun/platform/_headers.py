"""Header names of the platform, and which headers go on."""

from __future__ import annotations

from typing import Final

from lavenderrun.types import HOP_BY_HOP, Headers

REQUEST_ID: Final = "x-request-id"
DEADLINE: Final = "x-deadline-ms"
ACCOUNT: Final = "x-tenant"
EXPECTED_SERVER: Final = "x-expect-instance"
SERVER: Final = "x-instance-id"
LOAD: Final = "x-instance-load"
NOT_RUN: Final = "x-not-executed"
SIGNATURE: Final = "x-server-stamp"
DECLARED_SIZE: Final = "x-token-count"
LENGTH_ESTIMATE: Final = "x-length-hint"
RANK: Final = "x-request-priority"
STAGE: Final = "x-stage"
CACHE_SOURCE: Final = "x-kv-source"
RESUME_AFTER: Final = "last-event-id"
AUTHORIZATION: Final = "authorization"
KEEP_ALIVE: Final = "keep-alive"
CONTENT_ENCODING: Final = "content-encoding"
HOST: Final = "host"

SET_HERE: Final = frozenset(
    {
        DEADLINE,
        ACCOUNT,
        EXPECTED_SERVER,
        RANK,
        STAGE,
        CACHE_SOURCE,
        RESUME_AFTER,
        AUTHORIZATION,
        "x-kv-hold",
        "x-kv-backup",
        "x-pin-ms",
        "kv-fetch",
        "x-expect-version",
        NOT_RUN,
    }
)
"""Headers that callers must not set: this host sets them or leaves them out."""


def find_value(headers: Headers, name: str) -> str | None:
    """Return the first value of the header called *name*, in lower case."""
    for given, value in headers:
        if given.lower() == name:
            return value.strip()
    return None


def strip_hops(headers: Headers) -> Headers:
    """Return the headers that concern more than one connection."""
    named = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    # a caller could use the connection header to take away what identifies its call
    named -= {REQUEST_ID, DECLARED_SIZE, "x-model", "x-prefix-hash", HOST}
    return [(n, v) for n, v in headers if n.lower() not in HOP_BY_HOP and n.lower() not in named]
