"""Finds parts of prompts that crash the backend servers that answer them.

Evidence against a part is a call that had not begun to be answered when its server ended; a call
that begins to be answered clears all its parts.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch._crash_evidence import (
    CRASH_LIMIT,
    CrashEvidence,
    CrashReport,
    ServerCrash,
)
from lavenderrun.types import Incarnation, PartId

MAX_CRASHES_ONCE_ANSWERED: Final = 5
"""Separate crashes after which calls with a part are rejected that was answered before: most likely
another part is the cause."""

MAX_SUSPECT_PARTS: Final = 512
"""Parts with crashes that are kept."""

MAX_SHARED_PARTS: Final = 64
"""Shared parts of one prompt that are examined; a prompt has a handful."""

MAX_REPORTED_PARTS: Final = 12
"""Parts of each list in a peer report."""

PartReport = CrashReport[PartId]
"""What a host tells the others about parts of prompts."""


class CrashingParts:
    """Collects evidence of this host and of others about parts of prompts."""

    def __init__(self) -> None:
        self._evidence: CrashEvidence[PartId] = CrashEvidence(MAX_SUSPECT_PARTS, MAX_REPORTED_PARTS)

    def record_crash(self, parts: Iterable[PartId], crash: ServerCrash) -> bool:
        """Count a crash against *parts*; return whether it says anything new."""
        return self._evidence.record_crash(parts, crash)

    def record_answer(self, parts: Iterable[PartId], now: datetime) -> list[PartId]:
        """Clear *parts*, as a call with them begins to be answered; return those suspected."""
        return [part for part in parts if self._evidence.record_answer(part, now)]

    def record_alive(self, server: Incarnation, sent: datetime) -> None:
        """Drop crashes of a server that answered what was sent to it shortly after them."""
        self._evidence.record_alive(server, sent)

    def is_sound(self, parts: Iterable[PartId]) -> bool:
        """Tell whether calls with each of *parts* were answered, and none has crashed since."""
        evidence = self._evidence
        return all(evidence.was_answered(p) and not evidence.is_suspect(p) for p in parts)

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
        return self._evidence.find_release(part, now)

    def has_reached_limit(self, part: PartId, now: datetime) -> bool:
        """Tell whether a part has crashed as many servers as it takes to reject calls with it."""
        crashes = self._evidence.list_crashes(part, now)
        was_answered = self._evidence.was_answered(part)
        limit = MAX_CRASHES_ONCE_ANSWERED if was_answered else CRASH_LIMIT
        return len(crashes) >= limit and _count_separate(crashes) >= limit

    def list_crashing(self, now: datetime) -> dict[PartId, list[Incarnation]]:
        """Return the parts that have reached the limit with the servers that they crashed."""
        return {
            part: [crash.server for crash in self._evidence.list_crashes(part, now)]
            for part in self._evidence.list_suspects()
            if self.has_reached_limit(part, now)
        }

    def make_report(self, now: datetime) -> PartReport:
        """Return what other hosts are told: the parts with the most crashes, then the newest."""
        suspects = self._evidence.choose_reported(self._evidence.list_suspects(), now)
        return self._evidence.make_report(suspects, now)

    def apply_report(self, report: PartReport, now: datetime) -> bool:
        """Take over another host's evidence; return whether it has a crash not known before."""
        return self._evidence.apply_report(report, now)

    def _is_explained(self, part: PartId, parts: Collection[PartId], now: datetime) -> bool:
        crashes = self._evidence.list_crashes(part, now)
        others = [name for name in self._evidence.list_suspects() if name not in parts]
        return any(
            all(
                any(crash.is_same(other) for other in self._evidence.find(name))
                for crash in crashes
            )
            for name in others
        )


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
