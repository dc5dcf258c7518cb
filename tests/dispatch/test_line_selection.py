from __future__ import annotations

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import LineSelection, LineTraits
from lavenderrun.dispatch._line_selection import MAX_INCOMPLETE, STORY_RESERVE_SHARE
from lavenderrun.types import RequestId

START = datetime(2026, 1, 1, tzinfo=UTC)
RATE, BURST = 40.0, 40.0
RUNNING = 5
"""Calls that run at once: their lines fit into the reserve."""

LAST = 3
RESERVE = BURST * STORY_RESERVE_SHARE
TOLERANCE = 1e-6


def make_line(call: int, position: int, *, is_essential: bool = False) -> LineTraits:
    return LineTraits(RequestId(str(call)), position == 0, position == LAST, is_essential)


def test_a_call_that_begins_within_the_reserve_is_left_out_whole() -> None:
    selection = LineSelection(RATE, BURST, START)
    kept = sum(selection.take(LineTraits(), START) for _ in range(int(BURST * 0.6)))
    assert kept == BURST * 0.6
    assert not selection.take(make_line(1, 0), START)
    later = START + timedelta(seconds=1)
    assert not selection.take(make_line(1, 1), later)
    assert selection.take(make_line(1, 2, is_essential=True), later)
    assert selection.count_dropped(RequestId("1")) == 2
    assert selection.take(make_line(2, 0), later)


def test_a_call_that_lost_a_line_loses_the_rest_until_it_ends() -> None:
    selection = LineSelection(RATE, BURST, START)
    assert selection.take(make_line(1, 0), START)
    selection.note_dropped(make_line(1, 1))
    assert not selection.take(make_line(1, 2), START)
    last = make_line(1, LAST, is_essential=True)
    assert selection.take(last, START)
    selection.forget(last)
    assert selection.count_dropped(RequestId("1")) == 0
    assert selection.take(make_line(1, 0), START)


def test_the_calls_that_are_remembered_are_bounded() -> None:
    selection = LineSelection(RATE, BURST, START)
    for number in range(MAX_INCOMPLETE + 10):
        selection.note_dropped(make_line(number, 0))
    assert selection.count_dropped(RequestId("0")) == 0
    assert selection.count_dropped(RequestId("20")) == 1


steps = st.lists(st.tuples(st.integers(0, RUNNING - 1), st.floats(0, 0.2)), max_size=400)


@given(steps)
def test_a_call_that_begins_outside_the_reserve_is_written_whole(
    steps: list[tuple[int, float]],
) -> None:
    selection, now, calls = LineSelection(RATE, BURST, START), START, RUNNING
    running = {slot: (slot, 0) for slot in range(RUNNING)}
    written: dict[int, list[bool]] = {}
    for slot, pause in steps:
        now += timedelta(seconds=pause)
        call, position = running[slot]
        line = make_line(call, position)
        written.setdefault(call, []).append(selection.take(line, now))
        selection.forget(line)
        running[slot] = (call, position + 1)
        if position == LAST:
            running[slot], calls = (calls, 0), calls + 1
    for results in written.values():
        assert set(results) in ({True}, {False})


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 0.03)), min_size=100, max_size=200))
def test_the_rate_holds_and_essential_lines_stand_while_it_allows(
    steps: list[tuple[bool, float]],
) -> None:
    selection, now, allowed = LineSelection(RATE, BURST, START), START, BURST
    for number, (is_essential, pause) in enumerate(steps):
        now += timedelta(seconds=pause)
        allowed = min(BURST, allowed + RATE * timedelta(seconds=pause).total_seconds())
        taken = selection.take(make_line(number, 0, is_essential=is_essential), now)
        if abs(allowed - 1) > TOLERANCE and is_essential:
            assert taken == (allowed >= 1)
        if abs(allowed - RESERVE) > TOLERANCE and not is_essential:
            assert taken == (allowed >= RESERVE)
        allowed -= taken
