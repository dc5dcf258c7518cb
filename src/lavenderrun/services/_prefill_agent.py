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
from lavenderrun.services._circuit_breaker import BackendCircuitBreaker
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._job_boundary import JobBoundary
from lavenderrun.services._movable_timer import MovableTimer
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

PREFILL_TO_FIRST_TOKEN = timedelta(milliseconds=150)
"""Expected time from the start of a prefill to the caller's first token."""
LATE_SLACK = timedelta(milliseconds=400)
"""Slack of a prefill that can no longer meet its target for the first token."""
MAX_PARALLEL_PREFILLS = 1
LEAVING_REFUSAL = Refused(Refusal.LEAVING, Outcome.NOT_RUN, Step.PREFILL)


class PrefillJob:
    """State of one prefill that an entry requested."""

    def __init__(self, link: Link, prefill: Prefill) -> None:
        self.link = link
        self.prefill = prefill
        self.result: Deferred[Export] | None = None
        self.export: Export | None = None
        self.started_at: datetime | None = None


class PrefillAgent:
    """Carries out the actions that the scheduler of one prefill engine decides on."""

    needs: ClassVar[tuple[str, ...]] = ("links", "engine", "record")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._engine = kernel.find("engine", Engine)
        self._events = EventEmitter.from_kernel(kernel)
        self._breaker = BackendCircuitBreaker(kernel.clock)
        self._drain = Drain(kernel.clock, self._is_busy)
        self._backend: BackendId = kernel.settings.hello().backend
        queue = QUEUE_POLICIES.find(PolicyNames.from_kernel(kernel).queue)
        self._scheduler = PrefillScheduler(
            MAX_PARALLEL_PREFILLS, kernel.settings.kv_blocks(), queue
        )
        self._jobs: dict[JobKey, PrefillJob] = {}
        self._timer = MovableTimer(kernel.clock, self._tick)
        self._boundary = JobBoundary(self._events, self._backend, self._fail_job)

    def start(self) -> None:
        """Subscribe to the messages of entries and report load."""
        self._links.subscribe(Prefill, self._boundary.guard(self._handle_prefill))
        self._links.subscribe(Cancel, self._boundary.guard(self._handle_cancel))
        self._links.watch(lambda link: None, self._handle_link_down)
        self._links.bind_load(self.load)

    def stop(self) -> Deferred[None]:
        """Refuse new work and what has not started, and fire once the rest has ended."""
        for key in [key for key, job in self._jobs.items() if job.started_at is None]:
            self._refuse(self._jobs[key].link, key)
            self._cancel_job(key)
        return self._drain.start().addBoth(lambda _: self.close())

    def close(self) -> None:
        """Cancel all jobs."""
        for key in list(self._jobs):
            self._cancel_job(key)
        self._timer.set(None)

    def _refuse(self, link: Link, key: JobKey) -> None:
        link.send(AttemptFailed(*key, LEAVING_REFUSAL, started=False))

    def _is_busy(self) -> bool:
        return bool(self._jobs)

    def count_jobs(self) -> int:
        """Return the number of jobs that have not ended."""
        return len(self._jobs)

    def load(self) -> LoadReport:
        """Return the load report for heartbeats."""
        return self._scheduler.load(self._clock.now())

    def _handle_prefill(self, link: Link, prefill: Prefill) -> None:
        key = (prefill.request, prefill.attempt)
        if key in self._jobs:
            return
        if self._drain.is_draining:
            self._refuse(link, key)
            return
        if self._breaker.should_reject():
            link.send(AttemptFailed(*key, self._breaker.make_refusal(Step.PREFILL), started=False))
            return
        self._jobs[key] = PrefillJob(link, prefill)
        self._apply(self._scheduler.submit(self._make_request(link, prefill), self._clock.now()))

    def _make_request(self, link: Link, prefill: Prefill) -> PrefillRequest:
        now = self._clock.now()
        cost = self._scheduler.speed.estimate(prefill.tokens)
        job = Job(
            prefill.request,
            prefill.attempt,
            prefill.account,
            cost,
            prefill.weight,
            prefill.urgency,
            now + _find_slack(prefill.urgency),
            now + prefill.start_in + prefill.patience,
        )
        return PrefillRequest(job, prefill.tokens, prefill.start_in, link.peer.host)

    def _tick(self) -> None:
        self._apply(self._scheduler.tick(self._clock.now()))

    def _apply(self, actions: Sequence[PrefillAction]) -> None:
        for action in actions:
            job = self._jobs.get(action.key)
            if job is not None:
                self._boundary.run(action.key, self._apply_action, action, job)
        self._timer.set(self._scheduler.next_tick())
        self._drain.finish_if_idle()

    def _apply_action(self, action: PrefillAction, job: PrefillJob) -> None:
        match action:
            case StartPrefill(key):
                self._start_prefill(key, job)
            case CancelPrefill(key):
                del self._jobs[key]
                if job.result is not None:
                    job.result.cancel()
            case FreeExport(key):
                del self._jobs[key]
                if job.export is not None:
                    self._engine.release(job.export.handle)
                    self._events.emit(ExportFreed(*key, self._backend))
            case RefusePrefill(key, _, refusal, retry_after):
                del self._jobs[key]
                refused = Refused(refusal, Outcome.NOT_RUN, Step.PREFILL, retry_after=retry_after)
                job.link.send(AttemptFailed(*key, refused, started=False))

    def _start_prefill(self, key: JobKey, job: PrefillJob) -> None:
        prefill = job.prefill
        self._events.emit(PrefillStarted(*key, self._backend, prefill.tokens))
        job.started_at = self._clock.now()
        job.result = self._engine.prefill(prefill.request, prefill.model, prefill.text)
        job.result.addBoth(self._end_prefill, key, job)

    def _end_prefill(self, result: Export | Failure, key: JobKey, job: PrefillJob) -> None:
        job.result = None
        if isinstance(result, Failure):
            self._boundary.run(key, self._fail, result, key, job)
        else:
            self._boundary.run(key, self._finish, result, key, job)

    def _finish(self, export: Export, key: JobKey, job: PrefillJob) -> None:
        self._breaker.record_success()
        self._events.emit(PrefillDone(*key, self._backend, export.tokens, export.cached))
        if self._jobs.get(key) is not job:
            self._engine.release(export.handle)
            return
        job.export = export
        self._events.emit(ExportHeld(*key, self._backend))
        now = self._clock.now()
        actions = self._scheduler.finish(key, now, cached=export.cached, lives=export.lifetime)
        job.link.send(
            Prefilled(
                *key,
                export.handle,
                export.source,
                export.tokens,
                export.cached,
                export.lifetime,
                now - (job.started_at or now),
                self.load(),
            )
        )
        self._apply(actions)

    def _fail(self, failure: Failure, key: JobKey, job: PrefillJob) -> None:
        if self._jobs.get(key) is not job or isinstance(failure.value, CancelledError):
            return
        crashed = isinstance(failure.value, BackendCrashError)
        refused = Refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN, Step.PREFILL)
        job.link.send(AttemptFailed(*key, refused, started=False, crashed=crashed))
        del self._jobs[key]
        self._breaker.record_failure(failure.value)
        self._apply(self._scheduler.fail(key, self._clock.now()))

    def _handle_cancel(self, _link: Link, cancel: Cancel) -> None:
        self._cancel_job((cancel.request, cancel.attempt))

    def _handle_link_down(self, link: Link) -> None:
        for key in [key for key, job in self._jobs.items() if job.link is link]:
            if self._jobs[key].export is None:
                self._boundary.run(key, self._cancel_job, key)

    def _fail_job(self, key: JobKey, link: Link | None) -> None:
        """End a prefill after an unexpected error, and free what it holds."""
        job = self._jobs.pop(key, None)
        if link is None and job is not None:
            link = job.link
        if link is not None:
            started = job is None or job.started_at is not None
            outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
            refused = Refused(Refusal.INTERNAL, outcome, Step.PREFILL, self._backend)
            link.send(AttemptFailed(*key, refused, started=False))
        if job is not None and job.result is not None:
            job.result.cancel()
        if job is not None and job.export is not None:
            self._engine.release(job.export.handle)
            self._events.emit(ExportFreed(*key, self._backend))
        self._apply(self._scheduler.cancel(key, self._clock.now()))

    def _cancel_job(self, key: JobKey) -> None:
        self._apply(self._scheduler.cancel(key, self._clock.now()))
        self._jobs.pop(key, None)


def _find_slack(urgency: timedelta) -> timedelta:
    """Return how long a prefill may wait.

    A prefill that is late already keeps some slack, because it holds a decode slot all the same.
    """
    slack = urgency - PREFILL_TO_FIRST_TOKEN
    return slack if slack > timedelta(0) else LATE_SLACK


@SERVICES.register("prefill_agent")
def make_prefill_agent(kernel: Kernel) -> PrefillAgent:
    """Make the service ``prefill_agent``."""
    return PrefillAgent(kernel)
