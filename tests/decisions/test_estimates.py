from __future__ import annotations

from random import Random

import pytest

from lavenderrun.decisions import OutputLengths, PrefillSpeed
from lavenderrun.types import RouteName

ROUTE = RouteName("summaries")


def test_prefill_speed_forgets_its_prior() -> None:
    speed = PrefillSpeed()
    for _ in range(60):
        speed.add(2000, 500, 0.01 + 1500 / 40_000)
    assert speed.estimate(4000) == pytest.approx(0.11, rel=0.1)
    assert speed.estimate(4000, cached=4000) == pytest.approx(0.01)


def test_lengths_predict_the_end_of_an_answer() -> None:
    lengths = OutputLengths()
    random = Random(4)
    for _ in range(500):
        lengths.add(ROUTE, int(random.expovariate(1 / 200)) + 1)
    assert lengths.expect(ROUTE, 4096) == pytest.approx(200, rel=0.25)
    assert lengths.ends_within(ROUTE, 4096, 100, 50) == pytest.approx(0.22, abs=0.1)
    assert lengths.ends_within(ROUTE, 110, 100, 50) == 1.0


def test_probability_grows_with_the_time_given() -> None:
    lengths = OutputLengths()
    for length in (10, 40, 90, 300):
        lengths.add(ROUTE, length)
    chances = [lengths.ends_within(ROUTE, 4096, 20, further) for further in range(0, 400, 20)]
    assert chances == sorted(chances)
    assert 0 <= chances[0] < chances[-1] <= 1


def test_routes_are_bounded() -> None:
    lengths = OutputLengths(maximum=2)
    for name in ("a", "b", "c"):
        lengths.add(RouteName(name), 8)
    assert lengths.expect(RouteName("a"), 100) == 50
    assert lengths.expect(RouteName("c"), 100) == 8
