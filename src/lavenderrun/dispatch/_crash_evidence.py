"""Evidence that something crashes backend servers, as hosts collect it and tell each other.

The subject may be a whole call or a part of its prompt. A crash speaks against it, a later answer
clears it. The same evidence leads to the same result on every host, in whatever order it arrives;
what one host has seen outlives that host.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, Final, Generic, TypeVar

from lavenderrun.types import Incarnation

Subject = TypeVar("Subject", bound=str)

CRASH_LIMIT: Final = 3
"""Crashes after which calls are rejected."""

MIN_RESTART_TIME: Final = timedelta(seconds=1)
"""A server that answers within this time after a crash did not crash: a restart takes longer."""

SINGLE_CRASH_LIFETIME: Final = timedelta(seconds=60)
"""How long a single crash counts; servers also crash for other reasons."""

QUARANTINE_TIME: Final = timedelta(minutes=10)
"""Time after the last crash for which calls are rejected."""

PROBATION_TIME: Final = timedelta(minutes=10)
"""Time after it in which a single further crash is enough to reject them again."""

MAX_EVIDENCE_AGE: Final = QUARANTINE_TIME + PROBATION_TIME
"""Age from which a crash counts no more."""

MAX_CRASHES_OF_SUBJECT: Final = 8
"""Crashes kept for one subject; older ones add nothing."""

MAX_ANSWERED: Final = 2048
"""Subjects kept that were answered; those answered longest ago are dropped first."""

MAX_KNOWN_ALIVE: Final = 256
"""Servers kept that answered; those that answered longest ago are dropped first."""

MAX_CRASHED_SERVERS: Final = 1024
"""Servers kept with their last crash; more than these do not crash within ``MIN_RESTART_TIME``."""

MAX_ID_LENGTH: Final = 64
"""Longest id of a subject or server that is taken from a peer report."""

CLEARED_REPORT_TIME: Final = timedelta(seconds=5)
"""How long other hosts are told that a subject which they may suspect was answered."""


@dataclass(frozen=True)
class ServerCrash:
    """The end of a server, seen from a call that it had not finished.

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
class CrashReport(Generic[Subject]):
    """What a host tells the others; times are seconds ago.

    :param crashes: for each suspect the servers that ended, each with the times at which a call
        was sent there and at which its connection closed.
    :param answered: subjects that this host or others may suspect, with the time at which the last
        call with each began to be answered, or ended well.
    """

    crashes: Mapping[Subject, Sequence[tuple[Incarnation, float, float]]] = field(
        default_factory=dict
    )
    answered: Mapping[Subject, float] = field(default_factory=dict)


