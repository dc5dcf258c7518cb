"""Weighted fair queue over client accounts, combined with earliest due time first.

Each account has a virtual start tag that grows by cost divided by weight with every job served.
Only accounts whose tag is within a slack of the smallest tag are eligible, so the service of two
accounts with on-time jobs never differs by more than the slack and one job. Among the eligible
accounts the job with the earliest due time goes first. An urgent job therefore overtakes others
only while it is due earlier: a job that arrives later than a waiting one by more than its own
target cannot overtake it.

Jobs that missed their due time go behind those that can still meet it, but one of them is served
after at most :data:`LATE_TURN_INTERVAL` others. They expire early once they cannot be served before
their deadline. An account that gets less than its share because its jobs are late keeps a bounded
credit.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection
from datetime import datetime, timedelta
from itertools import count

from lavenderrun.decisions._account_queue import AccountQueue, Heap, Lane, QueuedJob
from lavenderrun.decisions._lane_index import LaneIndex
from lavenderrun.decisions._queue import QUEUE_POLICIES, Job, JobKey
from lavenderrun.types import AccountId

SLACK_JOBS = 2.0
CREDIT_JOBS = 8.0
LATE_SLACK_JOBS = 12.0
"""Lead over an account with late jobs at which another account's on-time jobs go after them."""
LATE_TURN_INTERVAL = 24
COST_SMOOTHING = 0.05
LATE_SHARE_SMOOTHING = 0.02


