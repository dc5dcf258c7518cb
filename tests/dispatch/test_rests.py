from __future__ import annotations

from collections import Counter
from dataclasses import replace
from datetime import UTC, datetime, timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lavenderrun.dispatch import (
    PLACEMENTS,
    CallRequirements,
    DepartureNotice,
    NoticeKind,
    PlacementContext,
    ServerNotice,
    ServerRests,
    list_notices,
)
from lavenderrun.dispatch import FleetOccupancy as Occupancy
from lavenderrun.dispatch import HealthTracker as Health
from lavenderrun.dispatch._rests import MAX_REST, MAX_RESTS, MAX_SPREAD
from lavenderrun.types import (
    BackendId,
    BackendRole,
    DataCentre,
    HostId,
    Member,
    MemberState,
    ServiceGroup,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
HERE = DataCentre("here")
SECOND = timedelta(seconds=1)
REST = 5 * SECOND


def make_server(name: str = "a", started: int = 1) -> Member:
    return Member(
        BackendId(name),
        ServiceGroup("s"),
        "127.0.0.1:1",
        HERE,
        BackendRole.PLAIN,
        6,
        MemberState.READY,
        timedelta(0),
        started,
    )


def at(seconds: float) -> datetime:
    return START + timedelta(seconds=seconds)


def place(rests: ServerRests, members: list[Member], now: datetime) -> Member | None:
    context = PlacementContext(now, HERE, Health(), Occupancy(), Random(1), rests=rests)
    return PLACEMENTS.find("plain")(members, CallRequirements(), context)


def test_a_resting_server_is_chosen_by_no_policy_even_if_it_is_the_only_one() -> None:
    rests, server = ServerRests(), make_server()
    rests.begin(server, REST, START, spread=0)
    assert place(rests, [server], at(4.9)) is None
    assert place(rests, [server], at(5)) == server
    other = make_server("b")
    assert place(rests, [server, other], at(1)) == other


def test_a_rest_is_not_shortened_and_ends_with_a_new_start() -> None:
    rests, server = ServerRests(), make_server()
    rests.begin(server, REST, START, spread=0)
    rests.begin(server, timedelta(seconds=1), at(1), spread=0)
    assert rests.forbids(server, at(4.9))
    assert not rests.forbids(replace(server, started=2), at(1))


def test_one_call_tries_a_server_after_its_rest_and_others_follow_once_it_is_taken() -> None:
    rests, server = ServerRests(), make_server()
    rests.begin(server, REST, START, spread=0)
    assert not rests.start_trial(server, at(4))
    assert rests.start_trial(server, at(5))
    assert not rests.start_trial(server, at(5))
    assert rests.is_resting(server, at(6))
    rests.end_trial(server, accepted=False)
    assert rests.start_trial(server, at(6))
    rests.end_trial(server, accepted=True)
    assert not rests.is_resting(server, at(6))


def test_long_rests_and_many_servers_are_bounded() -> None:
    rests, server = ServerRests(), make_server()
    rests.begin(server, timedelta(days=9000), START, spread=1)
    assert rests.forbids(server, START + MAX_REST - timedelta(seconds=1))
    assert not rests.is_resting(server, START + MAX_REST + MAX_SPREAD)
    for number in range(2 * MAX_RESTS):
        rests.begin(make_server(f"s{number}"), REST, START, spread=0)
    assert len(rests._rests) == MAX_RESTS


def test_the_return_is_known_only_while_all_servers_rest() -> None:
    rests, first, second = ServerRests(), make_server("a"), make_server("b")
    rests.begin(first, REST, START, spread=0)
    assert rests.find_return([first, second], START) is None
    rests.begin(second, timedelta(seconds=2), START, spread=0)
    assert rests.find_return([first, second], START) == at(2)
    assert rests.find_return([], START) is None


def test_a_notice_has_its_age_who_told_it_and_what_is_left_of_a_rest() -> None:
    rests, left, rested = ServerRests(), make_server("a"), make_server("b")
    rests.begin(rested, REST, at(1), spread=0)
    told = {"a": DepartureNotice(HostId("other"), START)}

    def find(seconds: float) -> list[ServerNotice]:
        servers = [left, rested, make_server("c")]
        return list(
            list_notices(servers, lambda m: told.get(m.id), rests, HostId("this"), at(seconds))
        )

    departure = ServerNotice(left.id, NoticeKind.LEAVING, HostId("other"), 3 * SECOND)
    rest = ServerNotice(rested.id, NoticeKind.REST, HostId("this"), 2 * SECOND, 3 * SECOND)
    assert find(3) == [departure, rest]
    assert [notice.kind for notice in find(6.1)] == [NoticeKind.LEAVING]


@given(
    st.lists(
        st.tuples(st.floats(0, 3), st.sampled_from(["rest", "send", "taken", "failed"])),
        max_size=60,
    )
)
def test_no_call_is_sent_while_the_server_wants_none(events: list[tuple[float, str]]) -> None:
    rests, server, now, ends = ServerRests(), make_server(), START, START
    for pause, event in events:
        now += timedelta(seconds=pause)
        if event == "rest":
            rests.begin(server, REST, now, spread=0.5)
            ends = max(ends, now + REST)
        elif event == "send":
            chosen = place(rests, [server], now)
            assert chosen is None or now >= ends
            if chosen is not None:
                rests.start_trial(server, now)
        elif now >= ends:
            # only calls sent after a rest are trials, see Attempt
            rests.end_trial(server, accepted=event == "taken")
        assert rests.forbids(server, now) == (now < ends)


@pytest.mark.parametrize("hosts", [5, 68])
def test_thundering_return_of_all_hosts_after_one_rest(hosts: int) -> None:
    """Each host sends one call, spread over a second, until the server takes one of its calls."""
    random_source, server, waiting = Random(hosts), make_server(), 20
    fleet = [ServerRests() for _ in range(hosts)]
    for rests in fleet:
        rests.begin(server, REST, START, spread=random_source.random())
    sent: Counter[int] = Counter()
    for step in range(100):
        now = at(5 + step / 50)
        for rests in fleet:
            for _ in range(waiting):
                if place(rests, [server], now) is not None:
                    rests.start_trial(server, now)
                    sent[step // 5] += 1
    assert sum(sent.values()) == hosts
    assert max(sent.values()) <= max(3, 0.3 * hosts)
