"""Moving averages."""

from __future__ import annotations

from typing import Final

SMOOTHING: Final = 0.1
"""Default weight of a new sample."""


class MovingAverage:
    """Exponentially weighted moving average.

    :param value: initial average, before the first sample.
    :param memory: weight of a new sample, from 0 to 1.
    """

    __slots__ = ("_memory", "_seen", "value")

    def __init__(self, value: float, memory: float = SMOOTHING) -> None:
        self.value = value
        self._memory = memory
        self._seen = 0

    def add(self, sample: float) -> None:
        """Add a sample; the first ones weigh more, so that the initial value soon loses weight."""
        self._seen += 1
        self.value += (sample - self.value) * max(self._memory, 1 / (self._seen + 1))
