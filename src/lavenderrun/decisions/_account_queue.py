"""Waiting jobs of one client account in the fair queue."""

from __future__ import annotations

import heapq
from datetime import datetime, timedelta
from enum import Enum

from lavenderrun.decisions._queue import Job
from lavenderrun.types import AccountId


class Lane(Enum):
    """Whether a waiting job can still be started by its due time."""

    ON_TIME = "on_time"
    LATE = "late"


class QueuedJob:
    """A waiting job with its account, its lane and its order of arrival."""

    __slots__ = ("account", "is_waiting", "job", "lane", "order")

    def __init__(self, job: Job, account: AccountQueue, order: int) -> None:
        self.job = job
        self.account = account
        self.order = order
        self.lane = Lane.ON_TIME
        self.is_waiting = True

    def __lt__(self, other: QueuedJob) -> bool:
        return self.order < other.order


Heap = list[tuple[datetime, QueuedJob]]


class AccountQueue:
    """Waiting jobs of one client account and its virtual start tag."""

    __slots__ = ("counts", "lanes", "late_work", "name", "parked", "start_tag", "weight", "work")

    def __init__(self, name: AccountId, start_tag: float) -> None:
        self.name = name
        self.start_tag = start_tag
        self.weight = 1.0
        self.counts = {Lane.ON_TIME: 0, Lane.LATE: 0}
        self.parked = {Lane.ON_TIME: False, Lane.LATE: False}
        self.lanes: dict[Lane, Heap] = {Lane.ON_TIME: [], Lane.LATE: []}
        self.work: dict[timedelta, float] = {}
        self.late_work = 0.0

    def __lt__(self, other: AccountQueue) -> bool:
        return self.name < other.name

    @property
    def count(self) -> int:
        """Return the number of waiting jobs."""
        return self.counts[Lane.ON_TIME] + self.counts[Lane.LATE]

    def head(self, lane: Lane) -> tuple[datetime, QueuedJob] | None:
        """Return the first waiting job of a lane with the time that orders it."""
        heap = self.lanes[lane]
        while heap and not (heap[0][1].is_waiting and heap[0][1].lane is lane):
            heapq.heappop(heap)
        return heap[0] if heap else None

    def update_totals(self, queued: QueuedJob, sign: int) -> None:
        """Add a job to the totals of its lane (*sign* 1) or subtract it (*sign* -1)."""
        job = queued.job
        self.counts[queued.lane] += sign
        if queued.lane is Lane.LATE:
            self.late_work = max(0.0, self.late_work + sign * job.cost)
            return
        left = self.work.get(job.urgency, 0.0) + sign * job.cost
        if left > 1e-9:
            self.work[job.urgency] = left
        else:
            self.work.pop(job.urgency, None)

    def work_within(self, urgency: timedelta) -> float:
        """Return the seconds of on-time work whose target is at most *urgency*."""
        return sum(work for other, work in self.work.items() if other <= urgency)