class CrashEvidence(Generic[Subject]):
    """Collects crashes by subject, of this host and of others.

    :param max_subjects: subjects with crashes that are kept; those with the fewest, then the
        oldest, are dropped first.
    :param max_reported: subjects of each list in a peer report, which must fit into one datagram.
    """

    def __init__(self, max_subjects: int, max_reported: int) -> None:
        self._max_subjects = max_subjects
        self._max_reported = max_reported
        self._crashes: dict[Subject, list[ServerCrash]] = {}
        self._answered: dict[Subject, datetime] = {}
        self._cleared: dict[Subject, datetime] = {}
        self._alive: dict[Incarnation, datetime] = {}
        self._last_crashes: dict[Incarnation, datetime] = {}

    def list_suspects(self) -> list[Subject]:
        """Return the subjects with crashes, the one with the newest evidence last."""
        return list(self._crashes)

    def is_suspect(self, subject: Subject) -> bool:
        """Tell whether there is any crash that speaks against *subject*."""
        return subject in self._crashes

    def find(self, subject: Subject) -> list[ServerCrash]:
        """Return all crashes that are kept of a subject, also those that count no more."""
        return self._crashes.get(subject, [])

    def was_answered(self, subject: Subject) -> bool:
        """Tell whether a call with *subject* was ever answered, as far as it is remembered."""
        return subject in self._answered

    def record_crash(self, subjects: Iterable[Subject], crash: ServerCrash) -> bool:
        """Count a crash against *subjects*; return whether it says anything new.

        It says nothing about a subject that was answered after the call was sent, nor when the
        server answered sooner than a restart takes.
        """
        if self._was_alive(crash):
            return False
        is_new = False
        for subject in subjects:
            answered = self._answered.get(subject)
            known = self._crashes.get(subject, [])
            if answered is not None and answered >= crash.sent:
                continue
            if any(crash.is_same(other) for other in known):
                continue
            is_new = True
            ordered = sorted([*known, crash], key=lambda each: each.ended)
            # the newest last
            self._crashes.pop(subject, None)
            self._crashes[subject] = ordered[-MAX_CRASHES_OF_SUBJECT:]
        if is_new:
            last = max(crash.ended, self._last_crashes.get(crash.server, crash.ended))
            keep_newest(self._last_crashes, crash.server, last, MAX_CRASHED_SERVERS)
        while len(self._crashes) > self._max_subjects:
            del self._crashes[min(self._crashes, key=lambda each: len(self._crashes[each]))]
        return is_new

    def record_answer(self, subject: Subject, now: datetime) -> bool:
        """Clear *subject*, as a call with it is answered; return whether it was suspected."""
        keep_newest(self._answered, subject, now, MAX_ANSWERED)
        if not self._drop_crashes_before(subject, now):
            return False
        keep_newest(self._cleared, subject, now, self._max_reported)
        return True

    def record_alive(self, server: Incarnation, sent: datetime) -> None:
        """Drop crashes of a server that answered what was sent to it shortly after them."""
        keep_newest(self._alive, server, sent, MAX_KNOWN_ALIVE)
        last = self._last_crashes.get(server)
        if last is None or sent > last + MIN_RESTART_TIME:
            # each answer comes here, and few servers have crashed just before
            return
        for subject, crashes in list(self._crashes.items()):
            if any(crash.server == server for crash in crashes):
                self._keep(subject, [crash for crash in crashes if not self._was_alive(crash)])

    def list_crashes(self, subject: Subject, now: datetime) -> list[ServerCrash]:
        """Return the crashes that still count against a subject, and forget the others."""
        crashes = self._crashes.get(subject, [])
        if not crashes:
            return crashes
        age = now - crashes[-1].ended
        kept = len(crashes)
        if age >= MAX_EVIDENCE_AGE or (kept == 1 and age >= SINGLE_CRASH_LIFETIME):
            kept = 0
        elif age >= QUARANTINE_TIME:
            kept = min(kept, CRASH_LIMIT - 1)
        if kept < len(crashes):
            self._keep(subject, crashes[len(crashes) - kept :])
        return self._crashes.get(subject, [])

    def find_release(self, subject: Subject, now: datetime) -> timedelta:
        """Return how much longer *subject* is rejected if it crashes no other server."""
        crashes = self.list_crashes(subject, now)
        last = crashes[-1].ended if crashes else now
        return max(timedelta(0), last + QUARANTINE_TIME - now)

    def choose_reported(self, subjects: Iterable[Subject], now: datetime) -> list[Subject]:
        """Return those of *subjects* that are reported: with the most crashes, then the newest.

        :param subjects: suspects, the one with the newest evidence last.
        """
        newest_first = list(subjects)[::-1]
        chosen = sorted(newest_first, key=lambda each: -len(self._crashes.get(each, ())))
        return [each for each in chosen[: self._max_reported] if self.list_crashes(each, now)]

    def make_report(self, suspects: Collection[Subject], now: datetime) -> CrashReport[Subject]:
        """Return what other hosts are told about *suspects* and what was cleared lately."""
        cleared = [each for each, at in self._cleared.items() if now - at < CLEARED_REPORT_TIME]
        return CrashReport(
            {
                subject: [
                    (crash.server, to_age(crash.sent, now), to_age(crash.ended, now))
                    for crash in self.list_crashes(subject, now)
                ]
                for subject in suspects
            },
            {
                subject: to_age(self._answered[subject], now)
                for subject in (*cleared, *suspects)
                if subject in self._answered
            },
        )

    def apply_report(self, report: CrashReport[Subject], now: datetime) -> bool:
        """Take over another host's evidence; return whether it has a crash not known before.

        Entries beyond the bounds of a report, or with times that cannot be, are left out.
        """
        for subject, age in list(report.answered.items())[: 2 * self._max_reported]:
            if is_id(subject) and is_age(age):
                answered = now - timedelta(seconds=age)
                if answered > self._answered.get(subject, answered - MIN_RESTART_TIME):
                    keep_newest(self._answered, subject, answered, MAX_ANSWERED)
                self._drop_crashes_before(subject, answered)
        is_new = False
        for subject, crashes in list(report.crashes.items())[: self._max_reported]:
            if not is_id(subject):
                continue
            for server, sent, ended in crashes[:MAX_CRASHES_OF_SUBJECT]:
                if is_id(server) and is_age(sent) and is_age(ended) and ended <= sent:
                    crash = ServerCrash(
                        server, now - timedelta(seconds=sent), now - timedelta(seconds=ended)
                    )
                    is_new = self.record_crash([subject], crash) or is_new
                    if subject in self._answered and subject not in self._crashes:
                        # the other host does not know of the answer
                        keep_newest(self._cleared, subject, now, self._max_reported)
        return is_new

    def _keep(self, subject: Subject, crashes: list[ServerCrash]) -> None:
        if crashes:
            self._crashes[subject] = crashes
        else:
            self._crashes.pop(subject, None)

    def _drop_crashes_before(self, subject: Subject, answered: datetime) -> bool:
        crashes = self._crashes.get(subject, [])
        left = [crash for crash in crashes if crash.sent > answered]
        if len(left) < len(crashes):
            self._keep(subject, left)
        return len(left) < len(crashes)

    def _was_alive(self, crash: ServerCrash) -> bool:
        # a later answer may come from another run of the server, whose row is not known yet
        sent = self._alive.get(crash.server)
        return sent is not None and crash.ended < sent <= crash.ended + MIN_RESTART_TIME


def keep_newest(entries: dict[Any, Any], key: str, value: Any, limit: int) -> None:
    """Put *key* last in the dictionary, and keep no more than the last *limit* keys in it."""
    entries.pop(key, None)
    entries[key] = value
    while len(entries) > limit:
        del entries[next(iter(entries))]


def to_age(time: datetime, now: datetime) -> float:
    """Return the seconds that have passed since *time*."""
    return round(max(timedelta(0), now - time).total_seconds(), 3)


def is_age(seconds: float) -> bool:
    """Tell whether a reported age is one that evidence may have."""
    return 0 <= seconds <= MAX_EVIDENCE_AGE.total_seconds()


def is_id(text: str) -> bool:
    """Tell whether a reported id has a length that ids may have."""
    return 0 < len(text) <= MAX_ID_LENGTH
