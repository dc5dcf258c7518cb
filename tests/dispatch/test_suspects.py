from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.dispatch import SuspectTracker, make_fingerprint
from lavenderrun.types import (
    AccountId,
    Fingerprint,
    GatewayCall,
    HostId,
    Incarnation,
    RequestId,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
FINGERPRINT = Fingerprint("f")
SERVER_1, SERVER_2, SERVER_3 = Incarnation("1"), Incarnation("2"), Incarnation("3")
OTHER_HOST = HostId("h2")


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_call(body: bytes = b"x", request: str = "r") -> GatewayCall:
    return GatewayCall(RequestId(request), "POST", "h", "/p", [], body, None, None, None, None)


def test_equal_calls_share_a_fingerprint_regardless_of_request_id() -> None:
    account = AccountId("a")
    fingerprint = make_fingerprint(make_call(), account)
    assert fingerprint == make_fingerprint(make_call(request="again"), account)
    assert fingerprint != make_fingerprint(make_call(b"y"), account)
    assert fingerprint != make_fingerprint(make_call(), AccountId("b"))


def test_three_crashed_servers_seen_by_any_hosts_quarantine_a_call() -> None:
    tracker = SuspectTracker()
    tracker.add_strike(FINGERPRINT, SERVER_1, START)
    tracker.add_strike(FINGERPRINT, SERVER_2, START)
    assert not tracker.is_quarantined(FINGERPRINT, START)
    tracker.apply_peer_report(OTHER_HOST, {FINGERPRINT: [SERVER_3]}, START)
    assert tracker.is_quarantined(FINGERPRINT, START)
    assert not tracker.is_quarantined(FINGERPRINT, at(61))
    tracker.clear_call(FINGERPRINT)
    assert not tracker.is_quarantined(FINGERPRINT, START)


def test_a_server_incarnation_counts_once_for_any_number_of_calls_and_hosts() -> None:
    tracker = SuspectTracker()
    for _ in range(5):
        tracker.add_strike(FINGERPRINT, SERVER_1, START)
    tracker.add_strike(FINGERPRINT, SERVER_2, START)
    tracker.apply_peer_report(OTHER_HOST, {FINGERPRINT: [SERVER_1, SERVER_2]}, START)
    assert not tracker.is_quarantined(FINGERPRINT, START)


def test_a_server_that_answers_soon_after_a_strike_is_cleared() -> None:
    tracker = SuspectTracker()
    for server in (SERVER_1, SERVER_2, SERVER_3):
        tracker.add_strike(FINGERPRINT, server, START)
    tracker.clear_server(SERVER_2, at(0.1))
    assert not tracker.is_quarantined(FINGERPRINT, at(0.5))


def test_an_answer_from_before_the_strike_or_after_a_restart_clears_nothing() -> None:
    tracker = SuspectTracker()
    for server in (SERVER_1, SERVER_2, SERVER_3):
        tracker.add_strike(FINGERPRINT, server, START)
    tracker.clear_server(SERVER_2, at(-0.1))
    tracker.clear_server(SERVER_3, at(2))
    assert tracker.is_quarantined(FINGERPRINT, at(2.1))


def test_strikes_of_a_silent_host_expire() -> None:
    tracker = SuspectTracker()
    tracker.apply_peer_report(OTHER_HOST, {FINGERPRINT: [SERVER_1, SERVER_2, SERVER_3]}, START)
    assert tracker.is_quarantined(FINGERPRINT, at(1))
    assert not tracker.is_quarantined(FINGERPRINT, at(61))


def test_reported_suspects_are_the_newest_and_limited_in_number() -> None:
    tracker = SuspectTracker()
    for number in range(50):
        tracker.add_strike(Fingerprint(f"f{number}"), SERVER_1, START)
    report = tracker.list_suspects(START)
    assert len(report) == 20
    assert report[Fingerprint("f49")] == [SERVER_1]
    assert not tracker.list_suspects(at(61))
