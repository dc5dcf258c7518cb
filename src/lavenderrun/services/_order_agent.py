"""Service ``order_agent``: executes orders of the lease holder on the engine beside this agent.

The agent checks fencing numbers itself, because not every backend server does.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar, Protocol

import msgspec
from eliot import log_message
from twisted.python.failure import Failure

from lavenderrun.decisions import FencingGuard
from lavenderrun.http_server import describe_error
from lavenderrun.kernel import SERVICES, Kernel, Timer
from lavenderrun.types import (
    BackendRole,
    Fence,
    FencingNumber,
    Hello,
    HostRole,
    Link,
    Links,
    LoadedModel,
    ManagedEngine,
    ModelName,
    Order,
    OrderAnswer,
    OrderKind,
    OrderOutcome,
    ServiceGroup,
    Serving,
    ServingState,
)

DRAIN_POLL_INTERVAL = timedelta(milliseconds=100)
READ_INTERVAL = timedelta(seconds=10)
"""Time between two reads of what the engine serves."""
WORKER_SERVICES = ("decode_agent", "prefill_agent")
"""Names of the services that an order must wait for."""


class Worker(Protocol):
    """A service that runs jobs on the backend server."""

    def count_jobs(self) -> int:
        """Return the number of jobs that have not ended."""


class OrderAgent:
    """Drains one backend server, executes orders on it and reports what it serves."""

    needs: ClassVar[tuple[str, ...]] = ("links", "engine")

    def __init__(self, kernel: Kernel) -> None:
        self._kernel = kernel
        self._clock = kernel.clock
        self._links = kernel.find("links", Links)
        self._engine = kernel.find("engine", ManagedEngine)
        self._hello: Hello = kernel.settings.hello()
        role = self._hello.backend_role or BackendRole.DECODE
        self._loaded = LoadedModel(ModelName(self._hello.group or ""), "", [], role)
        self._state = ServingState.READY
        self._fencing_guard = FencingGuard()
        self._order: Order | None = None
        self._outcome = OrderOutcome.DONE
        self._detail = ""
        self._timers: dict[str, Timer] = {}

    def start(self) -> None:
        """Subscribe to the messages of lease holders and report to all entries."""
        self._links.subscribe(Fence, self._handle_fence)
        self._links.subscribe(Order, self._handle_order)
        self._links.watch(self._send_report, lambda _: None)
        self._read()

    def stop(self) -> None:
        """Cancel all timers, also of an order that waits for jobs to end."""
        for timer in self._timers.values():
            timer.cancel()

    def count_jobs(self) -> int:
        """Return 1 while an order drains or reloads the engine, else 0."""
        return 0 if self._state is ServingState.READY else 1

    # orders

    def _handle_fence(self, link: Link, fence: Fence) -> None:
        self._fencing_guard.accept(fence.fencing)
        self._send_report(link)

    def _handle_order(self, link: Link, order: Order) -> None:
        try:
            self._take_order(link, order)
        except Exception as error:
            self._fail_unexpectedly(order, error, link)

    def _take_order(self, link: Link, order: Order) -> None:
        if not self._fencing_guard.accept(order.fencing):
            self._log("orders:fenced", "orders: order refused, its fencing number is old", order)
            link.send(OrderAnswer(order.number, OrderOutcome.FENCED))
            return
        last = self._order
        if last is not None and (last.number, last.fencing) == (order.number, order.fencing):
            link.send(OrderAnswer(order.number, self._outcome, self._detail))
            return
        if self._outcome is OrderOutcome.BEGUN:
            # the engine stays ready while it loads an adapter
            link.send(OrderAnswer(order.number, OrderOutcome.BUSY))
            return
        self._log("orders:begun", "orders: order begun", order)
        self._order, self._outcome, self._detail = order, OrderOutcome.BEGUN, ""
        if order.kind is OrderKind.LOAD_ADAPTER:
            self._execute(order)
        else:
            self._links.announce_draining(drained=True)
            self._change_state(ServingState.DRAINING)
            self._wait_for_jobs(order)

    def _wait_for_jobs(self, order: Order) -> None:
        """Execute the order once all jobs have ended, unless a later lease holder took over."""
        if self._count_jobs() > 0:
            timer = self._clock.call_later(
                DRAIN_POLL_INTERVAL, self._run_step, order, self._wait_for_jobs, order
            )
            self._timers["drain"] = timer
        elif self._fencing_guard.highest != order.fencing:
            self._end(order, OrderOutcome.FENCED, "a later lease holder took over")
        else:
            self._execute(order)

    def _execute(self, order: Order) -> None:
        if order.kind is not OrderKind.LOAD_ADAPTER:
            self._change_state(ServingState.LOADING)
        done = self._engine.execute(order)
        done.addCallbacks(
            lambda _: self._run_step(order, self._finish, order),
            lambda failure: self._run_step(order, self._fail, failure, order),
        )

    def _finish(self, order: Order) -> None:
        loaded = self._loaded
        if order.kind is OrderKind.LOAD_MODEL:
            self._loaded = LoadedModel(order.model, order.revision, [], loaded.role)
        elif order.kind is OrderKind.LOAD_ADAPTER:
            adapters = [*loaded.adapters, order.adapter]
            self._loaded = msgspec.structs.replace(loaded, adapters=adapters)
        else:
            self._loaded = msgspec.structs.replace(loaded, role=order.role)
        self._end(order, OrderOutcome.DONE, "")

    def _fail(self, failure: Failure, order: Order) -> None:
        self._end(order, OrderOutcome.FAILED, failure.getErrorMessage())

    def _run_step(self, order: Order, step: Callable[..., None], *args: object) -> None:
        try:
            step(*args)
        except Exception as error:
            self._fail_unexpectedly(order, error, None)

    def _fail_unexpectedly(self, order: Order, error: Exception, link: Link | None) -> None:
        """End an order after an unexpected error; what is loaded then is read from the engine."""
        detail = describe_error(error)
        is_begun = self._order is order and self._outcome is OrderOutcome.BEGUN
        log_message(
            "orders:unexpected",
            text="orders: order failed with an unexpected error",
            backend=self._hello.backend,
            number=order.number,
            error=detail,
        )
        if is_begun:
            self._end(order, OrderOutcome.FAILED, detail)
        elif link is not None:
            link.send(OrderAnswer(order.number, OrderOutcome.FAILED, detail))

    def _end(self, order: Order, outcome: OrderOutcome, detail: str) -> None:
        self._outcome, self._detail = outcome, detail
        self._log(f"orders:{outcome.value}", f"orders: order {outcome.value}", order)
        self._links.announce_draining(drained=False)
        self._change_state(ServingState.READY)
        self._send_to_entries(OrderAnswer(order.number, outcome, detail))
        self._update_greeting()

    def _update_greeting(self) -> None:
        group, role = ServiceGroup(self._loaded.model), self._loaded.role
        if (group, role) != (self._hello.group, self._hello.backend_role):
            self._hello = msgspec.structs.replace(self._hello, group=group, backend_role=role)
            self._links.set_greeting(self._hello)

    def _count_jobs(self) -> int:
        workers = [
            self._kernel.find(name, Worker) for name in WORKER_SERVICES if self._kernel.has(name)
        ]
        counts = [worker.count_jobs() for worker in workers]
        return sum(counts)

    # reports

    def _read(self) -> None:
        """Read what the engine serves, which changes when it restarts."""
        self._timers["read"] = self._clock.call_later(READ_INTERVAL, self._read)
        if self._state is ServingState.READY:
            self._engine.find_loaded().addCallbacks(self._handle_loaded, lambda _: None)

    def _handle_loaded(self, loaded: LoadedModel | None) -> None:
        if loaded is None or self._state is not ServingState.READY or loaded == self._loaded:
            return
        self._loaded = loaded
        self._send_to_entries(self._make_report())
        self._update_greeting()

    def _change_state(self, state: ServingState) -> None:
        self._state = state
        self._send_to_entries(self._make_report())

    def _make_report(self) -> Serving:
        number = self._order.number if self._order is not None else 0
        return Serving(
            self._loaded, self._state, FencingNumber(self._fencing_guard.highest), number
        )

    def _send_report(self, link: Link) -> None:
        if link.peer.role is HostRole.ENTRY:
            link.send(self._make_report())

    def _send_to_entries(self, message: Serving | OrderAnswer) -> None:
        for link in self._links.list_live():
            if link.peer.role is HostRole.ENTRY:
                link.send(message)

    def _log(self, kind: str, text: str, order: Order) -> None:
        log_message(
            kind,
            text=text,
            backend=self._hello.backend,
            model=order.model,
            order=order.kind.value,
            fencing=order.fencing,
        )


@SERVICES.register("order_agent")
def make_order_agent(kernel: Kernel) -> OrderAgent:
    """Make the service ``order_agent``."""
    return OrderAgent(kernel)
