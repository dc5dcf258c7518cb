"""No schedule of faults makes the hosts grant more than rate and burst in any window."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from limit_fleet import ACCOUNT, LimitFleet, make_document

from lavenderrun.decisions import LIMIT_POLICIES, RateSliceTerms
from lavenderrun.decisions._buckets import Bucket
from lavenderrun.types import Rate

RATE = Rate(requests_per_second=1e6, request_burst=1e6, tokens_per_second=200.0, token_burst=4000.0)
FAST = Rate(
    requests_per_second=1e6, request_burst=1e6, tokens_per_second=1000.0, token_burst=4000.0
)
LOW = Rate(requests_per_second=1e6, request_burst=1e6, tokens_per_second=60.0, token_burst=1200.0)
HOSTS = ["e0", "e1", "e2"]

SAFE_POLICIES = [name for name in LIMIT_POLICIES.names() if name != "hasty"]
if "hasty" not in LIMIT_POLICIES:
    # takes rate slices over while their holder may still spend them
    LIMIT_POLICIES.register("hasty")(RateSliceTerms(margin=timedelta(seconds=-3.5)))

host = st.sampled_from(HOSTS)
pair = st.sampled_from([("e0", "e1"), ("e0", "e2"), ("e1", "e2")])
time = st.sampled_from([0.01, 0.3, 1.0, 2.5, 4.5, 6.0, 12.0])
store = st.sampled_from(["down", "up", "slow", "lossy", "deaf"])
STEPS = st.one_of(
    st.tuples(st.just("run"), time),
    st.tuples(st.just("spend"), host),
    st.tuples(st.just("pause"), host),
    st.tuples(st.just("go_on"), host),
    st.tuples(st.just("kill"), host),
    st.tuples(st.just("stop"), host),
    st.tuples(st.just("start"), host),
    st.tuples(st.just("cut"), pair),
    st.tuples(st.just("mend"), pair),
    st.tuples(st.just("store"), st.tuples(st.sampled_from([*HOSTS, "all"]), store)),
    st.tuples(st.just("messages"), st.sampled_from([0.0, 0.05, 0.4])),
    st.tuples(st.just("rate"), st.sampled_from([RATE, LOW])),
)


def apply_step(fleet: LimitFleet, kind: str, value: Any) -> None:
    if kind in {"spend", "pause", "go_on", "kill", "stop"} and value not in fleet.hosts:
        return
    if kind == "start" and value in fleet.hosts:
        return
    actions: dict[str, Callable[[], object]] = {
        "run": lambda: fleet.run(value),
        "spend": lambda: overload(fleet, value),
        "pause": lambda: fleet.hosts[value].pause(),
        "go_on": lambda: fleet.hosts[value].resume(),
        "kill": lambda: fleet.kill(value),
        "stop": lambda: fleet.stop(value),
        "start": lambda: fleet.start(value),
        "cut": lambda: fleet.cut_since.setdefault(frozenset(value), fleet.reactor.seconds()),
        "mend": lambda: fleet.cut_since.pop(frozenset(value), None),
        "store": lambda: set_store(fleet, *value),
        "messages": lambda: set_messages(fleet, value),
        "rate": lambda: change_rate(fleet, value),
    }
    actions[kind]()


def set_messages(fleet: LimitFleet, share: float) -> None:
    fleet.drop = fleet.duplicate = share


def set_store(fleet: LimitFleet, where: str, state: str) -> None:
    for name, limit_host in fleet.hosts.items():
        if where in ("all", name):
            limit_host.faults.down = state == "down"
            limit_host.faults.latency = timedelta(seconds=3 if state == "slow" else 0.002)
            # deaf: the host's writes take effect, but it gets no reply
            limit_host.faults.lost_replies = {"lossy": 4, "deaf": 1000}.get(state, 0)


def change_rate(fleet: LimitFleet, rate: Rate) -> None:
    fleet.rates = {ACCOUNT: rate}
    for limit_host in list(fleet.hosts.values()):
        # else grants of the same instant would be checked against the new rate
        fleet.run(0.01)
        fleet.record_highest_rate()
        limit_host.document.put(make_document(fleet.rates))
        fleet.record_highest_rate()
        saturate(fleet)
        fleet.run(0.05)


def spend(fleet: LimitFleet, name: str, *, patience: float) -> None:
    """Charge more than a host has; a third of the charges is partly refunded later."""
    for number in range(36):
        used = 1.0 if number % 3 else 0.25
        fleet.charge(name, 120.0, patience=patience, used=used, return_after=0.7 * (number % 5))


def overload(fleet: LimitFleet, name: str) -> None:
    """Charge more than the account's rate at one host for a while, so that it borrows."""
    for _ in range(12):
        for _ in range(6):
            fleet.charge(name, 60.0, patience=1.5)
        fleet.run(0.25)


def saturate(fleet: LimitFleet) -> None:
    """Charge more than they have at all hosts."""
    for name in list(fleet.hosts):
        spend(fleet, name, patience=0.0)


def run_schedule(
    policy: str, steps: list[Any], seed: int, *, greedy: bool = True, rate: Rate = RATE
) -> LimitFleet:
    """Run the steps; *greedy* charges all hosts beyond what they have after each step."""
    fleet = LimitFleet(len(HOSTS), rate, policy=policy, seed=seed)
    fleet.run(3)
    for kind, value in steps:
        apply_step(fleet, kind, value)
        if greedy:
            saturate(fleet)
            fleet.run(0.2)
            saturate(fleet)
    set_store(fleet, "all", "up")
    for limit_host in list(fleet.hosts.values()):
        limit_host.resume()
    saturate(fleet)
    fleet.run(7)
    saturate(fleet)
    return fleet


@pytest.mark.parametrize("policy", SAFE_POLICIES)
@settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    steps=st.lists(STEPS, min_size=3, max_size=25), seed=st.integers(0, 1000), greedy=st.booleans()
)
def test_no_schedule_exceeds_rate_and_burst(
    policy: str, steps: list[Any], seed: int, greedy: bool
) -> None:
    assert run_schedule(policy, steps, seed, greedy=greedy).find_excess() <= 1e-3


def test_check_finds_a_policy_that_takes_rate_slices_over_too_soon() -> None:
    steps = [("pause", "e0"), ("run", 2.5), ("go_on", "e0"), ("run", 0.01)] * 3
    assert run_schedule("hasty", steps, 1, rate=FAST).find_excess() > 100
    assert run_schedule("slots", steps, 1, rate=FAST).find_excess() <= 1e-3


def overload_each_in_turn() -> LimitFleet:
    fleet = LimitFleet(len(HOSTS), RATE, seed=1)
    fleet.run(3)
    saturate(fleet)
    for number in range(12):
        overload(fleet, HOSTS[number % 3])
    return fleet


def test_load_that_moves_from_host_to_host_stays_within_the_rate() -> None:
    assert overload_each_in_turn().find_excess() <= 1e-3


def test_check_finds_lenders_that_do_not_subtract_loans(monkeypatch: pytest.MonkeyPatch) -> None:
    def move_out(self: Bucket, fraction: float, amount: float) -> None:
        self.change_share(max(0.0, self.share - fraction))

    monkeypatch.setattr(Bucket, "move_out", move_out)
    assert overload_each_in_turn().find_excess() > 100
