"""Recent changes at decode engines, because of which reservations of other hosts may be unknown."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import BackendId

REPORT_LAG: Final = timedelta(seconds=1)
"""Time after a change at an engine in which reservations of other hosts may be unknown here: the
interval of regular peer reports in large deployments."""


@dataclass(frozen=True)
class Reservations:
    """Reservations at one backend server.

    :param calls: reserved decode slots, or calls that run at a plain server.
    :param tokens: reserved tokens: KV cache of a decode engine, prompts of a prefill engine.
    """

    calls: int = 0
    tokens: int = 0


NO_RESERVATIONS: Final = Reservations()


@dataclass(frozen=True)
class RecentChanges:
    """What changed at one engine within ``REPORT_LAG``.

    :param has_started: it began to take streams.
    :param is_changed: reservations of other hosts there changed.
    :param peak: the most that all hosts reserved there before one of the changes.
    """

    has_started: bool = False
    is_changed: bool = False
    peak: Reservations = NO_RESERVATIONS


class ReservationChanges:
    """When engines began to take streams, and when reservations there changed."""

    def __init__(self) -> None:
        # each in order of its times, so that old ones come first
        self._started: dict[BackendId, datetime] = {}
        self._changed: dict[BackendId, datetime] = {}
        self._peaks: dict[BackendId, tuple[datetime, Reservations]] = {}

    def note_start(self, member: BackendId, now: datetime) -> None:
        """Record that *member* begins to take streams."""
        _put_last(self._started, member, now)

    def note_peer_change(self, member: BackendId, before: Reservations, now: datetime) -> None:
        """Record that reservations of another host change.

        :param before: reservations of all hosts before the change.
        """
        _put_last(self._changed, member, now)
        self.note_level(member, before, now)

    def note_level(self, member: BackendId, reserved: Reservations, now: datetime) -> None:
        """Record what all hosts reserve at *member* before some of it is freed."""
        at, peak = self._peaks.get(member, (now, NO_RESERVATIONS))
        if now - at >= REPORT_LAG or reserved.tokens >= peak.tokens:
            self._peaks.pop(member, None)
            self._peaks[member] = (now, reserved)
            while now - self._peaks[oldest := next(iter(self._peaks))][0] >= REPORT_LAG:
                del self._peaks[oldest]

    def find(self, member: BackendId, now: datetime) -> RecentChanges:
        """Return what changed at *member* within ``REPORT_LAG``."""
        at, peak = self._peaks.get(member, (now, NO_RESERVATIONS))
        return RecentChanges(
            _is_recent(self._started, member, now),
            _is_recent(self._changed, member, now),
            peak if now - at < REPORT_LAG else NO_RESERVATIONS,
        )

    def find_age(self, member: BackendId, now: datetime) -> timedelta | None:
        """Return the age of the newest change that another host reported, ``None`` without one."""
        changed = self._changed.get(member)
        return None if changed is None else now - changed


def _put_last(times: dict[BackendId, datetime], member: BackendId, now: datetime) -> None:
    times.pop(member, None)
    times[member] = now
    while now - times[oldest := next(iter(times))] >= REPORT_LAG:
        del times[oldest]


def _is_recent(times: dict[BackendId, datetime], member: BackendId, now: datetime) -> bool:
    at = times.get(member)
    return at is not None and now - at < REPORT_LAG
