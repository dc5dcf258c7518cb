"""Calls that were rejected without a decode slot and are expected to come back."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import Fingerprint

RETURN_WINDOW: Final = timedelta(seconds=3)
"""Time after the advised one within which a call counts as returning."""

EARLY_RETURN: Final = timedelta(milliseconds=100)
"""Time before the advised one from which a call counts as returning; callers round what they are
advised."""

REPEATED_WITHIN: Final = timedelta(milliseconds=500)
"""Difference of the advised times of two reports below which they tell of the same rejection; a
call that is rejected again is advised to come back later than that."""

REPORT_TIME: Final = timedelta(seconds=3)
"""How long a rejection is reported: each of at least three reports, of which some may be lost."""

MAX_REPORTED: Final = 16
"""Number of rejected calls in a peer report."""

MAX_KEPT: Final = 2000
"""Rejected calls that are kept; the oldest are dropped first."""


@dataclass(frozen=True)
class _Rejection:
    returns_at: datetime
    heard_at: datetime
    is_own: bool
    is_used: bool = False


class ReturningCalls:
    """Rejected calls of this host and of its peers, by the digest that repeated calls share.

    A caller may come back at any host. The first call with the digest uses the rejection up, so
    that callers with many equal calls gain one turn; one that comes before its time loses it.
    """

    def __init__(self) -> None:
        # in order of their arrival here
        self._rejections: dict[Fingerprint, _Rejection] = {}

    def record(self, call: Fingerprint, wait: timedelta, now: datetime) -> None:
        """Record that this host rejected a call and advised it to come back after *wait*."""
        if call:
            self._keep(call, _Rejection(now + wait, now, is_own=True))

    def apply_peer_report(self, calls: Mapping[Fingerprint, timedelta], now: datetime) -> None:
        """Record calls that a peer rejected, with the rest of their advised waits."""
        for call, rest in calls.items():
            known = self._rejections.get(call)
            # a repeated report does not make a rejection usable that was used up
            if known is None or known.returns_at + REPEATED_WITHIN < now + rest:
                self._keep(call, _Rejection(now + rest, now, is_own=False))

    def _keep(self, call: Fingerprint, rejection: _Rejection) -> None:
        self._rejections.pop(call, None)
        self._rejections[call] = rejection
        while len(self._rejections) > MAX_KEPT:
            del self._rejections[next(iter(self._rejections))]

    def take(self, call: Fingerprint, now: datetime) -> bool:
        """Tell whether a call comes back as it was advised, and use its rejection up."""
        rejection = self._rejections.get(call)
        if rejection is None or rejection.is_used:
            return False
        self._rejections[call] = replace(rejection, is_used=True)
        earliest = rejection.returns_at - EARLY_RETURN
        return earliest <= now <= rejection.returns_at + RETURN_WINDOW

    def make_report(self, now: datetime) -> dict[Fingerprint, timedelta]:
        """Return the newest rejections of this host with the rest of their advised waits."""
        report: dict[Fingerprint, timedelta] = {}
        for call, rejection in reversed(self._rejections.items()):
            if len(report) == MAX_REPORTED or now - rejection.heard_at > REPORT_TIME:
                break
            if rejection.is_own and not rejection.is_used:
                report[call] = max(timedelta(0), rejection.returns_at - now)
        return report
