"""Decodes calls of the platform's callers and encodes refusals for them."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import Any, Final

import msgspec

from lavenderrun.dispatch import MAX_SHARED_PARTS
from lavenderrun.gateway import GATEWAY_SERVICES
from lavenderrun.kernel import Kernel
from lavenderrun.platform import _headers as header_names
from lavenderrun.types import (
    DeclaredSize,
    GatewayCall,
    Headers,
    Outcome,
    PartId,
    PromptPart,
    Refusal,
    Refused,
    RequestId,
)

BEARER_PATTERN: Final = re.compile(r"bearer +(\S+)", re.IGNORECASE)
TARGET_PATTERN: Final = re.compile(r"[\x21-\x7e]+")
UNSENDABLE_PATTERN: Final = re.compile(r"[\x00\n\r\x0b\x0c]")
"""Characters in a header with which it cannot be sent on."""

SIZE_PATTERN: Final = re.compile(r"(\d{1,9}) *, *(\d{1,9})")
PART_PATTERN: Final = re.compile(r" *([0-9a-fA-F]{1,64}):(\d{1,9}) *")

NOT_RUN_STATUS: Final = {
    Refusal.BAD_REQUEST: 400,
    Refusal.NO_KEY: 401,
    Refusal.UNKNOWN_KEY: 401,
    Refusal.UNKNOWN_PATH: 404,
    Refusal.TOO_LARGE: 413,
    Refusal.HEAD_TOO_LARGE: 431,
    Refusal.OVER_RATE: 429,
}
"""HTTP status of refused calls that were not run; 503 for all other reasons."""

OUTCOME_UNKNOWN_STATUS: Final = {
    Refusal.BACKEND_LOST: 502,
    Refusal.QUARANTINED: 502,
    Refusal.INTERNAL: 502,
}
"""HTTP status of failed calls whose outcome is unknown; 504 for all other reasons."""


class PlatformCallers:
    """Implements ``CallerDialect`` for the platform's callers."""

    readiness_target = "/api/readyz"

    def decode_call(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> GatewayCall | str:
        """Return the decoded call, or the text of its error for the caller."""
        request = header_names.find_value(headers, header_names.REQUEST_ID)
        host = header_names.find_value(headers, header_names.HOST)
        if not request:
            return "X-Request-Id: is missing"
        if not host:
            return "Host: is missing"
        if not TARGET_PATTERN.fullmatch(target):
            return "HTTP: the target has characters that are not allowed"
        doubled = header_names.find_doubled(headers)
        if doubled is not None:
            return f"{doubled}: comes more than once"
        if any(UNSENDABLE_PATTERN.search(value) for _, value in headers):
            return "HTTP: a header has characters that are not allowed"
        deadline = header_names.find_value(headers, header_names.DEADLINE)
        patience = _read_milliseconds(deadline)
        if deadline is not None and patience is None:
            return "X-Deadline-Ms: is not a number of milliseconds"
        forwarded = [
            (n, v)
            for n, v in header_names.strip_hop_by_hop(headers)
            if n.lower() not in header_names.RESERVED_HEADERS
        ]
        bearer = BEARER_PATTERN.fullmatch(
            header_names.find_value(headers, header_names.AUTHORIZATION) or ""
        )
        return GatewayCall(
            RequestId(request),
            method,
            host.partition(":")[0],
            target,
            forwarded,
            body,
            bearer[1] if bearer else None,
            patience,
            _read_size(headers),
            header_names.find_value(headers, header_names.RESUME_AFTER),
            _read_shared_parts(header_names.find_value(headers, header_names.PROMPT_PARTS)),
            _read_prefix(header_names.find_value(headers, header_names.PROMPT_PARTS)),
        )

    def find_id(self, headers: Headers) -> RequestId | None:
        """Return the id that the caller gave, ``None`` without one."""
        found = header_names.find_value(headers, header_names.REQUEST_ID)
        return RequestId(found) if found else None

    def encode_refusal(
        self, request: RequestId | None, refused: Refused
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of the answer to a refused call."""
        if refused.outcome is Outcome.NOT_RUN:
            status = NOT_RUN_STATUS.get(refused.refusal, 503)
        else:
            status = OUTCOME_UNKNOWN_STATUS.get(refused.refusal, 504)
        headers: Headers = [("Content-Type", "application/json")]
        if request is not None:
            headers.append(("X-Request-Id", request))
        if refused.retry_after is not None and refused.outcome is Outcome.NOT_RUN:
            headers.append(("Retry-After", f"{refused.retry_after.total_seconds():.3f}"))
        body = {"error": refused.refusal.value, "outcome": refused.outcome.value}
        if refused.detail:
            body["detail"] = refused.detail
        return status, headers, msgspec.json.encode(body)


def _read_milliseconds(value: str | None) -> timedelta | None:
    if value is None or not value.isdecimal() or len(value) > len("999999999"):
        return None
    return timedelta(milliseconds=int(value))


def _read_size(headers: Headers) -> DeclaredSize | None:
    match = SIZE_PATTERN.fullmatch(
        header_names.find_value(headers, header_names.DECLARED_SIZE) or ""
    )
    if match is None:
        return None
    prompt, output = int(match[1]), int(match[2])
    estimate = header_names.find_value(headers, header_names.LENGTH_ESTIMATE) or ""
    likely = int(estimate) if estimate.isdecimal() and len(estimate) < len("999999999") else output
    return DeclaredSize(prompt, output, min(output, likely))


def _read_shared_parts(value: str | None) -> tuple[PartId, ...]:
    """Return the parts before the last one, which belongs to a single call or session."""
    entries = (value or "").split(",")[:-1]
    matches = (PART_PATTERN.fullmatch(entry) for entry in entries[:MAX_SHARED_PARTS])
    return tuple(dict.fromkeys(PartId(match[1].lower()) for match in matches if match is not None))


def _read_prefix(value: str | None) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt up to the first one that cannot be read."""
    parts = []
    for entry in (value or "").split(",")[:MAX_SHARED_PARTS]:
        match = PART_PATTERN.fullmatch(entry)
        if match is None:
            break
        parts.append(PromptPart(PartId(match[1].lower()), int(match[2])))
    return tuple(parts)


@GATEWAY_SERVICES.register("caller_dialect")
def make_caller_dialect(kernel: Kernel) -> Any:
    """Make the service ``caller_dialect``."""
    return kernel.wrap(PlatformCallers())
