from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.decisions import (
    HostIncarnation,
    RateSliceKeeper,
    RateSliceTerms,
    RateSliceWrite,
    StoredRateSlice,
)
from lavenderrun.types import BootId, HostId, RateSliceId

START = datetime(2026, 1, 1, tzinfo=UTC)
SLICE = RateSliceId("0.0")
TERMS = RateSliceTerms(slices=1, start_delay=timedelta(0))
A, B, C = (HostIncarnation(HostId(name), BootId(f"{name}1")) for name in "abc")


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_keeper(me: HostIncarnation) -> RateSliceKeeper:
    return RateSliceKeeper(me, [SLICE], TERMS, START)


def claim_slice(keeper: RateSliceKeeper, peers: list[HostIncarnation]) -> RateSliceWrite:
    keeper.observe({}, START)
    write = keeper.plan_write(peers, START)[0]
    gained = keeper.confirm(write, 1, START)
    assert gained is not None
    assert gained.unspent_since is None
    return write


def find_expiry(keeper: RateSliceKeeper) -> float:
    end = keeper.find_expiry([SLICE])
    assert end is not None
    return (end - START).total_seconds()


def test_slice_is_held_only_while_its_standby_grants_leases() -> None:
    keeper = make_keeper(A)
    claim_slice(keeper, [B])
    assert find_expiry(keeper) == 4
    keeper.note_standby_grant(C, [SLICE], at(1))
    assert find_expiry(keeper) == 4
    keeper.note_standby_grant(B, [SLICE], at(1))
    assert find_expiry(keeper) == 5
    assert keeper.suspend_expired(at(5)) == [(at(5), SLICE)]


def test_unconfirmed_change_of_standby_needs_grants_of_both() -> None:
    keeper = make_keeper(A)
    claim_slice(keeper, [B])
    write = keeper.plan_write([C], at(1))[0]
    assert write.standby == C
    keeper.note_no_reply(write)
    keeper.note_standby_grant(B, [SLICE], at(3))
    assert find_expiry(keeper) == 5
    keeper.note_standby_grant(C, [SLICE], at(3))
    assert find_expiry(keeper) == 7


def test_standby_claims_only_after_its_own_grant_ended_and_the_row_was_read() -> None:
    keeper = make_keeper(B)
    row = claim_slice(make_keeper(A), [B]).row
    keeper.observe({SLICE: StoredRateSlice(1, row)}, START)
    held = make_keeper(A)
    claim_slice(held, [B])
    keeper.grant_standby_leases(held.find_standby_requests()[B], at(2))
    keeper.observe({SLICE: StoredRateSlice(1, row)}, at(6.8))
    assert keeper.plan_write([C], at(6.9)) == []
    write = keeper.plan_write([C], at(7))[0]
    assert write.expect == 1
    assert write.row.holder == B.host


def test_host_that_is_not_the_standby_waits_for_the_long_lease() -> None:
    keeper = make_keeper(C)
    row = claim_slice(make_keeper(A), [B]).row
    keeper.observe({SLICE: StoredRateSlice(1, row)}, START)
    keeper.observe({SLICE: StoredRateSlice(1, row)}, at(600))
    assert keeper.plan_write([B], at(600)) == []
    assert keeper.plan_write([B], at(601.5))[0].row.holder == C.host


def test_restarted_standby_may_not_take_over_early() -> None:
    row = claim_slice(make_keeper(A), [B]).row
    keeper = make_keeper(HostIncarnation(B.host, BootId("b2")))
    keeper.observe({SLICE: StoredRateSlice(1, row)}, START)
    assert keeper.plan_write([C], at(60)) == []


def test_renewal_confirmed_after_the_lease_ended_credits_nothing() -> None:
    keeper = make_keeper(A)
    claim_slice(keeper, [B])
    write = keeper.plan_write([C], at(3.9))[0]
    keeper.suspend_expired(at(4.5))
    gained = keeper.confirm(write, 2, at(4.5))
    assert gained is not None
    assert gained.unspent_since == at(4.5)


def test_conflict_with_another_holder_drops_the_slice() -> None:
    keeper = make_keeper(A)
    claim_slice(keeper, [B])
    write = keeper.plan_write([C], at(1))[0]
    row = claim_slice(make_keeper(B), [C]).row
    keeper.note_conflict(write, StoredRateSlice(2, row), at(2))
    assert list(keeper.held) == []


def test_freed_slice_is_not_claimed_while_loans_from_it_may_be_used() -> None:
    keeper = make_keeper(A)
    claim_slice(keeper, [B])
    write = keeper.plan_release(at(1))[0]
    other = make_keeper(C)
    other.observe({SLICE: StoredRateSlice(2, write.row)}, at(1))
    other.observe({SLICE: StoredRateSlice(2, write.row)}, at(4.4))
    assert other.plan_write([], at(4.4)) == []
    assert other.plan_write([], at(4.5))[0].unspent_since == at(4.5)


def test_standby_refuses_grants_while_it_takes_over() -> None:
    holder = make_keeper(A)
    row = claim_slice(holder, [B]).row
    keeper = make_keeper(B)
    keeper.observe({SLICE: StoredRateSlice(1, row)}, at(0))
    assert keeper.plan_write([], at(5)) == []
    keeper.observe({SLICE: StoredRateSlice(1, row)}, at(5))
    write = keeper.plan_write([], at(5))[0]
    assert keeper.grant_standby_leases(holder.find_standby_requests()[B], at(5)) == []
    keeper.note_no_reply(write)
    assert keeper.grant_standby_leases(holder.find_standby_requests()[B], at(9)) == []


def test_suspended_slice_is_held_again_when_its_standby_grants_again() -> None:
    holder, standby = make_keeper(A), make_keeper(B)
    row = claim_slice(holder, [B]).row
    standby.observe({SLICE: StoredRateSlice(1, row)}, START)
    holder.suspend_expired(at(6))
    assert list(holder.held) == []
    granted = standby.grant_standby_leases(holder.find_standby_requests()[B], at(6))
    holder.note_standby_grant(B, granted, at(6))
    holder.resume(at(6.1))
    assert find_expiry(holder) == 10


def test_suspended_slice_is_dropped_with_the_long_lease_or_for_another_holder() -> None:
    holder = make_keeper(A)
    claim_slice(holder, [B])
    holder.suspend_expired(at(6))
    holder.suspend_expired(at(600))
    assert holder.find_standby_requests() == {}
    holder = make_keeper(A)
    claim_slice(holder, [B])
    holder.suspend_expired(at(6))
    holder.observe({SLICE: StoredRateSlice(2, claim_slice(make_keeper(B), [C]).row)}, at(7))
    assert holder.find_standby_requests() == {}
