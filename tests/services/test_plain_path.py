from __future__ import annotations

from datetime import timedelta
from typing import Any

import pytest
from fleet import MemoryRecord
from plain_fleet import PlainFleet
from twisted.internet.defer import Deferred

from lavenderrun.services import _plain_call
from lavenderrun.services._plain_attempt import PlainAttempt
from lavenderrun.services._plain_call import PlainCall
from lavenderrun.services._plain_sending import send_call
from lavenderrun.types import BackendRun, Outcome, Refusal, RequestFinished

# calls that must not run twice: confirming an order and publishing a layout
AT_MOST_ONCE_CALLS = [
    ("/orders/rod-5150/confirm", "confirmed"),
    ("/layouts/geez-3/publish", "published"),
]


def count_runs(fleet: PlainFleet) -> int:
    return sum(fleet.core.confirmed.values()) + sum(fleet.core.published.values())


def find_running_agent(fleet: PlainFleet) -> str:
    run: Any = fleet.record.all(BackendRun)[-1]
    return str(run.backend)


def test_replies_arrive_whole_and_no_call_is_left() -> None:
    fleet = PlainFleet()
    replies = [fleet.submit("GET", f"/orders/{n}")[1] for n in range(12)]
    body = bytes(range(256)) * 2000
    _, echo = fleet.submit("PUT", "/echo", body=body)
    fleet.run(1)
    assert all(reply.is_whole and b'"confirmed":0' in reply.body for reply in replies)
    assert echo.body == body
    assert fleet.count_jobs() == 0


def test_queued_call_is_refused_as_not_run_when_patience_ends() -> None:
    fleet = PlainFleet(agents=1, max_running=1, patience=timedelta(seconds=1))
    fleet.faults["a1"].hang = 1
    fleet.submit("GET", "/orders/1")
    fleet.run(0.1)
    _, late = fleet.submit("GET", "/orders/2")
    fleet.run(2)
    assert (late.refused.refusal, late.refused.outcome) == (Refusal.DEADLINE, Outcome.NOT_RUN)
    assert fleet.core.calls["GET /orders/2"] == 0


def test_call_without_any_agent_is_refused_as_not_run() -> None:
    fleet = PlainFleet(agents=1, patience=timedelta(seconds=1))
    fleet.kill("a1")
    fleet.run(0.1)
    _, reply = fleet.submit("POST", "/orders/7/confirm")
    fleet.run(2)
    assert (reply.refused.refusal, reply.refused.outcome) == (Refusal.NO_ROOM, Outcome.NOT_RUN)


@pytest.mark.parametrize("fault", ["die_before", "die_after", "refuse"])
def test_idempotent_call_is_retried_at_another_agent(fault: str) -> None:
    fleet = PlainFleet()
    for faults in fleet.faults.values():
        setattr(faults, fault, 1)
    _, reply = fleet.submit("GET", "/orders/7")
    fleet.run(2)
    assert reply.is_whole
    assert fleet.count_jobs() == 0


