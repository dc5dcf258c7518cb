"""Scheduler of a prefill agent: delayed prefills, the queue, and the exports of its engine.

An export is kept until it has been imported, its attempt is cancelled or its lifetime ends. An
attempt that has ended is never computed. The scheduler does no I/O: its methods take events and
return the actions to carry out.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta

from lavenderrun.decisions._estimates import PrefillTimeEstimator
from lavenderrun.decisions._queue import Job, JobKey, QueuePolicy
from lavenderrun.decisions._tombstones import Tombstones
from lavenderrun.types import HostId, LoadReport, Refusal

ZERO = timedelta(0)


@dataclass(frozen=True, slots=True)
class PrefillRequest:
    """Request of an entry for a prefill.

    :param tokens: tokens of the prompt.
    :param start_in: delay before the prefill may enter the queue.
    :param holder: the entry.
    """

    job: Job
    tokens: int
    start_in: timedelta
    holder: HostId


@dataclass(frozen=True, slots=True)
class StartPrefill:
    """Start the prefill on the engine."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class CancelPrefill:
    """Cancel a prefill that runs on the engine."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class FreeExport:
    """Release an export on the engine."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class RefusePrefill:
    """Tell the entry that the prefill was not run."""

    key: JobKey
    holder: HostId
    refusal: Refusal
    retry_after: timedelta = ZERO


PrefillAction = StartPrefill | CancelPrefill | FreeExport | RefusePrefill


class PrefillScheduler:
    """Prefills and exports of one prefill engine.

    :param parallel: prefills that the engine computes at once.
    :param kv_blocks: KV blocks of the engine, as its load report gives them.
    :param queue: builds the queue; its argument is *parallel*.
    """

    def __init__(
        self, parallel: int, kv_blocks: int, queue: Callable[[float], QueuePolicy]
    ) -> None:
        self.speed = PrefillTimeEstimator()
        self._parallel = parallel
        self._kv_blocks = kv_blocks
        self._queue = queue(float(parallel))
        self._requests: dict[JobKey, PrefillRequest] = {}
        self._delayed: list[tuple[datetime, JobKey]] = []
        self._computing: dict[JobKey, datetime] = {}
        self._exports: dict[JobKey, datetime] = {}
        self._ended = Tombstones()

    def list_attempts(self) -> list[JobKey]:
        """Return the attempts that are delayed, queued or computed, or have an export."""
        return [*self._requests, *self._exports]

    def load(self, now: datetime) -> LoadReport:
        """Return the load report of the engine; delayed prefills count as queued."""
        queued = len(self._requests) - len(self._computing)
        backlog = timedelta(seconds=self._estimate_backlog(now))
        return LoadReport(self._parallel, len(self._computing), queued, backlog, self._kv_blocks)

    def submit(self, request: PrefillRequest, now: datetime) -> list[PrefillAction]:
        """Delay, queue or refuse a prefill; a repeated request changes nothing."""
        key = request.job.key
        if key in self._requests or key in self._exports:
            return []
        if key in self._ended:
            return [RefusePrefill(key, request.holder, Refusal.CANCELLED)]
        wait = max(request.start_in, self._estimate_wait(request.job, now))
        if now + wait > request.job.deadline:
            self._ended.add(key, now, started=False)
            return [RefusePrefill(key, request.holder, Refusal.NO_ROOM, wait)]
        self._requests[key] = request
        if request.start_in > ZERO:
            heapq.heappush(self._delayed, (now + request.start_in, key))
        else:
            self._queue.push(request.job, now)
        return self._assign(now)

    def finish(
        self, key: JobKey, now: datetime, *, cached: int, lives: timedelta
    ) -> list[PrefillAction]:
        """Record the export of a computed prefill; free it when its attempt has ended.

        :param cached: tokens of the prompt that the prefix cache held.
        :param lives: how long the engine keeps the export.
        """
        started_at = self._computing.pop(key, None)
        if started_at is None:
            return [FreeExport(key), *self._assign(now)]
        request = self._requests.pop(key)
        self.speed.add(request.tokens, cached, (now - started_at).total_seconds())
        self._exports[key] = now + lives
        return self._assign(now)

    def fail(self, key: JobKey, now: datetime) -> list[PrefillAction]:
        """Record that a prefill failed on the engine."""
        if self._computing.pop(key, None) is not None:
            del self._requests[key]
            self._ended.add(key, now, started=True)
        return self._assign(now)

    def cancel(self, key: JobKey, now: datetime) -> list[PrefillAction]:
        """End an attempt in any state; one not yet known is refused when its request arrives."""
        actions: list[PrefillAction] = []
        started = key in self._computing or key in self._exports
        if self._computing.pop(key, None) is not None:
            actions.append(CancelPrefill(key))
        if self._exports.pop(key, None) is not None:
            actions.append(FreeExport(key))
        self._requests.pop(key, None)
        self._queue.remove(key)
        self._ended.add(key, now, started=started)
        return [*actions, *self._assign(now)]

    def tick(self, now: datetime) -> list[PrefillAction]:
        """Queue delayed prefills that are due; end requests and exports whose time is up."""
        actions: list[PrefillAction] = []
        while self._delayed and self._delayed[0][0] <= now:
            _, key = heapq.heappop(self._delayed)
            if key in self._requests and key not in self._computing:
                self._queue.push(self._requests[key].job, now)
        for job in self._queue.expire(now):
            request = self._requests.pop(job.key)
            self._ended.add(job.key, now, started=False)
            actions.append(RefusePrefill(job.key, request.holder, Refusal.DEADLINE))
        for key in [key for key, end in self._exports.items() if end <= now]:
            del self._exports[key]
            self._ended.add(key, now, started=True)
            actions.append(FreeExport(key))
        return [*actions, *self._assign(now)]

    def next_tick(self) -> datetime | None:
        """Return when :meth:`tick` must be called next, ``None`` for not at all."""
        instants = [*self._exports.values()]
        if self._delayed:
            instants.append(self._delayed[0][0])
        deadline = self._queue.next_deadline()
        if deadline is not None:
            instants.append(deadline)
        return min(instants, default=None)

    def _assign(self, now: datetime) -> list[PrefillAction]:
        actions: list[PrefillAction] = []
        while len(self._computing) < self._parallel:
            job = self._queue.pop(now)
            if job is None:
                break
            self._computing[job.key] = now
            actions.append(StartPrefill(job.key))
        return actions

    def _estimate_wait(self, job: Job, now: datetime) -> timedelta:
        ahead = self._queue.work_ahead(job) + self._estimate_remaining(now)
        return timedelta(seconds=ahead / self._parallel)

    def _estimate_remaining(self, now: datetime) -> float:
        """Return the seconds that the running prefills are expected to take from now on."""
        left = 0.0
        for key, started_at in self._computing.items():
            estimate = self._requests[key].job.cost
            left += max(0.0, estimate - (now - started_at).total_seconds())
        return left

    def _estimate_backlog(self, now: datetime) -> float:
        delayed = sum(
            self._requests[key].job.cost
            for _, key in self._delayed
            if key in self._requests and key not in self._computing
        )
        return (self._queue.work + delayed + self._estimate_remaining(now)) / self._parallel
