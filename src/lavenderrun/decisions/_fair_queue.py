"""Weighted fair queue over client accounts that knows the targets of the routes.

Each account has a virtual start tag that grows by cost over weight with every job it gets. Only
accounts within a slack of the smallest tag are eligible, so two accounts with jobs that can meet
their target never differ by more than the slack and one job. Among the eligible the job with the
earliest due instant goes first: an urgent job passes a patient one, but only while it is due
earlier, so that nothing which arrives more than its own target later can pass a waiting job. Jobs
that have missed their due instant step back behind those that can still meet theirs; one turn in
:data:`LATE_TURN` is theirs in any case, and they are given up as soon as their patience cannot be
met. An account that gets less than its share, because its jobs are late, keeps a bounded credit.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection
from datetime import datetime, timedelta
from itertools import count

from lavenderrun.decisions._account_queue import Account, Entry, Heap, Lane
from lavenderrun.decisions._lane_index import LaneIndex
from lavenderrun.decisions._queue import QUEUE_POLICIES, Job, JobKey
from lavenderrun.types import AccountId

SLACK_JOBS = 2.0
CREDIT_JOBS = 8.0
LATE_SLACK_JOBS = 12.0
"""Lead over an account with late jobs from which another's jobs on time go after them."""
LATE_TURN = 24
COST_MEMORY = 0.05
LATE_MEMORY = 0.02


