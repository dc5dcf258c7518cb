"""Servers that leave while a host loses the store: when their calls end, and which are kept."""

from __future__ import annotations

import json
from datetime import timedelta
from random import Random

import pytest
from store_fixture import SERVER_ROW, BreakingStore, StoreFixture
from twisted.internet.defer import Deferred

from lavenderrun.gateway._follower import TableFollower
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._ports import RowChange
from lavenderrun.types import BackendId, HostId, Incarnation, MemberState

DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
RETURN_SECONDS = 2.0
LARGE_FLEET = 350
SERVERS = "servers"


class Host:
    """The members service and two other followers of a host, as each gateway has them."""

    def __init__(self, seed: int = 1) -> None:
        self.store = BreakingStore()
        self.fixture = StoreFixture(self.store, seed)
        self.store.clock = self.fixture.kernel.clock
        for key in ("a", "b"):
            self.store.put(SERVERS, key, SERVER_ROW)
        self.members = MembersService(self.fixture.kernel)
        for table in ("configuration", "hosts"):
            kernel = self.fixture.kernel
            TableFollower(
                self.fixture.rows, table, _Ignore(), kernel.clock, kernel.random_source
            ).start()
        self.members.start()
        self.fixture.pass_time(10)

    def lose_store(self, seconds: float, *, silent: bool) -> None:
        """Let the store serve nobody for some time, in which the row of ``a`` is removed."""
        self.store.is_down, self.store.is_silent = not silent, silent
        self.store.break_connections()
        self.fixture.pass_time(seconds)
        self.store.put(SERVERS, "a", None)
        self.store.is_down = self.store.is_silent = False

    def answer_late_once(self) -> None:
        """Let the store answer a single call a second late, up to shortly before its answer."""
        self.store.late_by = timedelta(seconds=1)
        Deferred.fromCoroutine(self.fixture.rows.read("other"))
        self.fixture.pass_time(0.9)
        self.store.late_by = timedelta(0)

    def knows(self, key: str) -> bool:
        return self.members.find(BackendId(key)) is not None


class _Ignore:
    def replace_rows(self, rows: object) -> None:
        pass

    def change_rows(self, rows: object) -> None:
        pass

    def merge_copy(self, rows: object) -> None:
        pass


# a broken connection counted as an outage of the store, in which missing servers stay ready
def test_a_server_that_left_is_gone_two_seconds_after_connections_of_the_host_broke() -> None:
    host = Host()
    host.store.break_connections()
    host.store.put(SERVERS, "a", None)
    host.fixture.pass_time(DRAIN_SECONDS)
    assert not host.knows("a")
    assert host.knows("b")


# the host noticed up to 1.6 s late, or 5 s, that the store was back, and kept servers from then on
@pytest.mark.parametrize("silent", [False, True])
@pytest.mark.parametrize("seed", range(20))
def test_a_server_that_left_is_gone_three_seconds_after_an_outage(seed: int, silent: bool) -> None:
    host = Host(seed)
    host.lose_store(Random(seed).uniform(1, 6), silent=silent)
    host.fixture.pass_time(CONTACT_SECONDS)
    assert not host.knows("a")
    assert host.knows("b")


@pytest.mark.parametrize("seed", range(20))
def test_a_server_whose_row_expired_in_an_outage_is_kept_until_it_can_be_back(seed: int) -> None:
    host = Host(seed)
    host.lose_store(Random(seed).uniform(1, 6), silent=False)
    host.fixture.pass_time(RETURN_SECONDS - 0.1)
    assert host.knows("a")
    host.store.put(SERVERS, "a", SERVER_ROW)
    host.fixture.pass_time(10)
    assert host.knows("a")


# one late answer kept servers without a row until the next answer to a quiet call, 5 s later
@pytest.mark.parametrize("seed", range(40))
def test_a_server_that_leaves_after_a_short_cut_is_gone_two_seconds_later(seed: int) -> None:
    host, random = Host(seed), Random(seed)
    host.fixture.pass_time(random.uniform(0, 5))
    host.store.hold()
    host.fixture.pass_time(random.uniform(0.4, 2.4))
    host.store.release()
    since_cut = random.uniform(0, CONTACT_SECONDS)
    host.fixture.pass_time(since_cut)
    host.store.put(SERVERS, "a", None)
    host.fixture.pass_time(max(DRAIN_SECONDS, CONTACT_SECONDS - since_cut))
    assert not host.knows("a")
    assert host.knows("b")


# a late answer to another call than those for changes went unexamined until the next of these
def test_a_late_answer_to_a_single_call_ends_the_trouble_with_an_answer_in_time() -> None:
    host = Host()
    host.answer_late_once()
    host.fixture.pass_time(0.3)
    assert not host.fixture.rows.pace.is_late


# the check of a store that had answered late ended with the first call that failed
def test_a_call_that_fails_does_not_end_the_check_of_a_store_that_answered_late() -> None:
    host = Host()
    host.answer_late_once()
    host.store.is_down = True
    host.fixture.pass_time(0.3)
    host.store.is_down = False
    host.fixture.pass_time(1)
    assert not host.fixture.rows.pace.is_late


# each host examines a slow store by one call at a time
def test_a_store_that_answers_late_for_long_gets_few_calls_more() -> None:
    host = Host()
    host.store.late_by = timedelta(seconds=0.5)
    before = len(host.store.calls)
    host.fixture.pass_time(10)
    assert len(host.store.calls) - before <= 10 / 0.5 + 6


# the pause in which changes collect grew with the hosts and had no bound
def test_a_server_that_left_is_gone_within_two_seconds_in_a_large_fleet() -> None:
    host = Host()
    host.members.host_count = LARGE_FLEET
    host.store.put(SERVERS, "b", {**SERVER_ROW, "slots": 5})
    host.store.put(SERVERS, "a", None)
    host.fixture.pass_time(DRAIN_SECONDS)
    assert not host.knows("a")


def test_a_notice_holds_through_an_outage_and_a_whole_read_until_the_server_starts_anew() -> None:
    host = Host()
    server = host.members.find(BackendId("a"))
    assert server is not None
    host.members.note_departures([server.incarnation], HostId("here"))
    assert host.members.list_departures() == [server.incarnation]
    host.members.note_departures([Incarnation("another")], HostId("here"))
    host.lose_store(3, silent=False)
    host.fixture.pass_time(CONTACT_SECONDS + 1)
    host.store.put(SERVERS, "a", SERVER_ROW)
    host.members.replace_rows([RowChange("a", json.dumps(SERVER_ROW).encode(), 99)])
    server = host.members.find(BackendId("a"))
    assert server is not None
    assert server.state is MemberState.LEAVING
    assert host.members.list_departures() == [server.incarnation]
    host.store.put(SERVERS, "a", {**SERVER_ROW, "born": 7})
    host.fixture.pass_time(1)
    server = host.members.find(BackendId("a"))
    assert server is not None
    assert server.state is MemberState.READY
    assert host.members.list_departures() == []
