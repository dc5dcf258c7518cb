"""What a run is measured by."""

from __future__ import annotations

from collections import Counter
from typing import Any

import msgspec

from lavenderrun.bench._callers import Sighting
from lavenderrun.bench._fleet import Fleet
from lavenderrun.bench._workload import OfferedPrompt
from lavenderrun.decisions import Violation, check_record
from lavenderrun.types import BackendRole, Invariant, MemoryHeld

DIGITS = 4
IN_RATE_SHARE = 0.9
"""Share of its requests within the rate from which an account counts as in-rate."""


class Measures(msgspec.Struct):
    """The figures of one run.

    :param goodput: share of offered requests finished within both latency targets.
    :param wasted_prefill: share of prefill tokens whose result was not used.
    :param worst_account: lowest goodput of any in-rate client account.
    :param in_rate_refusals: share of in-rate requests that were refused.
    :param work_of_capacity: output tokens of requests within target, over what the engines can
        generate in the time of the load.
    :param repeatable_lost: repeatable in-rate requests without an answer or a refusal as not run.
    :param held: what hosts and engines still held when all was over.
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


def measure(
    fleet: Fleet, scenario: str, seconds: float, extra: dict[str, float] | None = None
) -> tuple[Measures, list[Violation]]:
    """Return the figures of a finished run and the violations in its record."""
    sightings = [each for each in fleet.sightings.all if not each.offered.barred]
    violations = check_record(fleet.record.events)
    barred = [each for each in fleet.sightings.all if each.offered.barred]
    in_rate = _choose_in_rate(fleet, sightings)
    accounts = _measure_accounts(fleet, in_rate)
    counts = Counter(violation.invariant for violation in violations)
    engines = fleet.engines.values()
    computed = sum(engine.prefilled_tokens for engine in engines)
    elapsed = max(1.0, fleet.reactor.seconds())
    figures = Measures(
        scenario=scenario,
        seed=fleet.seed,
        policies=fleet.chosen,
        goodput=_share(sum(each.is_good() for each in sightings), len(sightings)),
        wasted_prefill=_share(sum(engine.wasted_tokens for engine in engines), computed),
        worst_account=min(accounts.values(), default=1.0),
        in_rate_refusals=_share(
            sum(each.refused is not None for each in in_rate), len(in_rate), none=0.0
        ),
        violations={invariant.value: counts[invariant] for invariant in Invariant},
        held=sum(
            event.data.amount for event in fleet.record.events if isinstance(event.data, MemoryHeld)
        ),
        offered=len(sightings),
        finished=sum(each.finished for each in sightings),
        refusals={
            refusal.value: number
            for refusal, number in sorted(
                fleet.sightings.count_refusals().items(), key=lambda item: item[0].value
            )
        },
        work_of_capacity=_measure_work(fleet, sightings, seconds),
        repeatable_lost=sum(each.is_lost() for each in in_rate),
        accounts=accounts,
        first_token_p95=_find_p95(sightings),
        store_reads_per_second=round(fleet.table.reads / elapsed, DIGITS),
        store_writes_per_second=round(fleet.table.writes / elapsed, DIGITS),
        errors=len(fleet.failures),
        extra=_round({**_measure_extra(fleet, barred), **(extra or {})}),
    )
    return figures, violations


def find_goodput(sightings: list[Sighting], start: float, end: float) -> float:
    """Return the goodput of what was offered between two times, in seconds."""
    chosen = [each for each in sightings if start <= each.offered.at < end]
    return _share(sum(each.is_good() for each in chosen), len(chosen))


def encode(figures: Any) -> bytes:
    """Return figures as JSON, the same bytes for the same figures."""
    return msgspec.json.format(msgspec.json.encode(figures, order="deterministic"), indent=2)


def _choose_in_rate(fleet: Fleet, sightings: list[Sighting]) -> list[Sighting]:
    """Return the in-rate requests of the accounts that keep to their rate on the whole."""
    chosen = []
    for name in fleet.deployment.accounts:
        own = [each for each in sightings if each.offered.account == name]
        kept = [each for each in own if each.offered.in_rate]
        if len(kept) >= IN_RATE_SHARE * len(own):
            chosen += kept
    return chosen


def _measure_accounts(fleet: Fleet, in_rate: list[Sighting]) -> dict[str, float]:
    """Return each in-rate account's goodput."""
    accounts = {}
    for name in fleet.deployment.accounts:
        own = [each for each in in_rate if each.offered.account == name]
        if own:
            accounts[str(name)] = _share(sum(each.is_good() for each in own), len(own))
    return accounts


def _measure_work(fleet: Fleet, sightings: list[Sighting], seconds: float) -> float:
    deployment = fleet.deployment
    done = sum(
        each.tokens
        for each in sightings
        if isinstance(each.offered, OfferedPrompt) and each.is_good()
    )
    if BackendRole.DECODE not in deployment.roles:
        return 0.0
    return _share(done, deployment.find_capacity() * deployment.output_tokens * seconds)


def _measure_extra(fleet: Fleet, barred: list[Sighting]) -> dict[str, float]:
    crashes = sum(engine.crashes for engine in fleet.engines.values())
    extra: dict[str, float] = {**fleet.extra, "backend_crashes": crashes}
    if barred:
        extra["barred_refused"] = _share(sum(not each.finished for each in barred), len(barred))
    return extra


def _round(figures: dict[str, float]) -> dict[str, float]:
    return {name: round(float(value), DIGITS) for name, value in sorted(figures.items())}


def _find_p95(sightings: list[Sighting]) -> float:
    waits = sorted(
        (each.first - each.sent).total_seconds()
        for each in sightings
        if each.first is not None and isinstance(each.offered, OfferedPrompt)
    )
    return round(waits[int(len(waits) * 0.95)], DIGITS) if waits else 0.0


def _share(part: float, whole: float, none: float = 1.0) -> float:
    return round(part / whole, DIGITS) if whole else none
