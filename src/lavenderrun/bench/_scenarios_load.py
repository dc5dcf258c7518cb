"""Scenarios of high load without faults."""

from __future__ import annotations

from lavenderrun.bench._deployments import PromptMix
from lavenderrun.bench._scenarios import SCENARIOS, Plan, make_deployment
from lavenderrun.types import AccountId

SURGE_FACTOR = 5.0
"""Factor on the traffic of the account that exceeds its rate."""
SURGING_ACCOUNT = AccountId("maule")
OVERLOAD_SECONDS = 10.0
GENEROUS_RATE_FACTOR = 10.0
"""Factor on all account rates, so that capacity is the limit and not the rates."""


@SCENARIOS.register("wire-peak")
def plan_wire_peak() -> Plan:
    """The wire service at its peak load."""
    return Plan(make_deployment("wire"))


@SCENARIOS.register("qene-peak")
def plan_qene_peak() -> Plan:
    """Qene Keys at its peak load."""
    return Plan(make_deployment("qene"))


@SCENARIOS.register("tenant-burst")
def plan_tenant_burst() -> Plan:
    """One account of the wire service sends several times its rate for most of the run."""

    def surge(account: AccountId, at: float) -> float:
        return SURGE_FACTOR if account == SURGING_ACCOUNT and at >= 3 else 1.0

    return Plan(make_deployment("wire"), seconds=20.0, shape=surge, max_factor=SURGE_FACTOR)


@SCENARIOS.register("overload-1x")
def plan_overload_1x() -> Plan:
    """The wire service at its capacity."""
    return _plan_overload(1.0)


@SCENARIOS.register("overload-2x")
def plan_overload_2x() -> Plan:
    """The wire service at twice its capacity."""
    return _plan_overload(2.0)


@SCENARIOS.register("overload")
def plan_overload() -> Plan:
    """The wire service at three times its capacity, all accounts within their rates."""
    return _plan_overload(3.0)


@SCENARIOS.register("mixed-prompts")
def plan_mixed_prompts() -> Plan:
    """Qene Keys with prompt lengths from tens to tens of thousands of tokens."""
    mix = PromptMix(
        mean_own_tokens=150,
        prefix_tokens=(500, 1000, 4000, 8000, 12000),
        prefix_share=0.3,
        max_tokens=30000,
    )
    return Plan(make_deployment("qene", prompts=mix))


def _plan_overload(load: float) -> Plan:
    return Plan(
        make_deployment("wire", rate_factor=GENEROUS_RATE_FACTOR),
        load=load,
        seconds=OVERLOAD_SECONDS,
    )
