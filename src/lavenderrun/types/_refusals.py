"""Refusals, which are values with a reason, and errors with the step and the peer that failed."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum

import msgspec

from lavenderrun.types._states import Outcome, Step


class Refusal(Enum):
    """Why a request is not served; the value is the code that callers see."""

    BAD_REQUEST = "bad_request"
    NO_KEY = "no_key"
    UNKNOWN_KEY = "unknown_key"
    ROUTE_NOT_ALLOWED = "route_not_allowed"
    UNKNOWN_MODEL = "unknown_model"
    UNKNOWN_PATH = "unknown_path"
    TOO_LARGE = "too_large"
    HEAD_TOO_LARGE = "head_too_large"
    OVER_RATE = "over_rate"
    QUARANTINED = "quarantined"
    IDEMPOTENCY_CONFLICT = "idempotency_conflict"
    CLAIM_UNAVAILABLE = "claim_unavailable"
    NO_ROOM = "no_room"
    LEAVING = "leaving"
    DEADLINE = "deadline"
    BACKEND_LOST = "backend_lost"
    OUTCOME_UNKNOWN = "outcome_unknown"
    CANCELLED = "cancelled"
    NOT_READY = "not_ready"
    INTERNAL = "internal"


class Refused(msgspec.Struct, frozen=True):
    """A refusal with what the caller may rely on.

    :param refusal: the reason.
    :param outcome: ``NOT_RUN`` only when no backend server has begun the request.
    :param step: stage at which the request was refused.
    :param peer: the host or backend server concerned, empty for this host.
    :param retry_after: time after which a retry may succeed.
    :param detail: a short sentence that contains neither keys nor bodies.
    """

    refusal: Refusal
    outcome: Outcome
    step: Step
    peer: str = ""
    retry_after: timedelta | None = None
    detail: str = ""


class StepError(Exception):
    """A failure at a known step and a known peer.

    :param step: stage at which the failure occurred.
    :param peer: host or backend server that was called, empty for this host.
    :param reason: a short sentence.
    """

    def __init__(self, step: Step, peer: str, reason: str) -> None:
        super().__init__(f"{step.value} at {peer or 'this host'}: {reason}")
        self.step = step
        self.peer = peer
        self.reason = reason


class BackendCrashError(StepError):
    """The backend server crashed while it held the work."""


class BackendDownError(StepError):
    """The backend server cannot be reached and has not received the work."""
