from __future__ import annotations

import json
import math
from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import timedelta
from typing import Any
from unittest.mock import MagicMock

import msgspec
import pytest
from eliot import add_destinations, remove_destination
from store_fixture import (
    BOUNDS,
    SERVER_ROW,
    START,
    STEP_SECONDS,
    BreakingStore,
    StoreFixture,
    make_row,
)
from twisted.internet.defer import Deferred
from twisted.internet.error import MessageLengthError
from twisted.internet.testing import MemoryReactorClock

from lavenderrun.gateway._bounds import BoundsService
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._follower import TableFollower
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peer_messages import PeerReport
from lavenderrun.gateway._peers import REMOVED_AFTER, PeersService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import RowChange, RowPage, RowWrite
from lavenderrun.gateway._rows import StoreState
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import (
    BackendId,
    BootId,
    DocumentVersion,
    HostId,
    Member,
    MemberState,
    ServiceGroup,
)

LARGE_FLEET = 350
BOOT = BootId("b")
VERSION = DocumentVersion(1)
SILENCE_SECONDS = 0.3
CONFIG: dict[str, Any] = {"routes": [], "services": [], "limits": {}, "tenants": []}


class RecordingListener:
    def __init__(self) -> None:
        self.received: list[tuple[str, list[str]]] = []

    def replace_rows(self, rows: Sequence[RowChange]) -> None:
        self.received.append(("all", [found.key for found in rows]))

    def change_rows(self, rows: Sequence[RowChange]) -> None:
        self.received.append(("some", [found.key for found in rows]))

    def merge_copy(self, rows: Sequence[RowChange]) -> None:
        self.received.append(("copy", [found.key for found in rows]))


def start_follower(
    fixture: StoreFixture, table: str = "t"
) -> tuple[TableFollower, RecordingListener]:
    listener = RecordingListener()
    follower = TableFollower(
        fixture.rows, table, listener, fixture.kernel.clock, fixture.kernel.random_source
    )
    follower.start()
    return follower, listener


def test_a_table_is_read_whole_and_then_by_changes() -> None:
    fixture = StoreFixture()
    fixture.answer(5, make_row("a", 5, {}))
    fixture.answer(6, make_row("b", 6, {}))
    follower, listener = start_follower(fixture)
    assert listener.received == [("all", ["a"]), ("some", ["b"])]
    assert follower.version == 6
    assert fixture.pool.calls[-1].startswith("/api/rows-feed?table=t&after=6&")


def test_missing_change_history_leads_to_a_whole_read() -> None:
    fixture = StoreFixture()
    fixture.answer(5)
    fixture.answer(0, status=410)
    fixture.answer(9, make_row("a", 9, {}))
    _, listener = start_follower(fixture)
    assert listener.received == [("all", []), ("all", ["a"])]


def test_an_answer_with_an_older_version_is_ignored() -> None:
    fixture = StoreFixture()
    fixture.answer(5)
    fixture.answer(3, make_row("old", 3, {}))
    follower, listener = start_follower(fixture)
    assert listener.received == [("all", [])]
    assert follower.version == 5


# the table was read whole again as fast as the store answered
def test_whole_reads_back_off_while_the_change_history_is_gone_each_time() -> None:
    fixture = StoreFixture()
    for _ in range(300):
        fixture.answer(5)
        fixture.answer(0, status=410)
    start_follower(fixture)
    fixture.pass_time(10)
    assert 20 <= len(fixture.pool.calls) <= 80


# a store that answered at once, without changes, was called again without a pause
def test_answers_at_once_without_changes_are_not_asked_for_in_a_busy_loop() -> None:
    fixture = StoreFixture()
    for _ in range(600):
        fixture.answer(5)
    start_follower(fixture)
    fixture.pass_time(10)
    assert 50 <= len(fixture.pool.calls) <= 102


def test_calls_to_an_unavailable_store_back_off() -> None:
    fixture = StoreFixture()
    fixture.pool.answers.extend([None] * 100)
    start_follower(fixture)
    assert fixture.rows.state is StoreState.LOST
    for _ in range(100):
        fixture.time.advance(0.1)
    assert 8 <= len(fixture.pool.calls) <= 30


def test_a_restarted_follower_calls_the_store_once_and_at_once() -> None:
    fixture = StoreFixture()
    fixture.answer(5)
    follower, _ = start_follower(fixture)
    before = len(fixture.pool.calls)
    follower.restart()
    fixture.time.advance(5)
    assert len(fixture.pool.calls) == before + 1


