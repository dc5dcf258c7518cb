"""The accounts that have jobs in one lane, by due instant and by virtual start tag."""

from __future__ import annotations

import heapq
from collections.abc import Collection

from lavenderrun.decisions._account_queue import Account, Entry, Heap, Lane
from lavenderrun.types import AccountId


class LaneIndex:
    """Finds the earliest job among the accounts that have had the least of their share.

    The heaps are cleaned lazily: an entry that has left, or a tag that has changed, is dropped
    when it comes to the top.
    """

    def __init__(self, lane: Lane) -> None:
        self._lane = lane
        self._ready: Heap = []
        self._starts: list[tuple[float, Account]] = []
        self._parked: list[tuple[float, Account]] = []

    @property
    def ready(self) -> Heap:
        """Return the first jobs of the accounts that are not parked, and stale entries."""
        return self._ready

    def floor(self) -> float | None:
        """Return the smallest start tag of an account with a job in this lane."""
        starts = self._starts
        while starts and not (
            starts[0][1].counts[self._lane] and starts[0][0] == starts[0][1].start
        ):
            heapq.heappop(starts)
        return starts[0][0] if starts else None

    def enroll(self, account: Account) -> None:
        """Note the start tag of an account that has a job in this lane."""
        if account.counts[self._lane]:
            heapq.heappush(self._starts, (account.start, account))

    def show(self, account: Account) -> None:
        """Put the account's first job among the ready, unless the account is parked."""
        head = account.head(self._lane)
        if head is not None and not account.parked[self._lane]:
            heapq.heappush(self._ready, head)

    def first(self, slack: float, excluded: Collection[AccountId]) -> Entry | None:
        """Return the earliest job of an account within *slack* of the smallest tag.

        :param excluded: accounts that are passed over.
        """
        if not excluded:
            return self._first(slack)
        passed: Heap = []
        while (entry := self._first(slack)) is not None and entry.account.name in excluded:
            passed.append(heapq.heappop(self._ready))
        for item in passed:
            heapq.heappush(self._ready, item)
        return entry

    def _first(self, slack: float) -> Entry | None:
        floor = self.floor()
        if floor is None:
            return None
        limit = floor + slack
        self._admit(limit)
        while self._ready:
            entry = self._ready[0][1]
            if entry.live and entry.lane is self._lane:
                if entry.account.start <= limit:
                    return entry
                self._park(entry.account)
            heapq.heappop(self._ready)
        return None

    def clear(self) -> None:
        """Drop all state."""
        self._ready.clear()
        self._starts.clear()
        self._parked.clear()

    def _park(self, account: Account) -> None:
        if not account.parked[self._lane]:
            account.parked[self._lane] = True
            heapq.heappush(self._parked, (account.start, account))

    def _admit(self, limit: float) -> None:
        while self._parked and self._parked[0][0] <= limit:
            _, account = heapq.heappop(self._parked)
            account.parked[self._lane] = False
            self.show(account)
