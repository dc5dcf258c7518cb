"""What a host has seen of each backend server: failures, pace and when to try it again."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId

SMOOTHING: Final = 0.15
"""Weight of the newest observation in a mean."""

FIRST_PAUSE: Final = timedelta(milliseconds=500)
LONGEST_PAUSE: Final = timedelta(seconds=4)
"""Bounds of the pause after an unreachable server; doubled by each failed trial."""

TRUSTED_AFTER: Final = 5
"""Observations before a failure share counts."""


@dataclass
class BackendHealth:
    """Observations of one backend server.

    :param failures: smoothed share of calls that failed.
    :param pace: smoothed time a call, or an event, in seconds; zero before the first.
    :param paused_until: no new call before; one trial after.
    """

    failures: float = 0.0
    observed: int = 0
    pace: float = 0.0
    paused_until: datetime | None = None
    pause: timedelta = FIRST_PAUSE
    trial: bool = False


class HealthTracker:
    """Health of all backend servers as this host sees them."""

    def __init__(self) -> None:
        self._members: dict[BackendId, BackendHealth] = {}

    def find(self, member: BackendId) -> BackendHealth:
        """Return the health of *member*."""
        return self._members.setdefault(member, BackendHealth())

    def forget(self, member: BackendId) -> None:
        """Drop all observations of a server that is gone or was restarted."""
        self._members.pop(member, None)

    def is_paused(self, member: BackendId, now: datetime) -> bool:
        """Tell whether *member* takes no call now; after the pause one trial is let through."""
        health = self.find(member)
        if health.paused_until is None:
            return False
        return health.trial or now < health.paused_until

    def begin(self, member: BackendId, now: datetime) -> None:
        """Take note that a call is sent; after a pause it is the trial."""
        health = self.find(member)
        if health.paused_until is not None and now >= health.paused_until:
            health.trial = True

    def succeed(self, member: BackendId, took: timedelta) -> None:
        """Take a whole answer."""
        health = self.find(member)
        self._observe(health, 0.0)
        health.paused_until, health.trial, health.pause = None, False, FIRST_PAUSE
        seconds = took.total_seconds()
        health.pace += (seconds - health.pace) * (SMOOTHING if health.pace else 1.0)

    def fail(self, member: BackendId) -> None:
        """Take a failed, broken or malformed answer."""
        health = self.find(member)
        health.trial = False
        self._observe(health, 1.0)

    def release(self, member: BackendId) -> None:
        """Take a call that ended without telling anything."""
        self.find(member).trial = False

    def lose(self, member: BackendId, now: datetime) -> None:
        """Take an unreachable or silent server: no call for a while."""
        health = self.find(member)
        self._observe(health, 1.0)
        health.paused_until = now + health.pause
        health.pause = min(health.pause * 2, LONGEST_PAUSE)
        health.trial = False

    def _observe(self, health: BackendHealth, failed: float) -> None:
        health.observed += 1
        weight = max(SMOOTHING, 1 / health.observed)
        health.failures += (failed - health.failures) * weight

    def share_failed(self, member: BackendId) -> float:
        """Return the trusted share of failures."""
        health = self.find(member)
        return health.failures if health.observed >= TRUSTED_AFTER else 0.0
