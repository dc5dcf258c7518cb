"""Rules for rows that claim an idempotency key."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

from lavenderrun.decisions._call_history import CALL_RETENTION
from lavenderrun.types import Claim, Fingerprint

SKEW_MARGIN = timedelta(seconds=30)
"""Assumed upper bound of the clock difference between two hosts plus the time of a dispatch."""
MAX_CLAIM_TIME = timedelta(seconds=20)
"""A claim whose store write took longer than this to be answered is not dispatched."""


class ClaimResult(Enum):
    """How a request with an idempotency key proceeds after its claim.

    :cvar OWNED: the claim is its own; it sends the call.
    :cvar REPLAY: the stored reply of an earlier try is returned.
    :cvar CONFLICT: the key was used with other content.
    :cvar SETTLE: an earlier try has no outcome yet; its agent is asked.
    :cvar UNKNOWN: an earlier try ended without a complete reply.
    """

    OWNED = "owned"
    REPLAY = "replay"
    CONFLICT = "conflict"
    SETTLE = "settle"
    UNKNOWN = "unknown"


def classify_claim(found: Claim, fingerprint: Fingerprint) -> ClaimResult:
    """Return how to proceed when an earlier try already claimed the idempotency key."""
    if found.fingerprint != fingerprint:
        return ClaimResult.CONFLICT
    if found.outcome is None:
        return ClaimResult.SETTLE
    return ClaimResult.REPLAY if found.outcome.whole else ClaimResult.UNKNOWN


def trusts_not_started(found: Claim, now: datetime) -> bool:
    """Tell whether the claim is so recent that its agent must still have a record of its call."""
    return now - found.at <= CALL_RETENTION - SKEW_MARGIN


def may_dispatch(asked: datetime, now: datetime) -> bool:
    """Tell whether the call of a claim that was requested at *asked* may still be sent."""
    return now - asked <= MAX_CLAIM_TIME