def watch(members: MembersService) -> list[tuple[str, bool]]:
    seen: list[tuple[str, bool]] = []

    def take(old: Member | None, new: Member | None) -> None:
        member = new or old
        assert member is not None
        seen.append((member.id, new is not None))

    members.watch(take)
    return seen


def test_a_row_removed_while_the_store_is_available_is_dropped_at_once() -> None:
    fixture = StoreFixture()
    members = MembersService(fixture.kernel)
    fixture.answer(1, make_row("a", 1, SERVER_ROW))
    fixture.answer(2, make_row("a", 2, None))
    seen = watch(members)
    members.start()
    assert seen == [("a", True), ("a", False)]


def test_a_row_that_expired_in_a_store_outage_may_return() -> None:
    store = BreakingStore()
    fixture = StoreFixture(store)
    members = MembersService(fixture.kernel)
    for key in ("back", "gone"):
        store.put("servers", key, SERVER_ROW)
    members.start()
    store.is_down = True
    store.break_connections()
    fixture.pass_time(3)
    seen = watch(members)
    for key in ("back", "gone"):
        store.put("servers", key, None)
    store.is_down = False
    while fixture.rows.state is StoreState.LOST:
        fixture.pass_time(STEP_SECONDS)
    fixture.pass_time(1.9)
    assert members.find(BackendId("gone")) is not None
    store.put("servers", "back", SERVER_ROW)
    fixture.pass_time(0.5)
    assert seen == [("gone", False)]
    fixture.pass_time(5)
    assert members.find(BackendId("back")) is not None


def start_late_store(*keys: str) -> tuple[StoreFixture, BreakingStore, MembersService]:
    """Return the rows of servers in a store that has begun to answer a second late."""
    store = BreakingStore()
    fixture = StoreFixture(store)
    store.clock = fixture.kernel.clock
    members = MembersService(fixture.kernel)
    for key in keys:
        store.put("servers", key, SERVER_ROW)
    members.start()
    store.late_by = timedelta(seconds=1)
    fixture.pass_time(7)
    return fixture, store, members


# servers whose heartbeats reached a slow store late vanished, though no call to it had failed
def test_a_row_that_expired_while_the_store_answered_late_may_return() -> None:
    fixture, store, members = start_late_store("back", "gone")
    seen = watch(members)
    for key in ("back", "gone"):
        store.put("servers", key, None)
    fixture.pass_time(4)
    assert seen == []
    store.put("servers", "back", SERVER_ROW)
    fixture.pass_time(2)
    store.late_by = timedelta(0)
    fixture.pass_time(15)
    assert seen == [("gone", False)]


def test_a_server_kept_for_late_answers_stays_in_an_outage_that_follows() -> None:
    fixture, store, members = start_late_store("a")
    store.put("servers", "a", None)
    fixture.pass_time(1.5)
    store.is_down = True
    store.break_connections()
    fixture.pass_time(30)
    assert members.find(BackendId("a")) is not None


def start_short_outage(*keys: str) -> tuple[StoreFixture, BreakingStore, MembersService]:
    """Return the rows of servers in a store that was out of reach and has just come back."""
    store = BreakingStore()
    fixture = StoreFixture(store)
    members = MembersService(fixture.kernel)
    for key in keys:
        store.put("servers", key, SERVER_ROW)
    members.start()
    store.is_down = True
    store.break_connections()
    fixture.pass_time(1)
    store.is_down = False
    while fixture.rows.state is StoreState.LOST:
        fixture.pass_time(STEP_SECONDS)
    return fixture, store, members


# a server that left just after an outage was kept for as long as the next one lasted
@pytest.mark.parametrize("calm", [0.2, 0.5, 1.0])
@pytest.mark.parametrize("down", [0.3, 0.6, 30])
def test_a_server_that_left_between_outages_is_gone_in_time(down: float, calm: float) -> None:
    fixture, store, members = start_short_outage("a", "b", "c", "leaves")
    store.put("servers", "leaves", None)
    fixture.pass_time(calm)
    left = BOUNDS.drain.total_seconds() - calm
    while left > STEP_SECONDS:
        store.is_down = True
        store.break_connections()
        fixture.pass_time(min(down, left))
        store.is_down = down > left
        fixture.pass_time(min(0.2, max(0.0, left - down)))
        left -= down + 0.2
    assert members.find(BackendId("leaves")) is None
    assert len(members.list_members(ServiceGroup("s"))) == 3


