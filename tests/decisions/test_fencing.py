from __future__ import annotations

from datetime import UTC, datetime, timedelta

from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.decisions import (
    FencingGuard,
    HostIncarnation,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    StoredLease,
)
from lavenderrun.types import BootId, FencingNumber, HostId

START = datetime(2026, 1, 1, tzinfo=UTC)
TERMS = LeaseTerms()
PEERS = [HostIncarnation(HostId(name), BootId(f"{name}1")) for name in "abc"]


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


class Row:
    """Store row of the lease with conditional writes."""

    def __init__(self) -> None:
        self.stored = StoredLease(0, None)

    def put(self, write: LeaseWrite) -> bool:
        if write.expect != self.stored.version:
            return False
        self.stored = StoredLease(self.stored.version + 1, write.row)
        return True


def step(keeper: LeaseKeeper, row: Row, now: datetime, *, reply: bool = True) -> None:
    keeper.observe(row.stored, now)
    write = keeper.plan_write(now)
    if write is None:
        return
    done = row.put(write)
    if not reply:
        keeper.note_no_reply()
    elif done:
        keeper.confirm(write, row.stored.version, now)
    else:
        keeper.note_conflict(row.stored, now)


def test_paused_holder_loses_its_lease_and_the_next_has_a_higher_number() -> None:
    row = Row()
    first, second = LeaseKeeper(PEERS[0], TERMS), LeaseKeeper(PEERS[1], TERMS)
    step(first, row, START)
    assert first.find_fencing_number(at(14.9)) == 1
    step(second, row, at(1))
    step(second, row, at(17.9))
    assert second.find_fencing_number(at(17.9)) is None
    step(second, row, at(18.1))
    assert second.find_fencing_number(at(18.1)) == 2
    assert first.find_fencing_number(at(18.1)) is None
    step(first, row, at(18.2))
    assert first.find_fencing_number(at(18.2)) is None


def test_lease_counts_from_the_sending_of_the_write_and_a_lost_reply_renews_nothing() -> None:
    row = Row()
    keeper = LeaseKeeper(PEERS[0], TERMS)
    step(keeper, row, START)
    step(keeper, row, at(6), reply=False)
    assert keeper.find_fencing_number(at(14.9)) == 1
    assert keeper.find_fencing_number(at(15.1)) is None
    step(keeper, row, at(15.2))
    assert keeper.find_fencing_number(at(15.2)) == 1


def test_released_lease_can_be_claimed_at_once() -> None:
    row = Row()
    first, second = LeaseKeeper(PEERS[0], TERMS), LeaseKeeper(PEERS[1], TERMS)
    step(first, row, START)
    write = first.plan_release(at(1))
    assert write is not None
    assert row.put(write)
    assert first.find_fencing_number(at(1)) is None
    step(second, row, at(1))
    assert second.find_fencing_number(at(1)) == 2


# the reply to a renewal that was under way made a stopping host the holder again
def test_a_renewal_under_way_does_not_bring_a_released_lease_back() -> None:
    row = Row()
    keeper = LeaseKeeper(PEERS[0], TERMS)
    step(keeper, row, START)
    renewal = keeper.plan_write(at(6))
    assert renewal is not None
    assert keeper.plan_release(at(6)) is None
    assert row.put(renewal)
    keeper.confirm(renewal, row.stored.version, at(6.1))
    assert keeper.find_fencing_number(at(6.1)) is None
    release = keeper.plan_release(at(6.1))
    assert release is not None
    assert row.put(release)
    assert keeper.plan_write(at(30)) is None


@given(
    st.lists(
        st.tuples(
            st.integers(0, 2), st.sampled_from([0.0, 0.5, 3.0, 9.0, 16.0, 18.0]), st.booleans()
        ),
        max_size=40,
    )
)
def test_never_two_holders_and_fencing_numbers_never_decrease(
    steps: list[tuple[int, float, bool]],
) -> None:
    row = Row()
    keepers = [LeaseKeeper(peer, TERMS) for peer in PEERS]
    now, highest = 0.0, FencingNumber(0)
    for who, pause, reply in steps:
        now += pause
        step(keepers[who], row, at(now), reply=reply)
        held = [
            k.find_fencing_number(at(now))
            for k in keepers
            if k.find_fencing_number(at(now)) is not None
        ]
        assert len(held) <= 1
        for number in held:
            assert number is not None
            assert number >= highest
            highest = number


def test_guard_refuses_older_fencing_numbers_for_engines_that_do_not() -> None:
    guard = FencingGuard()
    assert guard.accept(FencingNumber(2))
    assert not guard.accept(FencingNumber(1))
    assert guard.accept(FencingNumber(2))
