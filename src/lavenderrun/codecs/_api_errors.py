"""Refusals as JSON bodies and headers of the callers' API."""

from __future__ import annotations

import math

import msgspec

from lavenderrun.codecs._statuses import find_error_type, find_status
from lavenderrun.types import Outcome, Refusal, Refused, Step

OUTCOME_HEADER = "Lavenderrun-Outcome"

ERROR_MESSAGES = {
    Refusal.BAD_REQUEST: "The request is malformed.",
    Refusal.NO_KEY: "No usable key: send 'Authorization: Bearer KEY'.",
    Refusal.UNKNOWN_KEY: "The key is not known.",
    Refusal.ROUTE_NOT_ALLOWED: "The client account may not use this route.",
    Refusal.UNKNOWN_MODEL: "The model is not known.",
    Refusal.UNKNOWN_PATH: "No route has this path and method.",
    Refusal.TOO_LARGE: "The request is too large.",
    Refusal.HEAD_TOO_LARGE: "The head of the request is too large.",
    Refusal.OVER_RATE: "The client account is over its rate.",
    Refusal.QUARANTINED: "Backend servers crashed on this request; it is held back.",
    Refusal.IDEMPOTENCY_CONFLICT: "The idempotency key was used for another request.",
    Refusal.CLAIM_UNAVAILABLE: "The idempotency key can not be claimed now.",
    Refusal.NO_ROOM: "No backend server has room.",
    Refusal.LEAVING: "The backend server is leaving.",
    Refusal.DEADLINE: "The request could not be served in time.",
    Refusal.BACKEND_LOST: "The backend server was lost.",
    Refusal.OUTCOME_UNKNOWN: "The request may have run; its outcome is not known.",
    Refusal.CANCELLED: "The request was cancelled.",
    Refusal.NOT_READY: "This host has no configuration yet.",
    Refusal.INTERNAL: "This host failed unexpectedly.",
}


class ApiError(ValueError):
    """Input of a caller that the API refuses.

    :param refusal: the reason.
    :param message: a sentence that names the field.
    :param field: name of the invalid field, empty for the whole request.
    """

    def __init__(self, refusal: Refusal, message: str, field: str = "") -> None:
        super().__init__(message)
        self.refusal = refusal
        self.message = message
        self.field = field

    def to_refused(self) -> Refused:
        """Return the refusal; a request with invalid input has not run."""
        return Refused(self.refusal, Outcome.NOT_RUN, Step.ADMISSION, detail=self.message)


class ErrorBody(msgspec.Struct):
    """The error object in the body of an error answer.

    :param outcome: what the caller may rely on; also sent as a header if headers can still be sent.
    """

    message: str
    type: str
    param: str | None
    code: str
    outcome: str


class ErrorReply(msgspec.Struct):
    """The body of an error answer."""

    error: ErrorBody


def encode_error(refused: Refused, field: str = "") -> bytes:
    """Return the JSON body for a refusal.

    :param field: name of the invalid field, empty for the whole request.
    """
    status = find_status(refused)
    body = ErrorBody(
        message=refused.detail or ERROR_MESSAGES[refused.refusal],
        type=find_error_type(status),
        param=field or None,
        code=refused.refusal.value,
        outcome=refused.outcome.value,
    )
    return msgspec.json.encode(ErrorReply(body))


def list_error_headers(refused: Refused) -> list[tuple[str, str]]:
    """Return the headers that go with a refusal."""
    headers = [(OUTCOME_HEADER, refused.outcome.value)]
    if refused.retry_after is not None:
        seconds = max(1, math.ceil(refused.retry_after.total_seconds()))
        headers.append(("Retry-After", str(seconds)))
    return headers
