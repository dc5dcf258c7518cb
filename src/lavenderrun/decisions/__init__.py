"""Pure policy: time, randomness and input come in, decisions go out."""

from __future__ import annotations

from lavenderrun.decisions import _invariants_fleet as _invariants_fleet
from lavenderrun.decisions import _invariants_requests as _invariants_requests
from lavenderrun.decisions._invariants import (
    INVARIANT_CHECKS,
    RecordIndex,
    Violation,
    check_record,
)

__all__ = [
    "INVARIANT_CHECKS",
    "RecordIndex",
    "Violation",
    "check_record",
]
