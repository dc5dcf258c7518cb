"""Service ``orders``: orders models, revisions, adapters and roles as the document wants them.

Every entry runs it; only the holder of the lease gives orders.
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
TICK = timedelta(seconds=1)
GATHER = timedelta(seconds=10)
"""Longest wait for the reports of all backend servers before the first order of a term."""


class OrdersService:
    """Gathers reports, and gives orders while this host holds the lease."""

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
        self._orderer: OrderPlanner | None = None
        self._since = kernel.clock.now()
        self._blocked: list[BlockedOrder] = []
        self._timer: Timer | None = None

    def start(self) -> None:
        """Compete for the lease and take reports."""
        self._leases.compete(LEASE)
        self._links.subscribe(Serving, self._take_report)
        self._links.subscribe(OrderAnswer, self._take_answer)
        self._links.watch(lambda _: None, self._link_down)
        self._tick()

    def stop(self) -> None:
        """Give no more orders."""
        if self._timer is not None:
            self._timer.cancel()

    def find_serving(self, host: HostId) -> Serving | None:
        """Return what the agent on *host* last reported."""
        return self._reports.get(host)

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK, self._tick)
        fencing = self._leases.find_fencing_number(LEASE)
        document = self._document.current
        if fencing is None or document is None:
            self._fencing = self._orderer = None
            return
        now = self._clock.now()
        if fencing != self._fencing or self._orderer is None:
            self._fencing, self._since = fencing, now
            self._orderer = OrderPlanner(document.weight_store_rate, now)
        self._announce(fencing)
        self._orderer.change_rate(document.weight_store_rate)
        reports = self._find_reports(fencing)
        if self._are_gathered(document, reports, now):
            for order in self._orderer.plan(document.models, reports, now):
                self._send(order, fencing)
            self._note_blocked(self._orderer.blocked)

    def _announce(self, fencing: FencingNumber) -> None:
        """Have all agents refuse older numbers before any order counts on it."""
        for link in self._links.list_live():
            report = self._reports.get(link.peer.host)
            if link.peer.role is HostRole.AGENT and (report is None or report.fencing < fencing):
                link.send(Fence(fencing))

    def _find_reports(self, fencing: FencingNumber) -> dict[BackendId, Serving]:
        """Return the reports of agents that refuse every older number."""
        return {
            backend: self._reports[host]
            for backend, host in self._hosts.items()
            if host in self._reports and self._reports[host].fencing == fencing
        }

    def _are_gathered(
        self, document: Document, reports: dict[BackendId, Serving], now: datetime
    ) -> bool:
        engines = {each.id for each in document.backends if each.role is not BackendRole.PLAIN}
        return now - self._since >= GATHER or engines <= set(reports)

    def _send(self, order: PlannedOrder, fencing: FencingNumber) -> None:
        # the lease is checked at the moment of use: this host may have been paused since
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
            text="orders: order is sent",
            backend=order.backend,
            order=order.kind.value,
            model=order.model,
            revision=order.revision,
            fencing=fencing,
        )

    def _note_blocked(self, blocked: list[BlockedOrder]) -> None:
        if blocked != self._blocked:
            self._blocked = blocked
            for each in blocked:
                log_message(
                    "orders:blocked",
                    text="orders: change waits for a spare backend server",
                    backend=each.backend,
                    model=each.model_role.model,
                )

    def _take_report(self, link: Link, report: Serving) -> None:
        if link.peer.backend is not None:
            self._reports[link.peer.host] = report
            self._hosts[link.peer.backend] = link.peer.host

    def _take_answer(self, link: Link, answer: OrderAnswer) -> None:
        if answer.outcome in (OrderOutcome.BEGUN, OrderOutcome.DONE):
            return
        log_message(
            "orders:not_done",
            text="orders: order was not done",
            backend=link.peer.backend,
            outcome=answer.outcome.value,
            detail=answer.detail,
        )
        if self._orderer is not None and link.peer.backend is not None:
            self._orderer.fail(link.peer.backend, answer.number)

    def _link_down(self, link: Link) -> None:
        self._reports.pop(link.peer.host, None)


@SERVICES.register("orders")
def make_orders(kernel: Kernel) -> OrdersService:
    """Make the service."""
    return OrdersService(kernel)
