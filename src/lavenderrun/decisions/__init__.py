"""Pure policy: time, randomness and input come in, decisions go out."""

from __future__ import annotations

from lavenderrun.decisions._retries import RetryBudget
from lavenderrun.decisions._stream import Assembly, Progress
from lavenderrun.decisions._tokens import count_tokens

__all__ = ["Assembly", "Progress", "RetryBudget", "count_tokens"]
"""Pure policy: no I/O library, no wall clock."""

from __future__ import annotations

from lavenderrun.decisions._routes import find_model_route, find_plain_route

__all__ = ["find_model_route", "find_plain_route"]
"""Pure policy: no I/O library, no wall clock; decisions come out of plain values."""

from __future__ import annotations

from lavenderrun.decisions._admission import (
    AdmissionIndex,
    digest_key,
)

__all__ = [
    "AdmissionIndex",
    "digest_key",
]
