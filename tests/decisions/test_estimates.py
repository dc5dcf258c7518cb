from __future__ import annotations

from random import Random

import pytest

from lavenderrun.decisions import OutputLengths, PrefillTimeEstimator
from lavenderrun.types import RouteName

ROUTE = RouteName("summaries")


def test_prefill_time_estimate_converges_from_its_initial_value() -> None:
    estimator = PrefillTimeEstimator()
    for _ in range(60):
        estimator.add(2000, 500, 0.01 + 1500 / 40_000)
    assert estimator.estimate(4000) == pytest.approx(0.11, rel=0.1)
    assert estimator.estimate(4000, cached=4000) == pytest.approx(0.01)


def note_tokens(lengths: OutputLengths, route: RouteName, until: int) -> None:
    for before in range(0, until, 4):
        lengths.note_progress(route, before, min(until, before + 4))


def test_lengths_predict_the_end_of_an_answer() -> None:
    lengths = OutputLengths()
    random = Random(4)
    for _ in range(500):
        length = int(random.expovariate(1 / 200)) + 1
        note_tokens(lengths, ROUTE, length)
        lengths.note_end(ROUTE, length)
    assert lengths.estimate_length(ROUTE, 4096) == pytest.approx(200, rel=0.15)
    assert lengths.estimate_end_probability(ROUTE, 4096, 100, 50) == pytest.approx(0.22, abs=0.08)
    assert lengths.estimate_end_probability(ROUTE, 110, 100, 50) == 1.0


def test_short_answers_that_end_first_do_not_bias_the_lengths() -> None:
    lengths = OutputLengths()
    random = Random(4)
    for _ in range(200):
        length = int(random.expovariate(1 / 120)) + 1
        # each answer has been observed for its first forty tokens only
        note_tokens(lengths, ROUTE, min(40, length))
        if length <= 40:
            lengths.note_end(ROUTE, length)
    assert lengths.estimate_length(ROUTE, 4096) == pytest.approx(120, rel=0.35)


def test_probability_grows_with_the_time_given() -> None:
    lengths = OutputLengths()
    for length in (10, 40, 90, 300):
        note_tokens(lengths, ROUTE, length)
        lengths.note_end(ROUTE, length)
    probabilities = [
        lengths.estimate_end_probability(ROUTE, 4096, 20, further) for further in range(0, 400, 20)
    ]
    assert probabilities == sorted(probabilities)
    assert 0 <= probabilities[0] < probabilities[-1] <= 1


def test_routes_are_bounded() -> None:
    lengths = OutputLengths(maximum=2)
    for name in ("a", "b", "c"):
        for _ in range(100):
            note_tokens(lengths, RouteName(name), 8)
            lengths.note_end(RouteName(name), 8)
    assert lengths.estimate_length(RouteName("c"), 4096) < 20
    assert lengths.estimate_length(RouteName("a"), 4096) == pytest.approx(200, rel=0.01)


# a silent second during a short prompt kept the engine without prompts until the end of the run
def test_one_silent_prefill_does_not_make_an_engine_slow() -> None:
    estimator = PrefillTimeEstimator()
    for _ in range(20):
        estimator.add(1000, 0, 0.06)
    before = estimator.estimate(1000)
    estimator.add(20, 0, 1.7)
    assert estimator.estimate(1000) < 2 * before
