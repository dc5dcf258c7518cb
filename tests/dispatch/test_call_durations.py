from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import CallDurations
from lavenderrun.types import DeclaredSize, Delivery

SECOND = timedelta(seconds=1)


def make_route(name: str = "r", delivery: Delivery = Delivery.WHOLE) -> Any:
    return SimpleNamespace(name=name, delivery=delivery, objective=SECOND / 2)


def test_a_route_without_observations_is_expected_to_take_a_multiple_of_its_objective() -> None:
    assert CallDurations().estimate(make_route(), None) == SECOND


@given(st.lists(st.floats(0.01, 20), min_size=1, max_size=50))
def test_an_estimate_lies_between_the_shortest_call_and_a_bound_above_the_longest(
    seconds: list[float],
) -> None:
    durations, route = CallDurations(), make_route()
    for took in seconds:
        durations.observe(route, None, SECOND * took)
    estimate = durations.estimate(route, None) / SECOND
    assert min(seconds) * 0.999 <= estimate <= max(seconds) * 3.001


@given(st.floats(0.1, 20))
def test_an_estimate_of_steady_calls_converges(seconds: float) -> None:
    durations, route = CallDurations(), make_route()
    for _ in range(30):
        durations.observe(route, None, SECOND * seconds)
    assert durations.estimate(route, None) / SECOND == pytest.approx(seconds, rel=0.01)


def test_a_longer_stream_is_expected_to_take_longer() -> None:
    durations, route = CallDurations(), make_route(delivery=Delivery.EVENTS)
    for _ in range(30):
        durations.observe(route, DeclaredSize(100, 50, 50), SECOND)
    estimate = durations.estimate(route, DeclaredSize(100, 500, 500))
    assert estimate / SECOND == pytest.approx(10, rel=0.01)


def test_routes_are_observed_apart() -> None:
    durations = CallDurations()
    durations.observe(make_route("long"), None, SECOND * 10)
    durations.observe(make_route("short"), None, SECOND / 100)
    assert durations.estimate(make_route("short"), None) < SECOND / 10