def test_servers_whose_rows_all_expired_are_kept_in_the_next_outage() -> None:
    fixture, store, members = start_short_outage("a", "b", "c", "d")
    for key in ("a", "b", "c"):
        store.put("servers", key, None)
    fixture.pass_time(0.5)
    store.is_down = True
    store.break_connections()
    fixture.pass_time(30)
    assert len(members.list_members(ServiceGroup("s"))) == 4


# a store that is always slow must not keep servers that are gone
def test_a_server_without_a_row_is_not_kept_for_ever_while_the_store_answers_late() -> None:
    fixture, store, members = start_late_store("gone")
    store.put("servers", "gone", None)
    fixture.pass_time(14)
    assert members.find(BackendId("gone")) is None


def make_configuration_rows(version: int) -> list[RowChange]:
    return [RowChange("config", json.dumps({"version": version, **CONFIG}).encode(), version)]


def test_older_and_invalid_configurations_are_skipped() -> None:
    fixture = StoreFixture()
    service = ConfigurationService(fixture.kernel)
    service.change_rows(make_configuration_rows(7))
    service.change_rows(make_configuration_rows(5))
    service.change_rows([RowChange("config", b"{", 8)])
    assert service.version == 7
    service.change_rows(make_configuration_rows(9))
    assert service.version == 9


def test_refreshes_at_the_same_instant_share_one_read() -> None:
    fixture = StoreFixture()
    service = ConfigurationService(fixture.kernel)
    fixture.answer(1)
    answers: list[bool] = []
    for _ in range(5):
        service.refresh().addCallback(answers.append)
    assert answers == [True] * 5
    assert len(fixture.pool.calls) == 1
    fixture.time.advance(0.1)
    fixture.pool.answers.append(None)
    service.refresh().addCallback(answers.append)
    assert answers[-1] is False


def test_an_error_while_writing_this_hosts_row_is_logged_and_retried() -> None:
    fixture = StoreFixture()
    fixture.kernel.settings.host, fixture.kernel.settings.peers = "h1", "127.0.0.1:9"
    lines: list[dict[str, Any]] = []
    take = lines.append
    add_destinations(take)
    peers = PeersService(fixture.kernel)
    written: list[str] = []

    async def write(_table: str, rows: Sequence[RowWrite]) -> int:
        written.append(rows[0].key)
        raise OSError("no more files")

    fixture.rows.write = write  # type: ignore[assignment]
    try:
        for _ in range(2):
            peers.change_rows([RowChange("h1", None, len(written) + 1)])
    finally:
        remove_destination(take)
    assert written == ["h1", "h1"]
    logged = [line for line in lines if line["message_type"] == "peers:not_entered"]
    assert len(logged) == 2
    assert "no more files" in logged[0]["error"]


def test_a_peer_report_with_an_unknown_role_is_logged_and_ignored() -> None:
    fixture = StoreFixture()
    fixture.kernel.settings.host, fixture.kernel.settings.peers = "h1", "127.0.0.1:9"
    peers = PeersService(fixture.kernel)
    lines: list[dict[str, Any]] = []
    take = lines.append
    # eliot keeps what other tests log for the first destination
    add_destinations(take)
    lines.clear()
    try:
        peers._take_datagram(
            msgspec.msgpack.encode(["h2", "b", 1, {}, {}, {"dec-1": "nonsense"}, {}])
        )
        peers._take_datagram(
            msgspec.msgpack.encode(["h2", "b", 1, {}, {}, {"dec-1": "decode"}, {}])
        )
    finally:
        remove_destination(take)
    assert [line["message_type"] for line in lines] == ["peers:unreadable"]


class SentReports:
    """Counts datagrams in the place of a UDP transport."""

    def __init__(self) -> None:
        self.sent = 0

    def write(self, _data: bytes, _address: tuple[str, int]) -> None:
        self.sent += 1


class RefusingTransport:
    """Takes no datagram, as a UDP transport does with one that is too long."""

    def write(self, _data: bytes, _address: tuple[str, int]) -> None:
        raise MessageLengthError


# the error ended the timer: the host told nothing more until it was restarted
def test_a_report_that_is_too_long_does_not_end_the_reports_after_it() -> None:
    fixture, peers, sent = start_peers(3)
    peers._report_protocol.transport = RefusingTransport()  # type: ignore[assignment]
    peers._tick()
    peers.report_soon()
    fixture.time.advance(1.0)
    peers._report_protocol.transport = sent  # type: ignore[assignment]
    fixture.time.advance(1.0)
    assert sent.sent


