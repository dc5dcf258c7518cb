"""Scenarios of gateways before plain servers: load, faults and measures."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from lavenderrun.bench._gateway_fleet import GatewayFleet, GatewayObservation
from lavenderrun.bench._measures import DECIMAL_PLACES, Measures
from lavenderrun.bench._scenarios import (
    RECOVERY_FROM_SECONDS,
    RECOVERY_UNTIL_SECONDS,
    Result,
)
from lavenderrun.decisions import Violation, check_record
from lavenderrun.types import Invariant, Outcome, Refusal

DRAIN_SECONDS = 12.0
"""Time after the load in which callers that were refused come back and all calls end."""


@dataclass(frozen=True)
class GatewayPlan:
    """Gateways, their load and their faults.

    :param hosts: number of gateways.
    :param servers: number of plain servers.
    :param per_second: mean number of calls per second.
    :param seconds: length of the load.
    :param script: schedules what servers say.
    :param fault_at: time of the first fault in seconds.
    :param fault_until: end of the last fault in seconds.
    """

    script: Callable[[GatewayFleet], None]
    hosts: int = 5
    servers: int = 4
    per_second: float = 80.0
    seconds: float = 14.0
    fault_at: float | None = None
    fault_until: float | None = None

    def run(self, name: str, seed: int, policies: dict[str, str] | None) -> Result:
        """Run the gateways under the load, and return what callers and servers saw."""
        fleet = GatewayFleet(self.hosts, self.servers, seed)
        fleet.start()
        self.script(fleet)
        fleet.run(self.per_second, self.seconds, DRAIN_SECONDS)
        held = fleet.count_held()
        fleet.finish()
        violations = check_record(fleet.record.events)
        extra = {**fleet.extra, **self._measure_recovery(fleet)}
        measures = _measure(fleet, name, seed, policies or {}, held, violations, extra)
        return Result(measures, violations, fleet)

    def _measure_recovery(self, fleet: GatewayFleet) -> dict[str, float]:
        if self.fault_at is None or self.fault_until is None:
            return {}
        start = self.fault_until + RECOVERY_FROM_SECONDS
        before = _compute_goodput(fleet.observations, 0.0, self.fault_at)
        after = _compute_goodput(
            fleet.observations, start, self.fault_until + RECOVERY_UNTIL_SECONDS
        )
        return {"recovery": after / before if before else 0.0}


def _compute_goodput(observations: list[GatewayObservation], start: float, end: float) -> float:
    chosen = [each for each in observations if start <= each.at < end]
    return sum(each.is_good() for each in chosen) / len(chosen) if chosen else 1.0


def _measure(
    fleet: GatewayFleet,
    name: str,
    seed: int,
    policies: dict[str, str],
    held: int,
    violations: list[Violation],
    extra: dict[str, float],
) -> Measures:
    seen = fleet.observations
    counts = Counter(violation.invariant for violation in violations)
    reasons = Counter(refusal[-1].refusal for each in seen for refusal in each.refusals)
    refused = sum(bool(each.refusals) for each in seen)
    goodput = round(sum(each.is_good() for each in seen) / len(seen), DECIMAL_PLACES)
    return Measures(
        scenario=name,
        seed=seed,
        policies=policies,
        goodput=goodput,
        wasted_prefill=0.0,
        worst_account=goodput,
        in_rate_refusals=round(refused / len(seen), DECIMAL_PLACES),
        violations={invariant.value: counts[invariant] for invariant in Invariant},
        held=held,
        offered=len(seen),
        finished=sum(each.finished for each in seen),
        refusals={reason.value: number for reason, number in sorted(reasons.items(), key=str)},
        work_of_capacity=0.0,
        repeatable_lost=sum(_is_lost(each) for each in seen),
        accounts={},
        first_token_p95=0.0,
        store_reads_per_second=0.0,
        store_writes_per_second=0.0,
        errors=reasons[Refusal.INTERNAL],
        extra={key: round(float(value), DECIMAL_PLACES) for key, value in sorted(extra.items())},
    )


def _is_lost(observation: GatewayObservation) -> bool:
    """Tell whether an idempotent call got no answer and was not refused as not run."""
    refusals = observation.refusals
    not_run = bool(refusals) and refusals[-1][-1].outcome is Outcome.NOT_RUN
    return observation.is_idempotent and not observation.finished and not not_run
