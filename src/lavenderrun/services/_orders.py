"""Service ``orders``: has engines load the models, revisions, adapters and roles of the document.

Every entry runs the service; only the holder of the lease sends orders.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import ClassVar

from eliot import log_message

from lavenderrun.decisions import BlockedOrder, OrderPlanner, PlannedOrder
from lavenderrun.kernel import SERVICES, Kernel, Timer
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.types import (
    BackendId,
    BackendRole,
    Document,
    DocumentSource,
    Fence,
    FencingNumber,
    HostId,
    HostRole,
    LeaseName,
    Leases,
    Link,
    Links,
    Order,
    OrderAnswer,
    OrderOutcome,
    Placed,
    Serving,
)

LEASE = LeaseName("orders")
PLAN_INTERVAL = timedelta(seconds=1)
"""Time between two plans of orders."""
MAX_REPORT_WAIT = timedelta(seconds=10)
"""Longest wait for the reports of all engines before the first order under a new lease."""


class OrdersService:
    """Collects the reports of agents, and sends orders while this host holds the lease."""

    needs: ClassVar[tuple[str, ...]] = ("leases", "links", "document", "record")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._leases = kernel.find("leases", Leases)
        self._links = kernel.find("links", Links)
        self._document = kernel.find("document", DocumentSource)
        self._events = EventEmitter.from_kernel(kernel)
        self._reports: dict[HostId, Serving] = {}
        self._hosts: dict[BackendId, HostId] = {}
        self._fencing: FencingNumber | None = None
        self._planner: OrderPlanner | None = None
        self._term_started_at = kernel.clock.now()
        self._blocked: list[BlockedOrder] = []
        self._timer: Timer | None = None

    def start(self) -> None:
        """Compete for the lease and subscribe to reports and answers."""
        self._leases.compete(LEASE)
        self._links.subscribe(Serving, self._handle_report)
        self._links.subscribe(OrderAnswer, self._handle_answer)
        self._links.watch(lambda _: None, self._handle_link_down)
        self._tick()

    def stop(self) -> None:
        """Stop sending orders."""
        if self._timer is not None:
            self._timer.cancel()

    def find_serving(self, host: HostId) -> Serving | None:
        """Return the last report of the agent on *host*, ``None`` without a link to it."""
        return self._reports.get(host)

    def _tick(self) -> None:
        self._timer = self._clock.call_later(PLAN_INTERVAL, self._tick)
        fencing = self._leases.find_fencing_number(LEASE)
        document = self._document.current
        if fencing is None or document is None:
            self._fencing = self._planner = None
            return
        now = self._clock.now()
        if fencing != self._fencing or self._planner is None:
            self._fencing, self._term_started_at = fencing, now
            self._planner = OrderPlanner(document.weight_store_rate, now)
        self._send_fences(fencing)
        self._planner.change_rate(document.weight_store_rate)
        reports = self._find_reports(fencing)
        if self._has_enough_reports(document, reports, now):
            for order in self._planner.plan(document.models, reports, now):
                self._send(order, fencing)
            self._log_blocked(self._planner.blocked)

    def _send_fences(self, fencing: FencingNumber) -> None:
        """Have all agents refuse older fencing numbers, before any order relies on that."""
        for link in self._links.list_live():
            report = self._reports.get(link.peer.host)
            if link.peer.role is HostRole.AGENT and (report is None or report.fencing < fencing):
                link.send(Fence(fencing))

    def _find_reports(self, fencing: FencingNumber) -> dict[BackendId, Serving]:
        """Return the reports of agents that refuse every older fencing number."""
        return {
            backend: self._reports[host]
            for backend, host in self._hosts.items()
            if host in self._reports and self._reports[host].fencing == fencing
        }

    def _has_enough_reports(
        self, document: Document, reports: dict[BackendId, Serving], now: datetime
    ) -> bool:
        engines = {each.id for each in document.backends if each.role is not BackendRole.PLAIN}
        return now - self._term_started_at >= MAX_REPORT_WAIT or engines <= set(reports)

    def _send(self, order: PlannedOrder, fencing: FencingNumber) -> None:
        # checked again right before the send: this host may have been paused since the plan
        if self._leases.find_fencing_number(LEASE) != fencing:
            return
        link = self._links.find(self._hosts[order.backend])
        if link is None:
            return
        link.send(
            Order(
                order.number,
                fencing,
                order.kind,
                order.model,
                order.revision,
                order.adapter,
                order.role,
            )
        )
        self._events.emit(Placed(order.model, order.backend, order.kind.value))
        log_message(
            "orders:sent",
            text="orders: order sent",
            backend=order.backend,
            order=order.kind.value,
            model=order.model,
            revision=order.revision,
            fencing=fencing,
        )

    def _log_blocked(self, blocked: list[BlockedOrder]) -> None:
        if blocked != self._blocked:
            self._blocked = blocked
            for each in blocked:
                log_message(
                    "orders:blocked",
                    text="orders: change is blocked until a backend server is spare",
                    backend=each.backend,
                    model=each.model_role.model,
                )

    def _handle_report(self, link: Link, report: Serving) -> None:
        if link.peer.backend is not None:
            self._reports[link.peer.host] = report
            self._hosts[link.peer.backend] = link.peer.host

    def _handle_answer(self, link: Link, answer: OrderAnswer) -> None:
        if answer.outcome in (OrderOutcome.BEGUN, OrderOutcome.DONE):
            return
        log_message(
            "orders:not_done",
            text="orders: order was not executed",
            backend=link.peer.backend,
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        if self._planner is not None and link.peer.backend is not None:
            self._planner.fail(link.peer.backend, answer.number)

    def _handle_link_down(self, link: Link) -> None:
        self._reports.pop(link.peer.host, None)


@SERVICES.register("orders")
def make_orders(kernel: Kernel) -> OrdersService:
    """Make the service ``orders``."""
    return OrdersService(kernel)