def start_peers(hosts: int) -> tuple[StoreFixture, PeersService, SentReports]:
    fixture = StoreFixture()
    fixture.kernel.settings.host, fixture.kernel.settings.peers = "h0", "127.0.0.1:9"
    peers, reports = PeersService(fixture.kernel), SentReports()
    peers._report_protocol.transport = reports  # type: ignore[assignment]
    rows = [
        RowChange(f"h{n}", msgspec.json.encode({"address": "127.0.0.1:1", "boot": "b"}), n)
        for n in range(1, hosts)
    ]
    peers.change_rows(rows)
    return fixture, peers, reports


def test_brief_reservations_are_not_reported_soon_in_a_large_fleet() -> None:
    for hosts, expected in ((5, 4), (68, 0)):
        fixture, peers, reports = start_peers(hosts)
        peers.report_soft_change(brief=True)
        fixture.time.advance(0.05)
        assert reports.sent == expected
    peers.report_soon()
    fixture.time.advance(0.05)
    assert reports.sent == 67


def test_regular_reports_are_rarer_with_more_hosts_and_after_early_ones() -> None:
    fixture, peers, reports = start_peers(68)
    peers._tick()
    for _ in range(40):
        fixture.time.advance(0.25)
    regular = reports.sent
    assert 9 * 67 <= regular <= 11 * 67
    reports.sent = 0
    for _ in range(10):
        peers.report_soon()
        for _ in range(4):
            fixture.time.advance(0.25)
    assert reports.sent <= 12 * 67


# a process that ran unheard before this one was taken for the last one that the others had heard
def test_a_host_tells_which_process_wrote_its_row_before() -> None:
    row = RowChange("h0", msgspec.json.encode({"address": "127.0.0.1:9", "boot": "before"}), 1)
    for rows, previous in (([row], "before"), ([], "")):
        fixture, peers, _ = start_peers(2)
        written: list[RowWrite] = []

        async def write(_table: str, rows: Sequence[RowWrite], into: Any = written) -> int:
            into.extend(rows)
            return 2

        fixture.rows.write = write  # type: ignore[assignment]
        peers.replace_rows(rows)
        own = RowChange("h0", written[0].value, 2)
        peers.replace_rows([own])
        assert (peers.previous, len(written)) == (previous, 1)


def test_a_host_goes_first_by_name_only_after_the_silence_that_is_asked_for() -> None:
    fixture, peers, _ = start_peers(2)
    peers._host = HostId("h2")
    peers._tick()
    peers._take_datagram(msgspec.msgpack.encode(PeerReport(HostId("h1"), BOOT, VERSION, {}, {})))
    silence = timedelta(seconds=3)
    found = []
    for _ in range(4):
        found.append((peers.is_first_by_name(), peers.is_first_by_name(silence)))
        fixture.pass_time(1.2)
    assert found == [(False, False), (True, False), (True, False), (True, True)]


# a suspended host took its own suspension for the others' silence and removed their rows
def test_a_suspension_of_this_host_is_no_silence_of_the_others() -> None:
    fixture, peers, _ = start_peers(3)
    removed: list[str] = []

    async def write(_table: str, rows: Sequence[RowWrite]) -> int:
        removed.extend(row.key for row in rows)
        return 1

    fixture.rows.write = write  # type: ignore[assignment]
    peers._tick()
    for host in ("h1", "h2"):
        report = PeerReport(HostId(host), BOOT, VERSION, {}, {})
        peers._take_datagram(msgspec.msgpack.encode(report))
    for seconds in (1.5, 12.0):
        fixture.time.advance(seconds)
        assert (peers.count_reporting(), removed) == (2, [])
    fixture.pass_time(1.2)
    assert peers.count_reporting() == 0
    fixture.pass_time(9.5)
    assert sorted(removed) == ["h1", "h2"]


