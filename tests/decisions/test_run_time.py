from __future__ import annotations

import math
from datetime import UTC, datetime, timedelta
from itertools import chain

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions import ALIVE_INTERVAL, RunTime
from lavenderrun.dispatch import MAX_SUSPENSIONS, SERIES_END

START = datetime(2026, 1, 1, tzinfo=UTC)
RUNNING = st.timedeltas(timedelta(0), ALIVE_INTERVAL)
SUSPENDED = st.timedeltas(timedelta(seconds=0.5), timedelta(hours=3))


STEPS = st.lists(st.tuples(st.booleans(), RUNNING, SUSPENDED), max_size=MAX_SUSPENSIONS)


@given(st.lists(STEPS, max_size=10))
def test_only_suspensions_do_not_count(
    series: list[list[tuple[bool, timedelta, timedelta]]],
) -> None:
    now, run_time, expected = START, RunTime(START), timedelta(0)
    between = [(False, ALIVE_INTERVAL, timedelta(0))] * math.ceil(SERIES_END / ALIVE_INTERVAL)
    for is_suspended, running, suspended in chain(*(steps + between for steps in series)):
        before = run_time.measure()
        now += suspended if is_suspended else running
        gap = run_time.note_alive(now)
        assert gap == (suspended - ALIVE_INTERVAL if is_suspended else timedelta(0))
        assert run_time.measure() >= before
        expected += ALIVE_INTERVAL if is_suspended else running
        if is_suspended:
            assert run_time.is_settling()
    assert run_time.measure() == expected


@given(SUSPENDED)
def test_a_process_settles_soon_after_a_suspension(suspended: timedelta) -> None:
    run_time = RunTime(START)
    assert not run_time.is_settling()
    run_time.note_alive(START + suspended)
    assert run_time.is_settling()
    run_time.note_alive(START + suspended + timedelta(milliseconds=100))
    assert not run_time.is_settling()


# each late turn of a busy loop counted as a suspension, so silent peers were noticed late or never
@given(st.lists(SUSPENDED, min_size=1, max_size=40))
def test_lateness_that_goes_on_counts_as_running(gaps: list[timedelta]) -> None:
    now, run_time = START, RunTime(START)
    for gap in gaps:
        now += gap
        run_time.note_alive(now)
        assert run_time.has_unread()
    excused = gaps[:MAX_SUSPENSIONS]
    expected = sum(gaps[MAX_SUSPENSIONS:], ALIVE_INTERVAL * len(excused))
    assert run_time.measure() == expected
    # a busy process is settling only as often, else it would never send work
    assert run_time.is_settling() is (len(gaps) <= MAX_SUSPENSIONS)
