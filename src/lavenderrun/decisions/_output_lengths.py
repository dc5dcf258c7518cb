"""Online estimate of answer lengths from finished and running answers.

Short answers end first, so a mean over finished answers alone starts far too low. The estimate
therefore uses hazard rates: for each range of lengths, the answers that ended in it divided by the
tokens generated in it, shrunk towards the route's overall rate where there are few samples.
"""

from __future__ import annotations

from collections import OrderedDict
from math import exp, log

from lavenderrun.types import RouteName

BUCKETS_PER_DOUBLING = 2
BUCKET_COUNT = 40
MAX_ROUTES = 256
MAX_COUNTED_ENDS = 400.0
"""Number of ends above which all counts are scaled down, so that older answers lose weight."""
PRIOR_TOKENS = 200.0
"""Assumed mean length of answers on an unknown route."""
PRIOR_ENDS = 2.0
SHRINK_ENDS = 8.0
"""Ends that a range of lengths needs to outweigh the route's overall rate."""

_EDGES = [0.0, *(2 ** (index / BUCKETS_PER_DOUBLING) for index in range(1, BUCKET_COUNT + 1))]


def _find_bucket(length: float) -> int:
    if length < _EDGES[1]:
        return 0
    return min(BUCKET_COUNT - 1, int(log(length, 2) * BUCKETS_PER_DOUBLING))


class _RouteLengths:
    __slots__ = ("ends", "generated")

    def __init__(self) -> None:
        self.ends = [0.0] * BUCKET_COUNT
        self.generated = [0.0] * BUCKET_COUNT

    def note_progress(self, before: int, after: int) -> None:
        self.generated[_find_bucket(before)] += after - before

    def note_end(self, length: int) -> None:
        self.ends[_find_bucket(length)] += 1.0
        total = sum(self.ends)
        if total > MAX_COUNTED_ENDS:
            keep = MAX_COUNTED_ENDS / total
            self.ends = [count * keep for count in self.ends]
            self.generated = [tokens * keep for tokens in self.generated]

    def hazard_rates(self) -> list[float]:
        """Return the hazard rate, in ends per token, of each range of lengths."""
        overall = (sum(self.ends) + PRIOR_ENDS) / (sum(self.generated) + PRIOR_ENDS * PRIOR_TOKENS)
        prior_tokens = SHRINK_ENDS / overall
        return [
            (ends + SHRINK_ENDS) / (generated + prior_tokens)
            for ends, generated in zip(self.ends, self.generated, strict=True)
        ]


class OutputLengths:
    """Estimated distribution of answer lengths of each route.

    :param maximum: routes that are kept; the least recently used is dropped first.
    """

    def __init__(self, maximum: int = MAX_ROUTES) -> None:
        self._maximum = maximum
        self._routes: OrderedDict[RouteName, _RouteLengths] = OrderedDict()
        self._hazard_rates: dict[RouteName, list[float]] = {}

    def note_progress(self, route: RouteName, before: int, after: int) -> None:
        """Record that a running answer has grown from *before* to *after* tokens."""
        self._find_or_create(route).note_progress(before, after)

    def note_end(self, route: RouteName, length: int) -> None:
        """Record that an answer ended after *length* tokens."""
        self._find_or_create(route).note_end(length)
        self._hazard_rates.pop(route, None)

    def estimate_length(self, route: RouteName, allowed: int) -> float:
        """Return the expected length of an answer that is limited to *allowed* tokens."""
        hazard_rates = self._find_hazard_rates(route)
        remaining, expected = 1.0, 0.0
        for bucket, rate in enumerate(hazard_rates):
            width = min(float(allowed), _EDGES[bucket + 1]) - _EDGES[bucket]
            if width <= 0:
                break
            survival = exp(-rate * width)
            expected += remaining * (1 - survival) / rate
            remaining *= survival
        return max(1.0, expected)

    def estimate_end_probability(
        self, route: RouteName, allowed: int, done: int, further: float
    ) -> float:
        """Return the probability that an answer ends within *further* tokens.

        :param allowed: the answer's limit in tokens.
        :param done: tokens that the answer has so far.
        """
        until = done + further
        if until >= allowed:
            return 1.0
        hazard_rates = self._find_hazard_rates(route)
        at, exponent = float(done), 0.0
        bucket = _find_bucket(at)
        while at < until:
            end = until if bucket == BUCKET_COUNT - 1 else min(until, _EDGES[bucket + 1])
            exponent += hazard_rates[bucket] * (end - at)
            at = end
            bucket = min(BUCKET_COUNT - 1, bucket + 1)
        return 1 - exp(-exponent)

    def _find_or_create(self, route: RouteName) -> _RouteLengths:
        found = self._routes.get(route)
        if found is None:
            found = self._routes[route] = _RouteLengths()
            if len(self._routes) > self._maximum:
                oldest, _ = self._routes.popitem(last=False)
                self._hazard_rates.pop(oldest, None)
        self._routes.move_to_end(route)
        return found

    def _find_hazard_rates(self, route: RouteName) -> list[float]:
        hazard_rates = self._hazard_rates.get(route)
        if hazard_rates is None:
            hazard_rates = self._hazard_rates[route] = self._find_or_create(route).hazard_rates()
        return hazard_rates
