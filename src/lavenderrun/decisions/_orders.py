"""Plans the orders that change models, adapters and roles of backend servers safely."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec
from msgspec.structs import replace

from lavenderrun.decisions._assignment import Assignment, ModelRole, assign
from lavenderrun.decisions._ready_servers import ReadyServers
from lavenderrun.types import (
    BackendId,
    BackendRole,
    LoadedModel,
    Model,
    ModelName,
    OrderKind,
    Serving,
    ServingState,
)

RESEND_AFTER = timedelta(seconds=5)


class PlannedOrder(msgspec.Struct, frozen=True):
    """An order to one backend server.

    :param number: identifies the order; the same when it is sent again.
    """

    number: int
    backend: BackendId
    kind: OrderKind
    model: ModelName
    revision: str = ""
    adapter: str = ""
    role: BackendRole = BackendRole.DECODE


class BlockedOrder(msgspec.Struct, frozen=True):
    """A change that waits because it would remove the last server of a model and role."""

    backend: BackendId
    model_role: ModelRole


@dataclass
class _PendingOrder:
    order: PlannedOrder
    sent: datetime


class OrderPlanner:
    """Plans orders while this host holds the lease.

    An order is pending until the backend server reports its result. If the report or the answer
    is lost, the same order is sent again under its number.

    :param rate: bytes per second that all model loads together may read from the weight store.
    :param now: when the first load may start. No order starts before the reports show that loads
        ordered by an earlier lease holder have ended.
    """

    def __init__(self, rate: float, now: datetime) -> None:
        self._rate = rate
        self._next_load_at = now
        self._pending: dict[BackendId, _PendingOrder] = {}
        self._number = 0
        self.blocked: list[BlockedOrder] = []

    def change_rate(self, rate: float) -> None:
        """Set the weight store's rate in bytes per second."""
        self._rate = rate

    def fail(self, backend: BackendId, number: int) -> None:
        """Drop a pending order that its agent reports as not done."""
        pending = self._pending.get(backend)
        if pending is not None and pending.order.number == number:
            del self._pending[backend]

    def plan(
        self, models: Sequence[Model], reports: Mapping[BackendId, Serving], now: datetime
    ) -> list[PlannedOrder]:
        """Return the orders to send now.

        :param reports: reports of the backend servers whose agents refuse older fencing numbers.
        """
        self._drop_completed(reports)
        orders = self._find_resends(reports, now)
        self.blocked = []
        if self._has_earlier_orders(reports):
            return orders
        by_name = {model.name: model for model in models}
        wanted = assign(
            models, {b: self._predict_report(b, report) for b, report in reports.items()}
        )
        ready_servers = ReadyServers(models, reports, set(self._pending))
        for backend, target in sorted(wanted.items()):
            report = reports[backend]
            if backend in self._pending or report.state is not ServingState.READY:
                continue
            order = self._plan_order(backend, target, report.loaded, by_name)
            if order is None or not self._may_start(order, ready_servers, by_name, now):
                continue
            self._pending[backend] = _PendingOrder(order, now)
            orders.append(order)
        return orders

    def _may_start(
        self,
        order: PlannedOrder,
        ready_servers: ReadyServers,
        models: Mapping[ModelName, Model],
        now: datetime,
    ) -> bool:
        """Return whether an order may start now; if so, reserve its load and its server."""
        if order.kind is OrderKind.LOAD_ADAPTER:
            return True
        if not ready_servers.may_reassign(order.backend):
            self.blocked.append(BlockedOrder(order.backend, ModelRole(order.model, order.role)))
            return False
        if order.kind is OrderKind.LOAD_MODEL and not self._reserve_load(models[order.model], now):
            return False
        ready_servers.remove(order.backend)
        return True

    def _has_earlier_orders(self, reports: Mapping[BackendId, Serving]) -> bool:
        """Tell whether an order of an earlier lease holder is still in progress."""
        return any(
            report.state is not ServingState.READY and backend not in self._pending
            for backend, report in reports.items()
        )

    def _predict_report(self, backend: BackendId, report: Serving) -> Serving:
        """Return the report as expected after the pending order is done."""
        pending = self._pending.get(backend)
        if pending is None:
            return report
        order, loaded = pending.order, report.loaded
        if order.kind is OrderKind.LOAD_MODEL:
            loaded = LoadedModel(order.model, order.revision, [], loaded.role)
        elif order.kind is OrderKind.CHANGE_ROLE:
            loaded = replace(loaded, role=order.role)
        return replace(report, loaded=loaded)

    def _drop_completed(self, reports: Mapping[BackendId, Serving]) -> None:
        for backend, pending in list(self._pending.items()):
            report = reports.get(backend)
            ready = report is not None and report.state is ServingState.READY
            if report is not None and ready and _is_done(pending.order, report.loaded):
                del self._pending[backend]

    def _find_resends(
        self, reports: Mapping[BackendId, Serving], now: datetime
    ) -> list[PlannedOrder]:
        resends = []
        for backend, pending in self._pending.items():
            report = reports.get(backend)
            if report is None or report.state is not ServingState.READY:
                continue
            if now - pending.sent >= RESEND_AFTER:
                pending.sent = now
                resends.append(pending.order)
        return resends

    def _plan_order(
        self,
        backend: BackendId,
        target: Assignment,
        loaded: LoadedModel,
        models: Mapping[ModelName, Model],
    ) -> PlannedOrder | None:
        """Return the next order that brings one backend server closer to its assignment."""
        model = models[target.model_role.model]
        # an engine that does not report a revision is assumed to have the right one
        if loaded.model != model.name or loaded.revision not in ("", model.revision):
            kind, adapter = OrderKind.LOAD_MODEL, ""
        elif loaded.role is not target.model_role.role:
            kind, adapter = OrderKind.CHANGE_ROLE, ""
        else:
            missing = [name for name in model.adapters if name not in loaded.adapters]
            if not missing:
                return None
            kind, adapter = OrderKind.LOAD_ADAPTER, missing[0]
        self._number += 1
        role = loaded.role if kind is OrderKind.LOAD_MODEL else target.model_role.role
        return PlannedOrder(self._number, backend, kind, model.name, model.revision, adapter, role)

    def _reserve_load(self, model: Model, now: datetime) -> bool:
        """Reserve a load's bytes of the weight store's rate; return whether it may start now."""
        if now < self._next_load_at:
            return False
        self._next_load_at = now + timedelta(seconds=model.size / self._rate)
        return True


def _is_done(order: PlannedOrder, loaded: LoadedModel) -> bool:
    if order.kind is OrderKind.LOAD_MODEL:
        return (loaded.model, loaded.revision) == (order.model, order.revision)
    if order.kind is OrderKind.LOAD_ADAPTER:
        return order.adapter in loaded.adapters
    return loaded.role is order.role
