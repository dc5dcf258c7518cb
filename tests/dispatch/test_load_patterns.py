"""Loads that made a fleet serve callers badly, each named after its pattern."""

from __future__ import annotations

from dataclasses import replace
from datetime import UTC, datetime, timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import (
    PLACEMENTS,
    CallRequirements,
    FleetOccupancy,
    HealthTracker,
    PlacementContext,
    PromptComputations,
    QuotaLedger,
    Reservations,
    estimate_computation,
)
from lavenderrun.types import (
    AccountId,
    AccountQuota,
    BackendId,
    BackendRole,
    BootId,
    DataCentre,
    HostId,
    Member,
    MemberState,
    QuotaUnit,
    ServiceGroup,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
HERE = DataCentre("here")


def make_engine(name: str, role: BackendRole = BackendRole.DECODE) -> Member:
    return Member(
        BackendId(name),
        ServiceGroup("s"),
        "127.0.0.1:1",
        HERE,
        role,
        64,
        MemberState.READY,
        timedelta(0),
        1,
    )


def make_context(now: datetime = START, speed: float = 50_000.0) -> PlacementContext:
    return PlacementContext(
        now,
        HERE,
        HealthTracker(),
        FleetOccupancy(),
        Random(1),
        memory_tokens=100_000,
        prefill_speed=speed,
    )


class ComputingFleet:
    """Decode engines that compute prompts themselves, placed by two hosts that report."""

    def __init__(self, engines: int, speed: float, tokens: int) -> None:
        self.engines = [make_engine(f"d{n}") for n in range(engines)]
        self.hosts = [make_context(speed=speed), make_context(speed=speed)]
        self.duration = estimate_computation(tokens, speed)
        self.requirements = CallRequirements(tokens=tokens, computes_prompt=True)

    def place(self, host: int, now: datetime) -> BackendId | None:
        context = self.hosts[host]
        context.now = now
        member = PLACEMENTS.find("decode")(self.engines, self.requirements, context)
        if member is None:
            return None
        context.computations.begin(member.id, self.duration, now)
        self.hosts[1 - host].computations.apply_peer_report(
            HostId(str(host)), context.computations.list_remaining(now), now
        )
        return member.id


@pytest.mark.parametrize(("speed", "tokens"), [(55_000.0, 5200), (33_000.0, 3200)])
def test_many_streams_resumed_after_a_crash_do_not_stall_the_streams_of_other_engines(
    speed: float, tokens: int
) -> None:
    """Pattern: an engine crashes and its streams all go on at the few that are left.

    Each computes its prompt there, and streams of these engines stand still meanwhile.
    """
    fleet = ComputingFleet(2, speed, tokens)
    computed: list[tuple[datetime, BackendId]] = []
    now = START
    while len(computed) < 12 and now < START + timedelta(seconds=10):
        host = len(computed) % 2
        found = fleet.place(host, now)
        if found is not None:
            computed.append((now, found))
        now += timedelta(milliseconds=10)
    assert len(computed) == 12
    window = timedelta(milliseconds=300)
    for at, engine in computed:
        busy = sum(
            (
                min(start + fleet.duration, at + window) - start
                for start, other in computed
                if other == engine and at <= start < at + window
            ),
            timedelta(0),
        )
        assert busy < window, "streams of the engine get no token for a whole gap"


def test_an_engine_takes_the_next_prompt_after_the_rest_even_if_no_end_is_reported() -> None:
    computations = PromptComputations()
    computations.begin(BackendId("d"), timedelta(milliseconds=200), START)
    assert computations.is_busy(BackendId("d"), START + timedelta(milliseconds=390))
    assert not computations.is_busy(BackendId("d"), START + timedelta(milliseconds=400))
    computations.begin(BackendId("d"), timedelta(milliseconds=200), START)
    computations.forget(BackendId("d"))
    assert not computations.is_busy(BackendId("d"), START)


def test_a_burst_queues_at_prefill_engines_while_first_tokens_can_still_be_in_time() -> None:
    """Pattern: a burst fills the prefill queues, and prompts fall back to decode engines.

    There they take twice the time and hold up all running streams; a queue that still meets the
    objective is better.
    """
    engines = [make_engine("p", BackendRole.PREFILL)]
    context = make_context()
    context.occupancy.reserve(BackendId("p"), 30_000)
    place = PLACEMENTS.find("prefill")
    soon = CallRequirements(tokens=5000, first_token_due=START + timedelta(milliseconds=500))
    assert place(engines, soon, context) is None
    in_time = CallRequirements(tokens=5000, first_token_due=START + timedelta(milliseconds=900))
    assert place(engines, in_time, context) is not None
    context.occupancy.reserve(BackendId("p"), 10_000)
    assert place(engines, in_time, context) is None


def test_calls_do_not_herd_onto_the_empty_row_of_a_server_that_was_replaced() -> None:
    """Pattern: an engine crashes and another one starts at its address; the old row stays.

    Its reservations are gone, so the row looks like the emptiest engine and draws each call that
    waits, and each of them is rejected after its prompt was computed.
    """
    gone, full = make_engine("gone"), make_engine("full")
    context = make_context()
    context.occupancy.reserve(full.id, 90_000)
    place = PLACEMENTS.find("decode")
    requirements = CallRequirements(tokens=5000)
    assert place([gone, full], requirements, context) == gone
    context.health.note_replaced(gone, START)
    for milliseconds in (0, 600, 5900):
        context.now = START + timedelta(milliseconds=milliseconds)
        assert place([gone, full], requirements, context) == full
        assert place([gone], requirements, context) is None
    started = replace(gone, started=2)
    assert place([started, full], requirements, context) == started


def test_a_server_whose_row_never_changes_is_tried_again() -> None:
    member, context = make_engine("d"), make_context(START + timedelta(seconds=6))
    context.health.note_replaced(member, START)
    assert PLACEMENTS.find("decode")([member], CallRequirements(tokens=1), context) == member


@pytest.mark.parametrize("hosts", [8, 68, 350])
def test_the_work_of_a_peer_report_does_not_grow_with_hosts_or_accounts(hosts: int) -> None:
    """Pattern: hundreds of hosts report to each other, and each report updates all accounts."""
    quota = AccountQuota(QuotaUnit.TOKENS, 1000.0, 5000.0, 10)
    accounts = [AccountId(f"a{n}") for n in range(210)]
    ledger = QuotaLedger()
    ledger.configure(dict.fromkeys(accounts, quota), START)
    names = [HostId(f"h{n}") for n in range(hosts - 1)]
    ledger.set_peers(dict.fromkeys(names, START))
    refilled: list[AccountId] = []
    refill = ledger._refill
    ledger._refill = lambda account, now: refilled.append(account) or refill(account, now)  # type: ignore[method-assign,func-returns-value]
    for turn in range(2):
        for name in names:
            ledger.apply_peer_report(name, BootId("b"), {accounts[0]: float(turn)}, START)
    assert len(refilled) == hosts - 1


@given(
    st.lists(
        st.tuples(
            st.integers(0, 5),
            st.dictionaries(
                st.sampled_from("abc"), st.tuples(st.integers(0, 9), st.integers(0, 99))
            ),
            st.integers(0, 2000),
        ),
        max_size=40,
    )
)
def test_sums_of_reservations_hold_what_the_hosts_reported_last(
    reports: list[tuple[int, dict[str, tuple[int, int]], int]],
) -> None:
    occupancy, now = FleetOccupancy(), START
    last: dict[int, tuple[datetime, dict[str, tuple[int, int]]]] = {}
    for host, rows, wait in reports:
        now += timedelta(milliseconds=wait)
        reserved = {BackendId(name): Reservations(*row) for name, row in rows.items()}
        occupancy.apply_peer_report(HostId(f"h{host}"), reserved, now)
        last[host] = (now, rows)
    occupancy.drop_stale_reports(now)
    live = [rows for at, rows in last.values() if now - at <= timedelta(seconds=3)]
    for name in "abc":
        rows_of = [rows.get(name, (0, 0)) for rows in live]
        assert occupancy.count_reserved_slots(BackendId(name)) == sum(row[0] for row in rows_of)
        assert occupancy.sum_reserved_tokens(BackendId(name)) == sum(row[1] for row in rows_of)
