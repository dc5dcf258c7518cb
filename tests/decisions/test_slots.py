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
SLOT = RateSliceId("0.0")
TERMS = RateSliceTerms(slices=1, gather=timedelta(0))
A, B, C = (HostIncarnation(HostId(name), BootId(f"{name}1")) for name in "abc")


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_keeper(me: HostIncarnation) -> RateSliceKeeper:
    return RateSliceKeeper(me, [SLOT], TERMS, START)


def hold(keeper: RateSliceKeeper, peers: list[HostIncarnation]) -> RateSliceWrite:
    keeper.observe({}, START)
    write = keeper.plan_write(peers, START)[0]
    gained = keeper.confirm(write, 1, START)
    assert gained is not None
    assert gained.earned_from is None
    return write


def find_end(keeper: RateSliceKeeper) -> float:
    end = keeper.find_end([SLOT])
    assert end is not None
    return (end - START).total_seconds()


def test_holder_is_valid_only_while_its_standby_vouches() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    assert find_end(keeper) == 4
    keeper.note_standby_grant(C, [SLOT], at(1))
    assert find_end(keeper) == 4
    keeper.note_standby_grant(B, [SLOT], at(1))
    assert find_end(keeper) == 5
    assert keeper.drop_lapsed(at(5)) == [(at(5), SLOT)]


def test_unsettled_change_of_standby_needs_the_consent_of_both() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    write = keeper.plan_write([C], at(1))[0]
    assert write.standby == C
    keeper.note_no_reply(write)
    keeper.note_standby_grant(B, [SLOT], at(3))
    assert find_end(keeper) == 5
    keeper.note_standby_grant(C, [SLOT], at(3))
    assert find_end(keeper) == 7


def test_standby_waits_for_its_own_vouching_and_for_the_row() -> None:
    keeper = make_keeper(B)
    row = hold(make_keeper(A), [B]).row
    keeper.observe({SLOT: StoredRateSlice(1, row)}, START)
    held = make_keeper(A)
    hold(held, [B])
    keeper.vouch(held.find_standby_requests()[B], at(2))
    keeper.observe({SLOT: StoredRateSlice(1, row)}, at(6.8))
    assert keeper.plan_write([C], at(6.9)) == []
    write = keeper.plan_write([C], at(7))[0]
    assert write.expect == 1
    assert write.row.holder == B.host


def test_host_that_is_no_standby_waits_for_the_long_lease() -> None:
    keeper = make_keeper(C)
    row = hold(make_keeper(A), [B]).row
    keeper.observe({SLOT: StoredRateSlice(1, row)}, START)
    keeper.observe({SLOT: StoredRateSlice(1, row)}, at(600))
    assert keeper.plan_write([B], at(600)) == []
    assert keeper.plan_write([B], at(601.5))[0].row.holder == C.host


def test_new_life_of_the_standby_has_no_right_of_the_old_one() -> None:
    row = hold(make_keeper(A), [B]).row
    keeper = make_keeper(HostIncarnation(B.host, BootId("b2")))
    keeper.observe({SLOT: StoredRateSlice(1, row)}, START)
    assert keeper.plan_write([C], at(60)) == []


def test_renewal_confirmed_after_the_lapse_brings_no_earnings() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    write = keeper.plan_write([C], at(3.9))[0]
    keeper.drop_lapsed(at(4.5))
    gained = keeper.confirm(write, 2, at(4.5))
    assert gained is not None
    assert gained.earned_from == at(4.5)


def test_conflict_with_another_holder_ends_the_slot() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    write = keeper.plan_write([C], at(1))[0]
    row = hold(make_keeper(B), [C]).row
    keeper.note_conflict(write, StoredRateSlice(2, row), at(2))
    assert list(keeper.held) == []


def test_freed_slot_rests_while_loans_out_of_it_may_be_used() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    write = keeper.plan_release(at(1))[0]
    other = make_keeper(C)
    other.observe({SLOT: StoredRateSlice(2, write.row)}, at(1))
    other.observe({SLOT: StoredRateSlice(2, write.row)}, at(4.4))
    assert other.plan_write([], at(4.4)) == []
    assert other.plan_write([], at(4.5))[0].earned_from == at(4.5)


def test_vouching_is_refused_while_the_standby_takes_over() -> None:
    holder = make_keeper(A)
    row = hold(holder, [B]).row
    keeper = make_keeper(B)
    keeper.observe({SLOT: StoredRateSlice(1, row)}, at(0))
    assert keeper.plan_write([], at(5)) == []
    keeper.observe({SLOT: StoredRateSlice(1, row)}, at(5))
    write = keeper.plan_write([], at(5))[0]
    assert keeper.vouch(holder.find_standby_requests()[B], at(5)) == []
    keeper.note_no_reply(write)
    assert keeper.vouch(holder.find_standby_requests()[B], at(9)) == []


def test_suspended_slot_goes_on_when_its_standby_vouches_again() -> None:
    holder, standby = make_keeper(A), make_keeper(B)
    row = hold(holder, [B]).row
    standby.observe({SLOT: StoredRateSlice(1, row)}, START)
    holder.drop_lapsed(at(6))
    assert list(holder.held) == []
    promised = standby.vouch(holder.find_standby_requests()[B], at(6))
    holder.note_standby_grant(B, promised, at(6))
    holder.resume(at(6.1))
    assert find_end(holder) == 10


def test_suspended_slot_ends_with_the_long_lease_or_another_holder() -> None:
    holder = make_keeper(A)
    hold(holder, [B])
    holder.drop_lapsed(at(6))
    holder.drop_lapsed(at(600))
    assert holder.find_standby_requests() == {}
    holder = make_keeper(A)
    hold(holder, [B])
    holder.drop_lapsed(at(6))
    holder.observe({SLOT: StoredRateSlice(2, hold(make_keeper(B), [C]).row)}, at(7))
    assert holder.find_standby_requests() == {}
