"""When a decode agent promises a seat that is not yet free."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from lavenderrun.kernel import Registry

CONFIDENCE = 0.97
HOLD_SECONDS = 0.25
"""How long a finished prefill may wait for its seat; part of the life of an export."""

Chances = Callable[[float], Sequence[float]]
"""Probability of each running decode to end within so many seconds."""

PromisePolicy = Callable[[int, Chances, float], bool]
"""Tell whether the *n*-th seat to come free may be promised to a request with this lead."""

PROMISE_POLICIES: Registry[PromisePolicy] = Registry("promise policy")


def reach_count(chances: Sequence[float], wanted: int) -> float:
    """Return the probability that at least *wanted* of independent events happen."""
    below = [1.0] + [0.0] * (wanted - 1)
    for chance in chances:
        for index in range(wanted - 1, 0, -1):
            below[index] += (below[index - 1] - below[index]) * chance
        below[0] *= 1 - chance
    return 1 - sum(below)


@PROMISE_POLICIES.register("ahead")
def promise_ahead(wanted: int, chances: Chances, lead: float) -> bool:
    """Promise when the seats will come free, almost surely, by the end of prefill and hold."""
    expected = chances(lead + HOLD_SECONDS)
    return sum(expected) >= wanted and reach_count(expected, wanted) >= CONFIDENCE


@PROMISE_POLICIES.register("free")
def promise_free(wanted: int, chances: Chances, lead: float) -> bool:
    """Promise only seats that are free now; the baseline."""
    return False


@PROMISE_POLICIES.register("eager")
def promise_eagerly(wanted: int, chances: Chances, lead: float) -> bool:
    """Promise when the expected number suffices, whatever the spread; for comparison."""
    return sum(chances(lead)) >= wanted
