"""Protects the last ready server of each model and role from reassignment."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lavenderrun.decisions._assignment import ModelRole, list_wanted_roles
from lavenderrun.types import BackendId, Model, Serving, ServingState


class ReadyServers:
    """The ready servers of each model and role, without those that orders reassign."""

    def __init__(
        self,
        models: Sequence[Model],
        reports: Mapping[BackendId, Serving],
        pending: set[BackendId],
    ) -> None:
        self._busy = bool(pending)
        self._ready = {
            backend: ModelRole(report.loaded.model, report.loaded.role)
            for backend, report in reports.items()
            if report.state is ServingState.READY and backend not in pending
        }
        self._wanted_roles = set(list_wanted_roles(models))

    def may_reassign(self, backend: BackendId) -> bool:
        """Tell whether a server may stop serving its current model and role."""
        model_role = self._ready[backend]
        if not model_role.model:
            return True
        others = [other for other in self._ready.values() if other == model_role]
        if len(others) > 1:
            return True
        if model_role in self._wanted_roles:
            return False
        # the last server of an unwanted model is reassigned once all wanted model roles are served
        served = set(self._ready.values())
        missing = [wanted for wanted in self._wanted_roles if wanted not in served]
        return not missing or not (self._busy or self._has_spare(backend))

    def remove(self, backend: BackendId) -> None:
        """Remove a server that an order reassigns."""
        self._busy = True
        del self._ready[backend]

    def _has_spare(self, backend: BackendId) -> bool:
        """Tell whether another server is idle or not the last one of its model and role."""
        model_roles = list(self._ready.values())
        return any(
            other != backend and (not model_role.model or model_roles.count(model_role) > 1)
            for other, model_role in self._ready.items()
        )
