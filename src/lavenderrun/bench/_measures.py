"""Measures of a benchmark run."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

from lavenderrun.bench._callers import Observation
from lavenderrun.bench._fleet import Fleet
from lavenderrun.bench._workload import OfferedPrompt
from lavenderrun.decisions import Violation, check_record
from lavenderrun.types import BackendRole, Invariant, MemoryHeld

DECIMAL_PLACES = 4
IN_RATE_SHARE = 0.9
"""Smallest share of requests within the rate for which an account counts as in-rate."""


class Measures(msgspec.Struct):
    """Measures of one run.

    :param goodput: share of offered requests that finished within both latency targets.
    :param wasted_prefill: share of the prefill tokens whose result was not used.
    :param worst_account: lowest goodput of any in-rate client account.
    :param in_rate_refusals: share of in-rate requests that were refused.
    :param violations: number of violations by invariant.
    :param held: jobs of hosts and KV blocks of engines still held after the last answer.
    :param refusals: number of refusals by reason.
    :param work_of_capacity: output tokens of requests within their targets, as a share of what the
        engines can generate during the load.
    :param repeatable_lost: idempotent in-rate requests that got no answer and no refusal that says
        they did not run.
    :param accounts: goodput by in-rate client account.
    :param first_token_p95: 95th percentile of the time to the first token, in seconds.
    :param errors: failures that no service handled.
    :param extra: measures of single scenarios by name.
    """

    scenario: str
    seed: int
    policies: dict[str, str]
    goodput: float
    wasted_prefill: float
    worst_account: float
    in_rate_refusals: float
    violations: dict[str, int]
    held: int
    offered: int
    finished: int
    refusals: dict[str, int]
    work_of_capacity: float
    repeatable_lost: int
    accounts: dict[str, float]
    first_token_p95: float
    store_reads_per_second: float
    store_writes_per_second: float
    errors: int
    extra: dict[str, float] = {}


def measure_run(
    fleet: Fleet, scenario: str, seconds: float, extra: dict[str, float] | None = None
) -> tuple[Measures, list[Violation]]:
    """Return the measures of a finished run and the violations in its record.

    :param seconds: length of the load.
    :param extra: measures of this scenario only.
    """
    observations = [each for each in fleet.observations.all if not each.offered.must_be_refused]
    violations = check_record(fleet.record.events)
    must_be_refused = [each for each in fleet.observations.all if each.offered.must_be_refused]
    in_rate = _choose_in_rate(fleet, observations)
    accounts = _measure_accounts(fleet, in_rate)
    counts = Counter(violation.invariant for violation in violations)
    engines = fleet.engines.values()
    computed = sum(engine.prefilled_tokens for engine in engines)
    elapsed = max(1.0, fleet.reactor.seconds())
    figures = Measures(
        scenario=scenario,
        seed=fleet.seed,
        policies=fleet.policy_names,
        goodput=_share(sum(each.is_good() for each in observations), len(observations)),
        wasted_prefill=_share(sum(engine.wasted_tokens for engine in engines), computed),
        worst_account=min(accounts.values(), default=1.0),
        in_rate_refusals=_share(
            sum(each.refused is not None for each in in_rate), len(in_rate), none=0.0
        ),
        violations={invariant.value: counts[invariant] for invariant in Invariant},
        held=sum(
            event.data.amount for event in fleet.record.events if isinstance(event.data, MemoryHeld)
        ),
        offered=len(observations),
        finished=sum(each.finished for each in observations),
        refusals={
            refusal.value: number
            for refusal, number in sorted(
                fleet.observations.count_refusals().items(), key=lambda item: item[0].value
            )
        },
        work_of_capacity=_measure_work(fleet, observations, seconds),
        repeatable_lost=sum(each.is_lost() for each in in_rate),
        accounts=accounts,
        first_token_p95=_compute_p95(observations),
        store_reads_per_second=round(fleet.table.reads / elapsed, DECIMAL_PLACES),
        store_writes_per_second=round(fleet.table.writes / elapsed, DECIMAL_PLACES),
        errors=len(fleet.failures),
        extra=_round({**_measure_extra(fleet, must_be_refused), **(extra or {})}),
    )
    return figures, violations


def compute_goodput(observations: list[Observation], start: float, end: float) -> float:
    """Return the goodput of the requests offered from *start* until *end*, in seconds."""
    chosen = [each for each in observations if start <= each.offered.at < end]
    return _share(sum(each.is_good() for each in chosen), len(chosen))


def encode(figures: Any) -> bytes:
    """Return *figures* as JSON, with the same bytes for the same values."""
    return msgspec.json.format(msgspec.json.encode(figures, order="deterministic"), indent=2)


def _choose_in_rate(fleet: Fleet, observations: list[Observation]) -> list[Observation]:
    """Return the in-rate requests of those accounts that mostly keep within their rate."""
    chosen = []
    for name in fleet.deployment.accounts:
        own = [each for each in observations if each.offered.account == name]
        kept = [each for each in own if each.offered.in_rate]
        if len(kept) >= IN_RATE_SHARE * len(own):
            chosen += kept
    return chosen


def _measure_accounts(fleet: Fleet, in_rate: list[Observation]) -> dict[str, float]:
    """Return each in-rate account's goodput."""
    accounts = {}
    for name in fleet.deployment.accounts:
        own = [each for each in in_rate if each.offered.account == name]
        if own:
            accounts[str(name)] = _share(sum(each.is_good() for each in own), len(own))
    return accounts


def _measure_work(fleet: Fleet, observations: list[Observation], seconds: float) -> float:
    deployment = fleet.deployment
    done = sum(
        each.tokens
        for each in observations
        if isinstance(each.offered, OfferedPrompt) and each.is_good()
    )
    if BackendRole.DECODE not in deployment.roles:
        return 0.0
    return _share(done, deployment.compute_capacity() * deployment.output_tokens * seconds)


def _measure_extra(fleet: Fleet, must_be_refused: list[Observation]) -> dict[str, float]:
    crashes = sum(engine.crashes for engine in fleet.engines.values())
    extra: dict[str, float] = {**fleet.extra, "backend_crashes": crashes}
    if must_be_refused:
        extra["barred_refused"] = _share(
            sum(not each.finished for each in must_be_refused), len(must_be_refused)
        )
    return extra


def _round(figures: dict[str, float]) -> dict[str, float]:
    return {name: round(float(value), DECIMAL_PLACES) for name, value in sorted(figures.items())}


def _compute_p95(observations: list[Observation]) -> float:
    waits = sorted(
        (each.first - each.sent).total_seconds()
        for each in observations
        if each.first is not None and isinstance(each.offered, OfferedPrompt)
    )
    return round(waits[int(len(waits) * 0.95)], DECIMAL_PLACES) if waits else 0.0


def _share(part: float, whole: float, none: float = 1.0) -> float:
    return round(part / whole, DECIMAL_PLACES) if whole else none
