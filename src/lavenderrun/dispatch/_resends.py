"""The budget of resends: a share of recent calls and this host's part of a common reserve."""

from __future__ import annotations

from collections import deque
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import ServiceGroup

RESERVE_PART: Final = 0.8
"""Part of the reserve that is shared out; the rest covers hosts that are not known yet."""

ASSUMED_HOSTS: Final = 8
"""Hosts among which what all have together is shared until they are known."""


class _Window:
    def __init__(self) -> None:
        self._times: deque[datetime] = deque()

    def add(self, now: datetime) -> None:
        self._times.append(now)

    def count(self, since: datetime) -> int:
        while self._times and self._times[0] < since:
            self._times.popleft()
        return len(self._times)


class ResendBudget:
    """Counts calls and resends of each service on this host.

    :param ratio: resends a call, over one window.
    :param reserve: resends a window beyond that, over all hosts.
    """

    def __init__(self, ratio: float, reserve: float, window: timedelta) -> None:
        self._ratio = ratio
        self._reserve = reserve
        self._window = window
        self._hosts = ASSUMED_HOSTS
        self._calls: dict[ServiceGroup, _Window] = {}
        self._resends: dict[ServiceGroup, _Window] = {}

    def set_host_count(self, hosts: int) -> None:
        """Share the reserve among so many hosts."""
        self._hosts = max(1, hosts)

    def count_call(self, service: ServiceGroup, now: datetime) -> None:
        """Take note of a caller's call."""
        self._calls.setdefault(service, _Window()).add(now)

    def count_remaining(self, service: ServiceGroup, now: datetime) -> float:
        """Return how many resends are left in the present window."""
        since = now - self._window
        calls = self._calls.setdefault(service, _Window()).count(since)
        resends = self._resends.setdefault(service, _Window()).count(since)
        share = self._reserve * RESERVE_PART / self._hosts
        return self._ratio * calls + share - resends

    def list_left(self, now: datetime) -> dict[ServiceGroup, float]:
        """Return how many resends are left of each service that had calls."""
        return {service: self.count_remaining(service, now) for service in self._calls}

    def take(self, service: ServiceGroup, now: datetime) -> bool:
        """Take one resend when the budget has it; return whether it had."""
        if self.count_remaining(service, now) < 1:
            return False
        self._resends[service].add(now)
        return True
