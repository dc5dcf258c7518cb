from __future__ import annotations

import random
from datetime import UTC, datetime, timedelta
from typing import Any

import pytest
from twisted.internet.task import Clock as FakeReactor

from lavenderrun.codecs import RowCodec, RowError, row
from lavenderrun.kernel import ReactorClock
from lavenderrun.services import StoreClient
from lavenderrun.standins import MemoryStore, TableCore, TableFaults
from lavenderrun.types import StoreConflictError, StoreSettings, StoreUnavailableError


class StoreFixture:
    def __init__(self, **settings: Any) -> None:
        self.reactor = FakeReactor()
        self.clock = ReactorClock(self.reactor, datetime(2026, 1, 1, tzinfo=UTC), zero=0.0)
        self.core = TableCore()
        self.faults = TableFaults()
        dialect = MemoryStore(self.clock, self.core, self.faults)
        self.store = StoreClient(self.clock, dialect, StoreSettings(**settings), random.Random(1))

    def run(self, seconds: float) -> None:
        for _ in range(round(seconds * 100)):
            self.reactor.advance(0.01)


def collect(deferred: Any) -> list[Any]:
    results: list[Any] = []
    deferred.addCallbacks(results.append, lambda failure: results.append(failure.value))
    return results


def test_lost_reply_of_a_write_is_settled_by_the_token_of_the_call() -> None:
    fixture = StoreFixture()
    fixture.faults.lost_replies = 2
    results = collect(fixture.store.put("t", "k", b"mine", expect=0))
    fixture.run(5)
    assert results[0].value == b"mine"
    assert results[0].version == 1
    assert fixture.store.counters.settled == 1


def test_lost_reply_of_a_delete_is_settled() -> None:
    fixture = StoreFixture()
    collect(fixture.store.put("t", "k", b"mine", expect=0))
    fixture.run(0.1)
    fixture.faults.lost_replies = 1
    results = collect(fixture.store.delete("t", "k", expect=1))
    fixture.run(5)
    assert results == [None]


def test_a_conflict_that_another_writer_caused_stays_a_conflict() -> None:
    fixture = StoreFixture()
    collect(fixture.store.put("t", "k", b"first", expect=0))
    fixture.run(0.1)
    fixture.faults.lost_replies = 1
    results = collect(fixture.store.put("t", "k", b"second", expect=0))
    fixture.run(5)
    assert isinstance(results[0], StoreConflictError)
    assert results[0].current is not None
    assert results[0].current.value == b"first"


def test_calls_fail_at_their_deadline_in_an_outage_and_succeed_after_it() -> None:
    fixture = StoreFixture()
    fixture.faults.down = True
    results = collect(fixture.store.get("t", "k"))
    fixture.run(6)
    assert isinstance(results[0], StoreUnavailableError)
    fixture.faults.down = False
    results = collect(fixture.store.get("t", "k"))
    fixture.run(1)
    assert results == [None]


def test_full_queue_refuses_at_once_and_calls_in_flight_are_limited() -> None:
    fixture = StoreFixture(in_flight=2, queue=3)
    fixture.faults.down = True
    results = [collect(fixture.store.get("t", "k")) for _ in range(6)]
    fixture.run(0.02)
    assert fixture.store.counters.reads == 2
    assert isinstance(results[5][0], StoreUnavailableError)
    assert not results[4]


def test_throttled_calls_all_succeed_at_the_stated_rate() -> None:
    fixture = StoreFixture(deadline=timedelta(seconds=20))
    fixture.faults.writes_per_second = 10.0
    results = [collect(fixture.store.put("t", f"k{n}", b"", expect=0)) for n in range(40)]
    fixture.run(20)
    assert all(result[0].version == 1 for result in results)
    assert fixture.core.writes == 40


def test_stop_fails_waiting_calls() -> None:
    fixture = StoreFixture(in_flight=1)
    fixture.faults.down = True
    results = [collect(fixture.store.get("t", "k")) for _ in range(3)]
    fixture.run(1.01)
    fixture.store.stop()
    fixture.run(3)
    assert all(isinstance(result[0], StoreUnavailableError) for result in results)
    assert fixture.reactor.getDelayedCalls() == []


def test_bad_row_names_table_key_and_field() -> None:
    import msgspec

    @row("test_rows", 1)
    class TestRow(msgspec.Struct):
        holder: str

    codec = RowCodec("test_rows")
    assert codec.decode("k", codec.encode(TestRow("a"))) == TestRow("a")
    with pytest.raises(RowError, match=r"'k' of table 'test_rows', field \$.holder"):
        codec.decode("k", msgspec.msgpack.encode((1, {"holder": 3})))
    with pytest.raises(RowError, match="unknown version 9; known: 1"):
        codec.decode("k", msgspec.msgpack.encode((9, {"holder": "a"})))
    with pytest.raises(RowError, match="field \\$:"):
        codec.decode("k", b"\xc1")
