"""The scenario registry and the runner: a deployment, its load and its faults."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any, Protocol

from lavenderrun.bench._deployments import DEPLOYMENTS, PEAK_LOAD, Deployment
from lavenderrun.bench._fleet import Fleet
from lavenderrun.bench._measures import Measures, compute_goodput, measure_run
from lavenderrun.bench._workload import TrafficShape, Workload
from lavenderrun.decisions import Violation
from lavenderrun.kernel import Registry
from lavenderrun.types import AccountId

SETTLE_SECONDS = 12.0
"""Time after the last answer within which all memory must be released."""


RECOVERY_FROM_SECONDS = 5.0
RECOVERY_UNTIL_SECONDS = 10.0
"""Start and end, in seconds after the fault, of the time in which recovery is measured."""


def _do_nothing(fleet: Fleet) -> None:
    del fleet


@dataclass(frozen=True)
class Plan:
    """Deployment, load and faults of one scenario.

    :param load: model traffic as a share of the engines' capacity.
    :param seconds: length of the load.
    :param drain: longest wait for answers after the load, in seconds.
    :param shape: factor on an account's traffic over time.
    :param max_factor: upper bound of *shape*.
    :param script: schedules faults and operators' actions on the fleet.
    :param must_be_refused: tells which requests have to be refused, by account and seconds.
    :param fault_at: time of the first fault in seconds.
    :param fault_until: end of the last fault in seconds, ``None`` for *fault_at*; the recovery is
        measured from it.
    """

    deployment: Deployment
    load: float = PEAK_LOAD
    seconds: float = 30.0
    drain: float = 40.0
    shape: TrafficShape | None = None
    max_factor: float = 1.0
    script: Callable[[Fleet], None] = _do_nothing
    must_be_refused: Callable[[AccountId, float], bool] | None = None
    fault_at: float | None = None
    fault_until: float | None = None

    def run(self, name: str, seed: int, policies: dict[str, str] | None) -> Result:
        """Run the entries and agents of the deployment under the load and its faults."""
        fleet = Fleet(self.deployment, seed, policies)
        fleet.start()
        self.script(fleet)
        workload = Workload(
            self.deployment,
            seed,
            load=self.load,
            shape=self.shape,
            max_factor=self.max_factor,
            must_be_refused=self.must_be_refused,
        )
        fleet.run(workload, self.seconds, self.drain)
        fleet.finish(SETTLE_SECONDS)
        extra = {}
        if self.fault_at is not None:
            seen = fleet.observations.all
            before = compute_goodput(seen, 0.0, self.fault_at)
            since = self.fault_at if self.fault_until is None else self.fault_until
            start, end = since + RECOVERY_FROM_SECONDS, since + RECOVERY_UNTIL_SECONDS
            extra["recovery"] = compute_goodput(seen, start, end) / before if before else 0.0
        measures, violations = measure_run(fleet, name, self.seconds, extra)
        return Result(measures, violations, fleet)


class ScenarioPlan(Protocol):
    """What a scenario runs."""

    def run(self, name: str, seed: int, policies: dict[str, str] | None) -> Result:
        """Run the scenario and return its result.

        :param policies: policy name by the part of the router that it configures.
        """


SCENARIOS: Registry[Callable[[], ScenarioPlan]] = Registry("scenario")


@dataclass(frozen=True)
class Result:
    """Measures, violations and final state of a finished run."""

    measures: Measures
    violations: list[Violation]
    fleet: Any


def run_scenario(name: str, seed: int, policies: dict[str, str] | None = None) -> Result:
    """Run a registered scenario and return its result.

    :param policies: policy name by the part of the router that it configures.
    :raises UnknownNameError: no scenario of that name is registered.
    """
    return SCENARIOS.find(name)().run(name, seed, policies)


def make_deployment(name: str, **changes: object) -> Deployment:
    """Return a registered deployment with some fields replaced."""
    return replace(DEPLOYMENTS.find(name)(), **changes)  # type: ignore[arg-type]
