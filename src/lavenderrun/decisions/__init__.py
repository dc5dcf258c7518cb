"""Pure policy: time, randomness and input come in, decisions go out."""

from __future__ import annotations

from lavenderrun.decisions import _invariants_fleet as _invariants_fleet
from lavenderrun.decisions import _invariants_requests as _invariants_requests
from lavenderrun.decisions._admission import AdmissionIndex, digest_key
from lavenderrun.decisions._invariants import INVARIANT_CHECKS, RecordIndex, Violation, check_record
from lavenderrun.decisions._retries import RetryBudget
from lavenderrun.decisions._routes import find_plain_route
from lavenderrun.decisions._stream import Assembly, Progress
from lavenderrun.decisions._tokens import count_tokens

__all__ = [
    "INVARIANT_CHECKS",
    "AdmissionIndex",
    "Assembly",
    "Progress",
    "RecordIndex",
    "RetryBudget",
    "Violation",
    "check_record",
    "count_tokens",
    "digest_key",
    "find_plain_route",
]