# the call hung until its caller left
@pytest.mark.parametrize("method", ["_start_attempt", "complete_attempt"])
def test_a_call_whose_handling_fails_is_refused_and_frees_everything(
    monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError

    fleet = PlainFleet()
    with monkeypatch.context() as patched:
        patched.setattr(PlainCall, method, fail)
        _, reply = fleet.submit("GET", "/orders/7")
        fleet.run(1)
    assert reply.refused.outcome is Outcome.UNKNOWN
    _, later = fleet.submit("GET", "/orders/8")
    fleet.run(2)
    assert later.is_whole
    assert fleet.count_jobs() == 0


@pytest.mark.parametrize("method", ["GET", "POST"])
def test_an_error_in_a_timer_of_an_attempt_ends_its_call_only(
    monkeypatch: pytest.MonkeyPatch, method: str
) -> None:
    def fail(*_: object) -> None:
        raise RuntimeError

    fleet = PlainFleet(patience=timedelta(seconds=1))
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(seconds=4)
    monkeypatch.setattr(PlainAttempt, "request_revoke", fail)
    _, reply = fleet.submit(method, "/orders/7/confirm")
    fleet.run(3)
    assert reply.refused.outcome is Outcome.UNKNOWN
    fleet.run(4)
    assert fleet.count_jobs() == 0


def test_idempotent_calls_are_not_repeated_beyond_the_budget() -> None:
    fleet = PlainFleet()
    for faults in fleet.faults.values():
        faults.die_after = 10_000
    replies = [fleet.submit("GET", f"/orders/{n}")[1] for n in range(50)]
    fleet.run(5)
    assert all(reply.refused.outcome is Outcome.UNKNOWN for reply in replies)
    assert sum(fleet.core.calls.values()) <= 50 * 1.2


def close_links(fleet: PlainFleet) -> None:
    for agent in fleet.addresses:
        for link in list(fleet.find_links(agent).list_live()):
            link.close("silent")


def test_calls_after_a_suspension_are_not_sent_over_links_that_the_agents_closed() -> None:
    fleet = PlainFleet()
    fleet.run(0.4)
    close_links(fleet)
    # the entry does not run for a while, and then takes the calls before it reads the closes
    fleet.reactor.rightNow += 1.6
    replies = [fleet.submit("GET", f"/orders/{n}")[1] for n in range(12)]
    fleet.run(3)
    assert all(reply.is_whole for reply in replies)
    assert fleet.count_jobs() == 0


def test_idempotent_calls_whose_links_close_wait_for_the_budget_and_are_resent() -> None:
    fleet = PlainFleet(agents=4)
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(seconds=0.5)
    replies = [fleet.submit("GET", f"/orders/{n}")[1] for n in range(5)]
    fleet.run(0.1)
    close_links(fleet)
    fleet.run(6)
    assert all(reply.is_whole for reply in replies)
    assert fleet.count_jobs() == 0


class RetryCounter:
    """Counts the sends of calls by an entry and the retries that its budget grants."""

    def __init__(self, fleet: PlainFleet, monkeypatch: pytest.MonkeyPatch) -> None:
        self.sent = 0
        self.granted = 0
        self._send = send_call
        monkeypatch.setattr(_plain_call, "send_call", self._count_send)
        budget = fleet.routers["e1"].retry_budget
        self._allow = budget.allow_retry
        monkeypatch.setattr(budget, "allow_retry", self._count_retry)

    def _count_send(self, *args: Any) -> bool:
        self.sent += 1
        return self._send(*args)

    def _count_retry(self, *args: Any) -> bool:
        is_granted = self._allow(*args)
        self.granted += is_granted
        return is_granted


# a call without attempts left took a retry that other calls could have used
@pytest.mark.parametrize("is_link_lost", [True, False])
def test_a_call_that_is_not_sent_again_takes_no_retry_of_the_budget(
    monkeypatch: pytest.MonkeyPatch, *, is_link_lost: bool
) -> None:
    fleet = PlainFleet(agents=5)
    counter = RetryCounter(fleet, monkeypatch)
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(seconds=3)
        if not is_link_lost:
            faults.die_after = 10_000
    _, reply = fleet.submit("GET", "/orders/7")
    for _ in range(8):
        fleet.run(0.5)
        if is_link_lost:
            close_links(fleet)
    fleet.run(3)
    assert reply.refused.outcome is Outcome.UNKNOWN
    assert counter.sent == _plain_call.MAX_ATTEMPTS
    assert counter.granted == counter.sent - 1


@pytest.mark.parametrize(("method", "moves"), [("GET", True), ("POST", False)])
def test_a_call_that_may_be_repeated_leaves_an_agent_that_may_be_lost(
    method: str, *, moves: bool
) -> None:
    fleet = PlainFleet()
    fleet.run(2)
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(seconds=4)
    fleet.submit(method, "/orders/7/confirm")
    fleet.run(0.4)
    first = find_running_agent(fleet)
    fleet.drop_traffic("e1", first)
    silent: list[str] = []
    fleet.find_links("e1").watch_silence(lambda link: silent.append(link.peer.host))
    fleet.run(1.6)
    assert silent == [first]
    # the link is still open
    assert fleet.find_links("e1").find(first) is not None
    assert (find_running_agent(fleet) != first) is moves


def test_reply_cut_in_the_middle_is_refused_and_never_repeated() -> None:
    fleet = PlainFleet()
    for faults in fleet.faults.values():
        faults.die_midway = 5
    _, reply = fleet.submit("GET", "/orders/7")
    fleet.run(2)
    assert reply.refused.outcome is Outcome.UNKNOWN
    assert sum(fleet.core.calls.values()) == 1


@pytest.mark.parametrize(("path", "_what"), AT_MOST_ONCE_CALLS)
def test_call_whose_backend_server_dies_is_unknown_and_runs_once(path: str, _what: str) -> None:
    for fault, runs in (("die_before", 0), ("die_after", 1)):
        fleet = PlainFleet()
        for faults in fleet.faults.values():
            setattr(faults, fault, 1)
        _, reply = fleet.submit("POST", path, key="k1")
        fleet.run(2)
        assert reply.refused.outcome is Outcome.UNKNOWN
        _, again = fleet.submit("POST", path, key="k1", entry="e2")
        fleet.run(8)
        assert again.refused.outcome is Outcome.UNKNOWN
        assert count_runs(fleet) == runs


@pytest.mark.parametrize(("path", "_what"), AT_MOST_ONCE_CALLS)
def test_call_that_found_no_backend_server_runs_elsewhere_once(path: str, _what: str) -> None:
    fleet = PlainFleet()
    fleet.faults["a1"].refuse = fleet.faults["a2"].refuse = 1
    _, reply = fleet.submit("POST", path, key="k1")
    fleet.run(3)
    assert reply.is_whole
    assert count_runs(fleet) == 1


@pytest.mark.parametrize("keyed", [True, False])
@pytest.mark.parametrize(("path", "what"), AT_MOST_ONCE_CALLS)
def test_link_that_goes_silent_during_a_call_is_settled_and_the_reply_arrives(
    path: str, what: str, keyed: bool
) -> None:
    fleet = PlainFleet()
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(seconds=1)
    _, reply = fleet.submit("POST", path, key="k1" if keyed else None)
    fleet.run(0.5)
    fleet.drop_traffic("e1", find_running_agent(fleet))
    fleet.run(6)
    assert reply.is_whole
    assert f'"{what}":1'.encode() in reply.body
    assert count_runs(fleet) == 1
    assert fleet.count_jobs() == 0


def test_silent_link_before_the_call_arrives_is_settled_as_never_started() -> None:
    fleet = PlainFleet()
    for agent in ("a1", "a2"):
        fleet.drop_traffic("e1", agent)
    _, reply = fleet.submit("POST", "/orders/rod-5150/confirm", key="k1")
    fleet.run(6)
    assert reply.is_whole
    assert count_runs(fleet) == 1


@pytest.mark.parametrize("silent", [True, False])
@pytest.mark.parametrize(("path", "_what"), AT_MOST_ONCE_CALLS)
def test_outcome_is_unknown_to_all_tries_when_the_agent_dies_during_the_call(
    path: str, _what: str, silent: bool
) -> None:
    fleet = PlainFleet()
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(seconds=1)
    _, reply = fleet.submit("POST", path, key="k1")
    fleet.run(0.5)
    running_agent = find_running_agent(fleet)
    fleet.kill(running_agent, silent=silent)
    fleet.run(8)
    assert (reply.refused.refusal, reply.refused.outcome) == (
        Refusal.OUTCOME_UNKNOWN,
        Outcome.UNKNOWN,
    )
    fleet.start_agent(running_agent)
    fleet.run(3)
    _, again = fleet.submit("POST", path, key="k1", entry="e2")
    fleet.run(8)
    assert again.refused.outcome is Outcome.UNKNOWN
    assert count_runs(fleet) == 1


@pytest.mark.parametrize("silent", [True, False])
@pytest.mark.parametrize(("path", "what"), AT_MOST_ONCE_CALLS)
def test_retry_at_another_entry_gets_the_reply_after_an_entry_dies(
    path: str, what: str, silent: bool
) -> None:
    fleet = PlainFleet()
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(seconds=1)
    fleet.submit("POST", path, key="k1")
    fleet.run(0.5)
    fleet.kill("e1", silent=silent)
    _, again = fleet.submit("POST", path, key="k1", entry="e2")
    fleet.run(5)
    assert again.is_whole
    assert f'"{what}":1'.encode() in again.body
    _, third = fleet.submit("POST", path, key="k1", entry="e2")
    fleet.run(1)
    assert third.body == again.body
    assert count_runs(fleet) == 1


def test_claim_of_an_entry_that_dies_before_sending_is_taken_over() -> None:
    fleet = PlainFleet()
    fleet.submit("POST", "/orders/rod-5150/confirm", key="k1")
    fleet.run(0.0015, step=0.0005)
    assert fleet.table.scan("claims")
    fleet.kill("e1")
    fleet.run(1)
    assert count_runs(fleet) == 0
    _, again = fleet.submit("POST", "/orders/rod-5150/confirm", key="k1", entry="e2")
    fleet.run(2)
    assert again.is_whole
    assert count_runs(fleet) == 1


def test_retry_takes_over_a_queued_first_request() -> None:
    fleet = PlainFleet(agents=1, max_running=1)
    fleet.faults["a1"].reply_delay = timedelta(seconds=1)
    fleet.submit("GET", "/orders/1")
    fleet.run(0.2)
    _, first = fleet.submit("POST", "/orders/7/confirm", key="k1")
    fleet.run(0.2)
    _, second = fleet.submit("POST", "/orders/7/confirm", key="k1", entry="e2")
    fleet.run(4)
    assert (first.refused.refusal, first.refused.outcome) == (
        Refusal.CANCELLED,
        Outcome.NOT_RUN,
    )
    assert second.is_whole
    assert count_runs(fleet) == 1


def test_two_concurrent_requests_with_one_key_run_once() -> None:
    for gap in (0.0, 0.001, 0.002, 0.003, 0.004, 0.006):
        fleet = PlainFleet()
        _, first = fleet.submit("POST", "/orders/7/confirm", key="k1")
        fleet.run(gap)
        _, second = fleet.submit("POST", "/orders/7/confirm", key="k1", entry="e2")
        fleet.run(4)
        assert count_runs(fleet) == 1, gap
        assert first.is_whole or second.is_whole, gap
        assert len(first.ends) == len(second.ends) == 1


def test_key_reuse_with_another_body_is_a_conflict() -> None:
    fleet = PlainFleet()
    fleet.submit("POST", "/orders/7/confirm", key="k1", body=b"one")
    fleet.run(1)
    _, other = fleet.submit("POST", "/orders/7/confirm", key="k1", body=b"two", entry="e2")
    fleet.run(1)
    assert (other.refused.refusal, other.refused.outcome) == (
        Refusal.IDEMPOTENCY_CONFLICT,
        Outcome.NOT_RUN,
    )
    assert count_runs(fleet) == 1


def test_store_that_is_down_refuses_keyed_calls_as_not_run_and_no_others() -> None:
    fleet = PlainFleet()
    fleet.table_faults["e1"].down = True
    _, keyed = fleet.submit("POST", "/orders/7/confirm", key="k1")
    _, status = fleet.submit("GET", "/orders/7", key="k2")
    fleet.run(4)
    assert (keyed.refused.refusal, keyed.refused.outcome) == (
        Refusal.CLAIM_UNAVAILABLE,
        Outcome.NOT_RUN,
    )
    assert status.is_whole
    assert count_runs(fleet) == 0


def test_lost_reply_to_the_claim_is_settled_by_reading_back() -> None:
    fleet = PlainFleet()
    fleet.table_faults["e1"].lost_replies = 1
    _, reply = fleet.submit("POST", "/orders/7/confirm", key="k1")
    fleet.run(4)
    assert reply.is_whole
    assert count_runs(fleet) == 1


def test_outcome_is_kept_when_the_store_is_back() -> None:
    fleet = PlainFleet()
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(milliseconds=500)
    _, reply = fleet.submit("POST", "/orders/7/confirm", key="k1")
    fleet.run(0.2)
    fleet.table_faults["e1"].down = True
    fleet.run(2)
    assert reply.is_whole
    fleet.table_faults["e1"].down = False
    fleet.run(4)
    for agent in fleet.addresses:
        fleet.kill(agent)
    _, again = fleet.submit("POST", "/orders/7/confirm", key="k1", entry="e2")
    fleet.run(1)
    assert again.body == reply.body
    assert count_runs(fleet) == 1


def test_outcome_of_a_claim_too_old_to_settle_is_unknown() -> None:
    fleet = PlainFleet()
    fleet.submit("POST", "/orders/7/confirm", key="k1")
    fleet.run(0.0015, step=0.0005)
    fleet.kill("e1")
    fleet.run(100, step=0.05)
    _, again = fleet.submit("POST", "/orders/7/confirm", key="k1", entry="e2")
    fleet.run(1)
    assert again.refused.refusal is Refusal.OUTCOME_UNKNOWN
    assert count_runs(fleet) == 0


def test_retry_finds_the_outcome_of_a_call_whose_caller_left() -> None:
    fleet = PlainFleet()
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(milliseconds=500)
    for runs, after in enumerate((0.0, 0.001, 0.002, 0.003, 0.005, 0.2), start=1):
        name = f"k{after}"
        handle, gone = fleet.submit("POST", "/orders/7/confirm", key=name)
        fleet.run(after)
        handle.cancel()
        fleet.run(1)
        assert gone.ends == []
        _, again = fleet.submit("POST", "/orders/7/confirm", key=name, entry="e2")
        fleet.run(2)
        assert again.is_whole
        assert count_runs(fleet) == runs
    assert fleet.count_jobs() == 0


def test_idempotent_call_ends_everywhere_when_its_caller_leaves() -> None:
    for after in (0.0, 0.001, 0.1):
        fleet = PlainFleet()
        fleet.faults["a1"].hang = fleet.faults["a2"].hang = 1
        handle, reply = fleet.submit("GET", "/orders/7")
        fleet.run(after)
        handle.cancel()
        fleet.run(0.1)
        assert reply.ends == []
        assert fleet.count_jobs() == 0, after


def test_withdrawn_key_refuses_waiting_calls_and_lets_running_ones_finish() -> None:
    fleet = PlainFleet(agents=1, max_running=1)
    fleet.faults["a1"].reply_delay = timedelta(seconds=1)
    _, begun = fleet.submit("POST", "/orders/1/confirm")
    fleet.run(0.1)
    _, waiting = fleet.submit("POST", "/orders/2/confirm")
    fleet.run(0.1)
    fleet.admission.withdraw()
    fleet.run(3)
    assert begun.is_whole
    assert (waiting.refused.refusal, waiting.refused.outcome) == (
        Refusal.UNKNOWN_KEY,
        Outcome.NOT_RUN,
    )
    assert count_runs(fleet) == 1


def test_planned_stop_of_agent_and_entry_cuts_off_no_call() -> None:
    fleet = PlainFleet(agents=2, max_running=1)
    for faults in fleet.faults.values():
        faults.reply_delay = timedelta(milliseconds=500)
    replies = [fleet.submit("POST", f"/orders/{n}/confirm")[1] for n in range(4)]
    fleet.run(0.1)
    stops: list[Any] = []
    agent: Any = fleet.hosts["a1"].find("plain_agent", object)
    agent.stop().addCallback(stops.append)
    fleet.routers["e1"].stop().addCallback(stops.append)
    late = [fleet.submit("POST", f"/orders/late-{n}/confirm", entry="e2")[1] for n in range(2)]
    assert not stops
    fleet.run(4)
    assert len(stops) == 2
    assert all(reply.is_whole for reply in replies + late)
    assert count_runs(fleet) == 6


# a call that outlasts the drain of its agent must not be left without an answer
def test_a_call_that_outlasts_the_drain_of_its_agent_is_refused_as_unknown() -> None:
    fleet = PlainFleet(agents=1, max_running=1, patience=timedelta(seconds=300))
    fleet.faults["a1"].reply_delay = timedelta(seconds=200)
    _, begun = fleet.submit("POST", "/orders/1/confirm")
    fleet.run(0.1)
    stops: list[Any] = []
    Deferred.fromCoroutine(fleet.hosts["a1"].stop()).addCallback(stops.append)
    fleet.run(119)
    assert not stops
    assert not begun.ends
    fleet.run(6)
    assert stops
    assert begun.refused.outcome is Outcome.UNKNOWN


def test_the_outcome_of_a_running_call_is_known_at_any_time() -> None:
    fleet = PlainFleet(agents=0)
    handle, _ = fleet.submit("POST", "/orders/1/confirm")
    fleet.run(0.1)
    assert handle.find_outcome() is Outcome.NOT_RUN
    fleet = PlainFleet(agents=1)
    fleet.faults["a1"].reply_delay = timedelta(seconds=1)
    handle, _ = fleet.submit("POST", "/orders/1/confirm")
    fleet.run(0.1)
    assert handle.find_outcome() is Outcome.UNKNOWN


def test_slow_caller_makes_the_agent_pause() -> None:
    fleet = PlainFleet(agents=1)
    handle, reply = fleet.submit("PUT", "/echo", body=b"x" * 1_000_000)
    handle.pace(slow=True)
    fleet.run(2)
    assert len(reply.body) < 1_000_000
    handle.pace(slow=False)
    fleet.run(1)
    assert len(reply.body) == 1_000_000
    assert reply.is_whole


def test_api_key_reaches_no_backend_server_no_row_and_no_event() -> None:
    fleet = PlainFleet()
    fleet.submit("POST", "/orders/7/confirm", key="k1")
    fleet.run(1)
    record: MemoryRecord = fleet.record
    assert record.all(RequestFinished)
    assert "marker-key" not in repr(record.events)
    assert "marker-key" not in repr(fleet.core.header_values)
    assert "marker-key" not in repr(fleet.table.scan("claims"))
