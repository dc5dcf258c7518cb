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
