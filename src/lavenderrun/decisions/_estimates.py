"""Estimators of engine speeds that learn online."""

from __future__ import annotations

SPEED_MEMORY = 0.1
PREFILL_TOKENS_PER_SECOND = 10_000.0
PREFILL_BASE_SECONDS = 0.01
DECODE_STEP_SECONDS = 0.02


class MovingAverage:
    """Exponentially weighted mean.

    :param value: taken as the mean before the first sample.
    :param memory: weight of a new sample.
    """

    __slots__ = ("_memory", "_seen", "value")

    def __init__(self, value: float, memory: float = SPEED_MEMORY) -> None:
        self.value = value
        self._memory = memory
        self._seen = 0

    def add(self, sample: float) -> None:
        """Take a sample; the first ones weigh more, so that the prior is soon forgotten."""
        self._seen += 1
        self.value += (sample - self.value) * max(self._memory, 1 / (self._seen + 1))


class PrefillTimeEstimator:
    """Seconds that a prefill takes, linear in the tokens that the prefix cache does not spare."""

    def __init__(self) -> None:
        self._per_token = MovingAverage(1 / PREFILL_TOKENS_PER_SECOND)

    def add(self, tokens: int, cached: int, seconds: float) -> None:
        """Take a measured prefill."""
        fresh = tokens - cached
        if fresh > 0:
            self._per_token.add(max(0.0, seconds - PREFILL_BASE_SECONDS) / fresh)

    def estimate(self, tokens: int, cached: int = 0) -> float:
        """Return the expected seconds."""
        return PREFILL_BASE_SECONDS + self._per_token.value * max(0, tokens - cached)
