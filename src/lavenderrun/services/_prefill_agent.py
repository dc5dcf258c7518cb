"""Service ``prefill_agent``: runs prefills on the engine beside this agent."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import ClassVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from lavenderrun.decisions import (
    QUEUE_POLICIES,
    CancelPrefill,
    FreeExport,
    Job,
    JobKey,
    PrefillAction,
    PrefillRequest,
    PrefillScheduler,
    RefusePrefill,
    StartPrefill,
)
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._movable_timer import MovableTimer
from lavenderrun.services._outage import Outage
from lavenderrun.services._policies import PolicyNames
from lavenderrun.types import (
    AttemptFailed,
    BackendCrashError,
    BackendId,
    Cancel,
    Engine,
    Export,
    ExportFreed,
    ExportHeld,
    Link,
    Links,
    LoadReport,
    Outcome,
    Prefill,
    PrefillDone,
    Prefilled,
    PrefillStarted,
    Refusal,
    Refused,
    Step,
)

AFTER_PREFILL = timedelta(milliseconds=150)
"""Time from the end of a prefill's wait to the first token at the caller."""
LATE_SLACK = timedelta(milliseconds=400)
PARALLEL = 1
LEAVING = Refused(Refusal.LEAVING, Outcome.NOT_RUN, Step.PREFILL)
"""Prefills that an engine computes at once."""


class PrefillJob:
    """One prefill ordered by an entry."""

    def __init__(self, link: Link, order: Prefill) -> None:
        self.link = link
        self.order = order
        self.running: Deferred[Export] | None = None
        self.export: Export | None = None
        self.began: datetime | None = None


