"""Policies that decide whether a decode agent promises a decode slot that is still in use."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from lavenderrun.kernel import Registry

MIN_PROBABILITY = 0.97
HOLD_SECONDS = 0.25
"""How long a finished prefill may wait for its slot; part of the lifetime of an export."""

EndProbabilities = Callable[[float], Sequence[float]]
"""Returns the probability that each running decode ends within the given number of seconds."""

PromisePolicy = Callable[[int, EndProbabilities, float], bool]
"""Returns whether the *n*-th slot to become free may be promised to a request.

The arguments are *n*, the end probabilities of the running decodes, and the request's lead time in
seconds.
"""

PROMISE_POLICIES: Registry[PromisePolicy] = Registry("promise policy")


def find_probability_of_count(probabilities: Sequence[float], wanted: int) -> float:
    """Return the probability that at least *wanted* of the independent events happen."""
    by_count = [1.0] + [0.0] * (wanted - 1)
    for probability in probabilities:
        for index in range(wanted - 1, 0, -1):
            by_count[index] += (by_count[index - 1] - by_count[index]) * probability
        by_count[0] *= 1 - probability
    return 1 - sum(by_count)


@PROMISE_POLICIES.register("ahead")
def promise_ahead(wanted: int, end_probabilities: EndProbabilities, lead: float) -> bool:
    """Promise when enough slots become free almost surely within lead and :data:`HOLD_SECONDS`."""
    expected = end_probabilities(lead + HOLD_SECONDS)
    return (
        sum(expected) >= wanted and find_probability_of_count(expected, wanted) >= MIN_PROBABILITY
    )


@PROMISE_POLICIES.register("free")
def promise_free(wanted: int, end_probabilities: EndProbabilities, lead: float) -> bool:
    """Promise no slot that is still in use; the baseline."""
    return False


@PROMISE_POLICIES.register("eager")
def promise_eagerly(wanted: int, end_probabilities: EndProbabilities, lead: float) -> bool:
    """Promise when enough slots are free on average, whatever the variance; for comparison."""
    return sum(end_probabilities(lead)) >= wanted
