"""Index of the accounts that have jobs in one lane, by due time and by virtual start tag."""

from __future__ import annotations

import heapq
from collections.abc import Collection

from lavenderrun.decisions._account_queue import AccountQueue, Heap, Lane, QueuedJob
from lavenderrun.types import AccountId


class LaneIndex:
    """Finds the earliest job among the accounts that received the least of their share.

    An account is parked while its start tag is too far ahead of the smallest one. The heaps are
    cleaned lazily: a job that has left, or a tag that has changed, is dropped at the top.
    """

    def __init__(self, lane: Lane) -> None:
        self._lane = lane
        self._ready: Heap = []
        self._start_tags: list[tuple[float, AccountQueue]] = []
        self._parked: list[tuple[float, AccountQueue]] = []

    @property
    def ready(self) -> Heap:
        """Return the heap of first jobs of accounts that are not parked; some may be stale."""
        return self._ready

    def min_start_tag(self) -> float | None:
        """Return the smallest start tag of an account with a job in this lane."""
        start_tags = self._start_tags
        while start_tags and not (
            start_tags[0][1].counts[self._lane] and start_tags[0][0] == start_tags[0][1].start_tag
        ):
            heapq.heappop(start_tags)
        return start_tags[0][0] if start_tags else None

    def add_start_tag(self, account: AccountQueue) -> None:
        """Record the start tag of *account* if it has a job in this lane."""
        if account.counts[self._lane]:
            heapq.heappush(self._start_tags, (account.start_tag, account))

    def add_head(self, account: AccountQueue) -> None:
        """Add the account's first job to the ready heap, unless the account is parked."""
        head = account.head(self._lane)
        if head is not None and not account.parked[self._lane]:
            heapq.heappush(self._ready, head)

    def find_first(self, slack: float, excluded: Collection[AccountId]) -> QueuedJob | None:
        """Return the earliest job of an account within *slack* of the smallest tag.

        :param excluded: accounts that are skipped.
        """
        if not excluded:
            return self._find_first(slack)
        skipped: Heap = []
        while (queued := self._find_first(slack)) is not None and queued.account.name in excluded:
            skipped.append(heapq.heappop(self._ready))
        for item in skipped:
            heapq.heappush(self._ready, item)
        return queued

    def _find_first(self, slack: float) -> QueuedJob | None:
        min_start_tag = self.min_start_tag()
        if min_start_tag is None:
            return None
        limit = min_start_tag + slack
        self._unpark(limit)
        while self._ready:
            queued = self._ready[0][1]
            if queued.is_waiting and queued.lane is self._lane:
                if queued.account.start_tag <= limit:
                    return queued
                self._park(queued.account)
            heapq.heappop(self._ready)
        return None

    def clear(self) -> None:
        """Drop all state."""
        self._ready.clear()
        self._start_tags.clear()
        self._parked.clear()

    def _park(self, account: AccountQueue) -> None:
        if not account.parked[self._lane]:
            account.parked[self._lane] = True
            heapq.heappush(self._parked, (account.start_tag, account))

    def _unpark(self, limit: float) -> None:
        while self._parked and self._parked[0][0] <= limit:
            _, account = heapq.heappop(self._parked)
            account.parked[self._lane] = False
            self.add_head(account)
