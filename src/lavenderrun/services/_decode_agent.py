"""Service ``decode_agent``: seats and decodes on the engine beside this agent."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from functools import partial
from typing import ClassVar

from twisted.python.failure import Failure

from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._decode_job import DecodeJob, JobKey, SeatState
from lavenderrun.services._emitter import Emitter
from lavenderrun.types import (
    Ack,
    AttemptFailed,
    BackendCrashed,
    BackendCrashError,
    BackendEnded,
    BackendId,
    BackendRun,
    Cancel,
    Engine,
    Link,
    Links,
    Load,
    Outcome,
    PrefillUsed,
    Refusal,
    Refused,
    Reserve,
    Resume,
    SeatFreed,
    SeatPromised,
    SeatTaken,
    Start,
    Step,
)

RESUME_GRACE = timedelta(seconds=3)
START_GRACE = timedelta(seconds=8)
KEEP_OUTPUT = timedelta(seconds=10)


class DecodeAgent:
    """The seats of one decode engine, given first come first served."""

    needs: ClassVar[tuple[str, ...]] = ("links", "engine", "record")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._engine = kernel.find("engine", Engine)
        self._events = Emitter.of(kernel)
        self._backend: BackendId = kernel.settings.hello().backend
        self._seats: int = kernel.settings.seats()
        self._jobs: dict[JobKey, DecodeJob] = {}
        self._queue: deque[JobKey] = deque()
        self._taken = 0

    def start(self) -> None:
        """Listen to entries and report load."""
        self._links.subscribe(Reserve, self._take_reserve)
        self._links.subscribe(Start, self._take_start)
        self._links.subscribe(Cancel, self._take_cancel)
        self._links.subscribe(Ack, self._take_ack)
        self._links.subscribe(Resume, self._take_resume)
        self._links.watch(lambda link: None, self._link_down)
        self._links.bind_load(self.load)

    def stop(self) -> None:
        """Drop all jobs."""
        for key in list(self._jobs):
            self._drop(key)

    def held(self) -> int:
        """Return the number of jobs in hand."""
        return len(self._jobs)

    def load(self) -> Load:
        """Return the load that heartbeats carry."""
        return Load(self._seats, self._taken, len(self._queue), timedelta(0), 0)

    # seats

    def _take_reserve(self, link: Link, order: Reserve) -> None:
        key = (order.request, order.attempt)
        if key in self._jobs:
            return
        job = self._jobs[key] = DecodeJob(link, order)
        job.expect(self._clock, order.patience, self._refuse, key, Refusal.NO_ROOM)
        self._queue.append(key)
        self._give_seats()

    def _give_seats(self) -> None:
        while self._queue and self._taken < self._seats:
            key = self._queue.popleft()
            job = self._jobs.get(key)
            if job is None:
                continue
            self._taken += 1
            job.state = SeatState.PROMISED
            self._events.emit(SeatTaken(*key, self._backend))
            job.link.send(SeatPromised(*key, ready_in=timedelta(0)))
            job.expect(self._clock, START_GRACE, self._refuse, key, Refusal.DEADLINE)

    def _refuse(self, key: JobKey, refusal: Refusal) -> None:
        job = self._jobs[key]
        refused = Refused(refusal, Outcome.NOT_RUN, Step.SEAT, retry_after=timedelta(seconds=1))
        job.link.send(AttemptFailed(*key, refused, started=False))
        self._drop(key)

    # decode

    def _take_start(self, link: Link, order: Start) -> None:
        key = (order.request, order.attempt)
        job = self._jobs.get(key)
        if job is None or job.state is not SeatState.PROMISED:
            refused = Refused(Refusal.NO_ROOM, Outcome.NOT_RUN, Step.SEAT)
            link.send(AttemptFailed(*key, refused, started=False))
            return
        job.begin(order.offset)
        job.on_first = partial(self._events.emit, PrefillUsed(*key, order.tokens))
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

    def _finish(self, _: None, key: JobKey, job: DecodeJob) -> None:
        self._free_seat(key, job)
        if self._jobs.get(key) is job and job.finished:
            job.state = SeatState.ENDED
            job.expect(self._clock, KEEP_OUTPUT, self._drop, key)
            self._drop_if_acked(key, job)

    def _fail(self, failure: Failure, key: JobKey, job: DecodeJob) -> None:
        self._free_seat(key, job)
        if self._jobs.get(key) is not job:
            return
        crashed = isinstance(failure.value, BackendCrashError)
        if crashed:
            self._events.emit(BackendCrashed(self._backend, [job.order.fingerprint]))
        refused = Refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN, Step.DECODE)
        job.link.send(AttemptFailed(*key, refused, started=True, crashed=crashed))
        self._drop(key)

    def _free_seat(self, key: JobKey, job: DecodeJob) -> None:
        job.running = None
        self._taken -= 1
        self._events.emit(BackendEnded(*key, self._backend))
        self._events.emit(SeatFreed(*key, self._backend))
        self._give_seats()

    # output

    def _take_ack(self, _link: Link, ack: Ack) -> None:
        key = (ack.request, ack.attempt)
        job = self._jobs.get(key)
        if job is not None:
            job.drop_before(ack.offset)
            self._drop_if_acked(key, job)

    def _drop_if_acked(self, key: JobKey, job: DecodeJob) -> None:
        if job.state is SeatState.ENDED and job.is_acked:
            self._drop(key)

    def _take_resume(self, link: Link, resume: Resume) -> None:
        key = (resume.request, resume.attempt)
        job = self._jobs.get(key)
        if job is None or not job.resume(link, resume.offset):
            refused = Refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN, Step.DECODE)
            link.send(AttemptFailed(*key, refused, started=True))

    # ends

    def _take_cancel(self, _link: Link, cancel: Cancel) -> None:
        self._drop((cancel.request, cancel.attempt))

    def _link_down(self, link: Link) -> None:
        for key in [key for key, job in self._jobs.items() if job.link is link]:
            job = self._jobs[key]
            if job.state in (SeatState.RUNNING, SeatState.ENDED):
                job.expect(self._clock, RESUME_GRACE, self._drop, key)
            else:
                self._drop(key)

    def _drop(self, key: JobKey) -> None:
        job = self._jobs.pop(key, None)
        if job is None:
            return
        job.forget()
        if job.running is not None:
            job.running.cancel()
        elif job.state is SeatState.PROMISED:
            self._taken -= 1
            self._events.emit(SeatFreed(*key, self._backend))
            self._give_seats()


@SERVICES.register("decode_agent")
def make_decode_agent(kernel: Kernel) -> DecodeAgent:
    """Make the service."""
    return DecodeAgent(kernel)
