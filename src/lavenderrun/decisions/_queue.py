"""The interface of the queues that agents keep, and the plain first-come baseline."""

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

    :param account: the client account, empty on routes open to all.
    :param cost: expected work in seconds of one seat or server.
    :param weight: share of the account against the others.
    :param urgency: target for the first token or the reply's head.
    :param due: latest start that still meets the target.
    :param deadline: end of the request's patience.
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
        """Return what tells the job from all others."""
        return (self.request, self.attempt)


class QueuePolicy(Protocol):
    """Order in which waiting jobs are served; every job leaves exactly once."""

    def __len__(self) -> int:
        """Return the number of waiting jobs."""

    @property
    def work(self) -> float:
        """Return the summed cost of all waiting jobs in seconds."""

    @property
    def on_time_work(self) -> float:
        """Return the summed cost in seconds of the jobs that a new one would wait for."""

    def push(self, job: Job, now: datetime) -> None:
        """Add a job; a key that waits already is ignored."""

    def peek(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Return the job that the next :meth:`pop` at *now* takes.

        :param excluded: accounts that may not have a turn now.
        """

    def pop(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Take the next job."""

    def remove(self, key: JobKey) -> Job | None:
        """Take a job out of turn, ``None`` when it does not wait."""

    def expire(self, now: datetime) -> list[Job]:
        """Take all jobs that can no longer be served within their patience."""

    def work_ahead(self, job: Job) -> float:
        """Return the work in seconds that goes before *job* if it came now."""

    def has_late_jobs(self, account: AccountId) -> bool:
        """Tell whether *account* has waiting jobs that have missed their due instant."""

    def next_deadline(self) -> datetime | None:
        """Return when :meth:`expire` has to be called next."""


QUEUE_POLICIES: Registry[Callable[[float], QueuePolicy]] = Registry("queue policy")
"""Queue factories by name; the argument is the work done a second, for example the seats."""


@QUEUE_POLICIES.register("fifo")
class FifoQueue:
    """First come, first served, blind to account and urgency; the baseline.

    :param drain: seconds of work done a second.
    """

    def __init__(self, drain: float) -> None:
        self._drain = drain
        self._jobs: dict[JobKey, Job] = {}
        self._deadlines: list[tuple[datetime, JobKey]] = []
        self._work = 0.0

    def __len__(self) -> int:
        return len(self._jobs)

    @property
    def work(self) -> float:
        """Return the summed cost in seconds."""
        return self._work if self._jobs else 0.0

    @property
    def on_time_work(self) -> float:
        """Return the summed cost in seconds."""
        return self.work

    def push(self, job: Job, now: datetime) -> None:
        """Add a job at the end."""
        if job.key in self._jobs:
            return
        self._jobs[job.key] = job
        self._work += job.cost
        heapq.heappush(self._deadlines, (job.deadline, job.key))

    def peek(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Return the oldest job, whosoever it is."""
        return next(iter(self._jobs.values()), None)

    def pop(self, now: datetime, excluded: Collection[AccountId] = ()) -> Job | None:
        """Take the oldest job, whosoever it is."""
        job = self.peek(now)
        return None if job is None else self.remove(job.key)

    def remove(self, key: JobKey) -> Job | None:
        """Take a job out of turn."""
        job = self._jobs.pop(key, None)
        if job is not None:
            self._work -= job.cost
        return job

    def expire(self, now: datetime) -> list[Job]:
        """Take all jobs whose patience has ended."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now:
            _, key = heapq.heappop(self._deadlines)
            job = self._jobs.get(key)
            if job is not None and job.deadline <= now:
                self.remove(key)
                expired.append(job)
        return expired

    def work_ahead(self, job: Job) -> float:
        """Return the cost of all waiting jobs."""
        return self.work

    def has_late_jobs(self, account: AccountId) -> bool:
        """Return ``False``: due instants are not looked at."""
        return False

    def next_deadline(self) -> datetime | None:
        """Return the earliest end of patience among the waiting jobs."""
        while self._deadlines and self._deadlines[0][1] not in self._jobs:
            heapq.heappop(self._deadlines)
        return self._deadlines[0][0] if self._deadlines else None
