"""How long calls of each route take, as this host observes them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from lavenderrun.types import CallRoute, DeclaredSize, Delivery

MEAN_WEIGHT: Final = 1 / 8
DEVIATION_WEIGHT: Final = 1 / 4
"""Weights of a new observation in the moving averages, as in RFC 6298."""

DEVIATIONS: Final = 2.0
"""Deviations above the mean within which nearly all calls end."""

UNKNOWN_FACTOR: Final = 2.0
"""Multiple of the objective that a call is expected to take on a route without observations."""


MAX_ROUTES: Final = 1024
"""Routes whose durations are kept; the oldest are mostly of routes that are gone."""


@dataclass
class _Average:
    mean: float
    deviation: float


class CallDurations:
    """Moving averages of the durations of calls, by route.

    The duration of a stream is taken for each token of its likely output, if the caller declares
    one.
    """

    def __init__(self) -> None:
        self._averages: dict[str, _Average] = {}

    def observe(self, route: CallRoute, size: DeclaredSize | None, took: timedelta) -> None:
        """Record a call that took this long, or at least this long."""
        seconds = took.total_seconds() / _count_units(route, size)
        average = self._averages.get(route.name)
        if average is None:
            self._averages[route.name] = _Average(seconds, seconds / 2)
            if len(self._averages) > MAX_ROUTES:
                del self._averages[next(iter(self._averages))]
            return
        error = abs(seconds - average.mean)
        average.deviation += (error - average.deviation) * DEVIATION_WEIGHT
        average.mean += (seconds - average.mean) * MEAN_WEIGHT

    def estimate(self, route: CallRoute, size: DeclaredSize | None) -> timedelta:
        """Return the time within which a call can be expected to end."""
        average = self._averages.get(route.name)
        if average is None:
            return route.objective * UNKNOWN_FACTOR
        seconds = average.mean + average.deviation * DEVIATIONS
        return timedelta(seconds=seconds * _count_units(route, size))


def _count_units(route: CallRoute, size: DeclaredSize | None) -> int:
    if route.delivery is not Delivery.EVENTS or size is None:
        return 1
    return max(1, size.likely_output)