# each late turn of a busy loop counted as a suspension, so silent peers were noticed late or never
@pytest.mark.parametrize("seconds", [0.6, 1.4])
def test_a_loop_that_is_always_late_notices_silent_peers_and_keeps_sound_ones(
    seconds: float,
) -> None:
    fixture, peers, _ = start_peers(3)
    removed: list[str] = []
    lines: list[dict[str, Any]] = []

    async def write(_table: str, rows: Sequence[RowWrite]) -> int:
        removed.extend(row.key for row in rows)
        return 1

    def report(host: str) -> None:
        sent = PeerReport(HostId(host), BOOT, VERSION, {}, {})
        peers._take_datagram(msgspec.msgpack.encode(sent))

    fixture.rows.write = write  # type: ignore[assignment]
    peers._tick()
    report("h2")
    add_destinations(lines.append)
    try:
        for _ in range(math.ceil((REMOVED_AFTER.total_seconds() + 6 * seconds) / seconds)):
            # the timers run late, then what has come is read
            fixture.time.advance(seconds)
            report("h1")
    finally:
        remove_destination(lines.append)
    assert {line["peer"] for line in lines if line["message_type"] == "peers:lost"} == {"h2"}
    assert set(removed) == {"h2"}


def test_one_follower_finds_out_when_the_store_is_back_for_all() -> None:
    fixture = StoreFixture()
    fixture.pool.answers.extend([None] * 300)
    tables = ["t1", "t2", "t3"]
    for table in tables:
        start_follower(fixture, table)
    for _ in range(100):
        fixture.time.advance(0.1)
    assert len(fixture.pool.calls) <= 45
    fixture.pool.answers.clear()
    fixture.answer(7)
    before = len(fixture.pool.calls)
    while fixture.rows.state is StoreState.LOST:
        fixture.time.advance(0.1)
    called = fixture.pool.calls[before:]
    assert [table for table in tables if not any(f"table={table}" in call for call in called)] == []


def start_members(fixture: StoreFixture, store: BreakingStore) -> Callable[[], bool]:
    """Follow the rows of servers; return whether a server that leaves is known to leave."""
    members = MembersService(fixture.kernel)
    store.put("servers", "a", SERVER_ROW)
    members.start()

    def knows_change() -> bool:
        member = members.find(BackendId("a"))
        return member is not None and member.state is MemberState.LEAVING

    return knows_change


def start_configuration(fixture: StoreFixture, store: BreakingStore) -> Callable[[], bool]:
    """Follow the configuration; return whether its second version is in force."""
    configuration = ConfigurationService(fixture.kernel)
    store.put("op", "config", {"version": 1, **CONFIG})
    configuration.start()
    return lambda: configuration.version == 2


# a call for changes that fell into 0.3 s of a silent store was given up after 6.5 s, and calls
# reached a server that had left for longer than the bound allows
@pytest.mark.parametrize(("contact", "known_within"), [(3, 2), (4, 3), (5, 4), (2, 2)])
@pytest.mark.parametrize("start", [start_members, start_configuration])
@pytest.mark.parametrize("lost_after", [0.0, 0.25])
def test_a_change_is_known_in_time_though_a_call_for_changes_was_lost(
    lost_after: float,
    start: Callable[[StoreFixture, BreakingStore], Callable[[], bool]],
    contact: float,
    known_within: float,
) -> None:
    store = BreakingStore()
    fixture = StoreFixture(store)
    bounds = fixture.kernel.find("bounds", BoundsService)
    delay = timedelta(seconds=known_within)
    bounds.apply(
        replace(bounds.current, contact=timedelta(seconds=contact), drain=delay, adoption=delay)
    )
    store.clock = fixture.kernel.clock
    knows_change = start(fixture, store)
    fixture.pass_time(0.5)
    store.is_silent = True
    fixture.pass_time(lost_after)
    # the followers get a change and call anew, which falls into the silence
    for table in ("servers", "op"):
        store.put(table, "other", None)
    fixture.pass_time(SILENCE_SECONDS - lost_after)
    store.is_silent = False
    fixture.pass_time(contact)
    store.put("servers", "a", SERVER_ROW | {"state": "draining"})
    store.put("op", "config", {"version": 2, **CONFIG})
    fixture.pass_time(known_within - 0.1)
    assert knows_change()


