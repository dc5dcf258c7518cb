"""Token buckets over a changing share of an account's rate.

The safety of the whole rests on two sums over all hosts: the shares of an account add up to at
most one, and no bucket holds more than its share of the burst. Then what all hosts grant in any
window is at most the burst plus the rate over the window.
"""

from __future__ import annotations

from datetime import datetime, timedelta

SECOND = timedelta(seconds=1)
MOST_MARKS = 64


class _Mark:
    """Room that the bucket had left at some instants; no later refund may exceed it."""

    __slots__ = ("number", "room")

    def __init__(self, number: int, room: float) -> None:
        self.number = number
        self.room = room


class Bucket:
    """One dimension (requests or tokens) of an account on this host.

    :param rate: the account's, a second, over all hosts.
    :param burst: the account's, over all hosts.
    :param at: the instant from which it fills; it starts empty.
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
        """Add what the share has earned up to *at*; an instant in the past adds nothing."""
        if at <= self.at:
            return
        earned = self.rate * self.share * ((at - self.at) / SECOND)
        self.level = min(self.burst * self.share, self.level + earned)
        self.at = at

    def take(self, amount: float) -> int:
        """Subtract a charge and return the number that a later refund needs."""
        self._mark()
        self.level -= amount
        return self._number

    def refund(self, number: int, unused: float) -> float:
        """Put back what a charge did not use and return how much counted.

        Only that counts which the bucket would still hold had it never been charged: refunds
        that were put back after the bucket had filled up again would add to the burst.
        """
        left = unused
        for mark in self._marks:
            if mark.number > number:
                left = max(0.0, min(left, mark.room))
                mark.room -= left
        left = max(0.0, min(left, self.burst * self.share - self.level))
        self.level += left
        return left

    def change_share(self, share: float) -> None:
        """Set the share; what no longer fits is dropped. Fill first."""
        # the room is least before a share grows and after it shrinks
        if share > self.share:
            self._mark()
        self.share = share
        self.level = min(self.level, self.burst * share)
        self._mark()

    def change_rate(self, rate: float, burst: float) -> None:
        """Set the account's rate and burst; what no longer fits is dropped. Fill first."""
        self._mark()
        self.rate = rate
        self.burst = burst
        self.change_share(self.share)

    def move_out(self, fraction: float, amount: float) -> None:
        """Subtract a lent fraction together with an amount."""
        self.level -= amount
        self.change_share(max(0.0, self.share - fraction))

    def add(self, amount: float) -> None:
        """Add an amount that another host has subtracted, as far as it fits."""
        self.level = min(self.burst * self.share, self.level + amount)
        self._mark()

    def _mark(self) -> None:
        self._number += 1
        self._marks.append(_Mark(self._number, self.burst * self.share - self.level))
        if len(self._marks) > MOST_MARKS:
            self._marks = [_join(*pair) for pair in self._pairs()]

    def _pairs(self) -> list[tuple[_Mark, _Mark]]:
        marks = self._marks
        pairs = list(zip(marks[0::2], marks[1::2], strict=False))
        return pairs if len(marks) % 2 == 0 else [*pairs, (marks[-1], marks[-1])]


def _join(first: _Mark, second: _Mark) -> _Mark:
    return _Mark(second.number, min(first.room, second.room))
