"""Online estimators of engine speeds."""

from __future__ import annotations

from lavenderrun.estimates import MovingAverage

INITIAL_PREFILL_TOKENS_PER_SECOND = 10_000.0
PREFILL_BASE_SECONDS = 0.01
DECODE_STEP_SECONDS = 0.02
MAX_SAMPLE_FACTOR = 4.0
"""Largest sample, as a multiple of the average, so that an engine that was silent for a moment is
not taken for a slow one."""


class PrefillTimeEstimator:
    """Estimates the seconds of a prefill as linear in the tokens not found in the prefix cache."""

    def __init__(self) -> None:
        self._per_token = MovingAverage(1 / INITIAL_PREFILL_TOKENS_PER_SECOND)

    def add(self, tokens: int, cached: int, seconds: float) -> None:
        """Add a measured prefill.

        :param tokens: prompt tokens.
        :param cached: prompt tokens that the prefix cache held.
        """
        fresh = tokens - cached
        if fresh > 0:
            sample = max(0.0, seconds - PREFILL_BASE_SECONDS) / fresh
            self._per_token.add(min(sample, self._per_token.value * MAX_SAMPLE_FACTOR))

    def estimate(self, tokens: int, cached: int = 0) -> float:
        """Return the expected seconds of a prefill.

        :param tokens: prompt tokens.
        :param cached: prompt tokens that the prefix cache holds.
        """
        return PREFILL_BASE_SECONDS + self._per_token.value * max(0, tokens - cached)
