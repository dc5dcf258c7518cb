from __future__ import annotations

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import QuotaLedger
from lavenderrun.types import AccountId, AccountQuota, BootId, HostId, QuotaUnit

START = datetime(2026, 1, 1, tzinfo=UTC)
ACCOUNT = AccountId("talleres")
QUOTA = AccountQuota(QuotaUnit.TOKENS, 100.0, 200.0, 10)
BOOT = BootId("b1")
STEP = timedelta(milliseconds=250)


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_ledger(others: int = 0) -> QuotaLedger:
    ledger = QuotaLedger()
    ledger.configure({ACCOUNT: QUOTA}, START)
    ledger.set_peers({HostId(f"h{n}"): START for n in range(others)})
    return ledger


def test_charges_are_limited_to_the_burst_and_then_to_the_rate() -> None:
    ledger = make_ledger()
    assert ledger.charge(ACCOUNT, 200, START) is None
    assert ledger.charge(ACCOUNT, 50, START) == timedelta(seconds=0.5)
    assert ledger.charge(ACCOUNT, 50, at(0.5)) is None


def test_a_call_larger_than_the_burst_is_admitted_by_a_full_bucket() -> None:
    ledger = make_ledger()
    assert ledger.charge(ACCOUNT, 500, START) is None
    assert ledger.charge(ACCOUNT, 1, at(2)) is not None


def test_a_call_that_did_not_run_is_refunded() -> None:
    ledger = make_ledger()
    assert ledger.charge(ACCOUNT, 200, START) is None
    ledger.refund(ACCOUNT, 200)
    assert ledger.charge(ACCOUNT, 200, START) is None
    assert ledger.used[ACCOUNT] == 200


def test_a_changed_quota_keeps_what_was_used() -> None:
    ledger = make_ledger()
    ledger.charge(ACCOUNT, 150, START)
    larger = AccountQuota(QuotaUnit.TOKENS, 100.0, 1000.0, 10)
    ledger.configure({ACCOUNT: larger}, START)
    assert ledger.charge(ACCOUNT, 851, START) is not None
    assert ledger.charge(ACCOUNT, 850, START) is None


def test_repeated_peer_reports_are_charged_once() -> None:
    ledger = make_ledger(others=1)
    ledger.apply_peer_report(HostId("h0"), BOOT, {}, START)
    for _ in range(2):
        ledger.apply_peer_report(HostId("h0"), BOOT, {ACCOUNT: 150.0}, START)
    assert ledger.charge(ACCOUNT, 51, START) is not None
    assert ledger.charge(ACCOUNT, 50, START) is None


def test_the_counter_of_a_restarted_host_starts_again() -> None:
    ledger = make_ledger(others=1)
    ledger.apply_peer_report(HostId("h0"), BOOT, {ACCOUNT: 900.0}, START)
    ledger.apply_peer_report(HostId("h0"), BootId("b2"), {ACCOUNT: 20.0}, START)
    assert ledger.charge(ACCOUNT, 200, START) is None


def test_a_host_without_peer_reports_is_limited_to_its_share() -> None:
    ledger = make_ledger(others=3)
    ledger.charge(ACCOUNT, 200, START)
    # the full rate for one second, until the others count as silent, then a quarter of it
    charged = sum(ledger.charge(ACCOUNT, 5, at(n / 20)) is None for n in range(201)) * 5
    assert 300 <= charged <= 330


@given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(1, 60)), max_size=200),
    st.integers(1, 4),
)
def test_hosts_that_report_stay_within_the_quota_together(
    calls: list[tuple[int, int]], hosts: int
) -> None:
    ledgers = [make_ledger(hosts - 1) for _ in range(hosts)]
    names = [[HostId(f"h{n}") for n in range(hosts - 1)] for _ in range(hosts)]
    now, total, late = START, 0.0, 0.0
    for index, (caller, cost) in enumerate(calls):
        host = caller % hosts
        if ledgers[host].charge(ACCOUNT, cost, now) is None:
            total += cost
            late += cost
        if index % 3 == 2:
            now += STEP
            late = 0.0
            for receiver in range(hosts):
                others = [n for n in range(hosts) if n != receiver]
                for name, other in zip(names[receiver], others, strict=True):
                    ledgers[receiver].apply_peer_report(name, BOOT, dict(ledgers[other].used), now)
    elapsed_seconds = (now - START).total_seconds()
    # three calls of up to 60 units each may run between two reports
    assert total <= QUOTA.burst + QUOTA.rate * elapsed_seconds + 3 * 60
