"""Service ``decode_agent``: seats and decodes on the engine beside this agent."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timedelta
from functools import partial
from typing import ClassVar

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
from lavenderrun.services._decode_job import DecodeJob
from lavenderrun.services._drain import Drain
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._movable_timer import MovableTimer
from lavenderrun.services._outage import Outage
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

KEEP_OUTPUT = timedelta(seconds=10)
LEAVING = Refused(Refusal.LEAVING, Outcome.NOT_RUN, Step.SEAT)
FIRST_STEP = timedelta(milliseconds=200)
"""Time from the start of a decode to the first token at the caller, with a margin."""


class DecodeAgent:
    """Carries out what the seat book of one decode engine decides."""

    needs: ClassVar[tuple[str, ...]] = ("links", "engine", "record")

    def __init__(self, kernel: Kernel) -> None:
        policies = PolicyNames.from_kernel(kernel)
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._engine = kernel.find("engine", Engine)
        self._events = EventEmitter.from_kernel(kernel)
        self._outage = Outage(kernel.clock)
        self._drain = Drain(kernel.clock, self._is_busy)
        self._backend: BackendId = kernel.settings.hello().backend
        self._book = DecodeScheduler(
            kernel.settings.slots(),
            kernel.settings.kv_blocks(),
            QUEUE_POLICIES.find(policies.queue),
            PROMISE_POLICIES.find(policies.promise),
        )
        self._jobs: dict[JobKey, DecodeJob] = {}
        self._alarm = MovableTimer(kernel.clock, self._tick)

    def start(self) -> None:
        """Listen to entries and report load."""
        self._links.subscribe(Reserve, self._take_reserve)
        self._links.subscribe(Start, self._take_start)
        self._links.subscribe(Cancel, self._take_cancel)
        self._links.subscribe(Revoke, self._take_revoke)
        self._links.subscribe(Ack, self._take_ack)
        self._links.subscribe(Resume, self._take_resume)
        self._links.watch(lambda link: None, self._link_down)
        self._links.bind_load(self._book.load)

    def stop(self) -> Deferred[None]:
        """Take no new work, send away what has no seat, and wait for the rest."""
        for key in [key for key in self._jobs if self._book.find_state(key) is DecodeState.WAITING]:
            self._send_away(self._jobs[key].link, key, LEAVING)
            self._drop(key)
        return self._drain.start().addBoth(lambda _: self.close())

    def close(self) -> None:
        """Drop all jobs at once."""
        for key in list(self._jobs):
            self._drop(key)
        self._alarm.set(None)

    def _send_away(self, link: Link, key: JobKey, refused: Refused) -> None:
        link.send(AttemptFailed(*key, refused, started=False))

    def _take_outage(self, error: BaseException | None) -> None:
        """Send away what has not started, for the backend server is down."""
        self._outage.note(error)
        if not isinstance(error, BackendCrashError | BackendDownError):
            return
        for key in [key for key, job in self._jobs.items() if job.start is None]:
            self._send_away(self._jobs[key].link, key, self._outage.refuse(Step.SEAT))
            self._drop(key)

    def _is_busy(self) -> bool:
        return bool(self._jobs) or bool(self._book.load().taken)

    def count_jobs(self) -> int:
        """Return the number of jobs in hand."""
        return len(self._jobs)

    # seats

    def _take_reserve(self, link: Link, order: Reserve) -> None:
        key = (order.request, order.attempt)
        job = self._jobs.get(key)
        if job is None and self._drain.is_draining:
            self._send_away(link, key, LEAVING)
            return
        if job is None and self._outage.turn_away():
            self._send_away(link, key, self._outage.refuse(Step.SEAT))
            return
        if job is None:
            job = self._jobs[key] = DecodeJob(link, order)
        job.link = link
        self._apply(self._book.reserve(self._read(link, order), self._clock.now()))

    def _read(self, link: Link, order: Reserve) -> DecodeSlotRequest:
        now = self._clock.now()
        cost = self._book.estimate_cost(order.route, order.max_tokens, order.lead)
        due = now + order.urgency - order.lead - FIRST_STEP
        job = Job(
            order.request,
            order.attempt,
            order.account,
            cost,
            order.weight,
            order.urgency,
            due,
            now + order.patience,
        )
        return DecodeSlotRequest(
            job,
            order.route,
            order.prompt_tokens,
            order.max_tokens,
            order.lead,
            order.cohort,
            link.peer.host,
        )

    def _tick(self) -> None:
        self._apply(self._book.tick(self._clock.now()))

    def _apply(self, actions: Sequence[DecodeAction]) -> None:
        for action in actions:
            job = self._jobs.get(action.key)
            if job is not None:
                self._carry_out(action, job)
        self._alarm.set(self._book.next_tick(self._clock.now()))
        self._drain.finish_if_idle()

    def _carry_out(self, action: DecodeAction, job: DecodeJob) -> None:
        match action:
            case PromiseSlot(key, _, ready_in):
                self._promise(key, job, ready_in)
            case RefuseDecode(key, _, refusal, retry_after):
                refused = Refused(refusal, Outcome.NOT_RUN, Step.SEAT, retry_after=retry_after)
                job.link.send(AttemptFailed(*key, refused, started=False))
                self._forget(key, job)
            case StartDecode(key):
                self._run(key, job)
            case CancelDecode():
                if job.running is not None:
                    job.running.cancel()
            case ForgetAttempt(key):
                self._forget(key, job)

    def _promise(self, key: JobKey, job: DecodeJob, ready_in: timedelta) -> None:
        if not job.has_seat:
            job.has_seat = True
            self._events.emit(SeatTaken(*key, self._backend))
        job.link.send(SeatPromised(*key, ready_in=ready_in, load=self._book.load()))

    def _forget(self, key: JobKey, job: DecodeJob) -> None:
        """Drop a job that was not run."""
        del self._jobs[key]
        if job.has_seat:
            self._events.emit(SeatFreed(*key, self._backend))

    # decode

    def _take_start(self, link: Link, order: Start) -> None:
        key = (order.request, order.attempt)
        job = self._jobs.get(key)
        if job is None or self._book.find_state(key) is DecodeState.WAITING:
            refused = Refused(Refusal.NO_ROOM, Outcome.NOT_RUN, Step.SEAT)
            link.send(AttemptFailed(*key, refused, started=False))
        elif job.start is None:
            job.start = order
            self._apply(self._book.start(key, self._clock.now()))

    def _run(self, key: JobKey, job: DecodeJob) -> None:
        order = job.start
        assert order is not None
        job.begin(order.offset, partial(self._book.progress, key))
        job.on_first = partial(self._note_first, job, order, self._clock.now())
        self._events.emit(BackendRun(*key, self._backend, job.order.account))
        job.running = self._engine.decode(
            order.request,
            job.order.model,
            order.handle,
            order.source,
            max_tokens=order.max_tokens,
            sink=job.take_tokens,
        )
        job.running.done.addCallbacks(
            self._finish, self._fail, callbackArgs=(key, job), errbackArgs=(key, job)
        )

    def _note_first(self, job: DecodeJob, order: Start, began: datetime) -> None:
        self._outage.end()
        job.imported = self._clock.now() - began
        self._events.emit(PrefillUsed(order.request, order.attempt, order.tokens))

    def _finish(self, _: None, key: JobKey, job: DecodeJob) -> None:
        whole = job.finished
        if self._jobs.get(key) is job:
            if whole:
                job.expect(self._clock, KEEP_OUTPUT, self._drop, key)
                self._drop_if_acked(key, job)
            else:
                del self._jobs[key]
        self._free_seat(key, job, whole=whole)

    def _fail(self, failure: Failure, key: JobKey, job: DecodeJob) -> None:
        if self._jobs.pop(key, None) is job:
            crashed = isinstance(failure.value, BackendCrashError)
            if crashed:
                self._events.emit(BackendCrashed(self._backend, [job.order.fingerprint]))
            error = failure.value
            self._take_outage(error)
            step = error.step if isinstance(error, StepError) else Step.DECODE
            started = step is not Step.TRANSFER and not isinstance(error, BackendDownError)
            outcome = Outcome.UNKNOWN if started else Outcome.NOT_RUN
            refused = Refused(Refusal.BACKEND_LOST, outcome, step)
            job.link.send(AttemptFailed(*key, refused, started=started, crashed=crashed))
        self._free_seat(key, job, whole=False)

    def _free_seat(self, key: JobKey, job: DecodeJob, *, whole: bool) -> None:
        job.running = None
        self._events.emit(BackendEnded(*key, self._backend))
        self._events.emit(SeatFreed(*key, self._backend))
        self._apply(self._book.end(key, self._clock.now(), whole=whole))

    # output

    def _take_ack(self, _link: Link, ack: Ack) -> None:
        key = (ack.request, ack.attempt)
        job = self._jobs.get(key)
        if job is not None:
            job.drop_before(ack.offset)
            self._drop_if_acked(key, job)

    def _drop_if_acked(self, key: JobKey, job: DecodeJob) -> None:
        if job.finished and job.is_acked:
            job.forget()
            self._jobs.pop(key, None)
            self._drain.finish_if_idle()

    def _take_resume(self, link: Link, resume: Resume) -> None:
        key = (resume.request, resume.attempt)
        job = self._jobs.get(key)
        if job is None or not job.resume(link, resume.offset):
            refused = Refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN, Step.DECODE)
            link.send(AttemptFailed(*key, refused, started=True))
            return
        self._book.rebind(key, link.peer.host)
        if job.finished:
            job.expect(self._clock, KEEP_OUTPUT, self._drop, key)

    # ends

    def _take_cancel(self, _link: Link, cancel: Cancel) -> None:
        self._drop((cancel.request, cancel.attempt))

    def _take_revoke(self, link: Link, revoke: Revoke) -> None:
        key = (revoke.request, revoke.attempt)
        started, actions = self._book.revoke(key, self._clock.now())
        self._apply(actions)
        link.send(Revoked(*key, started=started))

    def _link_down(self, link: Link) -> None:
        self._apply(self._book.note_lost_entry(link.peer.host, self._clock.now()))

    def _drop(self, key: JobKey) -> None:
        job = self._jobs.get(key)
        self._apply(self._book.cancel(key, self._clock.now()))
        if job is not None:
            job.forget()
            self._jobs.pop(key, None)
            self._drain.finish_if_idle()


@SERVICES.register("decode_agent")
def make_decode_agent(kernel: Kernel) -> DecodeAgent:
    """Make the service."""
    return DecodeAgent(kernel)
