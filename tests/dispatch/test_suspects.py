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
MARK = Fingerprint("f")
FIRST, SECOND, THIRD = Incarnation("1"), Incarnation("2"), Incarnation("3")
OTHER = HostId("h2")


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_call(body: bytes = b"x", request: str = "r") -> GatewayCall:
    return GatewayCall(RequestId(request), "POST", "h", "/p", [], body, None, None, None, None)


def test_equal_calls_share_a_fingerprint_whatever_their_id() -> None:
    account = AccountId("a")
    mark = make_fingerprint(make_call(), account)
    assert mark == make_fingerprint(make_call(request="again"), account)
    assert mark != make_fingerprint(make_call(b"y"), account)
    assert mark != make_fingerprint(make_call(), AccountId("b"))


def test_a_call_that_broke_three_servers_is_refused_whoever_saw_it() -> None:
    book = SuspectTracker()
    book.add_strike(MARK, FIRST, START)
    book.add_strike(MARK, SECOND, START)
    assert not book.is_quarantined(MARK, START)
    book.apply_peer_report(OTHER, {MARK: [THIRD]}, START)
    assert book.is_quarantined(MARK, START)
    assert not book.is_quarantined(MARK, at(61))
    book.clear_call(MARK)
    assert not book.is_quarantined(MARK, START)


def test_one_life_of_a_server_is_broken_once_however_many_calls_and_hosts_saw_it() -> None:
    book = SuspectTracker()
    for _ in range(5):
        book.add_strike(MARK, FIRST, START)
    book.add_strike(MARK, SECOND, START)
    book.apply_peer_report(OTHER, {MARK: [FIRST, SECOND]}, START)
    assert not book.is_quarantined(MARK, START)


def test_a_server_that_answers_in_the_same_life_was_not_broken() -> None:
    book = SuspectTracker()
    for server in (FIRST, SECOND, THIRD):
        book.add_strike(MARK, server, START)
    book.clear_server(SECOND, at(0.1))
    assert not book.is_quarantined(MARK, at(0.5))


def test_an_answer_that_may_be_of_the_next_life_or_that_began_before_acquits_nothing() -> None:
    book = SuspectTracker()
    for server in (FIRST, SECOND, THIRD):
        book.add_strike(MARK, server, START)
    book.clear_server(SECOND, at(-0.1))
    book.clear_server(THIRD, at(2))
    assert book.is_quarantined(MARK, at(2.1))


def test_a_host_that_is_heard_no_more_accuses_no_more() -> None:
    book = SuspectTracker()
    book.apply_peer_report(OTHER, {MARK: [FIRST, SECOND, THIRD]}, START)
    assert book.is_quarantined(MARK, at(1))
    assert not book.is_quarantined(MARK, at(61))


def test_a_report_of_strikes_is_bounded_and_holds_the_newest() -> None:
    book = SuspectTracker()
    for number in range(50):
        book.add_strike(Fingerprint(f"f{number}"), FIRST, START)
    report = book.report(START)
    assert len(report) == 20
    assert report[Fingerprint("f49")] == [FIRST]
    assert not book.report(at(61))
