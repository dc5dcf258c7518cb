"""Calls that may run at most once and run for longer than records of ended calls are kept."""

from __future__ import annotations

from datetime import timedelta

from plain_fleet import PlainFleet

CONFIRM = "/orders/1/confirm"


# the agent had dropped the running call's record, told not run, and a retry ran it again
def test_a_call_that_runs_for_long_is_not_reported_as_not_run_and_runs_once() -> None:
    fleet = PlainFleet(agents=1, patience=timedelta(seconds=150))
    fleet.faults["a1"].reply_delay = timedelta(seconds=400)
    _, reply = fleet.submit("POST", CONFIRM, key="k")
    fleet.run(1)
    fleet.faults["a1"].reply_delay = timedelta(0)
    for number in range(32):
        fleet.run(5, step=0.02)
        fleet.submit("GET", f"/orders/{number + 10}")
    assert not reply.ends
    _, again = fleet.submit("POST", CONFIRM, key="k")
    fleet.run(1)
    assert not again.ends
    fleet.run(240, step=0.02)
    assert again.is_whole
    assert reply.is_whole
    assert fleet.core.confirmed["1"] == 1
    assert not fleet.count_jobs()
