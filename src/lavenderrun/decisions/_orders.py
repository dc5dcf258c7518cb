"""Which backend server should serve what, and the next safe orders towards it."""

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

    :param number: the same when it is sent again.
    """

    number: int
    backend: BackendId
    kind: OrderKind
    model: ModelName
    revision: str = ""
    adapter: str = ""
    role: BackendRole = BackendRole.DECODE


class BlockedOrder(msgspec.Struct, frozen=True):
    """A change that waits, for it would take the last server of a model's role away."""

    backend: BackendId
    model_role: ModelRole


@dataclass
class _Pending:
    order: PlannedOrder
    sent: datetime


class OrderPlanner:
    """Plans orders for one term of the lease.

    An order counts as pending until the backend server reports what was ordered; when the report
    or the answer is lost, the same order is sent again under its number.

    :param rate: bytes a second that all loads may read together.
    :param now: loads of an earlier term are awaited, for their end shows in the reports.
    """

    def __init__(self, rate: float, now: datetime) -> None:
        self._rate = rate
        self._loads_free_at = now
        self._pending: dict[BackendId, _Pending] = {}
        self._number = 0
        self.blocked: list[BlockedOrder] = []

    def change_rate(self, rate: float) -> None:
        """Set the weight store's rate."""
        self._rate = rate

    def fail(self, backend: BackendId, number: int) -> None:
        """Take an agent's answer that an order came to nothing."""
        pending = self._pending.get(backend)
        if pending is not None and pending.order.number == number:
            del self._pending[backend]

    def plan(
        self, models: Sequence[Model], reports: Mapping[BackendId, Serving], now: datetime
    ) -> list[PlannedOrder]:
        """Return the orders to send now.

        :param reports: of the backend servers whose agents refuse older fencing numbers.
        """
        self._settle(reports)
        orders = self._find_repeats(reports, now)
        self.blocked = []
        if self._has_foreign_work(reports):
            return orders
        by_name = {model.name: model for model in models}
        wanted = assign(models, {b: self._expect(b, report) for b, report in reports.items()})
        standing = ReadyServers(models, reports, set(self._pending))
        for backend, target in sorted(wanted.items()):
            report = reports[backend]
            if backend in self._pending or report.state is not ServingState.READY:
                continue
            order = self._find_step(backend, target, report.loaded, by_name)
            if order is None or not self._may_begin(order, standing, by_name, now):
                continue
            self._pending[backend] = _Pending(order, now)
            orders.append(order)
        return orders

    def _may_begin(
        self,
        order: PlannedOrder,
        standing: ReadyServers,
        models: Mapping[ModelName, Model],
        now: datetime,
    ) -> bool:
        """Check an order against what must go on being served and the weight store's rate."""
        if order.kind is OrderKind.LOAD_ADAPTER:
            return True
        if not standing.may_take(order.backend):
            self.blocked.append(BlockedOrder(order.backend, ModelRole(order.model, order.role)))
            return False
        if order.kind is OrderKind.LOAD_MODEL and not self._reserve(models[order.model], now):
            return False
        standing.take(order.backend)
        return True

    def _has_foreign_work(self, reports: Mapping[BackendId, Serving]) -> bool:
        """Tell whether an order of an earlier lease holder is still carried out."""
        return any(
            report.state is not ServingState.READY and backend not in self._pending
            for backend, report in reports.items()
        )

    def _expect(self, backend: BackendId, report: Serving) -> Serving:
        """Return the report as it will be once the pending order is done."""
        pending = self._pending.get(backend)
        if pending is None:
            return report
        order, loaded = pending.order, report.loaded
        if order.kind is OrderKind.LOAD_MODEL:
            loaded = LoadedModel(order.model, order.revision, [], loaded.role)
        elif order.kind is OrderKind.CHANGE_ROLE:
            loaded = replace(loaded, role=order.role)
        return replace(report, loaded=loaded)

    def _settle(self, reports: Mapping[BackendId, Serving]) -> None:
        for backend, pending in list(self._pending.items()):
            report = reports.get(backend)
            ready = report is not None and report.state is ServingState.READY
            if report is not None and ready and _is_done(pending.order, report.loaded):
                del self._pending[backend]

    def _find_repeats(
        self, reports: Mapping[BackendId, Serving], now: datetime
    ) -> list[PlannedOrder]:
        repeats = []
        for backend, pending in self._pending.items():
            report = reports.get(backend)
            if report is None or report.state is not ServingState.READY:
                continue
            if now - pending.sent >= RESEND_AFTER:
                pending.sent = now
                repeats.append(pending.order)
        return repeats

    def _find_step(
        self,
        backend: BackendId,
        target: Assignment,
        loaded: LoadedModel,
        models: Mapping[ModelName, Model],
    ) -> PlannedOrder | None:
        """Return the next order that brings one backend server nearer to its target."""
        model = models[target.model_role.model]
        # an engine that does not tell its revision is taken to have the right one
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

    def _reserve(self, model: Model, now: datetime) -> bool:
        """Take a load's bytes from the weight store's rate; tell whether it may begin."""
        if now < self._loads_free_at:
            return False
        self._loads_free_at = now + timedelta(seconds=model.size / self._rate)
        return True


def _is_done(order: PlannedOrder, loaded: LoadedModel) -> bool:
    if order.kind is OrderKind.LOAD_MODEL:
        return (loaded.model, loaded.revision) == (order.model, order.revision)
    if order.kind is OrderKind.LOAD_ADAPTER:
        return order.adapter in loaded.adapters
    return loaded.role is order.role
