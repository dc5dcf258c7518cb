"""Which backend server should serve what, and the next safe orders towards it."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

import msgspec

from lavenderrun.decisions._assignment import Assignment, Place, assign
from lavenderrun.types import (
    BackendId,
    BackendRole,
    Loaded,
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


class Blocked(msgspec.Struct, frozen=True):
    """A change that waits, for it would take the last server of a model's role away."""

    backend: BackendId
    place: Place


@dataclass
class _Pending:
    order: PlannedOrder
    sent: datetime


class Orderer:
    """Plans orders for one term of the lease.

    An order counts as pending until the backend server reports what was ordered; when the report
    or the answer is lost, the same order is sent again under its number.

    :param rate: bytes a second that all loads may read together.
    """

    def __init__(self, rate: float, now: datetime) -> None:
        self._rate = rate
        self._loads_free_at = now
        self._pending: dict[BackendId, _Pending] = {}
        self._number = 0
        self.blocked: list[Blocked] = []

    def change_rate(self, rate: float) -> None:
        """Set the weight store's rate."""
        self._rate = rate

    def note_running(self, model: Model, now: datetime) -> None:
        """Count a load that an earlier lease holder began."""
        self._reserve(model, now)

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
        by_name = {model.name: model for model in models}
        wanted = assign(models, reports)
        standing = _Standing(models, reports, set(self._pending))
        self.blocked = []
        for backend, target in sorted(wanted.items()):
            report = reports[backend]
            if backend in self._pending or report.state is not ServingState.READY:
                continue
            order = self._find_step(backend, target, report.loaded, by_name)
            if order is None:
                continue
            if order.kind is not OrderKind.LOAD_ADAPTER and not standing.may_take(backend):
                self.blocked.append(Blocked(backend, target.place))
                continue
            if order.kind is OrderKind.LOAD_MODEL and not self._reserve(by_name[order.model], now):
                continue
            if order.kind is not OrderKind.LOAD_ADAPTER:
                standing.take(backend)
            self._pending[backend] = _Pending(order, now)
            orders.append(order)
        return orders

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
        loaded: Loaded,
        models: Mapping[ModelName, Model],
    ) -> PlannedOrder | None:
        """Return the next order that brings one backend server nearer to its target."""
        model = models[target.place.model]
        if (loaded.model, loaded.revision) != (model.name, model.revision):
            kind, adapter = OrderKind.LOAD_MODEL, ""
        elif loaded.role is not target.place.role:
            kind, adapter = OrderKind.CHANGE_ROLE, ""
        else:
            missing = [name for name in model.adapters if name not in loaded.adapters]
            if not missing:
                return None
            kind, adapter = OrderKind.LOAD_ADAPTER, missing[0]
        self._number += 1
        role = loaded.role if kind is OrderKind.LOAD_MODEL else target.place.role
        return PlannedOrder(self._number, backend, kind, model.name, model.revision, adapter, role)

    def _reserve(self, model: Model, now: datetime) -> bool:
        """Take a load's bytes from the weight store's rate; tell whether it may begin."""
        if now < self._loads_free_at:
            return False
        self._loads_free_at = now + timedelta(seconds=model.size / self._rate)
        return True


class _Standing:
    """How many ready servers each model's role has, less those that orders take away."""

    def __init__(
        self,
        models: Sequence[Model],
        reports: Mapping[BackendId, Serving],
        pending: set[BackendId],
    ) -> None:
        self._ready = {
            backend: Place(report.loaded.model, report.loaded.role)
            for backend, report in reports.items()
            if report.state is ServingState.READY and backend not in pending
        }
        self._places = [
            Place(model.name, role)
            for model in models
            for role, count in (
                (BackendRole.PREFILL, model.prefill),
                (BackendRole.DECODE, model.decode),
            )
            if count > 0
        ]

    def may_take(self, backend: BackendId) -> bool:
        """Tell whether a server may stop serving what it serves now."""
        place = self._ready[backend]
        if not place.model:
            return True
        others = [other for other in self._ready.values() if other == place]
        if len(others) > 1:
            return True
        if place in self._places:
            return False
        # the last of a model that is no longer wanted goes once all wanted ones are served
        served = set(self._ready.values())
        missing = [wanted for wanted in self._places if wanted not in served]
        return not missing or not self._has_spare(backend)

    def take(self, backend: BackendId) -> None:
        """Count a server as taken away."""
        del self._ready[backend]

    def _has_spare(self, backend: BackendId) -> bool:
        """Tell whether a server other than the last ones of their roles could be used."""
        places = list(self._ready.values())
        return any(
            other != backend and (not place.model or places.count(place) > 1)
            for other, place in self._ready.items()
        )


def _is_done(order: PlannedOrder, loaded: Loaded) -> bool:
    if order.kind is OrderKind.LOAD_MODEL:
        return (loaded.model, loaded.revision) == (order.model, order.revision)
    if order.kind is OrderKind.LOAD_ADAPTER:
        return order.adapter in loaded.adapters
    return loaded.role is order.role
