"""No schedule of faults makes the hosts grant more than rate and burst in any window."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from limit_fleet import ACCOUNT, Net, make_document

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
    # takes slots over while their holder may still spend them
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


def apply_step(net: Net, kind: str, value: Any) -> None:
    if kind in {"spend", "pause", "go_on", "kill", "stop"} and value not in net.hosts:
        return
    if kind == "start" and value in net.hosts:
        return
    actions: dict[str, Callable[[], object]] = {
        "run": lambda: net.run(value),
        "spend": lambda: rush(net, value),
        "pause": lambda: net.hosts[value].pause(),
        "go_on": lambda: net.hosts[value].resume(),
        "kill": lambda: net.kill(value),
        "stop": lambda: net.stop(value),
        "start": lambda: net.start(value),
        "cut": lambda: net.cuts.setdefault(frozenset(value), net.reactor.seconds()),
        "mend": lambda: net.cuts.pop(frozenset(value), None),
        "store": lambda: set_store(net, *value),
        "messages": lambda: set_messages(net, value),
        "rate": lambda: change_rate(net, value),
    }
    actions[kind]()


def set_messages(net: Net, share: float) -> None:
    net.drop = net.duplicate = share


def set_store(net: Net, where: str, state: str) -> None:
    for name, each in net.hosts.items():
        if where in ("all", name):
            each.faults.down = state == "down"
            each.faults.latency = timedelta(seconds=3 if state == "slow" else 0.002)
            # deaf: the host's writes take effect and it never learns of it
            each.faults.lost_replies = {"lossy": 4, "deaf": 1000}.get(state, 0)


def change_rate(net: Net, rate: Rate) -> None:
    net.rates = {ACCOUNT: rate}
    for each in list(net.hosts.values()):
        # grants of the same instant would else be held against the new rate
        net.run(0.01)
        net.note_ceiling()
        each.document.put(make_document(net.rates))
        net.note_ceiling()
        saturate(net)
        net.run(0.05)


def spend(net: Net, name: str, *, patience: float) -> None:
    """Let a host spend more than it has; a part comes back unused a little later."""
    for number in range(36):
        used = 1.0 if number % 3 else 0.25
        net.charge(name, 120.0, patience=patience, used=used, lasts=0.7 * (number % 5))


def rush(net: Net, name: str) -> None:
    """Let a host spend more than the whole rate for a while, so that it borrows."""
    for _ in range(12):
        for _ in range(6):
            net.charge(name, 60.0, patience=1.5)
        net.run(0.25)


def saturate(net: Net) -> None:
    """Let every host spend all that it has."""
    for name in list(net.hosts):
        spend(net, name, patience=0.0)


def run_schedule(
    policy: str, steps: list[Any], seed: int, *, greedy: bool = True, rate: Rate = RATE
) -> Net:
    """Run the steps; *greedy* hosts spend all that they have after each one."""
    net = Net(len(HOSTS), rate, policy=policy, seed=seed)
    net.run(3)
    for kind, value in steps:
        apply_step(net, kind, value)
        if greedy:
            saturate(net)
            net.run(0.2)
            saturate(net)
    set_store(net, "all", "up")
    for each in list(net.hosts.values()):
        each.resume()
    saturate(net)
    net.run(7)
    saturate(net)
    return net


@pytest.mark.parametrize("policy", SAFE_POLICIES)
@settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
@given(
    steps=st.lists(STEPS, min_size=3, max_size=25), seed=st.integers(0, 1000), greedy=st.booleans()
)
def test_no_schedule_exceeds_rate_and_burst(
    policy: str, steps: list[Any], seed: int, greedy: bool
) -> None:
    assert run_schedule(policy, steps, seed, greedy=greedy).find_excess() <= 1e-3


def test_the_check_finds_a_policy_that_takes_slots_over_too_soon() -> None:
    steps = [("pause", "e0"), ("run", 2.5), ("go_on", "e0"), ("run", 0.01)] * 3
    assert run_schedule("hasty", steps, 1, rate=FAST).find_excess() > 100
    assert run_schedule("slots", steps, 1, rate=FAST).find_excess() <= 1e-3


def rush_around() -> Net:
    net = Net(len(HOSTS), RATE, seed=1)
    net.run(3)
    saturate(net)
    for number in range(12):
        rush(net, HOSTS[number % 3])
    return net


def test_a_long_rush_from_host_to_host_keeps_the_rate() -> None:
    assert rush_around().find_excess() <= 1e-3


def test_the_check_finds_lenders_that_do_not_subtract(monkeypatch: pytest.MonkeyPatch) -> None:
    def move_out(self: Bucket, fraction: float, amount: float) -> None:
        self.change_share(max(0.0, self.share - fraction))

    monkeypatch.setattr(Bucket, "move_out", move_out)
    assert rush_around().find_excess() > 100
