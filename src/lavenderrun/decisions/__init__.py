"""Pure policy: no I/O library, no wall clock; decisions come out of plain values."""

from __future__ import annotations

from lavenderrun.decisions._admission import (
    AdmissionIndex,
    digest_key,
)
from lavenderrun.decisions._changes import find_changes
from lavenderrun.decisions._freshness import (
    Freshness,
    FreshnessRules,
    choose_voters,
    has_majority,
)
from lavenderrun.decisions._keys import grant_key, withdraw_key

__all__ = [
    "AdmissionIndex",
    "Freshness",
    "FreshnessRules",
    "choose_voters",
    "digest_key",
    "find_changes",
    "grant_key",
    "has_majority",
    "withdraw_key",
]
