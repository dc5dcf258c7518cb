"""Keeps the last ready server of a model's role from being taken away."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

from lavenderrun.decisions._assignment import ModelRole, list_places
from lavenderrun.types import BackendId, Model, Serving, ServingState


class ReadyServers:
    """How many ready servers each model's role has, less those that orders take away."""

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
        self._places = set(list_places(models))

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
        return not missing or not (self._busy or self._has_spare(backend))

    def take(self, backend: BackendId) -> None:
        """Count a server as taken away."""
        self._busy = True
        del self._ready[backend]

    def _has_spare(self, backend: BackendId) -> bool:
        """Tell whether a server other than the last ones of their roles could be used."""
        places = list(self._ready.values())
        return any(
            other != backend and (not place.model or places.count(place) > 1)
            for other, place in self._ready.items()
        )
