"""The line of one client account in the fair queue."""

from __future__ import annotations

import heapq
from datetime import datetime, timedelta
from enum import Enum

from lavenderrun.decisions._queue import Job
from lavenderrun.types import AccountId


class Lane(Enum):
    """Whether a job can still meet its due instant."""

    ON_TIME = "on_time"
    LATE = "late"


class Entry:
    """A waiting job and its place."""

    __slots__ = ("account", "job", "lane", "live", "order")

    def __init__(self, job: Job, account: Account, order: int) -> None:
        self.job = job
        self.account = account
        self.order = order
        self.lane = Lane.ON_TIME
        self.live = True

    def __lt__(self, other: Entry) -> bool:
        return self.order < other.order


Heap = list[tuple[datetime, Entry]]


class Account:
    """The line of one client account and its virtual start tag."""

    __slots__ = ("counts", "lanes", "late_work", "name", "parked", "start", "weight", "work")

    def __init__(self, name: AccountId, start: float) -> None:
        self.name = name
        self.start = start
        self.weight = 1.0
        self.counts = {Lane.ON_TIME: 0, Lane.LATE: 0}
        self.parked = {Lane.ON_TIME: False, Lane.LATE: False}
        self.lanes: dict[Lane, Heap] = {Lane.ON_TIME: [], Lane.LATE: []}
        self.work: dict[timedelta, float] = {}
        self.late_work = 0.0

    def __lt__(self, other: Account) -> bool:
        return self.name < other.name

    @property
    def count(self) -> int:
        """Return the number of waiting jobs."""
        return self.counts[Lane.ON_TIME] + self.counts[Lane.LATE]

    def head(self, lane: Lane) -> tuple[datetime, Entry] | None:
        """Return the first live entry of a lane with its instant."""
        heap = self.lanes[lane]
        while heap and not (heap[0][1].live and heap[0][1].lane is lane):
            heapq.heappop(heap)
        return heap[0] if heap else None

    def count_in(self, entry: Entry, sign: int) -> None:
        """Add the entry's cost to the work of its lane, or take it away."""
        job = entry.job
        self.counts[entry.lane] += sign
        if entry.lane is Lane.LATE:
            self.late_work = max(0.0, self.late_work + sign * job.cost)
            return
        left = self.work.get(job.urgency, 0.0) + sign * job.cost
        if left > 1e-9:
            self.work[job.urgency] = left
        else:
            self.work.pop(job.urgency, None)

    def work_within(self, urgency: timedelta) -> float:
        """Return the work on time, in seconds, that is at least as urgent."""
        return sum(work for other, work in self.work.items() if other <= urgency)
