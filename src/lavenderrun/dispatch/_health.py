"""Failure rate, latency and pauses of each backend server, as this host observes them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId, Member

SMOOTHING_WEIGHT: Final = 0.15
"""Weight of the newest observation in a moving average."""

FIRST_PAUSE: Final = timedelta(milliseconds=500)
LONGEST_PAUSE: Final = timedelta(seconds=4)
"""Bounds of the pause after an unreachable server; each failed trial doubles the pause."""

MAX_REPLACED_TIME: Final = timedelta(seconds=6)
"""Longest time for which a server that answers no calls to its id is left out: its row expires or
changes within a few heartbeats."""

MIN_OBSERVATIONS: Final = 5
"""Observations below which the failure rate of a server counts as zero."""


@dataclass
class BackendHealth:
    """Observations of one backend server.

    :param failure_rate: moving average of the calls that failed, from 0 to 1.
    :param observations: number of calls that succeeded or failed.
    :param mean_seconds: moving average of the time that a call, or an event, takes; zero at first.
    :param paused_until: no call is sent before this time; the first one after it is a trial.
    :param next_pause: length of the next pause.
    :param is_silent: the pause is for silence, and ends when the server sends anything.
    :param is_on_trial: the trial, which is the first call after a pause, is running.
    """

    failure_rate: float = 0.0
    observations: int = 0
    mean_seconds: float = 0.0
    paused_until: datetime | None = None
    next_pause: timedelta = FIRST_PAUSE
    is_silent: bool = False
    is_on_trial: bool = False


class HealthTracker:
    """Health of all backend servers as this host observes them."""

    def __init__(self) -> None:
        self._members: dict[BackendId, BackendHealth] = {}
        self._replaced: dict[BackendId, tuple[Member, datetime]] = {}

    def find(self, member: BackendId) -> BackendHealth:
        """Return the health of *member*, without observations when it is new."""
        return self._members.setdefault(member, BackendHealth())

    def forget(self, member: BackendId) -> None:
        """Drop the observations of a backend server that is gone or was restarted."""
        self._members.pop(member, None)
        self._replaced.pop(member, None)

    def note_replaced(self, member: Member, now: datetime) -> None:
        """Record that the server at the address of *member* is another one or in another role."""
        self._replaced[member.id] = (member, now + MAX_REPLACED_TIME)

    def is_replaced(self, member: Member, now: datetime) -> bool:
        """Tell whether *member* is known only by an outdated row: no call to it can succeed."""
        known = self._replaced.get(member.id)
        if known is None:
            return False
        outdated, until = known
        is_same = (outdated.started, outdated.role, outdated.address) == (
            member.started,
            member.role,
            member.address,
        )
        if now < until and is_same:
            return True
        del self._replaced[member.id]
        return False

    def is_paused(self, member: BackendId, now: datetime) -> bool:
        """Tell whether *member* is paused or on trial by the first call after a pause."""
        health = self.find(member)
        if health.paused_until is None:
            return False
        return health.is_on_trial or now < health.paused_until

    def record_start(self, member: BackendId, now: datetime) -> None:
        """Record that a call is sent; the first one after a pause is the trial."""
        health = self.find(member)
        if health.paused_until is not None and now >= health.paused_until:
            health.is_on_trial = True

    def record_success(self, member: BackendId, took: timedelta) -> None:
        """Record a complete answer, which ends the pause.

        :param took: time from the send to the end of the answer.
        """
        health = self.find(member)
        self._record_result(health, 0.0)
        self._end_pause(health)
        seconds = took.total_seconds()
        health.mean_seconds += (seconds - health.mean_seconds) * (
            SMOOTHING_WEIGHT if health.mean_seconds else 1.0
        )

    def record_failure(self, member: BackendId) -> None:
        """Record a failed, broken or malformed answer."""
        health = self.find(member)
        health.is_on_trial = False
        self._record_result(health, 1.0)

    def record_no_result(self, member: BackendId) -> None:
        """Record the end of a call that says nothing about the health of *member*."""
        self.find(member).is_on_trial = False

    def pause_after_failure(self, member: BackendId, now: datetime) -> None:
        """Record a failure and pause the server; each failed trial doubles the pause."""
        health = self.find(member)
        self._record_result(health, 1.0)
        health.paused_until = now + health.next_pause
        health.next_pause = min(health.next_pause * 2, LONGEST_PAUSE)
        health.is_silent = health.is_on_trial = False

    def record_silence(self, member: BackendId, now: datetime) -> None:
        """Record a failure and pause a silent server until it sends anything.

        Calls that were at the server at the same time prolong the pause no further.
        """
        health = self.find(member)
        if health.paused_until is not None and now < health.paused_until:
            self._record_result(health, 1.0)
            return
        self.pause_after_failure(member, now)
        health.is_silent = True

    def note_sign(self, member: BackendId) -> None:
        """End the pause of a server that was silent and sent something."""
        health = self.find(member)
        if health.is_silent:
            self._end_pause(health)

    def _end_pause(self, health: BackendHealth) -> None:
        health.paused_until, health.next_pause = None, FIRST_PAUSE
        health.is_silent = health.is_on_trial = False

    def _record_result(self, health: BackendHealth, failed: float) -> None:
        health.observations += 1
        weight = max(SMOOTHING_WEIGHT, 1 / health.observations)
        health.failure_rate += (failed - health.failure_rate) * weight

    def get_failure_rate(self, member: BackendId) -> float:
        """Return the failure rate of *member*, zero below ``MIN_OBSERVATIONS``."""
        health = self.find(member)
        return health.failure_rate if health.observations >= MIN_OBSERVATIONS else 0.0
