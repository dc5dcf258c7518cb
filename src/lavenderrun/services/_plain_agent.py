"""Service ``plain_agent``: queue and running calls of the plain backend server of this agent."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from functools import partial
from typing import ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred

from lavenderrun.decisions import QUEUE_POLICIES, CallHistory, Job, JobKey
from lavenderrun.estimates import MovingAverage
from lavenderrun.kernel import SERVICES, Kernel, Timer
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._job_boundary import GuardedReplySink, JobBoundary
from lavenderrun.services._kept_replies import KeptReplies
from lavenderrun.services._movable_timer import MovableTimer
from lavenderrun.services._plain_job import JobState, PlainJob
from lavenderrun.services._policies import PolicyNames
from lavenderrun.types import (
    AccountId,
    Ack,
    AttemptFailed,
    BackendCrashed,
    BackendEnded,
    BackendId,
    BackendRun,
    Call,
    CallBody,
    Cancel,
    Link,
    Links,
    LoadReport,
    Outcome,
    PlainBackend,
    Refusal,
    Refused,
    Resume,
    Revoke,
    Revoked,
    Step,
)

INITIAL_COST_SECONDS = 0.02
MAX_HELD_BODY_BYTES = 64 << 20
"""Bodies of calls that have not started; beyond this new calls are refused."""
RECONNECT_TIMEOUT = timedelta(seconds=5)
"""How long a running call that may be repeated continues after the link to its entry is lost."""
RETRY_AFTER = timedelta(seconds=1)


class PlainAgent:
    """Queues and runs the calls of one plain backend server.

    Each attempt starts at most once. Replies are kept for entries that reconnect; those of calls
    that may not be repeated are kept longer, for the caller's retry.
    """

    needs: ClassVar[tuple[str, ...]] = ("links", "plain", "record")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._plain = kernel.find("plain", PlainBackend)
        self._events = EventEmitter.from_kernel(kernel)
        self._backend: BackendId = kernel.settings.hello().backend
        self._max_running: int = kernel.settings.slots()
        self._queue = QUEUE_POLICIES.find(PolicyNames.from_kernel(kernel).queue)(
            float(self._max_running)
        )
        self._cost = MovingAverage(INITIAL_COST_SECONDS)
        self._history = CallHistory()
        self._jobs: dict[JobKey, PlainJob] = {}
        self._kept_replies = KeptReplies(kernel.clock)
        self._timers: dict[JobKey, Timer] = {}
        self._running = 0
        self._body_bytes = 0
        self._deadline_timer = MovableTimer(kernel.clock, self._start_queued)
        self._drain = Drain(kernel.clock, self._is_busy)
        self._boundary = JobBoundary(self._events, self._backend, self._fail_call)

    def start(self) -> None:
        """Subscribe to entries' messages and links, and report load."""
        guard = self._boundary.guard
        self._links.subscribe(Call, guard(self._handle_call))
        self._links.subscribe(CallBody, guard(self._handle_body))
        self._links.subscribe(Ack, guard(self._handle_ack))
        self._links.subscribe(Resume, guard(self._handle_resume))
        self._links.subscribe(Revoke, guard(self._handle_revoke, self._fail_revoke))
        self._links.subscribe(Cancel, guard(self._handle_cancel))
        self._links.watch(lambda link: None, self._handle_link_down)
        self._links.bind_load(self.load)

    def stop(self) -> Deferred[None]:
        """Refuse calls that have not started and new ones, and wait for the others to end."""
        for job in list(self._jobs.values()):
            if job.state is not JobState.RUNNING:
                if job.link is not None:
                    self._send_failure(job.link, job.key, Refusal.LEAVING, started=False)
                self._drop(job)
        return self._drain.start().addBoth(lambda _: self._close())

    def count_jobs(self) -> int:
        """Return the number of calls that wait or run."""
        return len(self._jobs)

    def load(self) -> LoadReport:
        """Return the load report for heartbeats."""
        backlog = timedelta(seconds=self._queue.work / self._max_running)
        return LoadReport(self._max_running, self._running, len(self._queue), backlog, 0)

    # calls received

    def _handle_call(self, link: Link, call: Call) -> None:
        key = (call.request, call.attempt)
        if self._find(key) is not None:
            return
        refusal = self._find_refusal(key)
        if refusal is not None:
            self._send_failure(link, key, refusal, started=self._history.may_have_begun(key))
            return
        job = self._jobs[key] = PlainJob(link, call, self._handle_reply_end)
        self._body_bytes += job.body_bytes
        if job.state is JobState.QUEUED:
            self._enqueue(job)
        else:
            self._set_timer(key, call.patience, self._refuse_late)

    def _find_refusal(self, key: JobKey) -> Refusal | None:
        if self._history.knows(key):
            return Refusal.CANCELLED
        if self._drain.is_draining:
            return Refusal.LEAVING
        return Refusal.NO_ROOM if self._body_bytes > MAX_HELD_BODY_BYTES else None

    def _handle_body(self, _link: Link, part: CallBody) -> None:
        job = self._jobs.get((part.request, part.attempt))
        if job is None:
            return
        before = job.body_bytes
        is_complete = job.take_body(part)
        self._body_bytes += job.body_bytes - before
        if is_complete:
            self._cancel_timer(job.key)
            self._enqueue(job)

    def _enqueue(self, job: PlainJob) -> None:
        call, now = job.call, self._clock.now()
        self._queue.push(
            Job(
                request=call.request,
                attempt=call.attempt,
                account=call.account or AccountId(""),
                cost=self._cost.value,
                weight=call.weight,
                urgency=call.urgency,
                due=now + call.urgency,
                deadline=now + call.patience,
            ),
            now,
        )
        self._start_queued()

    def _start_queued(self) -> None:
        now = self._clock.now()
        for job in self._queue.expire(now):
            self._refuse_late(job.key)
        while self._running < self._max_running:
            waiting = self._queue.pop(now)
            if waiting is None:
                break
            self._boundary.run(waiting.key, self._start_call, self._jobs[waiting.key])
        self._deadline_timer.set(self._queue.next_deadline())

    def _refuse_late(self, key: JobKey) -> None:
        job = self._jobs[key]
        if job.link is not None:
            self._send_failure(job.link, key, Refusal.DEADLINE, started=False)
        self._drop(job)

    # calls running

    def _start_call(self, job: PlainJob) -> None:
        call, now = job.call, self._clock.now()
        if not self._history.begin(job.key, now):
            self._drop(job)
            return
        job.state = JobState.RUNNING
        self._running += 1
        self._events.emit(BackendRun(*job.key, self._backend, call.account, call.repeatability))
        log_message(
            "plain_agent:started",
            text="plain agent: call started",
            request=call.request,
            attempt=call.attempt,
            running=self._running,
            queued=len(self._queue),
        )
        body = self._release_body(job)
        sink = GuardedReplySink(job, partial(self._run_reply_step, job))
        try:
            running = self._plain.call(
                call.request, call.method, call.target, call.headers, body, sink
            )
        except Exception:
            self._free_place(job, now)
            raise
        job.running = running
        running.done.addBoth(lambda _: self._boundary.run(job.key, self._end_running, job, now))

    def _run_reply_step(self, job: PlainJob, step: Callable[..., None], *args: object) -> None:
        def run() -> None:
            job.is_sound = False
            step(*args)
            job.is_sound = True

        # nothing is added to a reply that lacks a part
        if job.is_sound:
            self._boundary.run(job.key, run)

    def _release_body(self, job: PlainJob) -> bytes:
        self._body_bytes -= job.body_bytes
        return job.release_body()

    def _end_running(self, job: PlainJob, started_at: datetime) -> None:
        try:
            self._free_place(job, started_at)
        finally:
            self._start_queued()
            self._drain.finish_if_idle()

    def _free_place(self, job: PlainJob, started_at: datetime) -> None:
        now = self._clock.now()
        self._history.end(job.key, now)
        self._running -= 1
        job.running = None
        self._cost.add((now - started_at).total_seconds())
        self._events.emit(BackendEnded(*job.key, self._backend))

    def _handle_reply_end(self, job: PlainJob) -> None:
        now, refused = self._clock.now(), job.refused
        started = refused is None or refused.outcome is Outcome.UNKNOWN
        if refused is not None:
            if started:
                self._events.emit(BackendCrashed(self._backend, [job.call.fingerprint]))
            else:
                self._history.mark_not_started(job.key, now)
            if job.link is not None:
                failed = AttemptFailed(*job.key, refused, started=started, crashed=started)
                job.link.send(failed)
        self._history.end(job.key, now)
        if refused is not None and not (job.is_at_most_once and started):
            self._drop(job)
            return
        job.state = JobState.ENDED
        self._cancel_timer(job.key)
        self._kept_replies.add(self._jobs.pop(job.key))

    # messages of entries

    def _handle_ack(self, _link: Link, ack: Ack) -> None:
        job = self._find((ack.request, ack.attempt))
        if job is None:
            return
        job.take_ack(ack.offset)
        if job.is_acked and not job.is_at_most_once:
            self._drop(job)
        self._drain.finish_if_idle()

    def _handle_resume(self, link: Link, resume: Resume) -> None:
        key = (resume.request, resume.attempt)
        job = self._find(key)
        if job is None:
            self._send_failure(link, key, Refusal.OUTCOME_UNKNOWN, started=True)
            return
        previous = job.link
        if job.refused is not None:
            link.send(AttemptFailed(*key, job.refused, started=self._history.may_have_begun(key)))
        elif not job.resume(link, resume.offset):
            self._send_failure(link, key, Refusal.OUTCOME_UNKNOWN, started=True)
        elif previous is not None and previous.peer.host != link.peer.host:
            self._send_failure(previous, key, Refusal.OUTCOME_UNKNOWN, started=True)
        if job.state is JobState.RUNNING:
            self._cancel_timer(key)

    def _handle_revoke(self, link: Link, revoke: Revoke) -> None:
        key = (revoke.request, revoke.attempt)
        job = self._jobs.get(key)
        if job is not None and job.state in (JobState.RECEIVING, JobState.QUEUED):
            if job.link is not None and job.link is not link:
                self._send_failure(job.link, key, Refusal.CANCELLED, started=False)
            self._drop(job)
        started = self._revoke(key)
        link.send(Revoked(*key, started))
        log_message(
            "plain_agent:revoked",
            text="plain agent: entry asked to revoke a call",
            request=revoke.request,
            attempt=revoke.attempt,
            started=started,
            peer=link.peer.host,
        )

    def _handle_cancel(self, _link: Link, cancel: Cancel) -> None:
        job = self._find((cancel.request, cancel.attempt))
        if job is None:
            return
        if job.is_at_most_once and job.state is JobState.RUNNING:
            job.detach()
        else:
            self._drop(job)

    def _handle_link_down(self, link: Link) -> None:
        jobs = [*self._jobs.values(), *self._kept_replies.list_jobs()]
        for job in [job for job in jobs if job.link is link]:
            self._boundary.run(job.key, self._detach, job)

    def _detach(self, job: PlainJob) -> None:
        job.detach()
        if job.state in (JobState.RECEIVING, JobState.QUEUED):
            self._drop(job)
        elif job.state is JobState.RUNNING and not job.is_at_most_once:
            self._set_timer(job.key, RECONNECT_TIMEOUT, self._drop_key)

    # end of calls

    def _fail_call(self, key: JobKey, link: Link | None) -> None:
        """End a call after an unexpected error; the entry learns whether it may have begun."""
        self._end_failed(key, link, started=self._revoke(key))

    def _fail_revoke(self, key: JobKey, link: Link | None) -> None:
        """End a call whose revocation failed, so that no one relies on it."""
        self._end_failed(key, link, started=True)

    def _end_failed(self, key: JobKey, link: Link | None, *, started: bool) -> None:
        job = self._find(key)
        if link is None and job is not None:
            link = job.link
        if link is not None:
            self._send_failure(link, key, Refusal.INTERNAL, started=started)
        if job is None:
            return
        # what a later try may ask for is kept if it is whole
        has_begun = job.running is not None or job.state is JobState.ENDED
        if job.is_at_most_once and job.is_sound and has_begun:
            job.detach()
        else:
            self._drop(job)

    def _revoke(self, key: JobKey) -> bool:
        """Prevent a call from starting later; return whether it may have started already."""
        job = self._find(key)
        has_begun = job is not None and job.state in (JobState.RUNNING, JobState.ENDED)
        return self._history.revoke(key, self._clock.now(), has_begun=has_begun)

    def _send_failure(self, link: Link, key: JobKey, refusal: Refusal, *, started: bool) -> None:
        outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
        refused = Refused(refusal, outcome, Step.CALL, self._backend, RETRY_AFTER)
        link.send(AttemptFailed(*key, refused, started=started))

    def _find(self, key: JobKey) -> PlainJob | None:
        return self._jobs.get(key) or self._kept_replies.find(key)

    def _drop_key(self, key: JobKey) -> None:
        job = self._find(key)
        if job is not None:
            self._drop(job)

    def _drop(self, job: PlainJob) -> None:
        self._jobs.pop(job.key, None)
        self._kept_replies.drop(job.key)
        self._cancel_timer(job.key)
        if job.state in (JobState.RECEIVING, JobState.QUEUED):
            self._release_body(job)
            self._queue.remove(job.key)
            self._history.revoke(job.key, self._clock.now())
        if job.running is not None:
            job.running.cancel()
        elif job.state is JobState.RUNNING:
            self._history.end(job.key, self._clock.now())
        self._drain.finish_if_idle()

    def _set_timer(self, key: JobKey, delay: timedelta, call: object) -> None:
        self._cancel_timer(key)
        self._timers[key] = self._clock.call_later(delay, call, key)  # type: ignore[arg-type]

    def _cancel_timer(self, key: JobKey) -> None:
        timer = self._timers.pop(key, None)
        if timer is not None:
            timer.cancel()

    def _is_busy(self) -> bool:
        return bool(self._jobs) or self._kept_replies.has_unread()

    def _close(self) -> None:
        for job in [*self._jobs.values(), *self._kept_replies.list_jobs()]:
            self._drop(job)
        self._deadline_timer.set(None)


@SERVICES.register("plain_agent")
def make_plain_agent(kernel: Kernel) -> PlainAgent:
    """Make the service."""
    return PlainAgent(kernel)
