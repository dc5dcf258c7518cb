"""Who may hold bytes of requests and answers, by random series of what holders do."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random

import pytest

from lavenderrun.dispatch import SMALL_BYTES, ByteHolder, HeldBytes, HolderKind

NOW = datetime(2026, 1, 1, tzinfo=UTC)
MEGABYTE = 1 << 20
LIMIT = 28 * MEGABYTE
LARGEST = 8 * MEGABYTE
STALL_SECONDS = 2


def begin(held: HeldBytes, group: str, need: int = LARGEST) -> ByteHolder:
    return held.begin(HolderKind.ANSWER, group, need, NOW)


def test_room_is_granted_for_all_that_a_holder_may_need() -> None:
    held = HeldBytes(LIMIT)
    holders = [begin(held, "faulty") for _ in range(4)]
    assert [held.request_room(holder) for holder in holders] == [True, True, True, False]
    held.end(holders[0])
    assert held.request_room(holders[3])


def test_room_goes_first_to_the_group_that_holds_least() -> None:
    held = HeldBytes(LIMIT)
    faulty = [begin(held, "faulty") for _ in range(8)]
    for holder in faulty:
        held.add(holder, SMALL_BYTES)
        if not held.request_room(holder):
            held.wait(holder)
    sound = begin(held, "sound", MEGABYTE)
    held.add(sound, SMALL_BYTES)
    if not held.request_room(sound):
        held.wait(sound)
    held.end(faulty[0])
    assert sound.has_room


def test_requests_leave_room_for_answers() -> None:
    held = HeldBytes(LIMIT)
    requests = [held.begin(HolderKind.REQUEST, "caller", 4 * MEGABYTE, NOW) for _ in range(50)]
    assert sum(held.request_room(holder) for holder in requests) == 3
    assert held.request_room(begin(held, "server"))


def test_a_single_request_may_be_larger_than_the_share_of_requests() -> None:
    held = HeldBytes(LIMIT)
    first, second = (held.begin(HolderKind.REQUEST, "c", 20 * MEGABYTE, NOW) for _ in range(2))
    assert [held.request_room(first), held.request_room(second)] == [True, False]


# callers that do not read took all room for good
def test_an_answer_that_is_not_read_is_found_while_another_waits() -> None:
    held = HeldBytes(LIMIT)
    outputs = [held.hold_output("caller", LARGEST, NOW) for _ in range(3)]
    late = NOW + timedelta(seconds=STALL_SECONDS)
    assert held.find_stalled(late) is None
    waiting = begin(held, "server")
    assert not held.request_room(waiting)
    held.wait(waiting)
    outputs[0].progressed = late
    assert held.find_stalled(late) in outputs[1:]
    held.end(outputs[1])
    assert held.grant_waiting() == [waiting]


class Series:
    """Holders that begin, take bytes and end at random."""

    def __init__(self, seed: int) -> None:
        self.random, self.held = Random(seed), HeldBytes(LIMIT)
        self.active: list[ByteHolder] = []
        self.waiting: list[ByteHolder] = []

    def begin(self) -> None:
        kind = self.random.choice([HolderKind.REQUEST, HolderKind.ANSWER, HolderKind.EVENT])
        need = self.random.choice([1, SMALL_BYTES, MEGABYTE, LARGEST])
        holder = self.held.begin(kind, self.random.choice("abc"), need, NOW)
        self.held.add(holder, min(need, SMALL_BYTES))
        if need <= SMALL_BYTES or self.held.request_room(holder):
            self.active.append(holder)
        elif kind is HolderKind.REQUEST:
            self.held.end(holder)
        else:
            self.held.wait(holder)
            self.waiting.append(holder)

    def take(self) -> None:
        holder = self.random.choice(self.active)
        self.held.add(holder, self.random.randint(0, holder.need - holder.held))

    def end(self) -> None:
        holder = self.active.pop(self.random.randrange(len(self.active)))
        self.held.end(holder)
        # a second call does nothing
        self.held.end(holder)
        for granted in self.held.grant_waiting():
            self.waiting.remove(granted)
            self.active.append(granted)

    @property
    def large(self) -> int:
        """Bytes of those that have room."""
        return sum(holder.held for holder in self.active if holder.has_room)


@pytest.mark.parametrize("seed", range(50))
def test_no_series_exceeds_the_limit_and_each_who_waits_has_a_turn(seed: int) -> None:
    series = Series(seed)
    for _ in range(400):
        step = series.random.random()
        if step < 0.4 and len(series.active) + len(series.waiting) < 60:
            series.begin()
        elif step < 0.7 and series.active:
            series.take()
        elif series.active:
            series.end()
        assert series.large <= LIMIT
        assert not series.waiting or series.active
    while series.active:
        series.end()
    assert not series.waiting
    assert set(series.held.held.values()) == {0}
