"""No schedule of faults makes the hosts grant more than rate and burst in any window."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from limit_fleet import ACCOUNT, Net, make_document

from lavenderrun.decisions import LIMIT_POLICIES, SlotTerms
from lavenderrun.types import Rate

RATE = Rate(
    requests_per_second=1e6, request_burst=1e6, tokens_per_second=1000.0, token_burst=4000.0
)
LOW = Rate(requests_per_second=1e6, request_burst=1e6, tokens_per_second=300.0, token_burst=1200.0)
HOSTS = ["e0", "e1", "e2"]

if "hasty" not in LIMIT_POLICIES:
    # takes slots over while their holder may still spend them
    LIMIT_POLICIES.register("hasty")(SlotTerms(margin=timedelta(seconds=-3.5)))

host = st.sampled_from(HOSTS)
pair = st.sampled_from([("e0", "e1"), ("e0", "e2"), ("e1", "e2")])
time = st.sampled_from([0.01, 0.3, 1.0, 2.5, 4.5, 6.0, 12.0])
STEPS = st.one_of(
    st.tuples(st.just("run"), time),
    st.tuples(st.just("pause"), host),
    st.tuples(st.just("go_on"), host),
    st.tuples(st.just("kill"), host),
    st.tuples(st.just("stop"), host),
    st.tuples(st.just("start"), host),
    st.tuples(st.just("cut"), pair),
    st.tuples(st.just("mend"), pair),
    st.tuples(st.just("store"), st.sampled_from(["down", "up", "slow", "lossy"])),
    st.tuples(st.just("messages"), st.sampled_from([0.0, 0.05, 0.4])),
    st.tuples(st.just("rate"), st.sampled_from([RATE, LOW])),
)


def apply_step(net: Net, kind: str, value: Any) -> None:
    if kind in {"pause", "go_on", "kill", "stop"} and value not in net.hosts:
        return
    if kind == "start" and value in net.hosts:
        return
    actions: dict[str, Callable[[], object]] = {
        "run": lambda: net.run(value),
        "pause": lambda: net.hosts[value].pause(),
        "go_on": lambda: net.hosts[value].go_on(),
        "kill": lambda: net.kill(value),
        "stop": lambda: net.stop(value),
        "start": lambda: net.start(value),
        "cut": lambda: net.cuts.setdefault(frozenset(value), net.reactor.seconds()),
        "mend": lambda: net.cuts.pop(frozenset(value), None),
        "store": lambda: set_store(net, value),
        "messages": lambda: set_messages(net, value),
        "rate": lambda: change_rate(net, value),
    }
    actions[kind]()


def set_messages(net: Net, share: float) -> None:
    net.drop = net.duplicate = share


def set_store(net: Net, state: str) -> None:
    net.faults.down = state == "down"
    net.faults.latency = timedelta(seconds=3 if state == "slow" else 0.002)
    net.faults.lost_replies = 4 if state == "lossy" else 0


def change_rate(net: Net, rate: Rate) -> None:
    net.rates = {ACCOUNT: rate}
    for each in list(net.hosts.values()):
        net.note_ceiling()
        each.document.put(make_document(net.rates))
        net.note_ceiling()
        saturate(net)
        net.run(0.05)


def saturate(net: Net) -> None:
    """Let every host spend all that it has; a part comes back unused a little later."""
    for name in list(net.hosts):
        for number in range(24):
            used = 1.0 if number % 3 else 0.25
            net.charge(name, 120.0, used=used, lasts=0.7 * (number % 5))


def run_schedule(policy: str, steps: list[Any], seed: int) -> Net:
    net = Net(len(HOSTS), RATE, policy=policy, seed=seed)
    net.run(3)
    for kind, value in steps:
        apply_step(net, kind, value)
        saturate(net)
        net.run(0.2)
        saturate(net)
    net.faults.down = False
    for each in list(net.hosts.values()):
        each.go_on()
    saturate(net)
    net.run(7)
    saturate(net)
    return net


@pytest.mark.parametrize("policy", LIMIT_POLICIES.names())
@settings(max_examples=25, deadline=None, suppress_health_check=list(HealthCheck))
@given(steps=st.lists(STEPS, min_size=3, max_size=25), seed=st.integers(0, 1000))
def test_no_schedule_exceeds_rate_and_burst(policy: str, steps: list[Any], seed: int) -> None:
    if policy == "hasty":
        return
    assert run_schedule(policy, steps, seed).find_excess() <= 1e-3


def test_the_check_finds_a_policy_that_takes_slots_over_too_soon() -> None:
    steps = [("pause", "e0"), ("run", 2.5), ("go_on", "e0"), ("run", 0.01)] * 3
    net = run_schedule("hasty", steps, 1)
    assert net.find_excess() > 100
    assert run_schedule("slots", steps, 1).find_excess() <= 1e-3
