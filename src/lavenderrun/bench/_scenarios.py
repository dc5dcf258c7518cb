"""Scenarios: a deployment, its load and what goes wrong; each registers itself."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace

from lavenderrun.bench._deployments import DEPLOYMENTS, PEAK_LOAD, Deployment
from lavenderrun.bench._fleet import Fleet
from lavenderrun.bench._measures import Measures, find_goodput, measure
from lavenderrun.bench._workload import Shape, Workload
from lavenderrun.decisions import Violation
from lavenderrun.kernel import Registry
from lavenderrun.types import AccountId

SETTLE = 12.0
"""Seconds after the last answer until nothing may be held."""


def _do_nothing(fleet: Fleet) -> None:
    del fleet


@dataclass(frozen=True)
class Plan:
    """What one run does.

    :param load: model traffic as a share of capacity.
    :param seconds: length of the load.
    :param drain: longest wait for answers after it, in seconds.
    :param script: schedules what goes wrong.
    :param barred: tells which requests have to be refused.
    :param fault_at: when it goes wrong first, to measure recovery from.
    """

    deployment: Deployment
    load: float = PEAK_LOAD
    seconds: float = 30.0
    drain: float = 40.0
    shape: Shape | None = None
    steepest: float = 1.0
    script: Callable[[Fleet], None] = _do_nothing
    barred: Callable[[AccountId, float], bool] | None = None
    fault_at: float | None = None


SCENARIOS: Registry[Callable[[], Plan]] = Registry("scenario")

RECOVERY_FROM = 5.0
RECOVERY_UNTIL = 10.0
"""Seconds after a fault between which goodput must be back."""


@dataclass(frozen=True)
class Result:
    """A finished run."""

    measures: Measures
    violations: list[Violation]
    fleet: Fleet


def run_scenario(name: str, seed: int, policies: dict[str, str] | None = None) -> Result:
    """Run a registered scenario.

    :raises UnknownNameError: when there is none of that name.
    """
    plan = SCENARIOS.find(name)()
    fleet = Fleet(plan.deployment, seed, policies)
    fleet.begin()
    plan.script(fleet)
    workload = Workload(
        plan.deployment,
        seed,
        load=plan.load,
        shape=plan.shape,
        steepest=plan.steepest,
        barred=plan.barred,
    )
    fleet.run(workload, plan.seconds, plan.drain)
    fleet.finish(SETTLE)
    extra = {}
    if plan.fault_at is not None:
        seen = fleet.sightings.all
        before = find_goodput(seen, 0.0, plan.fault_at)
        start, end = plan.fault_at + RECOVERY_FROM, plan.fault_at + RECOVERY_UNTIL
        extra["recovery"] = find_goodput(seen, start, end) / before if before else 0.0
    measures, violations = measure(fleet, name, plan.seconds, extra)
    return Result(measures, violations, fleet)


def make_deployment(name: str, **changes: object) -> Deployment:
    """Return a registered deployment with some fields replaced."""
    return replace(DEPLOYMENTS.find(name)(), **changes)  # type: ignore[arg-type]
