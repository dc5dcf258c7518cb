"""Weighted fair queue over client accounts that knows the targets of the routes.

Each account has a virtual start tag that grows by cost over weight with every job it gets. Only
accounts within a slack of the smallest tag are eligible, so two waiting accounts never differ by
more than the slack and one job. Among the eligible the job with the earliest due instant goes
first: an urgent job passes a patient one, but only while it is due earlier, so that nothing which
arrives more than its own target later can pass a waiting job. Jobs that have missed their due
instant step back behind those that can still meet theirs; one turn in :data:`LATE_TURN` is theirs
in any case, and they are given up as soon as their patience cannot be met.
"""

from __future__ import annotations

import heapq
from datetime import datetime, timedelta
from itertools import count

from lavenderrun.decisions._accountline import Account, Entry, Heap, Lane
from lavenderrun.decisions._queue import QUEUE_POLICIES, Job, JobKey
from lavenderrun.types import AccountId

SLACK_JOBS = 2.0
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
        self._ready: dict[Lane, Heap] = {Lane.ON_TIME: [], Lane.LATE: []}
        self._parked: list[tuple[float, Account]] = []
        self._starts: list[tuple[float, Account]] = []
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
        if not account.count:
            account.start = max(account.start, self._virtual)
            heapq.heappush(self._starts, (account.start, account))
        entry = Entry(job, account, next(self._order))
        self._entries[job.key] = entry
        account.count += 1
        account.count_in(entry, 1)
        self._work += job.cost
        share = job.cost / job.weight
        self._mean_cost += (share - self._mean_cost) * (COST_MEMORY if self._mean_cost else 1.0)
        heapq.heappush(self._deadlines, (job.deadline, entry))
        self._line_up(entry, job.due)
        self._advance()

    def peek(self, now: datetime) -> Job | None:
        """Return the next job."""
        entry = self._choose(now)
        return None if entry is None else entry.job

    def pop(self, now: datetime) -> Job | None:
        """Take the next job and charge its account."""
        entry = self._choose(now)
        if entry is None:
            return None
        is_late = entry.lane is Lane.LATE
        self._turn = 0 if is_late else self._turn + 1
        self._late_share += (is_late - self._late_share) * LATE_MEMORY
        account = entry.account
        account.start = max(account.start, self._virtual) + entry.job.cost / entry.job.weight
        self._forget(entry)
        if account.count:
            heapq.heappush(self._starts, (account.start, account))
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

    def next_deadline(self) -> datetime | None:
        """Return the earliest end of patience among the waiting jobs."""
        while self._deadlines and not self._deadlines[0][1].live:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None

    def _choose(self, now: datetime) -> Entry | None:
        self._demote(now)
        on_time = self._head(Lane.ON_TIME)
        late = self._head(Lane.LATE)
        if on_time is None or (late is not None and self._turn >= LATE_TURN):
            return late
        return on_time

    def _head(self, lane: Lane) -> Entry | None:
        """Return the earliest entry of an eligible account."""
        ready = self._ready[lane]
        while ready:
            entry = ready[0][1]
            if entry.live and entry.lane is lane:
                if self._is_eligible(entry.account):
                    return entry
                self._park(entry.account)
            heapq.heappop(ready)
        return None

    def _demote(self, now: datetime) -> None:
        """Move entries that have missed their due instant to the late lane."""
        ready = self._ready[Lane.ON_TIME]
        while ready and (ready[0][0] < now or not ready[0][1].live):
            _, entry = heapq.heappop(ready)
            if not entry.live or entry.lane is Lane.LATE:
                continue
            account = entry.account
            account.count_in(entry, -1)
            entry.lane = Lane.LATE
            account.count_in(entry, 1)
            self._line_up(entry, entry.job.deadline)
            self._show(account, Lane.ON_TIME)
            if self._late_wait(entry) > entry.job.deadline - now:
                self._hopeless.append(entry)

    def _late_wait(self, entry: Entry) -> timedelta:
        """Estimate how long a late entry waits at the share that late ones got of late."""
        weights = sum(account.weight for account in self._accounts.values() if account.count)
        share = self._drain * entry.account.weight / weights
        rate = share * max(1 / LATE_TURN, self._late_share)
        return timedelta(seconds=(entry.account.late_work - entry.job.cost) / rate)

    def _is_eligible(self, account: Account) -> bool:
        return account.start <= self._virtual + SLACK_JOBS * self._mean_cost

    def _line_up(self, entry: Entry, instant: datetime) -> None:
        heapq.heappush(entry.account.lanes[entry.lane], (instant, entry))
        self._show(entry.account, entry.lane)

    def _show(self, account: Account, lane: Lane) -> None:
        """Put the account's head of a lane among the ready, unless the account is parked."""
        head = account.head(lane)
        if head is not None and not account.parked:
            heapq.heappush(self._ready[lane], head)

    def _park(self, account: Account) -> None:
        if not account.parked:
            account.parked = True
            heapq.heappush(self._parked, (account.start, account))

    def _advance(self) -> None:
        """Move virtual time to the smallest tag of a waiting account."""
        if not self._entries:
            self._reset()
            return
        starts = self._starts
        while not (starts[0][1].count and starts[0][0] == starts[0][1].start):
            heapq.heappop(starts)
        self._virtual = max(self._virtual, starts[0][0])
        while self._idle and self._idle[0][0] <= self._virtual:
            _, account = heapq.heappop(self._idle)
            if not account.count:
                self._accounts.pop(account.name, None)
        while self._parked and self._is_eligible(self._parked[0][1]):
            _, account = heapq.heappop(self._parked)
            account.parked = False
            self._show(account, Lane.ON_TIME)
            self._show(account, Lane.LATE)

    def _forget(self, entry: Entry) -> None:
        entry.live = False
        del self._entries[entry.job.key]
        account = entry.account
        account.count -= 1
        account.count_in(entry, -1)
        self._work -= entry.job.cost
        if account.count:
            self._show(account, entry.lane)
            return
        for heap in account.lanes.values():
            heap.clear()
        heapq.heappush(self._idle, (account.start, account))

    def _reset(self) -> None:
        """Drop all state: with no one waiting there is no share to defend."""
        self._accounts.clear()
        self._parked.clear()
        self._starts.clear()
        self._idle.clear()
        self._hopeless.clear()
        self._deadlines.clear()
        for heap in self._ready.values():
            heap.clear()
        self._work = 0.0
