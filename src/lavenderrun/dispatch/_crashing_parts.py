"""Finds parts of prompts that crash the backend servers that answer them.

Evidence against a part is a call that had not begun to be answered when its server ended; a call
that begins to be answered clears all its parts. The same evidence leads to the same result on
every host, in whatever order it arrives.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from heapq import nlargest
from typing import Any, Final

from lavenderrun.dispatch._suspects import MIN_RESTART_TIME
from lavenderrun.types import Incarnation, PartId

MAX_PART_CRASHES: Final = 3
"""Separate crashes after which calls with a part are rejected."""

MAX_CRASHES_ONCE_ANSWERED: Final = 5
"""The same for a part that was answered before: most likely another part is the cause."""

SINGLE_CRASH_LIFETIME: Final = timedelta(seconds=60)
"""How long a single crash counts; servers also crash for other reasons."""

PART_QUARANTINE_TIME: Final = timedelta(minutes=10)
"""Time after the last crash for which calls with a part are rejected."""

PROBATION_TIME: Final = timedelta(minutes=10)
"""Time after it in which a single further crash is enough to reject them again."""

MAX_SUSPECT_PARTS: Final = 512
"""Parts with crashes that are kept; those with the fewest, then the oldest, are dropped first."""

MAX_CRASHES_OF_PART: Final = 8
"""Crashes kept for one part; older ones add nothing."""

MAX_ANSWERED_PARTS: Final = 2048
"""Parts kept that were answered; those answered longest ago are dropped first."""

MAX_SHARED_PARTS: Final = 64
"""Shared parts of one prompt that are examined; a prompt has a handful."""

MAX_KNOWN_ALIVE: Final = 256
"""Servers kept that answered; those that answered longest ago are dropped first."""

MAX_REPORTED_PARTS: Final = 12
"""Parts of each list in a peer report, which must fit into one datagram."""

MAX_PART_LENGTH: Final = 64
"""Longest id of a part or server that is taken from a peer report."""

CLEARED_REPORT_TIME: Final = timedelta(seconds=5)
"""How long other hosts are told that a part which they may suspect was answered."""

MAX_EVIDENCE_AGE: Final = PART_QUARANTINE_TIME + PROBATION_TIME
"""Age from which a crash counts no more."""


@dataclass(frozen=True)
class ServerCrash:
    """The end of a server, seen from a call that had not begun to be answered there.

    :param server: the server's run as this host knew it; a later one may still bear its id.
    :param sent: when the call was sent to the server.
    :param ended: when its connection closed.
    """

    server: Incarnation
    sent: datetime
    ended: datetime

    def is_same(self, other: ServerCrash) -> bool:
        """Tell whether both are one crash: a restart takes longer than the time between them."""
        return self.server == other.server and abs(self.ended - other.ended) <= MIN_RESTART_TIME


@dataclass(frozen=True)
class PartReport:
    """What a host tells the others about parts of prompts; times are seconds ago.

    :param crashes: for each suspect part the servers that ended, each with the times at which a
        call with the part was sent there and at which its connection closed.
    :param answered: parts that this host or others may suspect, with the time at which the last
        call with each began to be answered.
    """

    crashes: Mapping[PartId, Sequence[tuple[Incarnation, float, float]]] = field(
        default_factory=dict
    )
    answered: Mapping[PartId, float] = field(default_factory=dict)


class CrashingParts:
    """Collects evidence of this host and of others about parts of prompts."""

    def __init__(self) -> None:
        self._crashes: dict[PartId, list[ServerCrash]] = {}
        self._answered: dict[PartId, datetime] = {}
        self._cleared: dict[PartId, datetime] = {}
        self._alive: dict[Incarnation, datetime] = {}

    def record_crash(self, parts: Iterable[PartId], crash: ServerCrash) -> bool:
        """Count a crash against *parts*; return whether it says anything new.

        It says nothing about a part that was answered after the call was sent, nor when the server
        answered sooner than a restart takes.
        """
        if self._was_alive(crash):
            return False
        is_new = False
        for part in parts:
            answered = self._answered.get(part)
            crashes = self._crashes.get(part, [])
            if answered is not None and answered >= crash.sent:
                continue
            if any(crash.is_same(known) for known in crashes):
                continue
            is_new = True
            crashes = sorted([*crashes, crash], key=lambda each: each.ended)
            # the newest last
            self._crashes.pop(part, None)
            self._crashes[part] = crashes[-MAX_CRASHES_OF_PART:]
        while len(self._crashes) > MAX_SUSPECT_PARTS:
            del self._crashes[min(self._crashes, key=lambda each: len(self._crashes[each]))]
        return is_new

    def record_answer(self, parts: Iterable[PartId], now: datetime) -> list[PartId]:
        """Clear *parts*, as a call with them begins to be answered; return those suspected."""
        cleared = []
        for part in parts:
            self._keep_newest(self._answered, part, now, MAX_ANSWERED_PARTS)
            if self._drop_crashes_before(part, now):
                cleared.append(part)
                self._keep_newest(self._cleared, part, now, MAX_REPORTED_PARTS)
        return cleared

    def record_alive(self, server: Incarnation, sent: datetime) -> None:
        """Drop crashes of a server that answered what was sent to it shortly after them."""
        self._keep_newest(self._alive, server, sent, MAX_KNOWN_ALIVE)
        for part, crashes in list(self._crashes.items()):
            if any(crash.server == server for crash in crashes):
                self._keep(part, [crash for crash in crashes if not self._was_alive(crash)])

    def is_sound(self, parts: Iterable[PartId]) -> bool:
        """Tell whether calls with each of *parts* were answered, and none has crashed since."""
        return all(part in self._answered and part not in self._crashes for part in parts)

    def find_crashing(self, parts: Collection[PartId], now: datetime) -> PartId | None:
        """Return a part because of which a call with *parts* is rejected, ``None`` without one.

        A part is no reason when a part that the call does not have explains all its crashes.
        """
        for part in parts:
            if self.has_reached_limit(part, now) and not self._is_explained(part, parts, now):
                return part
        return None

    def find_release(self, part: PartId, now: datetime) -> timedelta:
        """Return how much longer calls with *part* are rejected if it crashes no other server."""
        crashes = self._list_crashes(part, now)
        last = crashes[-1].ended if crashes else now
        return max(timedelta(0), last + PART_QUARANTINE_TIME - now)

    def has_reached_limit(self, part: PartId, now: datetime) -> bool:
        """Tell whether a part has crashed as many servers as it takes to reject calls with it."""
        crashes = self._list_crashes(part, now)
        limit = MAX_CRASHES_ONCE_ANSWERED if part in self._answered else MAX_PART_CRASHES
        return len(crashes) >= limit and _count_separate(crashes) >= limit

    def list_crashing(self, now: datetime) -> dict[PartId, list[Incarnation]]:
        """Return the parts that have reached the limit with the servers that they crashed."""
        return {
            part: [crash.server for crash in self._list_crashes(part, now)]
            for part in list(self._crashes)
            if self.has_reached_limit(part, now)
        }

    def make_report(self, now: datetime) -> PartReport:
        """Return what other hosts are told: the parts with the most crashes, then the newest."""
        chosen = nlargest(
            MAX_REPORTED_PARTS, reversed(self._crashes), key=lambda part: len(self._crashes[part])
        )
        suspects = [part for part in chosen if self._list_crashes(part, now)]
        return PartReport(
            {
                part: [
                    (crash.server, to_age(crash.sent, now), to_age(crash.ended, now))
                    for crash in self._list_crashes(part, now)
                ]
                for part in suspects
            },
            {
                part: to_age(self._answered[part], now)
                for part in (*self._list_cleared(now), *suspects)
                if part in self._answered
            },
        )

    def apply_report(self, report: PartReport, now: datetime) -> bool:
        """Take over another host's evidence; return whether it has a crash not known before.

        Entries beyond the bounds of a report, or with times that cannot be, are left out.
        """
        for part, age in list(report.answered.items())[: 2 * MAX_REPORTED_PARTS]:
            if is_id(part) and is_age(age):
                answered = now - timedelta(seconds=age)
                if answered > self._answered.get(part, answered - MIN_RESTART_TIME):
                    self._keep_newest(self._answered, part, answered, MAX_ANSWERED_PARTS)
                self._drop_crashes_before(part, answered)
        is_new = False
        for part, crashes in list(report.crashes.items())[:MAX_REPORTED_PARTS]:
            if not is_id(part):
                continue
            for server, sent, ended in crashes[:MAX_CRASHES_OF_PART]:
                if is_id(server) and is_age(sent) and is_age(ended) and ended <= sent:
                    crash = ServerCrash(
                        server, now - timedelta(seconds=sent), now - timedelta(seconds=ended)
                    )
                    is_new = self.record_crash([part], crash) or is_new
                    if part in self._answered and part not in self._crashes:
                        # the other host does not know of the answer
                        self._keep_newest(self._cleared, part, now, MAX_REPORTED_PARTS)
        return is_new

    def _list_cleared(self, now: datetime) -> list[PartId]:
        return [part for part, at in self._cleared.items() if now - at < CLEARED_REPORT_TIME]

    def _list_crashes(self, part: PartId, now: datetime) -> list[ServerCrash]:
        """Return the crashes that still count against a part, and forget the others."""
        crashes = self._crashes.get(part, [])
        if not crashes:
            return crashes
        age = now - crashes[-1].ended
        kept = len(crashes)
        if age >= MAX_EVIDENCE_AGE or (kept == 1 and age >= SINGLE_CRASH_LIFETIME):
            kept = 0
        elif age >= PART_QUARANTINE_TIME:
            kept = min(kept, MAX_PART_CRASHES - 1)
        if kept < len(crashes):
            self._keep(part, crashes[len(crashes) - kept :])
        return self._crashes.get(part, [])

    def _keep(self, part: PartId, crashes: list[ServerCrash]) -> None:
        if crashes:
            self._crashes[part] = crashes
        else:
            self._crashes.pop(part, None)

    def _is_explained(self, part: PartId, parts: Collection[PartId], now: datetime) -> bool:
        crashes = self._list_crashes(part, now)
        return any(
            all(any(crash.is_same(other) for other in others) for crash in crashes)
            for name, others in self._crashes.items()
            if name not in parts
        )

    def _drop_crashes_before(self, part: PartId, answered: datetime) -> bool:
        crashes = self._crashes.get(part, [])
        left = [crash for crash in crashes if crash.sent > answered]
        if len(left) < len(crashes):
            self._keep(part, left)
        return len(left) < len(crashes)

    def _was_alive(self, crash: ServerCrash) -> bool:
        # a later answer may come from another run of the server, whose row is not known yet
        sent = self._alive.get(crash.server)
        return sent is not None and crash.ended < sent <= crash.ended + MIN_RESTART_TIME

    @staticmethod
    def _keep_newest(
        times: dict[Any, datetime], key: PartId | Incarnation, time: datetime, limit: int
    ) -> None:
        times.pop(key, None)
        times[key] = time
        while len(times) > limit:
            del times[next(iter(times))]


def _count_separate(crashes: Iterable[ServerCrash]) -> int:
    """Return how many of *crashes*, in their order, came one after the other.

    Of crashes under calls that ran at the same time one counts: one cause, such as a broken link
    or a failed rack, may have ended all these servers.
    """
    count, last_end = 0, None
    for crash in crashes:
        if last_end is None or crash.sent > last_end:
            count, last_end = count + 1, crash.ended
    return count


def to_age(time: datetime, now: datetime) -> float:
    """Return the seconds that have passed since *time*."""
    return round(max(timedelta(0), now - time).total_seconds(), 3)


def is_age(seconds: float) -> bool:
    """Tell whether a reported age is one that evidence may have."""
    return 0 <= seconds <= MAX_EVIDENCE_AGE.total_seconds()


def is_id(text: str) -> bool:
    """Tell whether a reported id has a length that ids may have."""
    return 0 < len(text) <= MAX_PART_LENGTH
