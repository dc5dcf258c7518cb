"""Service ``prefill_agent``: runs prefills on the engine beside this agent."""

from __future__ import annotations

from enum import Enum
from typing import ClassVar

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from lavenderrun.kernel import SERVICES, Kernel, Timer
from lavenderrun.services._emitter import Emitter
from lavenderrun.types import (
    AttemptFailed,
    AttemptId,
    BackendCrashError,
    BackendId,
    Cancel,
    Engine,
    Export,
    ExportFreed,
    ExportHeld,
    Link,
    Links,
    Outcome,
    Prefill,
    PrefillDone,
    Prefilled,
    PrefillStarted,
    Refusal,
    Refused,
    RequestId,
    Step,
)


class PrefillState(Enum):
    """Where a prefill is."""

    HELD_BACK = "held_back"
    RUNNING = "running"
    EXPORTED = "exported"


class PrefillJob:
    """One prefill ordered by an entry."""

    def __init__(self, link: Link, order: Prefill) -> None:
        self.link = link
        self.order = order
        self.state = PrefillState.HELD_BACK
        self.timer: Timer | None = None
        self.running: Deferred[Export] | None = None
        self.export: Export | None = None


JobKey = tuple[RequestId, AttemptId]


class PrefillAgent:
    """The prefills of this agent, first come first served."""

    needs: ClassVar[tuple[str, ...]] = ("links", "engine", "record")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._engine = kernel.find("engine", Engine)
        self._events = Emitter.of(kernel)
        self._backend: BackendId = kernel.settings.hello().backend
        self._jobs: dict[JobKey, PrefillJob] = {}

    def start(self) -> None:
        """Listen to entries."""
        self._links.subscribe(Prefill, self._take_order)
        self._links.subscribe(Cancel, self._take_cancel)
        self._links.watch(lambda link: None, self._link_down)

    def stop(self) -> None:
        """Drop all jobs."""
        for key in list(self._jobs):
            self._drop(key)

    def held(self) -> int:
        """Return the number of jobs in hand."""
        return len(self._jobs)

    def _take_order(self, link: Link, order: Prefill) -> None:
        key = (order.request, order.attempt)
        if key in self._jobs:
            return
        job = self._jobs[key] = PrefillJob(link, order)
        job.timer = self._clock.call_later(order.start_in, self._begin, key)

    def _begin(self, key: JobKey) -> None:
        job = self._jobs[key]
        job.state = PrefillState.RUNNING
        order = job.order
        self._events.emit(PrefillStarted(*key, self._backend, order.tokens))
        job.running = self._engine.prefill(order.request, order.model, order.text)
        job.running.addCallbacks(self._finish, self._fail, callbackArgs=(key,), errbackArgs=(key,))

    def _finish(self, export: Export, key: JobKey) -> None:
        job = self._jobs.get(key)
        self._events.emit(PrefillDone(*key, self._backend, export.tokens, export.cached))
        if job is None:
            self._engine.release(export.handle)
            return
        job.state = PrefillState.EXPORTED
        job.export = export
        self._events.emit(ExportHeld(*key, self._backend))
        done = Prefilled(
            *key, export.handle, export.source, export.tokens, export.cached, export.lives
        )
        job.link.send(done)
        job.timer = self._clock.call_later(export.lives, self._drop, key)

    def _fail(self, failure: Failure, key: JobKey) -> None:
        job = self._jobs.pop(key, None)
        if job is None or isinstance(failure.value, CancelledError):
            return
        crashed = isinstance(failure.value, BackendCrashError)
        refused = Refused(Refusal.BACKEND_LOST, Outcome.NOT_RUN, Step.PREFILL)
        job.link.send(AttemptFailed(*key, refused, started=False, crashed=crashed))

    def _take_cancel(self, _link: Link, cancel: Cancel) -> None:
        self._drop((cancel.request, cancel.attempt))

    def _link_down(self, link: Link) -> None:
        for key in [key for key, job in self._jobs.items() if job.link is link]:
            if self._jobs[key].state is not PrefillState.EXPORTED:
                self._drop(key)

    def _drop(self, key: JobKey) -> None:
        job = self._jobs.pop(key, None)
        if job is None:
            return
        if job.timer is not None:
            job.timer.cancel()
        if job.export is not None:
            self._engine.release(job.export.handle)
            self._events.emit(ExportFreed(*key, self._backend))
        elif job.running is not None:
            job.running.cancel()


@SERVICES.register("prefill_agent")
def make_prefill_agent(kernel: Kernel) -> PrefillAgent:
    """Make the service."""
    return PrefillAgent(kernel)