class PrefillAgent:
    """Carries out what the prefill book of one engine decides."""

    needs: ClassVar[tuple[str, ...]] = ("links", "engine", "record")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._engine = kernel.find("engine", Engine)
        self._events = EventEmitter.from_kernel(kernel)
        self._outage = Outage(kernel.clock)
        self._drain = Drain(kernel.clock, self._is_busy)
        self._backend: BackendId = kernel.settings.hello().backend
        queue = QUEUE_POLICIES.find(PolicyNames.from_kernel(kernel).queue)
        self._book = PrefillScheduler(PARALLEL, kernel.settings.kv_blocks(), queue)
        self._jobs: dict[JobKey, PrefillJob] = {}
        self._alarm = MovableTimer(kernel.clock, self._tick)

    def start(self) -> None:
        """Listen to entries and report load."""
        self._links.subscribe(Prefill, self._take_order)
        self._links.subscribe(Cancel, self._take_cancel)
        self._links.watch(lambda link: None, self._link_down)
        self._links.bind_load(self.load)

    def stop(self) -> Deferred[None]:
        """Take no new work, send away what has not begun, and wait for the rest."""
        for key in [key for key, job in self._jobs.items() if job.began is None]:
            self._send_away(self._jobs[key].link, key)
            self._drop(key)
        return self._drain.start().addBoth(lambda _: self.close())

    def close(self) -> None:
        """Drop all jobs at once."""
        for key in list(self._jobs):
            self._drop(key)
        self._alarm.set(None)

    def _send_away(self, link: Link, key: JobKey) -> None:
        link.send(AttemptFailed(*key, LEAVING, started=False))

    def _is_busy(self) -> bool:
        return bool(self._jobs)

    def count_jobs(self) -> int:
        """Return the number of jobs in hand."""
        return len(self._jobs)

    def load(self) -> LoadReport:
        """Return the load that heartbeats carry."""
        return self._book.load(self._clock.now())

    def _take_order(self, link: Link, order: Prefill) -> None:
        key = (order.request, order.attempt)
        if key in self._jobs:
            return
        if self._drain.is_draining:
            self._send_away(link, key)
            return
        if self._outage.turn_away():
            link.send(AttemptFailed(*key, self._outage.refuse(Step.PREFILL), started=False))
            return
        self._jobs[key] = PrefillJob(link, order)
        self._apply(self._book.submit(self._read(link, order), self._clock.now()))

    def _read(self, link: Link, order: Prefill) -> PrefillRequest:
        now = self._clock.now()
        cost = self._book.speed.estimate(order.tokens)
        job = Job(
            order.request,
            order.attempt,
            order.account,
            cost,
            order.weight,
            order.urgency,
            now + _find_slack(order.urgency),
            now + order.start_in + order.patience,
        )
        return PrefillRequest(job, order.tokens, order.start_in, link.peer.host)

    def _tick(self) -> None:
        self._apply(self._book.tick(self._clock.now()))

    def _apply(self, actions: Sequence[PrefillAction]) -> None:
        for action in actions:
            job = self._jobs.get(action.key)
            if job is not None:
                self._carry_out(action, job)
        self._alarm.set(self._book.next_tick())
        self._drain.finish_if_idle()

    def _carry_out(self, action: PrefillAction, job: PrefillJob) -> None:
        match action:
            case StartPrefill(key):
                self._compute(key, job)
            case CancelPrefill(key):
                del self._jobs[key]
                if job.running is not None:
                    job.running.cancel()
            case FreeExport(key):
                del self._jobs[key]
                if job.export is not None:
                    self._engine.release(job.export.handle)
                    self._events.emit(ExportFreed(*key, self._backend))
            case RefusePrefill(key, _, refusal, retry_after):
                del self._jobs[key]
                refused = Refused(refusal, Outcome.NOT_RUN, Step.PREFILL, retry_after=retry_after)
                job.link.send(AttemptFailed(*key, refused, started=False))

    def _compute(self, key: JobKey, job: PrefillJob) -> None:
        order = job.order
        self._events.emit(PrefillStarted(*key, self._backend, order.tokens))
        job.began = self._clock.now()
        job.running = self._engine.prefill(order.request, order.model, order.text)
        job.running.addCallbacks(
            self._finish, self._fail, callbackArgs=(key, job), errbackArgs=(key, job)
        )

    def _finish(self, export: Export, key: JobKey, job: PrefillJob) -> None:
        self._outage.end()
        self._events.emit(PrefillDone(*key, self._backend, export.tokens, export.cached))
        if self._jobs.get(key) is not job:
            self._engine.release(export.handle)
            return
        job.export = export
        self._events.emit(ExportHeld(*key, self._backend))
        now = self._clock.now()
        actions = self._book.finish(key, now, cached=export.cached, lives=export.lifetime)
        job.link.send(
            Prefilled(
                *key,
                export.handle,
                export.source,
                export.tokens,
                export.cached,
                export.lifetime,
                now - (job.began or now),
                self.load(),
            )
        )
        self._apply(actions)

    def _fail(self, failure: Failure, key: JobKey, job: PrefillJob) -> None:
        if self._jobs.get(key) is not job or isinstance(failure.value, CancelledError):
            return
        del self._jobs[key]
        crashed = isinstance(failure.value, BackendCrashError)
        self._outage.note(failure.value)
        refused = Refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN, Step.PREFILL)
        job.link.send(AttemptFailed(*key, refused, started=False, crashed=crashed))
        self._apply(self._book.fail(key, self._clock.now()))

    def _take_cancel(self, _link: Link, cancel: Cancel) -> None:
        self._drop((cancel.request, cancel.attempt))

    def _link_down(self, link: Link) -> None:
        for key in [key for key, job in self._jobs.items() if job.link is link]:
            if self._jobs[key].export is None:
                self._drop(key)

    def _drop(self, key: JobKey) -> None:
        self._apply(self._book.cancel(key, self._clock.now()))
        self._jobs.pop(key, None)


def _find_slack(urgency: timedelta) -> timedelta:
    """Return how long a prefill may wait; one that is late all the same holds a seat already."""
    slack = urgency - AFTER_PREFILL
    return slack if slack > timedelta(0) else LATE_SLACK


@SERVICES.register("prefill_agent")
def make_prefill_agent(kernel: Kernel) -> PrefillAgent:
    """Make the service."""
    return PrefillAgent(kernel)