@QUEUE_POLICIES.register("fair")
class FairQueue:
    """Weighted fair queue; operations cost O(log n) amortized, estimates O(waiting accounts).

    :param work_rate: seconds of work done per second.
    """

    def __init__(self, work_rate: float) -> None:
        self._work_rate = work_rate
        self._order = count()
        self._queued: dict[JobKey, QueuedJob] = {}
        self._accounts: dict[AccountId, AccountQueue] = {}
        self._lanes = {lane: LaneIndex(lane) for lane in Lane}
        self._idle_accounts: list[tuple[float, AccountQueue]] = []
        self._deadlines: Heap = []
        self._unservable: list[QueuedJob] = []
        self._late_share = 1.0
        self._virtual_time = 0.0
        self._mean_cost = 0.0
        self._turns_since_late = 0
        self._work = 0.0

    def __len__(self) -> int:
        return len(self._queued)

    @property
    def work(self) -> float:
        """Return the total cost of all waiting jobs in seconds."""
        return self._work

    @property
    def on_time_work(self) -> float:
        """Return the total cost in seconds of the jobs that can still meet their target."""
        late = sum(account.late_work for account in self._accounts.values())
        return max(0.0, self._work - late)

    @property
    def accounts(self) -> int:
        """Return the number of accounts for which state is kept."""
        return len(self._accounts)

    def push(self, job: Job, now: datetime) -> None:
        """Add a job to its account's queue; a key that is already waiting is ignored."""
        if job.key in self._queued:
            return
        account = self._accounts.get(job.account)
        if account is None:
            account = self._accounts[job.account] = AccountQueue(job.account, self._virtual_time)
        account.weight = job.weight
        credit = CREDIT_JOBS * self._mean_cost if account.count else 0.0
        account.start_tag = max(account.start_tag, self._virtual_time - credit)
        queued = QueuedJob(job, account, next(self._order))
        self._queued[job.key] = queued
        account.update_totals(queued, 1)
        self._work += job.cost
        share = job.cost / job.weight
        self._mean_cost += (share - self._mean_cost) * (COST_SMOOTHING if self._mean_cost else 1.0)
        heapq.heappush(self._deadlines, (job.deadline, queued))
        self._enqueue(queued, job.due)
        for lane in self._lanes.values():
            lane.add_start_tag(account)
        self._advance_virtual_time()

    def peek(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Return the job that is served next, without removing it."""
        queued = self._choose(now, excluded)
        return None if queued is None else queued.job

    def pop(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Remove the next job, charge its account for it and return it."""
        queued = self._choose(now, excluded)
        if queued is None:
            return None
        is_late = queued.lane is Lane.LATE
        self._turns_since_late = 0 if is_late else self._turns_since_late + 1
        self._late_share += (is_late - self._late_share) * LATE_SHARE_SMOOTHING
        account = queued.account
        account.start_tag += queued.job.cost / queued.job.weight
        self._discard(queued)
        for lane in self._lanes.values():
            lane.add_start_tag(account)
        self._advance_virtual_time()
        return queued.job

    def remove(self, key: JobKey) -> Job | None:
        """Remove a job out of turn, without a charge to its account, and return it."""
        queued = self._queued.get(key)
        if queued is None:
            return None
        self._discard(queued)
        self._advance_virtual_time()
        return queued.job

    def expire(self, now: datetime) -> list[Job]:
        """Remove and return jobs past their deadline and late jobs that cannot meet it."""
        expired = []
        while self._deadlines and (
            self._deadlines[0][0] <= now or not self._deadlines[0][1].is_waiting
        ):
            _, queued = heapq.heappop(self._deadlines)
            if queued.is_waiting:
                self._discard(queued)
                expired.append(queued.job)
        self._move_overdue(now)
        for queued in self._unservable:
            if queued.is_waiting:
                self._discard(queued)
                expired.append(queued.job)
        self._unservable.clear()
        self._advance_virtual_time()
        return expired

    def work_ahead(self, job: Job) -> float:
        """Return the seconds of work served before *job*: its own account's and others' share."""
        own = self._accounts.get(job.account)
        own_work = own.work_within(job.urgency) if own is not None else 0.0
        start_tag = (
            max(own.start_tag, self._virtual_time) if own is not None else self._virtual_time
        )
        finish_tag = start_tag + (own_work + job.cost) / job.weight
        ahead = own_work
        for account in self._accounts.values():
            if account is own or not account.count:
                continue
            share = max(0.0, finish_tag - account.start_tag) * account.weight
            ahead += min(account.work_within(job.urgency), share)
        return ahead

    def has_late_jobs(self, account: AccountId) -> bool:
        """Tell whether *account* has waiting jobs that missed their due time."""
        queue = self._accounts.get(account)
        return queue is not None and queue.counts[Lane.LATE] > 0

    def next_deadline(self) -> datetime | None:
        """Return the earliest deadline of the waiting jobs."""
        while self._deadlines and not self._deadlines[0][1].is_waiting:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _choose(self, now: datetime, excluded: Collection[AccountId]) -> QueuedJob | None:
        slack = SLACK_JOBS * self._mean_cost
        on_time: QueuedJob | None = None
        while True:
            self._move_overdue(now)
            on_time = self._lanes[Lane.ON_TIME].find_first(slack, excluded)
            # an account that has just been unparked may bring an overdue job
            if on_time is None or on_time.job.due >= now:
                break
        late = self._lanes[Lane.LATE].find_first(slack, excluded)
        if on_time is None or late is None:
            return on_time or late
        lead = on_time.account.start_tag - late.account.start_tag
        if self._turns_since_late >= LATE_TURN_INTERVAL or lead > LATE_SLACK_JOBS * self._mean_cost:
            return late
        return on_time

    def _move_overdue(self, now: datetime) -> None:
        """Move jobs that missed their due time to the late lane."""
        on_time = self._lanes[Lane.ON_TIME]
        ready = on_time.ready
        while ready and (ready[0][0] < now or not ready[0][1].is_waiting):
            _, queued = heapq.heappop(ready)
            if not queued.is_waiting or queued.lane is Lane.LATE:
                continue
            account = queued.account
            account.update_totals(queued, -1)
            queued.lane = Lane.LATE
            account.update_totals(queued, 1)
            self._enqueue(queued, queued.job.deadline)
            self._lanes[Lane.LATE].add_start_tag(account)
            on_time.add_head(account)
            if self._estimate_late_wait(queued) > queued.job.deadline - now:
                self._unservable.append(queued)

    def _estimate_late_wait(self, queued: QueuedJob) -> timedelta:
        """Estimate how long a late job waits, from the recent share of turns given to late jobs."""
        weights = sum(account.weight for account in self._accounts.values() if account.count)
        share = self._work_rate * queued.account.weight / weights
        rate = share * max(1 / LATE_TURN_INTERVAL, self._late_share)
        return timedelta(seconds=(queued.account.late_work - queued.job.cost) / rate)

    def _enqueue(self, queued: QueuedJob, sort_time: datetime) -> None:
        heapq.heappush(queued.account.lanes[queued.lane], (sort_time, queued))
        self._lanes[queued.lane].add_head(queued.account)

    def _advance_virtual_time(self) -> None:
        """Move virtual time up to the smallest start tag among accounts with on-time jobs."""
        if not self._queued:
            self._reset()
            return
        min_start_tag = self._lanes[Lane.ON_TIME].min_start_tag()
        if min_start_tag is None:
            min_start_tag = self._lanes[Lane.LATE].min_start_tag() or 0.0
        self._virtual_time = max(self._virtual_time, min_start_tag)
        while self._idle_accounts and self._idle_accounts[0][0] <= self._virtual_time:
            _, account = heapq.heappop(self._idle_accounts)
            if not account.count:
                self._accounts.pop(account.name, None)

    def _discard(self, queued: QueuedJob) -> None:
        queued.is_waiting = False
        del self._queued[queued.job.key]
        account = queued.account
        account.update_totals(queued, -1)
        self._work -= queued.job.cost
        if account.count:
            self._lanes[queued.lane].add_head(account)
            return
        for heap in account.lanes.values():
            heap.clear()
        heapq.heappush(self._idle_accounts, (account.start_tag, account))

    def _reset(self) -> None:
        """Drop all state: an empty queue has no shares to account for."""
        self._accounts.clear()
        self._idle_accounts.clear()
        self._unservable.clear()
        self._deadlines.clear()
        for lane in self._lanes.values():
            lane.clear()
        self._work = 0.0
