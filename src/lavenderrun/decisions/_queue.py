"""Interface of the agents' job queues, and the first-come, first-served baseline."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Protocol

from lavenderrun.kernel import Registry
from lavenderrun.types import AccountId, AttemptId, RequestId

JobKey = tuple[RequestId, AttemptId]


@dataclass(frozen=True, slots=True)
class Job:
    """Work that waits for a backend server.

    :param account: the client account; empty on routes that need no key.
    :param cost: expected work in seconds of one decode slot or server.
    :param weight: weight of the account relative to the others.
    :param urgency: target time to the first token or to the head of the reply.
    :param due: latest start that still meets the target.
    :param deadline: when the request stops waiting.
    """

    request: RequestId
    attempt: AttemptId
    account: AccountId
    cost: float
    weight: float
    urgency: timedelta
    due: datetime
    deadline: datetime

    @property
    def key(self) -> JobKey:
        """Return the key that identifies the job: its request and attempt."""
        return (self.request, self.attempt)


class QueuePolicy(Protocol):
    """Decides in which order waiting jobs are served; every job leaves exactly once."""

    def __len__(self) -> int:
        """Return the number of waiting jobs."""

    @property
    def work(self) -> float:
        """Return the total cost of all waiting jobs in seconds."""

    @property
    def on_time_work(self) -> float:
        """Return the total cost in seconds of the jobs that a new one would wait for."""

    def push(self, job: Job, now: datetime) -> None:
        """Add a job; a key that is already waiting is ignored."""

    def peek(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Return the job that the next :meth:`pop` at *now* takes.

        :param excluded: accounts whose jobs must not be served now.
        """

    def pop(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Remove and return the next job, ``None`` when no account has a turn."""

    def remove(self, key: JobKey) -> Job | None:
        """Remove and return a job out of turn, ``None`` when it is not waiting."""

    def expire(self, now: datetime) -> list[Job]:
        """Remove and return all jobs that can no longer be served before their deadline."""

    def work_ahead(self, job: Job) -> float:
        """Return the seconds of work that would be served before *job* if it were added now."""

    def has_late_jobs(self, account: AccountId) -> bool:
        """Tell whether *account* has waiting jobs that missed their due time."""

    def next_deadline(self) -> datetime | None:
        """Return when :meth:`expire` must be called next, ``None`` when no job waits."""


QUEUE_POLICIES: Registry[Callable[[float], QueuePolicy]] = Registry("queue policy")
"""Queue factories by name; the argument is the work done per second, such as the slot count."""


@QUEUE_POLICIES.register("fifo")
class FifoQueue:
    """First come, first served, regardless of account and urgency; the baseline for comparisons.

    :param work_rate: seconds of work done per second.
    """

    def __init__(self, work_rate: float) -> None:
        self._work_rate = work_rate
        self._jobs: dict[JobKey, Job] = {}
        self._deadlines: list[tuple[datetime, JobKey]] = []
        self._work = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def work(self) -> float:
        """Return the total cost of all waiting jobs in seconds."""
        return self._work if self._jobs else 0.0

    @property
    def on_time_work(self) -> float:
        """Return the total cost of all waiting jobs in seconds: a new job waits for all of them."""
        return self.work

    def push(self, job: Job, now: datetime) -> None:
        """Add a job at the end; a key that is already waiting is ignored."""
        if job.key in self._jobs:
            return
        self._jobs[job.key] = job
        self._work += job.cost
        heapq.heappush(self._deadlines, (job.deadline, job.key))

    def peek(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Return the oldest job of any account, without removing it."""
        return next(iter(self._jobs.values()), None)

    def pop(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Remove and return the oldest job of any account."""
        job = self.peek(now)
        return None if job is None else self.remove(job.key)

    def remove(self, key: JobKey) -> Job | None:
        """Remove and return a job out of turn, ``None`` when it is not waiting."""
        job = self._jobs.pop(key, None)
        if job is not None:
            self._work -= job.cost
        return job

    def expire(self, now: datetime) -> list[Job]:
        """Remove and return all jobs past their deadline."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, key = heapq.heappop(self._deadlines)
            job = self._jobs.get(key)
            if job is not None and job.deadline <= now:
                self.remove(key)
                expired.append(job)
        return expired

    def work_ahead(self, job: Job) -> float:
        """Return the total cost of all waiting jobs in seconds."""
        return self.work

    def has_late_jobs(self, account: AccountId) -> bool:
        """Return ``False``: this queue ignores due times."""
        return False

    def next_deadline(self) -> datetime | None:
        """Return the earliest deadline of the waiting jobs."""
        while self._deadlines and self._deadlines[0][1] not in self._jobs:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None
