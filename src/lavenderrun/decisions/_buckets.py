"""Token buckets that fill by a changing share of an account's rate.

Two invariants over all hosts keep the limit: the shares of an account add up to at most one, and
no bucket holds more than its share of the burst. All hosts together then grant at most the burst
plus rate times duration in any time window.
"""

from __future__ import annotations

from datetime import datetime, timedelta

SECOND = timedelta(seconds=1)
MAX_MARKS = 64


class _Mark:
    """Free room in the bucket when the mark was made; refunds of earlier charges must fit in it."""

    __slots__ = ("number", "room")

    def __init__(self, number: int, room: float) -> None:
        self.number = number
        self.room = room


class Bucket:
    """Token bucket for the requests or the tokens of one account on this host.

    :param rate: units per second of the account over all hosts.
    :param burst: units of the account over all hosts.
    :param at: when the bucket starts to fill; it starts empty.
    """

    __slots__ = ("_marks", "_number", "at", "burst", "level", "rate", "share")

    def __init__(self, rate: float, burst: float, at: datetime) -> None:
        self.rate = rate
        self.burst = burst
        self.share = 0.0
        self.level = 0.0
        self.at = at
        self._marks: list[_Mark] = []
        self._number = 0

    def fill(self, at: datetime) -> None:
        """Add what the share has earned up to *at*; a time before the last fill adds nothing."""
        if at <= self.at:
            return
        earned = self.rate * self.share * ((at - self.at) / SECOND)
        self.level = min(self.burst * self.share, self.level + earned)
        self.at = at

    def take(self, amount: float) -> int:
        """Subtract a charge and return the number that :meth:`refund` needs."""
        self._mark()
        self.level -= amount
        return self._number

    def refund(self, number: int, unused: float) -> float:
        """Put back the unused part of a charge and return how much was credited.

        A refund credits only what the bucket would still hold without the charge. If the bucket
        has filled up since, a full refund would exceed the burst.

        :param number: as returned by :meth:`take`.
        """
        credited = unused
        for mark in self._marks:
            if mark.number > number:
                credited = max(0.0, min(credited, mark.room))
                mark.room -= credited
        credited = max(0.0, min(credited, self.burst * self.share - self.level))
        self.level += credited
        return credited

    def change_share(self, share: float) -> None:
        """Set the share and drop what no longer fits; call :meth:`fill` first."""
        # the room is smallest before a share grows and after it shrinks
        if share > self.share:
            self._mark()
        self.share = share
        self.level = min(self.level, self.burst * share)
        self._mark()

    def change_rate(self, rate: float, burst: float) -> None:
        """Set the account's rate and burst, drop what no longer fits; call :meth:`fill` first."""
        self._mark()
        self.rate = rate
        self.burst = burst
        self.change_share(self.share)

    def move_out(self, fraction: float, amount: float) -> None:
        """Subtract a lent fraction of the rate from the share, and an amount from the level."""
        self.level -= amount
        self.change_share(max(0.0, self.share - fraction))

    def add(self, amount: float) -> None:
        """Add an amount that another host has subtracted, up to the capacity."""
        self.level = min(self.burst * self.share, self.level + amount)
        self._mark()

    def _mark(self) -> None:
        self._number += 1
        self._marks.append(_Mark(self._number, self.burst * self.share - self.level))
        if len(self._marks) > MAX_MARKS:
            self._marks = [_merge_marks(*pair) for pair in self._pairs()]

    def _pairs(self) -> list[tuple[_Mark, _Mark]]:
        marks = self._marks
        pairs = list(zip(marks[0::2], marks[1::2], strict=False))
        return pairs if len(marks) % 2 == 0 else [*pairs, (marks[-1], marks[-1])]


def _merge_marks(first: _Mark, second: _Mark) -> _Mark:
    return _Mark(second.number, min(first.room, second.room))
