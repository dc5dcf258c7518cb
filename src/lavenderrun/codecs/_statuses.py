"""HTTP status codes and API error types of refusals."""

from __future__ import annotations

from lavenderrun.types import Outcome, Refusal, Refused

STATUSES = {
    Refusal.BAD_REQUEST: 400,
    Refusal.NO_KEY: 401,
    Refusal.UNKNOWN_KEY: 401,
    Refusal.ROUTE_NOT_ALLOWED: 403,
    Refusal.UNKNOWN_MODEL: 404,
    Refusal.UNKNOWN_PATH: 404,
    Refusal.IDEMPOTENCY_CONFLICT: 409,
    Refusal.TOO_LARGE: 413,
    Refusal.QUARANTINED: 422,
    Refusal.OVER_RATE: 429,
    Refusal.HEAD_TOO_LARGE: 431,
    Refusal.CANCELLED: 499,
    Refusal.OUTCOME_UNKNOWN: 502,
    Refusal.BACKEND_LOST: 503,
    Refusal.CLAIM_UNAVAILABLE: 503,
    Refusal.LEAVING: 503,
    Refusal.NO_ROOM: 503,
    Refusal.NOT_READY: 503,
    Refusal.INTERNAL: 503,
    Refusal.DEADLINE: 504,
}

ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "not_found_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
    431: "invalid_request_error",
}


def find_status(refused: Refused) -> int:
    """Return the HTTP status of a refusal."""
    status = STATUSES[refused.refusal]
    if status == 503 and refused.outcome is Outcome.UNKNOWN:
        return STATUSES[Refusal.OUTCOME_UNKNOWN]
    return status


def find_error_type(status: int) -> str:
    """Return the API's error type for an HTTP status."""
    return ERROR_TYPES.get(status, "server_error")
