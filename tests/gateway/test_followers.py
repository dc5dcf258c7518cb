from __future__ import annotations

import json
from collections import deque
from collections.abc import Sequence
from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace
from typing import Any

import msgspec
from eliot import add_destinations, remove_destination
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeTime

from lavenderrun.gateway import GATEWAY_SERVICES, HttpRequest
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._follower import Follower
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._ports import RowChange, RowWrite
from lavenderrun.gateway._rows import RowStore, StoreState
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.platform._store import TableDialect
from lavenderrun.types import BackendId, Member

START = datetime(2026, 1, 1, tzinfo=UTC)
ENTRY = {"service": "s", "addr": "127.0.0.1:1", "zone": "here", "state": "ready", "slots": 4}
CONFIG: dict[str, Any] = {"routes": [], "services": [], "limits": {}, "tenants": []}


class Pool:
    """Answers calls to the store from a list; ``None`` is no answer, nothing is a wait."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.answers: deque[tuple[int, dict[str, Any]] | None] = deque()

    async def fetch(
        self, _address: str, call: HttpRequest, _timeout: timedelta
    ) -> tuple[int, bytes] | None:
        self.calls.append(call.target)
        if not self.answers:
            never: Deferred[None] = Deferred()
            await never
        found = self.answers.popleft()
        return None if found is None else (found[0], json.dumps(found[1]).encode())


class Bench:
    def __init__(self) -> None:
        self.time = FakeTime()
        clock = ReactorClock(self.time, START, zero=0.0)
        self.kernel = Kernel(clock, SimpleNamespace(store="127.0.0.1:9"), Random(1))
        self.pool = Pool()
        self.kernel.provide("pool", self.pool)
        self.kernel.provide("store_dialect", TableDialect("127.0.0.1:9"))
        self.kernel.build(["stats", "rows"], GATEWAY_SERVICES)
        self.rows = self.kernel.find("rows", RowStore)

    def answer(self, version: int, *rows: dict[str, Any], status: int = 200) -> None:
        body = {"rows": list(rows), "ver": version, "truncated": False, "now-ms": 1}
        self.pool.answers.append((status, body))


def row(key: str, version: int, value: dict[str, Any] | None) -> dict[str, Any]:
    from base64 import b64encode

    found: dict[str, Any] = {"key": key, "ver": version, "part": ""}
    if value is None:
        return found | {"removed": True}
    return found | {"value": b64encode(json.dumps(value).encode()).decode()}


class Reader:
    def __init__(self) -> None:
        self.told: list[tuple[str, list[str]]] = []

    def replace(self, rows: Sequence[RowChange]) -> None:
        self.told.append(("all", [found.key for found in rows]))

    def change(self, rows: Sequence[RowChange]) -> None:
        self.told.append(("some", [found.key for found in rows]))


def follow(bench: Bench) -> tuple[Follower, Reader]:
    reader = Reader()
    follower = Follower(bench.rows, "t", reader, bench.kernel.clock, bench.kernel.random_source)
    follower.start()
    return follower, reader


def test_a_table_is_read_whole_then_by_its_changes() -> None:
    bench = Bench()
    bench.answer(5, row("a", 5, {}))
    bench.answer(6, row("b", 6, {}))
    follower, reader = follow(bench)
    assert reader.told == [("all", ["a"]), ("some", ["b"])]
    assert follower.version == 6
    assert bench.pool.calls[-1].startswith("/api/rows-feed?table=t&after=6&")


def test_history_that_is_gone_leads_to_a_whole_read() -> None:
    bench = Bench()
    bench.answer(5)
    bench.answer(0, status=410)
    bench.answer(9, row("a", 9, {}))
    _, reader = follow(bench)
    assert reader.told == [("all", []), ("all", ["a"])]


def test_an_older_answer_changes_nothing() -> None:
    bench = Bench()
    bench.answer(5)
    bench.answer(3, row("old", 3, {}))
    follower, reader = follow(bench)
    assert reader.told == [("all", [])]
    assert follower.version == 5


def test_a_store_without_answer_is_asked_less_and_less_often() -> None:
    bench = Bench()
    bench.pool.answers.extend([None] * 100)
    follow(bench)
    assert bench.rows.state is StoreState.LOST
    for _ in range(100):
        bench.time.advance(0.1)
    assert 8 <= len(bench.pool.calls) <= 30


def test_a_restarted_follower_asks_at_once_and_only_once() -> None:
    bench = Bench()
    bench.answer(5)
    follower, _ = follow(bench)
    before = len(bench.pool.calls)
    follower.restart()
    bench.time.advance(5)
    assert len(bench.pool.calls) == before + 1


def watch(members: MembersService) -> list[tuple[str, bool]]:
    seen: list[tuple[str, bool]] = []

    def take(old: Member | None, new: Member | None) -> None:
        member = new or old
        assert member is not None
        seen.append((member.id, new is not None))

    members.watch(take)
    return seen


def put(members: MembersService, key: str) -> None:
    members.change([RowChange(key, json.dumps(ENTRY).encode(), 1)])


def test_an_entry_that_vanishes_in_calm_is_gone_at_once() -> None:
    bench = Bench()
    members = MembersService(bench.kernel)
    bench.rows.state = StoreState.REACHED
    bench.time.advance(10)
    put(members, "a")
    seen = watch(members)
    members.change([RowChange("a", None, 2)])
    assert seen == [("a", False)]


def test_an_entry_that_lapsed_with_the_store_may_return() -> None:
    bench = Bench()
    members = MembersService(bench.kernel)
    put(members, "back")
    put(members, "gone")
    bench.rows.state, bench.rows.changed = StoreState.REACHED, bench.kernel.clock.now()
    seen = watch(members)
    members.replace([])
    bench.time.advance(2.0)
    assert members.find(BackendId("gone")) is not None
    put(members, "back")
    bench.time.advance(0.4)
    assert seen == [("gone", False)]
    bench.time.advance(5)
    assert members.find(BackendId("back")) is not None


def configure(version: int) -> list[RowChange]:
    return [RowChange("config", json.dumps({"version": version, **CONFIG}).encode(), version)]


def test_a_configuration_never_goes_back_and_a_faulty_one_is_left_out() -> None:
    bench = Bench()
    service = ConfigurationService(bench.kernel)
    service.change(configure(7))
    service.change(configure(5))
    service.change([RowChange("config", b"{", 8)])
    assert service.version == 7
    service.change(configure(9))
    assert service.version == 9


def test_denials_in_one_instant_share_one_read() -> None:
    bench = Bench()
    service = ConfigurationService(bench.kernel)
    bench.answer(1)
    answers: list[bool] = []
    for _ in range(5):
        service.refresh().addCallback(answers.append)
    assert answers == [True] * 5
    assert len(bench.pool.calls) == 1
    bench.time.advance(0.1)
    bench.pool.answers.append(None)
    service.refresh().addCallback(answers.append)
    assert answers[-1] is False


def test_a_fault_while_a_host_enters_itself_is_told_and_tried_again() -> None:
    bench = Bench()
    bench.kernel.settings.host, bench.kernel.settings.peers = "h1", "127.0.0.1:9"
    lines: list[dict[str, Any]] = []
    take = lines.append
    add_destinations(take)
    peers = PeersService(bench.kernel)
    wrote: list[str] = []

    async def write(_table: str, rows: Sequence[RowWrite]) -> int:
        wrote.append(rows[0].key)
        raise OSError("no more files")

    bench.rows.write = write  # type: ignore[assignment]
    try:
        for _ in range(2):
            peers.change([RowChange("h1", None, len(wrote) + 1)])
    finally:
        remove_destination(take)
    assert wrote == ["h1", "h1"]
    told = [line for line in lines if line["message_type"] == "peers:not_entered"]
    assert len(told) == 2
    assert "no more files" in told[0]["error"]


def test_a_report_with_an_unknown_role_is_told_and_left_out() -> None:
    bench = Bench()
    bench.kernel.settings.host, bench.kernel.settings.peers = "h1", "127.0.0.1:9"
    peers = PeersService(bench.kernel)
    lines: list[dict[str, Any]] = []
    take = lines.append
    add_destinations(take)
    try:
        peers._take(msgspec.msgpack.encode(["h2", "b", 1, {}, {}, {"dec-1": "nonsense"}, {}]))
        peers._take(msgspec.msgpack.encode(["h2", "b", 1, {}, {}, {"dec-1": "decode"}, {}]))
    finally:
        remove_destination(take)
    assert [line["message_type"] for line in lines] == ["peers:unreadable"]
