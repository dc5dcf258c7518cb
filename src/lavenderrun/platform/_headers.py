"""Names of the platform's HTTP headers, and which headers are passed on."""

from __future__ import annotations

from typing import Final

from lavenderrun.types import HOP_BY_HOP, Headers

REQUEST_ID: Final = "x-request-id"
DEADLINE: Final = "x-deadline-ms"
ACCOUNT: Final = "x-tenant"
EXPECTED_SERVER: Final = "x-expect-instance"
SERVER: Final = "x-instance-id"
LOAD: Final = "x-instance-load"
LEAVING: Final = "server-leaving"
COLD: Final = "x-cold-ms"
NOT_RUN: Final = "x-not-executed"
SIGNATURE: Final = "x-server-stamp"
MODEL: Final = "x-model"
DECLARED_SIZE: Final = "x-token-count"
PROMPT_PARTS: Final = "x-prefix-hash"
LENGTH_ESTIMATE: Final = "x-length-hint"
RANK: Final = "x-request-priority"
STAGE: Final = "x-stage"
CACHE_SOURCE: Final = "x-kv-source"
HOLD: Final = "x-kv-hold"
RESUME_AFTER: Final = "last-event-id"
AUTHORIZATION: Final = "authorization"
RETRY_AFTER: Final = "retry-after"
KEEP_ALIVE: Final = "keep-alive"
CONTENT_ENCODING: Final = "content-encoding"
HOST: Final = "host"

RESERVED_HEADERS: Final = frozenset(
    {
        DEADLINE,
        ACCOUNT,
        EXPECTED_SERVER,
        RANK,
        STAGE,
        CACHE_SOURCE,
        RESUME_AFTER,
        AUTHORIZATION,
        HOLD,
        "x-kv-backup",
        "x-pin-ms",
        "kv-fetch",
        "x-expect-version",
        NOT_RUN,
    }
)
"""Headers dropped from callers' calls, as only the gateway may set them."""


SINGLE_HEADERS: Final = frozenset(
    {REQUEST_ID, DEADLINE, DECLARED_SIZE, LENGTH_ESTIMATE, MODEL, AUTHORIZATION, HOST}
)
"""Headers of which a call has one: by the first a gateway would decide, by another a server."""


def find_value(headers: Headers, name: str) -> str | None:
    """Return the first value of a header, ``None`` without one.

    :param name: its name in lower case.
    """
    for given, value in headers:
        if given.lower() == name:
            return value.strip()
    return None


def find_doubled(headers: Headers) -> str | None:
    """Return the name of a header that may come once and comes again, ``None`` without one."""
    seen: set[str] = set()
    for name, _ in headers:
        if name.lower() in seen:
            return name
        if name.lower() in SINGLE_HEADERS:
            seen.add(name.lower())
    return None


def strip_hop_by_hop(headers: Headers) -> Headers:
    """Return *headers* without those that concern a single connection."""
    listed = {
        token.strip().lower()
        for name, value in headers
        if name.lower() == "connection"
        for token in value.split(",")
    }
    # these identify the call: a caller must not remove them by its connection header
    listed -= {REQUEST_ID, DECLARED_SIZE, MODEL, PROMPT_PARTS, HOST}
    return [(n, v) for n, v in headers if n.lower() not in HOP_BY_HOP and n.lower() not in listed]
