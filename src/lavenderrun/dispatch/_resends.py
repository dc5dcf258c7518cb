"""Retry budget: a ratio of recent calls plus this host's share of a fleet-wide reserve."""

from __future__ import annotations

from collections import deque
from datetime import datetime
from typing import Final

from lavenderrun.types import GatewayBounds, ServiceGroup

SHARED_RESERVE_FRACTION: Final = 0.8
"""Fraction of the reserve that known hosts share; the rest covers hosts not known yet."""

ASSUMED_HOSTS: Final = 8
"""Number of hosts that is assumed until the other hosts are known."""


class _SlidingWindow:
    def __init__(self) -> None:
        self._times: deque[datetime] = deque()

    def add(self, now: datetime) -> None:
        self._times.append(now)

    def count(self, since: datetime) -> int:
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)


class ResendBudget:
    """Limits the resends of each service by this host.

    :param bounds: resends as a share of the calls in a window, its length, and the reserve beyond.
    """

    def __init__(self, bounds: GatewayBounds) -> None:
        self._bounds = bounds
        self._hosts = ASSUMED_HOSTS
        self._calls: dict[ServiceGroup, _SlidingWindow] = {}
        self._resends: dict[ServiceGroup, _SlidingWindow] = {}

    def apply_bounds(self, bounds: GatewayBounds) -> None:
        """Allow resends by other bounds from now on; what was counted stays counted."""
        self._bounds = bounds

    def set_host_count(self, hosts: int) -> None:
        """Set how many hosts share the reserve."""
        self._hosts = max(1, hosts)

    def count_call(self, service: ServiceGroup, now: datetime) -> None:
        """Count a caller's call; calls raise the number of allowed resends."""
        self._calls.setdefault(service, _SlidingWindow()).add(now)

    def count_remaining(self, service: ServiceGroup, now: datetime) -> float:
        """Return how many resends of *service* are left in the current window."""
        since = now - self._bounds.retry_window
        calls = self._calls.setdefault(service, _SlidingWindow()).count(since)
        resends = self._resends.setdefault(service, _SlidingWindow()).count(since)
        own_reserve = self._bounds.retry_reserve * SHARED_RESERVE_FRACTION / self._hosts
        return self._bounds.retry_ratio * calls + own_reserve - resends

    def list_remaining(self, now: datetime) -> dict[ServiceGroup, float]:
        """Return how many resends are left for each service that had calls."""
        return {service: self.count_remaining(service, now) for service in self._calls}

    def take(self, service: ServiceGroup, now: datetime) -> bool:
        """Use one resend if the budget allows it; return whether it did."""
        if self.count_remaining(service, now) < 1:
            return False
        self._resends[service].add(now)
        return True
