"""Assigns models and roles to backend servers with as few changes as possible."""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import msgspec

from lavenderrun.types import BackendId, BackendRole, Model, ModelName, Serving


class ModelRole(msgspec.Struct, frozen=True):
    """A model and a role in which a backend server serves it."""

    model: ModelName
    role: BackendRole


class Assignment(msgspec.Struct, frozen=True):
    """The model and role that one backend server should serve."""

    model_role: ModelRole


def list_wanted_roles(models: Sequence[Model]) -> list[ModelRole]:
    """Return an item per wanted server: the first server of every model role, then the second."""
    counted = []
    for model in models:
        for role, count in (
            (BackendRole.PREFILL, model.prefill),
            (BackendRole.DECODE, model.decode),
        ):
            counted += [(number, ModelRole(model.name, role)) for number in range(count)]
    return [model_role for _, model_role in sorted(counted, key=lambda pair: pair[0])]


def assign(
    models: Sequence[Model], reports: Mapping[BackendId, Serving]
) -> dict[BackendId, Assignment]:
    """Return the assignment of each needed backend server; the others keep what they serve."""
    unfilled = list_wanted_roles(models)[: len(reports)]
    free = dict(sorted(reports.items()))
    chosen: dict[BackendId, Assignment] = {}
    for matches in (_serves, _has_model, _has_role, _matches_any):
        for model_role in list(unfilled):
            backend = next((b for b, report in free.items() if matches(report, model_role)), None)
            if backend is not None:
                del free[backend]
                unfilled.remove(model_role)
                chosen[backend] = Assignment(model_role)
    return chosen


def _serves(report: Serving, model_role: ModelRole) -> bool:
    return _has_model(report, model_role) and _has_role(report, model_role)


def _has_model(report: Serving, model_role: ModelRole) -> bool:
    return report.loaded.model == model_role.model


def _has_role(report: Serving, model_role: ModelRole) -> bool:
    return report.loaded.role is model_role.role


def _matches_any(_report: Serving, _model_role: ModelRole) -> bool:
    return True
