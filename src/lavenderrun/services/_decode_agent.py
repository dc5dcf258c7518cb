"""Service ``decode_agent``: grants decode slots and runs decodes on the engine beside it."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timedelta
from functools import partial
from typing import ClassVar

from msgspec import structs
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderrun.decisions import (
    PROMISE_POLICIES,
    QUEUE_POLICIES,
    CancelDecode,
    DecodeAction,
    DecodeScheduler,
    DecodeSlotRequest,
    DecodeState,
    ForgetAttempt,
    Job,
    JobKey,
    PromiseSlot,
    RefuseDecode,
    StartDecode,
)
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._circuit_breaker import BackendCircuitBreaker
from lavenderrun.services._decode_job import DecodeJob
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._job_boundary import JobBoundary
from lavenderrun.services._movable_timer import MovableTimer
from lavenderrun.services._policies import PolicyNames
from lavenderrun.types import (
    Ack,
    AttemptFailed,
    BackendCrashed,
    BackendCrashError,
    BackendDownError,
    BackendEnded,
    BackendId,
    BackendRun,
    Cancel,
    Engine,
    Link,
    Links,
    Outcome,
    PrefillUsed,
    Refusal,
    Refused,
    Reserve,
    Resume,
    Revoke,
    Revoked,
    SeatFreed,
    SeatPromised,
    SeatTaken,
    Start,
    Step,
    StepError,
)

OUTPUT_RETENTION = timedelta(seconds=10)
"""Time that finished output is kept for an entry that has not acknowledged it."""
LEAVING_REFUSAL = Refused(Refusal.LEAVING, Outcome.NOT_RUN, Step.SEAT)
FIRST_TOKEN_TIME = timedelta(milliseconds=200)
"""Expected time from the start of a decode to the caller's first token, with a margin."""
CRASH_SPREAD = timedelta(seconds=1)
"""Longest time between the ends of attempts that one crash ends; a restart takes longer."""


