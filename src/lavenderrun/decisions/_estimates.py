"""Estimators that learn online: engine speeds and the lengths of answers."""

from __future__ import annotations

from collections import OrderedDict
from math import exp, log

from lavenderrun.types import RouteName

SPEED_MEMORY = 0.1
PREFILL_TOKENS_PER_SECOND = 10_000.0
PREFILL_BASE_SECONDS = 0.01
STEP_SECONDS = 0.02
LENGTH_MEMORY = 0.005
LENGTH_BUCKETS_PER_DOUBLING = 2
LENGTH_BUCKETS = 40
MAX_ROUTES = 256
PRIOR_SHARE = 0.5
"""Length that is assumed of an unknown route, as a share of what it allows."""


class Mean:
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


class PrefillSpeed:
    """Seconds that a prefill takes, linear in the tokens that the prefix cache does not spare."""

    def __init__(self) -> None:
        self._per_token = Mean(1 / PREFILL_TOKENS_PER_SECOND)

    def add(self, tokens: int, cached: int, seconds: float) -> None:
        """Take a measured prefill."""
        fresh = tokens - cached
        if fresh > 0:
            self._per_token.add(max(0.0, seconds - PREFILL_BASE_SECONDS) / fresh)

    def estimate(self, tokens: int, cached: int = 0) -> float:
        """Return the expected seconds."""
        return PREFILL_BASE_SECONDS + self._per_token.value * max(0, tokens - cached)


def _bucket(length: float) -> int:
    index = int(log(max(1.0, length), 2) * LENGTH_BUCKETS_PER_DOUBLING)
    return min(LENGTH_BUCKETS - 1, index)


_EDGES = [2 ** (index / LENGTH_BUCKETS_PER_DOUBLING) for index in range(LENGTH_BUCKETS + 1)]


class _Histogram:
    __slots__ = ("mean", "shares")

    def __init__(self, length: float) -> None:
        self.mean = Mean(length, LENGTH_MEMORY)
        self.shares = [0.0] * LENGTH_BUCKETS

    def add(self, length: int) -> None:
        self.mean.add(length)
        seen = sum(self.shares)
        keep = 1 - LENGTH_MEMORY if seen > 1 / LENGTH_MEMORY else 1.0
        self.shares = [share * keep for share in self.shares]
        self.shares[_bucket(length)] += 1.0

    def survival(self, length: float) -> float:
        """Return the weight of answers longer than *length*, spread evenly within a bucket."""
        index = _bucket(length)
        low, high = _EDGES[index], _EDGES[index + 1]
        part = min(1.0, max(0.0, (high - length) / (high - low)))
        return self.shares[index] * part + sum(self.shares[index + 1 :])


class OutputLengths:
    """Lengths of answers by route, as decaying histograms over logarithmic buckets.

    :param maximum: routes that are kept; the least recently used goes first.
    """

    def __init__(self, maximum: int = MAX_ROUTES) -> None:
        self._maximum = maximum
        self._routes: OrderedDict[RouteName, _Histogram] = OrderedDict()

    def add(self, route: RouteName, length: int) -> None:
        """Take the length in tokens of a whole answer."""
        histogram = self._routes.get(route)
        if histogram is None:
            histogram = self._routes[route] = _Histogram(float(length))
            if len(self._routes) > self._maximum:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        histogram.add(length)

    def expect(self, route: RouteName, allowed: int) -> float:
        """Return the expected tokens of an answer that may have *allowed*."""
        histogram = self._routes.get(route)
        if histogram is None:
            return max(1.0, allowed * PRIOR_SHARE)
        return max(1.0, min(float(allowed), histogram.mean.value))

    def ends_within(self, route: RouteName, allowed: int, done: int, further: float) -> float:
        """Return the probability that an answer with *done* tokens has at most *further* more."""
        if done + further >= allowed:
            return 1.0
        histogram = self._routes.get(route)
        if histogram is None:
            return 1 - exp(-further / max(1.0, allowed * PRIOR_SHARE))
        left = histogram.survival(done)
        if left <= 1e-6:
            return 1 - exp(-further / histogram.mean.value)
        return min(1.0, max(0.0, 1 - histogram.survival(done + further) / left))
