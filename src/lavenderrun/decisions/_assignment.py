"""Assigns models and roles to backend servers with as few changes as possible."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from lavenderrun.types import BackendId, BackendRole, Model, ModelName, Serving


class ModelRole(msgspec.Struct, frozen=True):
    """A model in a role."""

    model: ModelName
    role: BackendRole


class Assignment(msgspec.Struct, frozen=True):
    """What one backend server should serve."""

    model_role: ModelRole


def list_places(models: Sequence[Model]) -> list[ModelRole]:
    """Return one place a wanted server; the first of each model's role come before the second."""
    counted = []
    for model in models:
        for role, count in (
            (BackendRole.PREFILL, model.prefill),
            (BackendRole.DECODE, model.decode),
        ):
            counted += [(number, ModelRole(model.name, role)) for number in range(count)]
    return [place for _, place in sorted(counted, key=lambda pair: pair[0])]


def assign(
    models: Sequence[Model], reports: Mapping[BackendId, Serving]
) -> dict[BackendId, Assignment]:
    """Return what each needed backend server should serve; the others stay as they are."""
    open_places = list_places(models)[: len(reports)]
    free = dict(sorted(reports.items()))
    chosen: dict[BackendId, Assignment] = {}
    for is_fit in (_serves, _has_model, _has_role, _is_any):
        for place in list(open_places):
            backend = next((b for b, report in free.items() if is_fit(report, place)), None)
            if backend is not None:
                del free[backend]
                open_places.remove(place)
                chosen[backend] = Assignment(place)
    return chosen


def _serves(report: Serving, place: ModelRole) -> bool:
    return _has_model(report, place) and _has_role(report, place)


def _has_model(report: Serving, place: ModelRole) -> bool:
    return report.loaded.model == place.model


def _has_role(report: Serving, place: ModelRole) -> bool:
    return report.loaded.role is place.role


def _is_any(_report: Serving, _place: ModelRole) -> bool:
    return True
