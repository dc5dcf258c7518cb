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
"""Multiple of the objective that a call is expected to take on a route without observations, or a
stream to its first event."""


MAX_ROUTES: Final = 1024
"""Routes whose durations are kept; the oldest are mostly of routes that are gone."""


@dataclass
class _Average:
    mean: float
    deviation: float

    @classmethod
    def begin(cls, seconds: float) -> _Average:
        return cls(seconds, seconds / 2)

    @property
    def upper(self) -> float:
        return self.mean + self.deviation * DEVIATIONS

    def add(self, seconds: float) -> None:
        error = abs(seconds - self.mean)
        self.deviation += (error - self.deviation) * DEVIATION_WEIGHT
        self.mean += (seconds - self.mean) * MEAN_WEIGHT


@dataclass
class _RouteDurations:
    """Durations of the calls of a route, in seconds.

    :ivar fixed: time to the first event, or to the end of a call without events.
    :ivar token: time for each further token, ``None`` without observations.
    """

    fixed: _Average
    token: _Average | None = None


class CallDurations:
    """Moving averages of the durations of calls, by route.

    The duration of a stream has a fixed part, to its first event, and one for each further token of
    its likely output, if the caller declares one. Streams without a declared size are kept apart:
    their duration is a whole.
    """

    def __init__(self) -> None:
        self._routes: dict[tuple[str, bool], _RouteDurations] = {}

    def observe(
        self,
        route: CallRoute,
        size: DeclaredSize | None,
        took: timedelta,
        first_event: timedelta | None = None,
    ) -> None:
        """Record a call that took this long, or at least this long.

        :param first_event: time to its first event, ``None`` without one.
        """
        tokens = _count_further_tokens(route, size)
        fixed = took if first_event is None or not tokens else min(first_event, took)
        key = _make_key(route, size)
        known = self._routes.get(key)
        if known is None:
            known = self._routes[key] = _RouteDurations(_Average.begin(fixed.total_seconds()))
            if len(self._routes) > MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
        else:
            known.fixed.add(fixed.total_seconds())
        if first_event is None or not tokens:
            return
        seconds = (took - fixed).total_seconds() / tokens
        if known.token is None:
            known.token = _Average.begin(seconds)
        else:
            known.token.add(seconds)

    def estimate(self, route: CallRoute, size: DeclaredSize | None) -> timedelta:
        """Return the time within which a call can be expected to end."""
        known, tokens = self._routes.get(_make_key(route, size)), _count_further_tokens(route, size)
        fixed = route.objective * UNKNOWN_FACTOR
        if known is not None:
            fixed = timedelta(seconds=known.fixed.upper)
        if not tokens:
            return fixed
        if known is not None and known.token is not None:
            return fixed + timedelta(seconds=known.token.upper * tokens)
        return fixed + (route.gap_objective or timedelta(0)) * tokens


def _make_key(route: CallRoute, size: DeclaredSize | None) -> tuple[str, bool]:
    return route.name, route.delivery is Delivery.EVENTS and size is not None


def _count_further_tokens(route: CallRoute, size: DeclaredSize | None) -> int:
    """Return how many tokens a stream is likely to have after its first event."""
    if route.delivery is not Delivery.EVENTS or size is None:
        return 0
    return max(0, size.likely_output - 1)
