"""Service ``order_agent``: carries out orders on the backend server beside this agent.

The agent refuses orders with an old fencing number, for not every backend server does.
"""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar, Protocol

import msgspec
from eliot import log_message
from twisted.python.failure import Failure

from lavenderrun.decisions import FencingGuard
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

DRAIN_POLL = timedelta(milliseconds=100)
READ_EVERY = timedelta(seconds=10)
WORKERS = ("decode_agent", "prefill_agent")


class Worker(Protocol):
    """A service that holds work of the backend server."""

    def count_jobs(self) -> int:
        """Return the number of jobs in hand."""


class OrderAgent:
    """Drains, orders and reports one backend server."""

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
        self._gate = FencingGuard()
        self._order: Order | None = None
        self._outcome = OrderOutcome.DONE
        self._detail = ""
        self._timers: dict[str, Timer] = {}

    def start(self) -> None:
        """Listen to lease holders and report to all entries."""
        self._links.subscribe(Fence, self._take_fence)
        self._links.subscribe(Order, self._take_order)
        self._links.watch(self._report_to, lambda _: None)
        self._read()

    def stop(self) -> None:
        """End an order that waits for work to finish."""
        for timer in self._timers.values():
            timer.cancel()

    def count_jobs(self) -> int:
        """Return the number of orders in hand."""
        return 0 if self._state is ServingState.READY else 1

    # orders

    def _take_fence(self, link: Link, fence: Fence) -> None:
        self._gate.accept(fence.fencing)
        self._report_to(link)

    def _take_order(self, link: Link, order: Order) -> None:
        if not self._gate.accept(order.fencing):
            self._log("orders:fenced", "orders: order is fenced", order)
            link.send(OrderAnswer(order.number, OrderOutcome.FENCED))
            return
        last = self._order
        if last is not None and (last.number, last.fencing) == (order.number, order.fencing):
            link.send(OrderAnswer(order.number, self._outcome, self._detail))
            return
        if self._state is not ServingState.READY:
            link.send(OrderAnswer(order.number, OrderOutcome.BUSY))
            return
        self._log("orders:begun", "orders: order is begun", order)
        self._order, self._outcome, self._detail = order, OrderOutcome.BEGUN, ""
        if order.kind is OrderKind.LOAD_ADAPTER:
            self._obey(order)
        else:
            self._links.announce_draining(drained=True)
            self._change_state(ServingState.DRAINING)
            self._wait_for_work(order)

    def _wait_for_work(self, order: Order) -> None:
        """Hand the order to the engine once all work is done."""
        if self._count_work() > 0:
            timer = self._clock.call_later(DRAIN_POLL, self._wait_for_work, order)
            self._timers["drain"] = timer
        elif self._gate.highest != order.fencing:
            self._end(order, OrderOutcome.FENCED, "a later lease holder took over")
        else:
            self._obey(order)

    def _obey(self, order: Order) -> None:
        if order.kind is not OrderKind.LOAD_ADAPTER:
            self._change_state(ServingState.LOADING)
        done = self._engine.execute(order)
        done.addCallbacks(self._finish, self._fail, (order,), {}, (order,))

    def _finish(self, _: None, order: Order) -> None:
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

    def _end(self, order: Order, outcome: OrderOutcome, detail: str) -> None:
        self._outcome, self._detail = outcome, detail
        self._log(f"orders:{outcome.value}", f"orders: order is {outcome.value}", order)
        self._links.announce_draining(drained=False)
        self._change_state(ServingState.READY)
        self._tell(OrderAnswer(order.number, outcome, detail))
        self._greet_if_changed()

    def _greet_if_changed(self) -> None:
        group, role = ServiceGroup(self._loaded.model), self._loaded.role
        if (group, role) != (self._hello.group, self._hello.backend_role):
            self._hello = msgspec.structs.replace(self._hello, group=group, backend_role=role)
            self._links.set_greeting(self._hello)

    def _count_work(self) -> int:
        workers = [self._kernel.find(name, Worker) for name in WORKERS if self._kernel.has(name)]
        held = [worker.count_jobs() for worker in workers]
        return sum(held)

    # reports

    def _read(self) -> None:
        """Ask the engine what it serves; it may have restarted."""
        self._timers["read"] = self._clock.call_later(READ_EVERY, self._read)
        if self._state is ServingState.READY:
            self._engine.find_loaded().addCallbacks(self._take_loaded, lambda _: None)

    def _take_loaded(self, loaded: LoadedModel | None) -> None:
        if loaded is None or self._state is not ServingState.READY or loaded == self._loaded:
            return
        self._loaded = loaded
        self._tell(self._make_report())
        self._greet_if_changed()

    def _change_state(self, state: ServingState) -> None:
        self._state = state
        self._tell(self._make_report())

    def _make_report(self) -> Serving:
        number = self._order.number if self._order is not None else 0
        return Serving(self._loaded, self._state, FencingNumber(self._gate.highest), number)

    def _report_to(self, link: Link) -> None:
        if link.peer.role is HostRole.ENTRY:
            link.send(self._make_report())

    def _tell(self, message: Serving | OrderAnswer) -> None:
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
    """Make the service."""
    return OrderAgent(kernel)
