"""Sends a call and its body to an agent."""

from __future__ import annotations

from datetime import timedelta

from lavenderrun.types import (
    AdmittedPlain,
    AttemptId,
    Call,
    CallBody,
    Link,
    PlainRequest,
)

PART_BYTES = 64 << 10


def send_call(
    link: Link,
    request: PlainRequest,
    admitted: AdmittedPlain,
    attempt: AttemptId,
    patience: timedelta,
) -> bool:
    """Send a call in parts; return ``False`` when the link was down and nothing was sent.

    :param patience: time left for the call to start.
    """
    route, body = admitted.route, request.body
    call = Call(
        request=request.request,
        attempt=attempt,
        account=admitted.account,
        route=route.name,
        method=request.method,
        target=request.path,
        headers=request.headers,
        body=body[:PART_BYTES],
        more=len(body) > PART_BYTES,
        repeatability=route.repeatability,
        patience=patience,
        urgency=route.targets.first_token,
        weight=admitted.weight,
        fingerprint=admitted.fingerprint,
    )
    if not link.send(call):
        return False
    for offset in range(PART_BYTES, len(body), PART_BYTES):
        data = body[offset : offset + PART_BYTES]
        last = offset + PART_BYTES >= len(body)
        link.send(CallBody(request.request, attempt, offset, data, last))
    return True
