"""What a row that claims an idempotency key means for the next try."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

from lavenderrun.decisions._call_history import CALL_MEMORY
from lavenderrun.types import Claim, Fingerprint

SKEW_MARGIN = timedelta(seconds=30)
"""Most that the clocks of two hosts are taken to differ, with the time of a dispatch."""
DISPATCH_WITHIN = timedelta(seconds=20)
"""A claim that is older than this when it is answered is not dispatched."""


class ClaimResult(Enum):
    """What the next try with the same idempotency key does."""

    OWNED = "owned"
    REPLAY = "replay"
    CONFLICT = "conflict"
    SETTLE = "settle"
    UNKNOWN = "unknown"


def classify_claim(found: Claim, fingerprint: Fingerprint) -> ClaimResult:
    """Return what a row by another try means; ``SETTLE`` asks the agent that it names."""
    if found.fingerprint != fingerprint:
        return ClaimResult.CONFLICT
    if found.outcome is None:
        return ClaimResult.SETTLE
    return ClaimResult.REPLAY if found.outcome.whole else ClaimResult.UNKNOWN


def trusts_not_started(found: Claim, now: datetime) -> bool:
    """Tell whether an agent that does not know the claim's call can not have forgotten it."""
    return now - found.at <= CALL_MEMORY - SKEW_MARGIN


def may_dispatch(asked: datetime, now: datetime) -> bool:
    """Tell whether a claim asked for at *asked* may still be followed by its call."""
    return now - asked <= DISPATCH_WITHIN