@QUEUE_POLICIES.register("fair")
class FairQueue:
    """The fair queue; every step costs O(log n) amortized, an estimate O(waiting accounts).

    :param drain: seconds of work done a second.
    """

    def __init__(self, drain: float) -> None:
        self._drain = drain
        self._order = count()
        self._entries: dict[JobKey, Entry] = {}
        self._accounts: dict[AccountId, Account] = {}
        self._lanes = {lane: LaneIndex(lane) for lane in Lane}
        self._idle: list[tuple[float, Account]] = []
        self._deadlines: Heap = []
        self._hopeless: list[Entry] = []
        self._late_share = 1.0
        self._virtual = 0.0
        self._mean_cost = 0.0
        self._turn = 0
        self._work = 0.0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def work(self) -> float:
        """Return the summed cost in seconds."""
        return self._work

    @property
    def on_time_work(self) -> float:
        """Return the summed cost in seconds of the jobs that can still meet their target."""
        late = sum(account.late_work for account in self._accounts.values())
        return max(0.0, self._work - late)

    @property
    def accounts(self) -> int:
        """Return the number of accounts that state is kept for."""
        return len(self._accounts)

    def push(self, job: Job, now: datetime) -> None:
        """Add a job to its account's line."""
        if job.key in self._entries:
            return
        account = self._accounts.get(job.account)
        if account is None:
            account = self._accounts[job.account] = Account(job.account, self._virtual)
        account.weight = job.weight
        credit = CREDIT_JOBS * self._mean_cost if account.count else 0.0
        account.start = max(account.start, self._virtual - credit)
        entry = Entry(job, account, next(self._order))
        self._entries[job.key] = entry
        account.count_in(entry, 1)
        self._work += job.cost
        share = job.cost / job.weight
        self._mean_cost += (share - self._mean_cost) * (COST_MEMORY if self._mean_cost else 1.0)
        heapq.heappush(self._deadlines, (job.deadline, entry))
        self._line_up(entry, job.due)
        for lane in self._lanes.values():
            lane.enroll(account)
        self._advance()

    def peek(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Return the next job."""
        entry = self._choose(now, excluded)
        return None if entry is None else entry.job

    def pop(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Take the next job and charge its account."""
        entry = self._choose(now, excluded)
        if entry is None:
            return None
        is_late = entry.lane is Lane.LATE
        self._turn = 0 if is_late else self._turn + 1
        self._late_share += (is_late - self._late_share) * LATE_MEMORY
        account = entry.account
        account.start += entry.job.cost / entry.job.weight
        self._forget(entry)
        for lane in self._lanes.values():
            lane.enroll(account)
        self._advance()
        return entry.job

    def remove(self, key: JobKey) -> Job | None:
        """Take a job out of turn; its account is not charged."""
        entry = self._entries.get(key)
        if entry is None:
            return None
        self._forget(entry)
        self._advance()
        return entry.job

    def expire(self, now: datetime) -> list[Job]:
        """Take jobs whose patience has ended, and late ones that cannot be served within it."""
        expired = []
        while self._deadlines and (self._deadlines[0][0] <= now or not self._deadlines[0][1].live):
            _, entry = heapq.heappop(self._deadlines)
            if entry.live:
                self._forget(entry)
                expired.append(entry.job)
        self._demote(now)
        for entry in self._hopeless:
            if entry.live:
                self._forget(entry)
                expired.append(entry.job)
        self._hopeless.clear()
        self._advance()
        return expired

    def work_ahead(self, job: Job) -> float:
        """Return what goes before *job*: the own account's line and the others' fair share."""
        own = self._accounts.get(job.account)
        line = own.work_within(job.urgency) if own is not None else 0.0
        start = max(own.start, self._virtual) if own is not None else self._virtual
        finish = start + (line + job.cost) / job.weight
        ahead = line
        for account in self._accounts.values():
            if account is own or not account.count:
                continue
            share = max(0.0, finish - account.start) * account.weight
            ahead += min(account.work_within(job.urgency), share)
        return ahead

    def has_late_jobs(self, account: AccountId) -> bool:
        """Tell whether *account* has waiting jobs that have missed their due instant."""
        line = self._accounts.get(account)
        return line is not None and line.counts[Lane.LATE] > 0

    def next_deadline(self) -> datetime | None:
        """Return the earliest end of patience among the waiting jobs."""
        while self._deadlines and not self._deadlines[0][1].live:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _choose(self, now: datetime, excluded: Collection[AccountId]) -> Entry | None:
        slack = SLACK_JOBS * self._mean_cost
        on_time: Entry | None = None
        while True:
            self._demote(now)
            on_time = self._lanes[Lane.ON_TIME].first(slack, excluded)
            # an account that has just become eligible again may bring an overdue job
            if on_time is None or on_time.job.due >= now:
                break
        late = self._lanes[Lane.LATE].first(slack, excluded)
        if on_time is None or late is None:
            return on_time or late
        behind = on_time.account.start - late.account.start
        if self._turn >= LATE_TURN or behind > LATE_SLACK_JOBS * self._mean_cost:
            return late
        return on_time

    def _demote(self, now: datetime) -> None:
        """Move entries that have missed their due instant to the late lane."""
        on_time = self._lanes[Lane.ON_TIME]
        ready = on_time.ready
        while ready and (ready[0][0] < now or not ready[0][1].live):
            _, entry = heapq.heappop(ready)
            if not entry.live or entry.lane is Lane.LATE:
                continue
            account = entry.account
            account.count_in(entry, -1)
            entry.lane = Lane.LATE
            account.count_in(entry, 1)
            self._line_up(entry, entry.job.deadline)
            self._lanes[Lane.LATE].enroll(account)
            on_time.show(account)
            if self._late_wait(entry) > entry.job.deadline - now:
                self._hopeless.append(entry)

    def _late_wait(self, entry: Entry) -> timedelta:
        """Estimate how long a late entry waits at the share that late ones got of late."""
        weights = sum(account.weight for account in self._accounts.values() if account.count)
        share = self._drain * entry.account.weight / weights
        rate = share * max(1 / LATE_TURN, self._late_share)
        return timedelta(seconds=(entry.account.late_work - entry.job.cost) / rate)

    def _line_up(self, entry: Entry, instant: datetime) -> None:
        heapq.heappush(entry.account.lanes[entry.lane], (instant, entry))
        self._lanes[entry.lane].show(entry.account)

    def _advance(self) -> None:
        """Move virtual time to the smallest tag of an account that can meet a target."""
        if not self._entries:
            self._reset()
            return
        floor = self._lanes[Lane.ON_TIME].floor()
        if floor is None:
            floor = self._lanes[Lane.LATE].floor() or 0.0
        self._virtual = max(self._virtual, floor)
        while self._idle and self._idle[0][0] <= self._virtual:
            _, account = heapq.heappop(self._idle)
            if not account.count:
                self._accounts.pop(account.name, None)

    def _forget(self, entry: Entry) -> None:
        entry.live = False
        del self._entries[entry.job.key]
        account = entry.account
        account.count_in(entry, -1)
        self._work -= entry.job.cost
        if account.count:
            self._lanes[entry.lane].show(account)
            return
        for heap in account.lanes.values():
            heap.clear()
        heapq.heappush(self._idle, (account.start, account))

    def _reset(self) -> None:
        """Drop all state: with no one waiting there is no share to defend."""
        self._accounts.clear()
        self._idle.clear()
        self._hopeless.clear()
        self._deadlines.clear()
        for lane in self._lanes.values():
            lane.clear()
        self._work = 0.0