# on a full link each new connection took more than 200 ms, so the store counted as lost
@pytest.mark.parametrize("connecting", [0.1, 0.7, 1.2])
def test_a_store_that_is_slow_to_connect_to_is_reached(connecting: float) -> None:
    fixture, reactor = StoreFixture(), MemoryReactorClock()
    clock = ReactorClock(reactor, START, zero=0.0)
    fixture.rows._pool = ConnectionPool(clock, reactor)
    pages: list[RowPage] = []
    Deferred.fromCoroutine(fixture.rows.read("t")).addCallback(pages.append)
    [(_, _, factory, timeout, _)] = reactor.tcpClients
    reactor.advance(connecting)
    assert connecting < timeout
    connection: Any = factory.buildProtocol(None)
    connection.makeConnection(MagicMock())
    body = json.dumps({"rows": [], "ver": 3, "truncated": False, "now-ms": 1})
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
    connection.dataReceived(head.encode() + body.encode())
    assert [page.version for page in pages] == [3]
    assert fixture.rows.state is StoreState.REACHED


def test_changes_that_come_together_are_read_together() -> None:
    fixture = StoreFixture()
    listener = RecordingListener()
    follower = TableFollower(
        fixture.rows,
        "t",
        listener,
        fixture.kernel.clock,
        fixture.kernel.random_source,
        lambda: timedelta(seconds=1),
    )
    fixture.answer(5)
    fixture.answer(6, make_row("a", 6, {}))
    follower.start()
    calls = len(fixture.pool.calls)
    fixture.time.advance(0.9)
    assert len(fixture.pool.calls) == calls
    fixture.time.advance(0.2)
    assert len(fixture.pool.calls) == calls + 1


# the pause in which changes collect grew with the hosts and had no bound
def test_a_new_host_is_known_within_three_seconds_in_a_large_fleet() -> None:
    store = BreakingStore()
    fixture = StoreFixture(store)
    fixture.kernel.settings.host, fixture.kernel.settings.peers = "h0", "127.0.0.1:9"
    row = {"address": "127.0.0.1:1", "boot": "b"}
    for number in range(1, LARGE_FLEET):
        store.put("lavenderrun-gateways", f"h{number}", row)
    peers = PeersService(fixture.kernel)
    peers.follower.start()
    store.put("lavenderrun-gateways", "h1", {**row, "boot": "c"})
    store.put("lavenderrun-gateways", "new", row)
    fixture.pass_time(3)
    assert peers.find_address(HostId("new")) is not None


# a store that refused the reads of 300 starting hosts counted as lost, and servers as lapsed
def test_refused_reads_are_no_outage_and_are_retried_ever_more_slowly() -> None:
    fixture = StoreFixture()
    for _ in range(200):
        fixture.answer(0, status=429)
    start_follower(fixture, "t")
    fixture.pass_time(10)
    refused = len(fixture.pool.calls)
    assert 8 <= refused <= 20
    assert (fixture.rows.state, fixture.rows.outage_ended) == (StoreState.UNKNOWN, None)
    fixture.pool.answers.clear()
    fixture.answer(7)
    fixture.pass_time(1.6)
    assert fixture.rows.state is StoreState.REACHED
    assert fixture.rows.outage_ended is None


def test_the_pauses_of_refused_hosts_differ() -> None:
    times = set()
    for seed in range(20):
        fixture = StoreFixture(seed=seed)
        for _ in range(3):
            fixture.answer(0, status=429)
        start_follower(fixture, "t")
        while len(fixture.pool.calls) < 3:
            fixture.time.advance(0.005)
        times.add(round(fixture.time.seconds(), 3))
    assert len(times) >= 15


# each of 200 hosts removed the rows of 100 lost ones: 20,000 writes at once
def test_rows_of_silent_hosts_are_removed_by_the_first_hosts_by_name() -> None:
    written = {}
    for own in ("h000", "h150"):
        fixture, peers, _ = start_peers(1)
        peers._host = HostId(own)
        removed: list[str] = []

        async def write(_table: str, rows: Sequence[RowWrite], into: list[str] = removed) -> int:
            into.extend(row.key for row in rows)
            return 1

        fixture.rows.write = write  # type: ignore[assignment, method-assign]
        names = [f"h{n:03}" for n in range(200) if f"h{n:03}" != own]
        value = msgspec.json.encode({"address": "127.0.0.1:1", "boot": "b"})
        peers.change_rows([RowChange(name, value, n) for n, name in enumerate(names, 1)])
        peers._tick()
        for step in range(64):
            for name in names[:100]:
                report = PeerReport(HostId(name), BOOT, VERSION, {}, {})
                peers._take_datagram(msgspec.msgpack.encode(report))
            fixture.pass_time(0.25)
            if step == 45:
                written[own] = len(removed)
        assert set(removed) <= set(names[100:])
    assert written["h000"] > 0
    assert written["h150"] == 0
