"""Lengths of answers, learned online from finished and from running answers alike.

Short answers end first, so that a mean over finished answers alone starts far too low. Each
answer therefore counts by the tokens that it has passed: the rate of ends in a range of lengths is
the ends seen there over the tokens seen there, drawn towards the route's rate where little is seen.
"""

from __future__ import annotations

from collections import OrderedDict
from math import exp, log

from lavenderrun.types import RouteName

BUCKETS_PER_DOUBLING = 2
BUCKETS = 40
MAX_ROUTES = 256
MEMORY_ENDS = 400.0
"""Ends after which older ones fade."""
PRIOR_TOKENS = 200.0
"""Mean length that is assumed of an unknown route."""
PRIOR_ENDS = 2.0
SHRINK_ENDS = 8.0
"""Ends that it takes for a range of lengths to outweigh the route's rate."""

_EDGES = [0.0, *(2 ** (index / BUCKETS_PER_DOUBLING) for index in range(1, BUCKETS + 1))]


def _find_bucket(length: float) -> int:
    if length < _EDGES[1]:
        return 0
    return min(BUCKETS - 1, int(log(length, 2) * BUCKETS_PER_DOUBLING))


class _Route:
    __slots__ = ("ends", "passed")

    def __init__(self) -> None:
        self.ends = [0.0] * BUCKETS
        self.passed = [0.0] * BUCKETS

    def pass_tokens(self, before: int, after: int) -> None:
        self.passed[_find_bucket(before)] += after - before

    def end(self, length: int) -> None:
        self.ends[_find_bucket(length)] += 1.0
        total = sum(self.ends)
        if total > MEMORY_ENDS:
            keep = MEMORY_ENDS / total
            self.ends = [count * keep for count in self.ends]
            self.passed = [tokens * keep for tokens in self.passed]

    def rates(self) -> list[float]:
        """Return the ends a token by range of lengths."""
        overall = (sum(self.ends) + PRIOR_ENDS) / (sum(self.passed) + PRIOR_ENDS * PRIOR_TOKENS)
        drawn = SHRINK_ENDS / overall
        return [
            (ends + SHRINK_ENDS) / (passed + drawn)
            for ends, passed in zip(self.ends, self.passed, strict=True)
        ]


class OutputLengths:
    """Distribution of the answers' lengths by route.

    :param maximum: routes that are kept; the least recently used goes first.
    """

    def __init__(self, maximum: int = MAX_ROUTES) -> None:
        self._maximum = maximum
        self._routes: OrderedDict[RouteName, _Route] = OrderedDict()
        self._rates: dict[RouteName, list[float]] = {}

    def note_progress(self, route: RouteName, before: int, after: int) -> None:
        """Note that a running answer has grown from *before* to *after* tokens."""
        self._find(route).pass_tokens(before, after)

    def note_end(self, route: RouteName, length: int) -> None:
        """Note the end of a whole answer."""
        self._find(route).end(length)
        self._rates.pop(route, None)

    def estimate_length(self, route: RouteName, allowed: int) -> float:
        """Return the expected tokens of an answer that may have *allowed*."""
        rates = self._rates_of(route)
        left, expected = 1.0, 0.0
        for bucket, rate in enumerate(rates):
            width = min(float(allowed), _EDGES[bucket + 1]) - _EDGES[bucket]
            if width <= 0:
                break
            stays = exp(-rate * width)
            expected += left * (1 - stays) / rate
            left *= stays
        return max(1.0, expected)

    def estimate_end_probability(
        self, route: RouteName, allowed: int, done: int, further: float
    ) -> float:
        """Return the probability that an answer with *done* tokens has at most *further* more."""
        until = done + further
        if until >= allowed:
            return 1.0
        rates = self._rates_of(route)
        at, exponent = float(done), 0.0
        bucket = _find_bucket(at)
        while at < until:
            end = until if bucket == BUCKETS - 1 else min(until, _EDGES[bucket + 1])
            exponent += rates[bucket] * (end - at)
            at = end
            bucket = min(BUCKETS - 1, bucket + 1)
        return 1 - exp(-exponent)

    def _find(self, route: RouteName) -> _Route:
        found = self._routes.get(route)
        if found is None:
            found = self._routes[route] = _Route()
            if len(self._routes) > self._maximum:
                oldest, _ = self._routes.popitem(last=False)
                self._rates.pop(oldest, None)
        self._routes.move_to_end(route)
        return found

    def _rates_of(self, route: RouteName) -> list[float]:
        rates = self._rates.get(route)
        if rates is None:
            rates = self._rates[route] = self._find(route).rates()
        return rates
