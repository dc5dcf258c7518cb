"""The book of a prefill agent: work held back to its time, the fair queue, and the exports.

It does no I/O: it takes what happened and returns what is to be done. An export is held until it
was imported, the attempt was cancelled or its life is over; an attempt that is over never computes.
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
    """A prefill that an entry asks for.

    :param start_in: how long the work is held back.
    """

    job: Job
    tokens: int
    start_in: timedelta
    holder: HostId


@dataclass(frozen=True, slots=True)
class StartPrefill:
    """Give the prefill to the engine."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class CancelPrefill:
    """Take a running prefill back from the engine."""

    key: JobKey


@dataclass(frozen=True, slots=True)
class FreeExport:
    """Free an export."""

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
    """Work and exports of one prefill engine.

    :param parallel: prefills that the engine computes at once.
    :param queue: makes the line; its argument is *parallel*.
    """

    def __init__(self, parallel: int, pieces: int, queue: Callable[[float], QueuePolicy]) -> None:
        self.speed = PrefillTimeEstimator()
        self._parallel = parallel
        self._pieces = pieces
        self._queue = queue(float(parallel))
        self._orders: dict[JobKey, PrefillRequest] = {}
        self._held_back: list[tuple[datetime, JobKey]] = []
        self._computing: dict[JobKey, datetime] = {}
        self._exports: dict[JobKey, datetime] = {}
        self._ended = Tombstones()

    def list_attempts(self) -> list[JobKey]:
        """Return the attempts that wait, compute or have an export."""
        return [*self._orders, *self._exports]

    def load(self, now: datetime) -> LoadReport:
        """Return the load to report; held-back work counts as queued."""
        queued = len(self._orders) - len(self._computing)
        backlog = timedelta(seconds=self._backlog(now))
        return LoadReport(self._parallel, len(self._computing), queued, backlog, self._pieces)

    def submit(self, order: PrefillRequest, now: datetime) -> list[PrefillAction]:
        """Take an order; a repeated one changes nothing."""
        key = order.job.key
        if key in self._orders or key in self._exports:
            return []
        if key in self._ended:
            return [RefusePrefill(key, order.holder, Refusal.CANCELLED)]
        wait = max(order.start_in, self._estimate_wait(order.job, now))
        if now + wait > order.job.deadline:
            self._ended.add(key, now, started=False)
            return [RefusePrefill(key, order.holder, Refusal.NO_ROOM, wait)]
        self._orders[key] = order
        if order.start_in > ZERO:
            heapq.heappush(self._held_back, (now + order.start_in, key))
        else:
            self._queue.push(order.job, now)
        return self._assign(now)

    def finish(
        self, key: JobKey, now: datetime, *, cached: int, lives: timedelta
    ) -> list[PrefillAction]:
        """Take a computed export; one that nobody waits for is released."""
        began = self._computing.pop(key, None)
        if began is None:
            return [FreeExport(key), *self._assign(now)]
        order = self._orders.pop(key)
        self.speed.add(order.tokens, cached, (now - began).total_seconds())
        self._exports[key] = now + lives
        return self._assign(now)

    def fail(self, key: JobKey, now: datetime) -> list[PrefillAction]:
        """Note that the engine gave a prefill up."""
        if self._computing.pop(key, None) is not None:
            del self._orders[key]
            self._ended.add(key, now, started=True)
        return self._assign(now)

    def cancel(self, key: JobKey, now: datetime) -> list[PrefillAction]:
        """End an attempt in whatever state, known or not yet known."""
        actions: list[PrefillAction] = []
        started = key in self._computing or key in self._exports
        if self._computing.pop(key, None) is not None:
            actions.append(CancelPrefill(key))
        if self._exports.pop(key, None) is not None:
            actions.append(FreeExport(key))
        self._orders.pop(key, None)
        self._queue.remove(key)
        self._ended.add(key, now, started=started)
        return [*actions, *self._assign(now)]

    def tick(self, now: datetime) -> list[PrefillAction]:
        """End what has run out and begin what has come to its time."""
        actions: list[PrefillAction] = []
        while self._held_back and self._held_back[0][0] <= now:
            _, key = heapq.heappop(self._held_back)
            if key in self._orders and key not in self._computing:
                self._queue.push(self._orders[key].job, now)
        for job in self._queue.expire(now):
            order = self._orders.pop(job.key)
            self._ended.add(job.key, now, started=False)
            actions.append(RefusePrefill(job.key, order.holder, Refusal.DEADLINE))
        for key in [key for key, end in self._exports.items() if end <= now]:
            del self._exports[key]
            self._ended.add(key, now, started=True)
            actions.append(FreeExport(key))
        return [*actions, *self._assign(now)]

    def next_tick(self) -> datetime | None:
        """Return when :meth:`tick` is due next."""
        instants = [*self._exports.values()]
        if self._held_back:
            instants.append(self._held_back[0][0])
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
        ahead = self._queue.work_ahead(job) + self._running(now)
        return timedelta(seconds=ahead / self._parallel)

    def _running(self, now: datetime) -> float:
        """Return what the running prefills still take in seconds."""
        left = 0.0
        for key, began in self._computing.items():
            estimate = self._orders[key].job.cost
            left += max(0.0, estimate - (now - began).total_seconds())
        return left

    def _backlog(self, now: datetime) -> float:
        held_back = sum(
            self._orders[key].job.cost
            for _, key in self._held_back
            if key in self._orders and key not in self._computing
        )
        return (self._queue.work + held_back + self._running(now)) / self._parallel