class DecodeAgent:
    """Carries out the actions that the scheduler of one decode engine decides on."""

    needs: ClassVar[tuple[str, ...]] = ("links", "engine", "record")

    def __init__(self, kernel: Kernel) -> None:
        policies = PolicyNames.from_kernel(kernel)
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._engine = kernel.find("engine", Engine)
        self._events = EventEmitter.from_kernel(kernel)
        self._breaker = BackendCircuitBreaker(kernel.clock)
        self._drain = Drain(kernel.clock, self._is_busy)
        self._backend: BackendId = kernel.settings.hello().backend
        self._scheduler = DecodeScheduler(
            kernel.settings.slots(),
            kernel.settings.kv_blocks(),
            QUEUE_POLICIES.find(policies.queue),
            PROMISE_POLICIES.find(policies.promise),
        )
        self._jobs: dict[JobKey, DecodeJob] = {}
        self._timer = MovableTimer(kernel.clock, self._tick)
        self._boundary = JobBoundary(self._events, self._backend, self._fail_job)
        self._crashed_at: datetime | None = None
        self._unanswered: frozenset[JobKey] = frozenset()

    def start(self) -> None:
        """Subscribe to the messages of entries and report load."""
        guard = self._boundary.guard
        self._links.subscribe(Reserve, guard(self._handle_reserve))
        self._links.subscribe(Start, guard(self._handle_start))
        self._links.subscribe(Cancel, guard(self._handle_cancel))
        self._links.subscribe(Revoke, guard(self._handle_revoke))
        self._links.subscribe(Ack, guard(self._handle_ack))
        self._links.subscribe(Resume, guard(self._handle_resume))
        self._links.watch(lambda link: None, self._handle_link_down)
        self._links.bind_load(self._scheduler.load)

    def stop(self) -> Deferred[None]:
        """Refuse new work and what waits for a decode slot, and fire once the rest has ended."""
        for key in [
            key for key in self._jobs if self._scheduler.find_state(key) is DecodeState.WAITING
        ]:
            self._refuse(self._jobs[key].link, key, LEAVING_REFUSAL)
            self._cancel_job(key)
        return self._drain.start().addBoth(lambda _: self.close())

    def close(self) -> None:
        """Cancel all jobs."""
        for key in list(self._jobs):
            self._cancel_job(key)
        self._timer.set(None)

    def _refuse(self, link: Link, key: JobKey, refused: Refused) -> None:
        link.send(AttemptFailed(*key, refused, started=False))

    def _handle_backend_failure(self, error: BaseException | None) -> None:
        """Refuse all jobs that have not started when the backend server is down."""
        self._breaker.record_failure(error)
        if not isinstance(error, BackendCrashError | BackendDownError):
            return
        for key in [key for key, job in self._jobs.items() if job.start is None]:
            self._refuse(self._jobs[key].link, key, self._breaker.make_refusal(Step.SEAT))
            self._cancel_job(key)

    def _is_busy(self) -> bool:
        return bool(self._jobs) or bool(self._scheduler.load().taken)

    def count_jobs(self) -> int:
        """Return the number of jobs that have not ended."""
        return len(self._jobs)

    # decode slots

    def _handle_reserve(self, link: Link, reserve: Reserve) -> None:
        key = (reserve.request, reserve.attempt)
        job = self._jobs.get(key)
        if job is None and self._drain.is_draining:
            self._refuse(link, key, LEAVING_REFUSAL)
            return
        if job is None and self._breaker.should_reject():
            self._refuse(link, key, self._breaker.make_refusal(Step.SEAT))
            return
        if job is None:
            job = self._jobs[key] = DecodeJob(link, reserve)
        job.link = link
        self._apply(
            self._scheduler.reserve(self._make_slot_request(link, reserve), self._clock.now())
        )

    def _make_slot_request(self, link: Link, reserve: Reserve) -> DecodeSlotRequest:
        now = self._clock.now()
        cost = self._scheduler.estimate_cost(reserve.route, reserve.max_tokens, reserve.lead)
        due = now + reserve.urgency - reserve.lead - FIRST_TOKEN_TIME
        job = Job(
            reserve.request,
            reserve.attempt,
            reserve.account,
            cost,
            reserve.weight,
            reserve.urgency,
            due,
            now + reserve.patience,
        )
        return DecodeSlotRequest(
            job,
            reserve.route,
            reserve.prompt_tokens,
            reserve.max_tokens,
            reserve.lead,
            reserve.cohort,
            link.peer.host,
        )

    def _tick(self) -> None:
        self._apply(self._scheduler.tick(self._clock.now()))

    def _apply(self, actions: Sequence[DecodeAction]) -> None:
        for action in actions:
            job = self._jobs.get(action.key)
            if job is not None:
                self._boundary.run(action.key, self._apply_action, action, job)
        self._timer.set(self._scheduler.next_tick(self._clock.now()))
        self._drain.finish_if_idle()

    def _apply_action(self, action: DecodeAction, job: DecodeJob) -> None:
        match action:
            case PromiseSlot(key, _, ready_in):
                self._promise_slot(key, job, ready_in)
            case RefuseDecode(key, _, refusal, retry_after):
                refused = Refused(refusal, Outcome.NOT_RUN, Step.SEAT, retry_after=retry_after)
                job.link.send(AttemptFailed(*key, refused, started=False))
                self._remove_unstarted(key, job)
            case StartDecode(key):
                self._start_decode(key, job)
            case CancelDecode():
                if job.task is not None:
                    job.task.cancel()
            case ForgetAttempt(key):
                self._remove_unstarted(key, job)

    def _promise_slot(self, key: JobKey, job: DecodeJob, ready_in: timedelta) -> None:
        if not job.has_slot:
            job.has_slot = True
            self._events.emit(SeatTaken(*key, self._backend))
        job.link.send(SeatPromised(*key, ready_in=ready_in, load=self._scheduler.load()))

    def _remove_unstarted(self, key: JobKey, job: DecodeJob) -> None:
        """Remove a job that was never started, and free its decode slot."""
        del self._jobs[key]
        if job.has_slot:
            self._events.emit(SeatFreed(*key, self._backend))

    # decode

    def _handle_start(self, link: Link, start: Start) -> None:
        key = (start.request, start.attempt)
        job = self._jobs.get(key)
        if job is None or self._scheduler.find_state(key) is DecodeState.WAITING:
            refused = Refused(Refusal.NO_ROOM, Outcome.NOT_RUN, Step.SEAT)
            link.send(AttemptFailed(*key, refused, started=False))
        elif job.start is None:
            job.start = start
            self._apply(self._scheduler.start(key, self._clock.now()))

    def _start_decode(self, key: JobKey, job: DecodeJob) -> None:
        start = job.start
        assert start is not None
        job.begin(start.offset, partial(self._scheduler.progress, key))
        job.on_first_tokens = partial(self._record_first_tokens, job, start, self._clock.now())
        self._events.emit(BackendRun(*key, self._backend, job.reserve.account))
        job.task = self._engine.decode(
            start.request,
            job.reserve.model,
            start.handle,
            start.source,
            max_tokens=start.max_tokens,
            sink=partial(self._boundary.run, key, job.take_tokens),
        )
        job.task.done.addBoth(self._end_task, key, job)

    def _end_task(self, result: Failure | None, key: JobKey, job: DecodeJob) -> None:
        job.task = None
        if isinstance(result, Failure):
            self._boundary.run(key, self._fail, result, key, job)
        else:
            self._boundary.run(key, self._finish, result, key, job)

    def _record_first_tokens(self, job: DecodeJob, start: Start, began: datetime) -> None:
        self._breaker.record_success()
        job.import_time = self._clock.now() - began
        self._events.emit(PrefillUsed(start.request, start.attempt, start.tokens))

    def _finish(self, _: None, key: JobKey, job: DecodeJob) -> None:
        whole = job.is_finished
        if self._jobs.get(key) is job:
            if whole:
                job.schedule(self._clock, OUTPUT_RETENTION, self._cancel_job, key)
                self._remove_if_acked(key, job)
            else:
                del self._jobs[key]
        self._free_slot(key, job, whole=whole)

    def _fail(self, failure: Failure, key: JobKey, job: DecodeJob) -> None:
        if self._jobs.get(key) is job:
            error = failure.value
            crashed = isinstance(error, BackendCrashError)
            step = error.step if isinstance(error, StepError) else Step.DECODE
            started = step is not Step.TRANSFER and not isinstance(error, BackendDownError)
            outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
            refused = Refused(Refusal.BACKEND_LOST, outcome, step)
            failed = AttemptFailed(*key, refused, started=started, crashed=crashed)
            if crashed:
                others = self._find_unanswered(key, job) - {key}
                failed = structs.replace(failed, others_unanswered=len(others))
            job.link.send(failed)
            del self._jobs[key]
            if crashed:
                self._events.emit(BackendCrashed(self._backend, [job.reserve.fingerprint]))
            self._handle_backend_failure(error)
        self._free_slot(key, job, whole=False)

    def _find_unanswered(self, key: JobKey, job: DecodeJob) -> frozenset[JobKey]:
        """Return the attempts that ran when the engine crashed and had not begun to be answered."""
        now = self._clock.now()
        if self._crashed_at is None or now - self._crashed_at > CRASH_SPREAD:
            # the first of the attempts that one crash ends
            running = {**self._jobs, key: job}
            self._unanswered = frozenset(
                other
                for other, each in running.items()
                if each.task is not None and each.is_unanswered
            )
            self._crashed_at = now
        return self._unanswered

    def _free_slot(self, key: JobKey, job: DecodeJob, *, whole: bool) -> None:
        self._events.emit(BackendEnded(*key, self._backend))
        self._events.emit(SeatFreed(*key, self._backend))
        self._apply(self._scheduler.end(key, self._clock.now(), whole=whole))

    def _fail_job(self, key: JobKey, link: Link | None) -> None:
        """End an attempt after an unexpected error, and free what it holds."""
        job = self._jobs.pop(key, None)
        started, actions = self._scheduler.revoke(key, self._clock.now())
        if link is None and job is not None:
            link = job.link
        if link is not None:
            outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
            step = Step.DECODE if started else Step.SEAT
            refused = Refused(Refusal.INTERNAL, outcome, step, self._backend)
            link.send(AttemptFailed(*key, refused, started=started))
        if job is not None:
            self._free_job(key, job, started=started)
        elif self._scheduler.find_state(key) is not None:
            actions = self._scheduler.end(key, self._clock.now(), whole=False)
        self._apply(actions)

    def _free_job(self, key: JobKey, job: DecodeJob, *, started: bool) -> None:
        job.cancel_timer()
        if job.task is not None:
            job.task.cancel()
        elif self._scheduler.find_state(key) is not None:
            self._free_slot(key, job, whole=False)
        elif job.has_slot and not started:
            self._events.emit(SeatFreed(*key, self._backend))

    # output

    def _handle_ack(self, _link: Link, ack: Ack) -> None:
        key = (ack.request, ack.attempt)
        job = self._jobs.get(key)
        if job is not None:
            job.drop_before(ack.offset)
            self._remove_if_acked(key, job)

    def _remove_if_acked(self, key: JobKey, job: DecodeJob) -> None:
        if job.is_finished and job.is_acked:
            job.cancel_timer()
            self._jobs.pop(key, None)
            self._drain.finish_if_idle()

    def _handle_resume(self, link: Link, resume: Resume) -> None:
        key = (resume.request, resume.attempt)
        job = self._jobs.get(key)
        if job is None or not job.resume(link, resume.offset):
            refused = Refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN, Step.DECODE)
            link.send(AttemptFailed(*key, refused, started=True))
            return
        self._scheduler.rebind(key, link.peer.host)
        if job.is_finished:
            job.schedule(self._clock, OUTPUT_RETENTION, self._cancel_job, key)

    # cancellation

    def _handle_cancel(self, _link: Link, cancel: Cancel) -> None:
        self._cancel_job((cancel.request, cancel.attempt))

    def _handle_revoke(self, link: Link, revoke: Revoke) -> None:
        key = (revoke.request, revoke.attempt)
        started, actions = self._scheduler.revoke(key, self._clock.now())
        self._apply(actions)
        link.send(Revoked(*key, started=started))

    def _handle_link_down(self, link: Link) -> None:
        self._apply(self._scheduler.note_lost_entry(link.peer.host, self._clock.now()))

    def _cancel_job(self, key: JobKey) -> None:
        job = self._jobs.get(key)
        self._apply(self._scheduler.cancel(key, self._clock.now()))
        if job is not None:
            job.cancel_timer()
            self._jobs.pop(key, None)
            self._drain.finish_if_idle()


@SERVICES.register("decode_agent")
def make_decode_agent(kernel: Kernel) -> DecodeAgent:
    """Make the service ``decode_agent``."""
    return DecodeAgent(kernel)
