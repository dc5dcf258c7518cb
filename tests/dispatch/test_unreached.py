from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import (
    MAX_QUEUE_WAIT,
    PLACEMENTS,
    CallRequirements,
    FleetOccupancy,
    HealthTracker,
    PlacementContext,
    QueuedCall,
    ServerRests,
    UnreachedAddresses,
    can_start,
    find_return,
)
from lavenderrun.dispatch._unreached import (
    FIRST_TRY_PAUSE,
    LONGEST_TRY,
    LONGEST_TRY_PAUSE,
    MAX_UNREACHED,
    TRY_SPREAD_SHARE,
)
from lavenderrun.types import (
    BackendId,
    BackendRole,
    DataCentre,
    Member,
    MemberState,
    ServiceGroup,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
HERE = DataCentre("here")
STEP = timedelta(milliseconds=5)
LONGEST_SEARCH = LONGEST_TRY + LONGEST_TRY_PAUSE * (1 + TRY_SPREAD_SHARE) + STEP
GROWING_PAUSES = 4
"""Pauses before the longest one, with the first failure."""


def make_server(name: str = "a", slots: int = 6) -> Member:
    return Member(
        BackendId(name),
        ServiceGroup("s"),
        f"address of {name}",
        HERE,
        BackendRole.PLAIN,
        slots,
        MemberState.READY,
        timedelta(0),
        1,
    )


def at(milliseconds: float) -> datetime:
    return START + timedelta(milliseconds=milliseconds)


def make_context(unreached: UnreachedAddresses, now: datetime = START) -> PlacementContext:
    return PlacementContext(
        now, HERE, HealthTracker(), FleetOccupancy(), Random(1), unreached=unreached
    )


def place(
    kind: str,
    members: list[Member],
    context: PlacementContext,
    requirements: CallRequirements | None = None,
) -> str | None:
    found = PLACEMENTS.find(kind)(members, requirements or CallRequirements(), context)
    return None if found is None else found.id


@pytest.mark.parametrize("kind", ["plain", "decode"])
def test_a_server_that_refused_a_connection_is_left_out_until_its_next_try(kind: str) -> None:
    unreached, server, other = UnreachedAddresses(), make_server(), make_server("b")
    unreached.record_failure(server.address, START, 0)
    assert place(kind, [server], make_context(unreached)) is None
    assert place(kind, [server, other], make_context(unreached)) == "b"
    assert place(kind, [server], make_context(unreached, START + FIRST_TRY_PAUSE)) == "a"


def test_one_call_tries_the_server_and_the_others_follow_once_it_is_reached() -> None:
    unreached, server = UnreachedAddresses(), make_server()
    unreached.record_failure(server.address, START, 0)
    now = START + FIRST_TRY_PAUSE
    unreached.begin_try(server.address, now)
    assert place("plain", [server], make_context(unreached, now)) is None
    unreached.record_connection(server.address)
    assert place("plain", [server], make_context(unreached, now)) == "a"
    assert not unreached.is_unreached(server.address)


def test_connections_that_were_begun_before_the_first_failure_lengthen_no_pause() -> None:
    unreached, server = UnreachedAddresses(), make_server()
    for _ in range(20):
        unreached.record_failure(server.address, START, 0)
    assert unreached.find_next_try(server.address, START) == START + FIRST_TRY_PAUSE


def test_a_try_without_a_result_holds_up_the_next_one_for_a_short_time_only() -> None:
    unreached, server = UnreachedAddresses(), make_server()
    unreached.record_failure(server.address, START, 0)
    unreached.begin_try(server.address, at(50))
    assert unreached.find_next_try(server.address, at(51)) == at(50) + LONGEST_TRY
    assert unreached.find_next_try(server.address, at(50) + LONGEST_TRY) is None


def test_the_addresses_that_are_kept_are_bounded_and_can_be_forgotten() -> None:
    unreached = UnreachedAddresses()
    for number in range(2 * MAX_UNREACHED):
        unreached.record_failure(f"a{number}", START, 0)
    assert len(unreached._unreached) == MAX_UNREACHED
    unreached.forget(f"a{2 * MAX_UNREACHED - 1}")
    assert not unreached.is_unreached(f"a{2 * MAX_UNREACHED - 1}")


def test_the_return_considers_rests_and_refused_connections() -> None:
    unreached, rests = UnreachedAddresses(), ServerRests()
    first, second = make_server("a"), make_server("b")
    assert find_return([], rests, unreached, START) is None
    unreached.record_failure(first.address, START, 0)
    assert find_return([first, second], rests, unreached, START) is None
    rests.begin(second, timedelta(seconds=2), START, spread=0)
    assert find_return([first, second], rests, unreached, START) == START + FIRST_TRY_PAUSE
    rests.begin(first, timedelta(seconds=1), START, spread=0)
    assert find_return([first, second], rests, unreached, START) == at(1000)


def test_a_call_can_not_start_after_the_longest_wait_nor_right_before_its_deadline() -> None:
    call = QueuedCall(1, START, timedelta(seconds=1))
    assert can_start(call, START + MAX_QUEUE_WAIT - STEP)
    assert not can_start(call, START + MAX_QUEUE_WAIT)
    short = replace(call, deadline=at(300))
    assert can_start(short, at(200))
    assert not can_start(short, at(290))


def test_a_call_that_may_wait_takes_no_server_without_a_free_slot() -> None:
    context, server = make_context(UnreachedAddresses()), make_server(slots=2)
    waiting = CallRequirements(may_wait=True)
    assert place("plain", [server], context, waiting) == "a"
    for _ in range(2):
        context.occupancy.reserve(server.id, 0)
    assert place("plain", [server], context, waiting) is None
    assert place("plain", [server], context) == "a"


def run_tries(
    duration: timedelta, result_after: Callable[[], timedelta], back: datetime, seed: int
) -> list[datetime]:
    """Return when a call that always waits tried a server, up to the first success."""
    unreached, random_source, address = UnreachedAddresses(), Random(seed), "a"
    tries: list[datetime] = []
    ends: datetime | None = None
    now = START
    while now < START + duration:
        if ends is not None and now >= ends:
            unreached.record_failure(address, now, random_source.random())
            ends = None
        if ends is None and unreached.find_next_try(address, now) is None:
            unreached.begin_try(address, now)
            tries.append(now)
            if now >= back:
                return tries
            ends = now + result_after()
        now += STEP
    return tries


results = st.lists(st.floats(0, 200), min_size=1, max_size=20)


@given(results, st.floats(0, 20), st.integers(0, 1000))
def test_the_number_of_tries_is_bounded_by_the_time_over_the_pause(
    times: list[float], seconds: float, seed: int
) -> None:
    duration, random_source = timedelta(seconds=seconds), Random(seed)
    tries = run_tries(
        duration,
        lambda: timedelta(milliseconds=random_source.choice(times)),
        START + timedelta(days=1),
        seed,
    )
    assert len(tries) <= 1 + GROWING_PAUSES + duration / LONGEST_TRY_PAUSE


@given(results, st.floats(0, 8), st.integers(0, 1000))
def test_a_server_that_is_back_is_found_within_a_bound(
    times: list[float], seconds: float, seed: int
) -> None:
    back, random_source = START + timedelta(seconds=seconds), Random(seed)
    tries = run_tries(
        timedelta(seconds=30),
        lambda: timedelta(milliseconds=random_source.choice(times)),
        back,
        seed,
    )
    assert back <= tries[-1] <= back + LONGEST_SEARCH


@pytest.mark.parametrize("hosts", [5, 68])
def test_thundering_return_of_all_calls_that_wait_for_one_server(hosts: int) -> None:
    """Each host opens one connection, spread over the longest pause, until it has reached it."""
    random_source, server, waiting = Random(hosts), make_server(), 4
    fleet = [UnreachedAddresses() for _ in range(hosts)]
    for unreached in fleet:
        unreached.record_failure(server.address, START, random_source.random())
    opened: list[datetime] = []
    back, now = at(2000), START
    while now < at(3000):
        for unreached in fleet:
            was_unreached, begun = unreached.is_unreached(server.address), 0
            for _ in range(waiting):
                if place("plain", [server], make_context(unreached, now)) is not None:
                    unreached.begin_try(server.address, now)
                    begun += was_unreached
            assert begun <= 1
            if begun and now >= back:
                opened.append(now)
                unreached.record_connection(server.address)
            elif begun:
                unreached.record_failure(server.address, now, random_source.random())
        now += STEP
    assert len(opened) == hosts
    assert max(opened) <= back + LONGEST_SEARCH
    at_once = max(opened.count(moment) for moment in opened)
    assert at_once <= max(2, 0.15 * hosts)
