from __future__ import annotations

from datetime import timedelta
from types import SimpleNamespace
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import CallDurations, GracePeriod
from lavenderrun.dispatch._grace_period import MAX_ANSWER_TIME
from lavenderrun.types import DeclaredSize, Delivery

SECOND = timedelta(seconds=1)


def make_route(name: str = "r", delivery: Delivery = Delivery.WHOLE) -> Any:
    return SimpleNamespace(
        name=name, delivery=delivery, objective=SECOND / 2, gap_objective=SECOND / 50
    )


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
        durations.observe(route, DeclaredSize(100, 50, 50), SECOND, SECOND / 50)
    estimate = durations.estimate(route, DeclaredSize(100, 500, 500))
    assert estimate / SECOND == pytest.approx(10, rel=0.01)


# the time to the first event was counted for each token, so long streams were refused that could
# have ended before a planned stop, and short ones were taken that could not
@given(
    st.floats(0.05, 2),
    st.floats(0.001, 0.05),
    st.lists(st.integers(1, 400), min_size=30, max_size=60).filter(lambda sizes: max(sizes) > 1),
    st.integers(1, 2000),
)
def test_a_stream_is_taken_if_and_only_if_it_can_end(
    fixed: float, token: float, observed: list[int], tokens: int
) -> None:
    durations, route = CallDurations(), make_route(delivery=Delivery.EVENTS)

    def find_duration(count: int) -> timedelta:
        return SECOND * (fixed + token * (count - 1))

    for count in (*observed, *[max(observed)] * 30):
        size = DeclaredSize(100, count, count)
        durations.observe(route, size, find_duration(count), SECOND * fixed)
    duration = find_duration(tokens)
    estimate = durations.estimate(route, DeclaredSize(100, tokens, tokens))
    for left, can_end in ((duration * 0.99, False), (duration * 1.01, True)):
        grace = GracePeriod(left + MAX_ANSWER_TIME + SECOND * 8)
        elapsed = grace.answers_at - left
        assert grace.can_end(elapsed, estimate, SECOND * 10_000) is can_end


def test_a_stream_without_observations_takes_the_objective_for_gaps_for_each_further_token() -> (
    None
):
    route = make_route(delivery=Delivery.EVENTS)
    assert CallDurations().estimate(route, DeclaredSize(100, 101, 101)) == SECOND * 3


def test_a_stream_that_ended_before_its_first_event_says_nothing_about_tokens() -> None:
    durations, route = CallDurations(), make_route(delivery=Delivery.EVENTS)
    for _ in range(30):
        durations.observe(route, DeclaredSize(100, 101, 101), SECOND)
    estimate = durations.estimate(route, DeclaredSize(100, 101, 101))
    assert estimate / SECOND == pytest.approx(3, rel=0.01)


# streams of an undeclared size were taken at the end of a grace period as if they had one event,
# and streams of a declared one were refused
def test_streams_with_and_without_a_declared_size_are_observed_apart() -> None:
    durations, route = CallDurations(), make_route(delivery=Delivery.EVENTS)
    size = DeclaredSize(100, 200, 200)
    for _ in range(30):
        durations.observe(route, size, SECOND * 2, SECOND / 5)
        durations.observe(route, None, SECOND * 10, SECOND / 5)
    assert durations.estimate(route, None) / SECOND == pytest.approx(10, rel=0.01)
    assert durations.estimate(route, size) / SECOND == pytest.approx(2, rel=0.01)


def test_routes_are_observed_apart() -> None:
    durations = CallDurations()
    durations.observe(make_route("long"), None, SECOND * 10)
    durations.observe(make_route("short"), None, SECOND / 100)
    assert durations.estimate(make_route("short"), None) < SECOND / 10
