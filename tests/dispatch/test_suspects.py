from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random

import pytest

from lavenderrun.dispatch import CallReport, ServerCrash, SuspectTracker, make_fingerprint
from lavenderrun.types import (
    AccountId,
    BootId,
    Fingerprint,
    GatewayCall,
    HostId,
    Incarnation,
    RequestId,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
FINGERPRINT = Fingerprint("f")
SERVER_1, SERVER_2, SERVER_3 = Incarnation("1"), Incarnation("2"), Incarnation("3")
SERVERS = (SERVER_1, SERVER_2, SERVER_3)
OTHER_HOST, BOOT = HostId("h2"), BootId("b")
RUN_SECONDS = 0.1
QUARANTINE_SECONDS = 600


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_call(body: bytes = b"x", request: str = "r") -> GatewayCall:
    return GatewayCall(RequestId(request), "POST", "h", "/p", [], body, None, None, None, None)


def crash(server: Incarnation, ended: float = 0) -> ServerCrash:
    return ServerCrash(server, at(ended - RUN_SECONDS), at(ended))


def strike(tracker: SuspectTracker, *servers: Incarnation, ended: float = 0) -> None:
    for server in servers:
        tracker.record_crash(FINGERPRINT, crash(server, ended))


def tell(
    tracker: SuspectTracker, other: SuspectTracker, seconds: float, boot: BootId = BOOT
) -> bool:
    """Report to another host; return whether it learned anything."""
    now = at(seconds)
    return other.apply_report(OTHER_HOST, boot, tracker.make_report(now), now)


def test_equal_calls_share_a_fingerprint_regardless_of_request_id() -> None:
    account = AccountId("a")
    fingerprint = make_fingerprint(make_call(), account)
    assert fingerprint == make_fingerprint(make_call(request="again"), account)
    assert fingerprint != make_fingerprint(make_call(b"y"), account)
    assert fingerprint != make_fingerprint(make_call(), AccountId("b"))


def test_three_crashed_servers_seen_by_any_hosts_quarantine_a_call() -> None:
    tracker, other = SuspectTracker(), SuspectTracker()
    strike(tracker, SERVER_1, SERVER_2)
    assert not tracker.is_quarantined(FINGERPRINT, START)
    strike(other, SERVER_3)
    assert tell(other, tracker, 0)
    assert tracker.is_quarantined(FINGERPRINT, START)
    assert tracker.find_release(FINGERPRINT, START) == timedelta(seconds=QUARANTINE_SECONDS)
    assert tracker.clear_call(FINGERPRINT, at(1))
    assert not tracker.is_quarantined(FINGERPRINT, at(1))


# three further servers crashed every 60 s, for as long as such a call came again
def test_a_quarantined_call_is_allowed_after_ten_minutes_and_one_crash_is_enough_then() -> None:
    tracker = SuspectTracker()
    strike(tracker, *SERVERS)
    assert tracker.is_quarantined(FINGERPRINT, at(QUARANTINE_SECONDS - 1))
    assert not tracker.is_quarantined(FINGERPRINT, at(QUARANTINE_SECONDS))
    strike(tracker, Incarnation("4"), ended=QUARANTINE_SECONDS + 1)
    assert tracker.is_quarantined(FINGERPRINT, at(QUARANTINE_SECONDS + 1))
    assert not tracker.is_quarantined(FINGERPRINT, at(3 * QUARANTINE_SECONDS + 2))


def test_a_single_crash_counts_for_a_minute() -> None:
    tracker = SuspectTracker()
    strike(tracker, SERVER_1)
    assert tracker.list_crashed(FINGERPRINT, at(59)) == [SERVER_1]
    assert tracker.list_crashed(FINGERPRINT, at(61)) == []
    assert not tracker.make_report(at(61)).crashes


def test_a_server_incarnation_counts_once_for_any_number_of_calls_and_hosts() -> None:
    tracker, other = SuspectTracker(), SuspectTracker()
    for _ in range(5):
        strike(tracker, SERVER_1)
    strike(tracker, SERVER_2)
    strike(other, SERVER_1, SERVER_2)
    assert not tell(other, tracker, 0)
    assert not tracker.is_quarantined(FINGERPRINT, START)


# rows come late while the store is lost
def test_a_server_that_crashes_again_before_its_new_row_is_known_counts_again() -> None:
    tracker = SuspectTracker()
    for ended in range(0, 9, 3):
        strike(tracker, SERVER_1, ended=ended)
    assert tracker.is_quarantined(FINGERPRINT, at(9))


def test_a_server_that_answers_soon_after_a_strike_is_cleared() -> None:
    tracker = SuspectTracker()
    strike(tracker, *SERVERS)
    tracker.clear_server(SERVER_2, at(0.1))
    assert not tracker.is_quarantined(FINGERPRINT, at(0.5))


def test_an_answer_from_before_the_strike_or_after_a_restart_clears_nothing() -> None:
    tracker = SuspectTracker()
    strike(tracker, *SERVERS)
    tracker.clear_server(SERVER_2, at(-0.1))
    tracker.clear_server(SERVER_3, at(2))
    assert tracker.is_quarantined(FINGERPRINT, at(2.1))


# a silent server may be out of reach: its calls are refused for a minute, at this host alone
def test_servers_that_fall_silent_count_for_a_minute_and_are_not_reported() -> None:
    tracker = SuspectTracker()
    strike(tracker, SERVER_1)
    for server in (SERVER_2, SERVER_3):
        tracker.record_silence(FINGERPRINT, crash(server))
    assert tracker.is_quarantined(FINGERPRINT, at(1))
    assert tracker.find_release(FINGERPRINT, at(1)) == timedelta(seconds=59)
    assert [server for server, *_ in tracker.make_report(at(1)).crashes[FINGERPRINT]] == [SERVER_1]
    assert not tracker.is_quarantined(FINGERPRINT, at(61))
    tracker.record_silence(FINGERPRINT, crash(SERVER_2, 70))
    tracker.clear_server(SERVER_2, at(70.2))
    strike(tracker, SERVER_1, SERVER_3, ended=70)
    assert not tracker.is_quarantined(FINGERPRINT, at(71))


def test_the_evidence_of_a_silent_host_ends_by_its_age() -> None:
    tracker, other = SuspectTracker(), SuspectTracker()
    strike(other, *SERVERS)
    tell(other, tracker, 1)
    assert tracker.is_quarantined(FINGERPRINT, at(QUARANTINE_SECONDS - 1))
    assert not tracker.is_quarantined(FINGERPRINT, at(QUARANTINE_SECONDS))


def test_an_answered_call_is_cleared_at_other_hosts_too() -> None:
    tracker, other = SuspectTracker(), SuspectTracker()
    strike(tracker, *SERVERS)
    tell(tracker, other, 0.1)
    other.clear_call(FINGERPRINT, at(1))
    tell(other, tracker, 1.1)
    assert not tracker.is_quarantined(FINGERPRINT, at(1.1))
    # a host that has not heard of the answer tells of the crashes again
    late = SuspectTracker()
    strike(late, *SERVERS)
    assert not tell(late, tracker, 2)
    assert not tracker.is_quarantined(FINGERPRINT, at(2))


# a report without the crashes of the run before erased them at all other hosts
def test_crashes_outlive_the_process_that_saw_them() -> None:
    first, second = SuspectTracker(), SuspectTracker()
    strike(first, *SERVERS)
    tell(first, second, 0.1)
    restarted = SuspectTracker()
    tell(restarted, second, 20, BootId("b2"))
    assert second.is_quarantined(FINGERPRINT, at(20))
    tell(second, restarted, 20.1)
    assert restarted.is_quarantined(FINGERPRINT, at(20.1))


@pytest.mark.parametrize("seed", range(30))
def test_at_most_three_servers_crash_through_any_series_of_restarts_in_turn(seed: int) -> None:
    random = Random(seed)
    hosts = {HostId(f"h{n}"): (BootId("0"), SuspectTracker()) for n in range(random.randint(2, 5))}
    crashes, now = 0, 0.0

    def report() -> None:
        for name, (boot, tracker) in hosts.items():
            for other, (_, hearer) in hosts.items():
                if other != name:
                    hearer.apply_report(name, boot, tracker.make_report(at(now)), at(now))

    for turn in range(60):
        now += random.uniform(0.3, 4)
        if random.random() < 0.3:
            hosts[random.choice(list(hosts))] = BootId(str(turn + 1)), SuspectTracker()
            # it hears the others before it is ready
            report()
            report()
        tracker = random.choice(list(hosts.values()))[1]
        if not tracker.is_quarantined(FINGERPRINT, at(now)):
            crashes += 1
            tracker.record_crash(FINGERPRINT, crash(Incarnation(f"s{turn}"), now))
            report()
    assert crashes <= len(SERVERS)


def test_a_host_is_told_of_others_crashes_only_while_one_may_lack_them() -> None:
    tracker, other = SuspectTracker(), SuspectTracker()
    strike(other, *SERVERS)
    tell(other, tracker, 0)
    assert FINGERPRINT in tracker.make_report(at(1)).crashes
    tell(other, tracker, 2)
    tell(other, tracker, 4)
    assert not tracker.make_report(at(6)).crashes
    # it was silent, or has started anew
    tell(other, tracker, 10)
    assert FINGERPRINT in tracker.make_report(at(10)).crashes
    tell(other, tracker, 12)
    tell(other, tracker, 14)
    tell(other, tracker, 15.5, BootId("b2"))
    assert FINGERPRINT in tracker.make_report(at(16)).crashes


# a crash with many calls under way pushed an older strike out of the report
def test_reported_suspects_are_those_with_most_crashes_then_the_newest_and_limited() -> None:
    tracker = SuspectTracker()
    strike(tracker, SERVER_2, SERVER_3)
    for number in range(50):
        tracker.record_crash(Fingerprint(f"f{number}"), crash(SERVER_1, 1))
    report = tracker.make_report(at(1)).crashes
    assert len(report) == 20
    assert [server for server, *_ in report[FINGERPRINT]] == [SERVER_2, SERVER_3]
    assert [server for server, *_ in report[Fingerprint("f49")]] == [SERVER_1]
    assert list(tracker.make_report(at(62)).crashes) == [FINGERPRINT]


def test_odd_reports_are_bounded_and_leave_no_trace() -> None:
    tracker = SuspectTracker()
    crashes = {
        Fingerprint("long" * 100): [(SERVER_1, 1.0, 0.5)],
        Fingerprint("old"): [(SERVER_1, 1e6, 1e6)],
        Fingerprint("order"): [(SERVER_1, 0.5, 1.0)],
        Fingerprint("many"): [(Incarnation(f"s{n}"), 2.0, 1.0) for n in range(1000)],
    }
    for host in range(3000):
        report = CallReport(crashes, {Fingerprint("x"): 0.0})
        tracker.apply_report(HostId(f"h{host}"), BOOT, report, START)
    assert list(tracker.make_report(START).crashes) == [Fingerprint("many")]
    assert len(tracker.list_crashed(Fingerprint("many"), START)) == 8
