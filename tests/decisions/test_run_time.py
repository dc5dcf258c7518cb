from __future__ import annotations

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions import ALIVE_INTERVAL, RunTime

START = datetime(2026, 1, 1, tzinfo=UTC)
RUNNING = st.timedeltas(timedelta(0), ALIVE_INTERVAL)
SUSPENDED = st.timedeltas(timedelta(seconds=0.5), timedelta(hours=3))


@given(st.lists(st.tuples(st.booleans(), RUNNING, SUSPENDED), max_size=40))
def test_only_suspensions_do_not_count(steps: list[tuple[bool, timedelta, timedelta]]) -> None:
    now, run_time, expected = START, RunTime(START), timedelta(0)
    for is_suspended, running, suspended in steps:
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
