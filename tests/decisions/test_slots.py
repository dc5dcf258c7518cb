from __future__ import annotations

from datetime import UTC, datetime, timedelta

from lavenderrun.decisions import Peer, SlotKeeper, SlotTerms, SlotWrite, StoredSlot
from lavenderrun.types import BootId, HostId, SlotId

START = datetime(2026, 1, 1, tzinfo=UTC)
SLOT = SlotId("0.0")
TERMS = SlotTerms(slots=1, gather=timedelta(0))
A, B, C = (Peer(HostId(name), BootId(f"{name}1")) for name in "abc")


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def make_keeper(me: Peer) -> SlotKeeper:
    return SlotKeeper(me, [SLOT], TERMS, START)


def hold(keeper: SlotKeeper, peers: list[Peer]) -> SlotWrite:
    keeper.observe({}, START)
    write = keeper.plan(peers, START)[0]
    gained = keeper.confirm(write, 1, START)
    assert gained is not None
    assert gained.earned_from is None
    return write


def find_end(keeper: SlotKeeper) -> float:
    end = keeper.find_end([SLOT])
    assert end is not None
    return (end - START).total_seconds()


def test_holder_is_valid_only_while_its_standby_vouches() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    assert find_end(keeper) == 4
    keeper.take_vouch(C, [SLOT], at(1))
    assert find_end(keeper) == 4
    keeper.take_vouch(B, [SLOT], at(1))
    assert find_end(keeper) == 5
    assert keeper.drop_lapsed(at(5)) == [(at(5), SLOT)]


def test_unsettled_change_of_standby_needs_the_consent_of_both() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    write = keeper.plan([C], at(1))[0]
    assert write.standby == C
    keeper.forget(write)
    keeper.take_vouch(B, [SLOT], at(3))
    assert find_end(keeper) == 5
    keeper.take_vouch(C, [SLOT], at(3))
    assert find_end(keeper) == 7


def test_standby_waits_for_its_own_vouching_and_for_the_row() -> None:
    keeper = make_keeper(B)
    row = hold(make_keeper(A), [B]).row
    keeper.observe({SLOT: StoredSlot(1, row)}, START)
    held = make_keeper(A)
    hold(held, [B])
    keeper.vouch(held.find_vouchers()[B], at(2))
    keeper.observe({SLOT: StoredSlot(1, row)}, at(6.8))
    assert keeper.plan([C], at(6.9)) == []
    write = keeper.plan([C], at(7))[0]
    assert write.expect == 1
    assert write.row.holder == B.host


def test_host_that_is_no_standby_waits_for_the_long_lease() -> None:
    keeper = make_keeper(C)
    row = hold(make_keeper(A), [B]).row
    keeper.observe({SLOT: StoredSlot(1, row)}, START)
    keeper.observe({SLOT: StoredSlot(1, row)}, at(600))
    assert keeper.plan([B], at(600)) == []
    assert keeper.plan([B], at(601.5))[0].row.holder == C.host


def test_new_life_of_the_standby_has_no_right_of_the_old_one() -> None:
    row = hold(make_keeper(A), [B]).row
    keeper = make_keeper(Peer(B.host, BootId("b2")))
    keeper.observe({SLOT: StoredSlot(1, row)}, START)
    assert keeper.plan([C], at(60)) == []


def test_renewal_confirmed_after_the_lapse_brings_no_earnings() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    write = keeper.plan([C], at(3.9))[0]
    keeper.drop_lapsed(at(4.5))
    gained = keeper.confirm(write, 2, at(4.5))
    assert gained is not None
    assert gained.earned_from == at(4.5)


def test_conflict_with_another_holder_ends_the_slot() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    write = keeper.plan([C], at(1))[0]
    row = hold(make_keeper(B), [C]).row
    keeper.refute(write, StoredSlot(2, row), at(2))
    assert list(keeper.held) == []


def test_freed_slot_rests_while_loans_out_of_it_may_be_used() -> None:
    keeper = make_keeper(A)
    hold(keeper, [B])
    write = keeper.plan_release(at(1))[0]
    other = make_keeper(C)
    other.observe({SLOT: StoredSlot(2, write.row)}, at(1))
    other.observe({SLOT: StoredSlot(2, write.row)}, at(4.4))
    assert other.plan([], at(4.4)) == []
    assert other.plan([], at(4.5))[0].earned_from == at(4.5)


def test_vouching_is_refused_while_the_standby_takes_over() -> None:
    holder = make_keeper(A)
    row = hold(holder, [B]).row
    keeper = make_keeper(B)
    keeper.observe({SLOT: StoredSlot(1, row)}, at(0))
    assert keeper.plan([], at(5)) == []
    keeper.observe({SLOT: StoredSlot(1, row)}, at(5))
    write = keeper.plan([], at(5))[0]
    assert keeper.vouch(holder.find_vouchers()[B], at(5)) == []
    keeper.forget(write)
    assert keeper.vouch(holder.find_vouchers()[B], at(9)) == []


def test_suspended_slot_goes_on_when_its_standby_vouches_again() -> None:
    holder, standby = make_keeper(A), make_keeper(B)
    row = hold(holder, [B]).row
    standby.observe({SLOT: StoredSlot(1, row)}, START)
    holder.drop_lapsed(at(6))
    assert list(holder.held) == []
    promised = standby.vouch(holder.find_vouchers()[B], at(6))
    holder.take_vouch(B, promised, at(6))
    holder.resume(at(6.1))
    assert find_end(holder) == 10


def test_suspended_slot_ends_with_the_long_lease_or_another_holder() -> None:
    holder = make_keeper(A)
    hold(holder, [B])
    holder.drop_lapsed(at(6))
    holder.drop_lapsed(at(600))
    assert holder.find_vouchers() == {}
    holder = make_keeper(A)
    hold(holder, [B])
    holder.drop_lapsed(at(6))
    holder.observe({SLOT: StoredSlot(2, hold(make_keeper(B), [C]).row)}, at(7))
    assert holder.find_vouchers() == {}
