from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.dispatch import HealthTracker, ResendBudget
from lavenderrun.types import BackendId, GatewayBounds
from lavenderrun.types import ServiceGroup as Group

START = datetime(2026, 1, 1, tzinfo=UTC)
SERVICE = Group("apps")
SERVER = BackendId("s1")
TOOK = timedelta(milliseconds=40)


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_bounds(reserve: float) -> GatewayBounds:
    return GatewayBounds(
        grace=timedelta(seconds=8),
        drain=timedelta(seconds=2),
        retry_ratio=0.2,
        retry_window=timedelta(seconds=10),
        retry_reserve=reserve,
    )


def test_resends_are_a_share_of_calls_and_a_part_of_the_reserve() -> None:
    budget = ResendBudget(make_bounds(reserve=50))
    budget.set_host_count(5)
    for _ in range(10):
        budget.count_call(SERVICE, START)
    taken = sum(budget.take(SERVICE, START) for _ in range(40))
    assert taken == 10  # 0.2 x 10 and 0.8 x 50 / 5
    assert not budget.take(SERVICE, at(9))
    assert budget.take(SERVICE, at(10.1))


def test_hosts_that_do_not_know_each_other_stay_within_the_reserve_together() -> None:
    hosts = 8
    budgets = [ResendBudget(make_bounds(reserve=58)) for _ in range(hosts)]
    taken = sum(budget.take(SERVICE, START) for budget in budgets for _ in range(60))
    assert taken <= 58


def test_resends_taken_before_a_change_of_the_bounds_count_after_it() -> None:
    budget = ResendBudget(make_bounds(reserve=50))
    budget.set_host_count(5)
    assert [budget.take(SERVICE, START) for _ in range(5)] == [True] * 5
    budget.apply_bounds(make_bounds(reserve=25))
    assert not budget.take(SERVICE, START)
    budget.apply_bounds(make_bounds(reserve=50))
    assert [budget.take(SERVICE, START) for _ in range(4)] == [True, True, True, False]


def test_an_unreachable_server_is_paused_and_then_probed_by_one_call() -> None:
    health = HealthTracker()
    health.pause_after_failure(SERVER, START)
    assert health.is_paused(SERVER, at(0.4))
    assert not health.is_paused(SERVER, at(0.6))
    health.record_start(SERVER, at(0.6))
    assert health.is_paused(SERVER, at(0.7))
    health.pause_after_failure(SERVER, at(0.8))
    assert health.is_paused(SERVER, at(1.7))
    assert not health.is_paused(SERVER, at(1.9))
    health.record_start(SERVER, at(1.9))
    health.record_success(SERVER, TOOK)
    assert not health.is_paused(SERVER, at(1.9))


def test_failures_count_after_a_few_calls_and_fade() -> None:
    health = HealthTracker()
    for _ in range(4):
        health.record_failure(SERVER)
    assert health.get_failure_rate(SERVER) == 0.0
    health.record_failure(SERVER)
    assert health.get_failure_rate(SERVER) == 1.0
    for _ in range(20):
        health.record_success(SERVER, TOOK)
    assert health.get_failure_rate(SERVER) < 0.1
