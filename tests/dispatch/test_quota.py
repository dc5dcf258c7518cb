from __future__ import annotations

from datetime import UTC, datetime, timedelta

import pytest
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


class ReferenceLedger:
    """The quota by its definition: each report brings every account up to date for every host."""

    def __init__(self, hosts: int) -> None:
        self.level, self.updated = QUOTA.burst, START
        self.last = {HostId(f"h{n}"): START for n in range(hosts)}
        self.used = dict.fromkeys(self.last, 0.0)
        self.boots = dict.fromkeys(self.last, "")
        self.estimated = dict.fromkeys(self.last, 0.0)

    def refill(self, now: datetime) -> None:
        elapsed = (now - self.updated).total_seconds()
        gained = elapsed * QUOTA.rate
        for host, last in self.last.items():
            silent = (now - max(last + timedelta(seconds=1), self.updated)).total_seconds()
            if silent > 0:
                taken = min(silent, elapsed) * QUOTA.rate / (len(self.last) + 1)
                gained -= taken
                self.estimated[host] += taken
        self.level = min(QUOTA.burst, max(-4 * QUOTA.rate, self.level) + gained)
        self.updated = now

    def report(self, host: HostId, boot: str, used: float, now: datetime) -> None:
        self.refill(now)
        if self.boots[host] == boot:
            delta, estimated = used - self.used[host], self.estimated[host]
            charged = max(0.0, delta - estimated) if estimated else delta
            self.level = min(QUOTA.burst, self.level - charged)
        self.last[host], self.used[host], self.boots[host] = now, used, boot
        self.estimated[host] = 0.0


@given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 1), st.integers(-20, 60), st.integers(0, 2500)),
        max_size=60,
    )
)
def test_reports_of_many_hosts_leave_what_the_definition_says(
    steps: list[tuple[int, int, int, int]],
) -> None:
    ledger, reference = make_ledger(others=4), ReferenceLedger(4)
    used = [0.0] * 4
    now = START
    for host, boot, change, wait in steps:
        now += timedelta(milliseconds=wait)
        used[host] = max(0.0, used[host] + change)
        name = HostId(f"h{host}")
        ledger.apply_peer_report(name, BootId(f"b{boot}"), {ACCOUNT: used[host]}, now)
        reference.report(name, f"b{boot}", used[host], now)
    reference.refill(now)
    assert ledger.list_remaining(now)[ACCOUNT] == pytest.approx(reference.level)


def test_a_refund_at_one_host_is_credited_at_the_others() -> None:
    ledger = make_ledger(others=1)
    ledger.apply_peer_report(HostId("h0"), BOOT, {}, START)
    ledger.apply_peer_report(HostId("h0"), BOOT, {ACCOUNT: 150.0}, START)
    ledger.apply_peer_report(HostId("h0"), BOOT, {ACCOUNT: 0.0}, START)
    assert ledger.charge(ACCOUNT, 200, START) is None
