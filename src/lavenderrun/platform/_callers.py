"""Callers' calls as the platform forwards them, and refusals as callers read them."""

from __future__ import annotations

import re
from datetime import timedelta
from typing import Any, Final

import msgspec

from lavenderrun.gateway import GATEWAY_SERVICES
from lavenderrun.kernel import Kernel
from lavenderrun.platform import _headers as names
from lavenderrun.types import (
    DeclaredSize,
    GatewayCall,
    Headers,
    Outcome,
    Refusal,
    Refused,
    RequestId,
)

BEARER: Final = re.compile(r"bearer +(\S+)", re.IGNORECASE)
SIZE: Final = re.compile(r"(\d{1,9}) *, *(\d{1,9})")

NOT_RUN_STATUS: Final = {
    Refusal.BAD_REQUEST: 400,
    Refusal.NO_KEY: 401,
    Refusal.UNKNOWN_KEY: 401,
    Refusal.UNKNOWN_PATH: 404,
    Refusal.TOO_LARGE: 413,
    Refusal.OVER_RATE: 429,
}
"""Statuses of refusals that were not run; all others are 503."""

UNKNOWN_STATUS: Final = {Refusal.BACKEND_LOST: 502}
"""Statuses of refusals whose outcome is unknown; all others are 504."""


class PlatformCallers:
    """Decodes callers' calls; see ``CallerDialect``."""

    readiness_target = "/api/readyz"

    def decode_call(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> GatewayCall | str:
        """Return the call, or what is wrong with it."""
        request = names.find_value(headers, names.REQUEST_ID)
        host = names.find_value(headers, names.HOST)
        if not request:
            return "X-Request-Id: is missing"
        if not host:
            return "Host: is missing"
        deadline = names.find_value(headers, names.DEADLINE)
        patience = _read_milliseconds(deadline)
        if deadline is not None and patience is None:
            return "X-Deadline-Ms: is not a number of milliseconds"
        passed = [(n, v) for n, v in names.strip_hops(headers) if n.lower() not in names.SET_HERE]
        bearer = BEARER.fullmatch(names.find_value(headers, names.AUTHORIZATION) or "")
        return GatewayCall(
            RequestId(request),
            method,
            host.partition(":")[0],
            target,
            passed,
            body,
            bearer[1] if bearer else None,
            patience,
            _read_size(headers),
            names.find_value(headers, names.RESUME_AFTER),
        )

    def encode_refusal(
        self, request: RequestId | None, refused: Refused
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of a refusal."""
        if refused.outcome is Outcome.NOT_RUN:
            status = NOT_RUN_STATUS.get(refused.refusal, 503)
        else:
            status = UNKNOWN_STATUS.get(refused.refusal, 504)
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
    found = SIZE.fullmatch(names.find_value(headers, names.DECLARED_SIZE) or "")
    if found is None:
        return None
    prompt, output = int(found[1]), int(found[2])
    estimate = names.find_value(headers, names.LENGTH_ESTIMATE) or ""
    likely = int(estimate) if estimate.isdecimal() and len(estimate) < len("999999999") else output
    return DeclaredSize(prompt, output, min(output, likely))


@GATEWAY_SERVICES.register("caller_dialect")
def make_caller_dialect(kernel: Kernel) -> Any:
    """Make the service."""
    return kernel.wrap(PlatformCallers())
