"""How long verdicts in the store hold."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace

import pytest
from entry_links import EntryLinks
from twisted.internet.task import Clock as FakeTime

from lavenderrun.codecs import RowCodec
from lavenderrun.decisions import GUILTY_MEMORY, MAX_CRASHES
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services._quarantine import TABLE, QuarantineService
from lavenderrun.standins import MemoryStore, TableCore
from lavenderrun.types import (
    AccountId,
    AttemptId,
    Fingerprint,
    HostRole,
    QuarantineRow,
    QuarantineVerdict,
    RequestId,
    RouteName,
    Strike,
)

START = datetime(2026, 1, 1, tzinfo=UTC)
PRINT = Fingerprint("f")


class Fixture:
    """Entries that share a store."""

    def __init__(self) -> None:
        self.time = FakeTime()
        self.core = TableCore()
        self.entries: list[QuarantineService] = []
        self.links: list[EntryLinks] = []

    def start_entry(self) -> QuarantineService:
        clock = ReactorClock(self.time, START, zero=0.0)
        hello = SimpleNamespace(host=f"e{len(self.entries)}")
        kernel = Kernel(clock, SimpleNamespace(hello=lambda: hello), Random(1))
        links = EntryLinks()
        kernel.provide("links", links)
        kernel.provide("store", MemoryStore(clock, self.core))
        entry = QuarantineService(kernel)
        entry.start()
        self.entries.append(entry)
        self.links.append(links)
        self.advance(1)
        return entry

    def link_up(self, first: int, second: int) -> None:
        """Let two entries tell each other what they know."""
        for here, there in ((first, second), (second, first)):
            handlers = self.links[there].handlers
            peer = SimpleNamespace(role=HostRole.ENTRY, host=f"e{there}")
            send = lambda message, to=handlers: to[type(message)](None, message)  # noqa: E731
            self.links[here].on_up(SimpleNamespace(peer=peer, send=send))

    def advance(self, seconds: float) -> None:
        # calls to the store take three steps
        steps = max(4, round(seconds / 30))
        self.time.pump([seconds / steps] * steps)

    def strike(self, entry: QuarantineService, number: int) -> None:
        entry.record_strike(
            Strike(
                PRINT, RequestId(f"r{number}"), AttemptId(1), AccountId("a"), RouteName("orders")
            )
        )
        self.advance(1)

    def make_guilty(self, entry: QuarantineService, first: int = 0) -> None:
        for number in range(first, first + MAX_CRASHES):
            self.strike(entry, number)

    def list_guilty(self) -> list[bool]:
        verdicts = (entry.find_verdict(PRINT) for entry in self.entries)
        return [verdict is QuarantineVerdict.GUILTY for verdict in verdicts]


# each read of the store began the time of a verdict anew, so calls were refused for ever
def test_a_verdict_ends_on_all_entries_and_leaves_the_store() -> None:
    fixture = Fixture()
    fixture.make_guilty(fixture.start_entry())
    fixture.advance(GUILTY_MEMORY.total_seconds() / 2)
    fixture.start_entry()
    assert fixture.list_guilty() == [True, True]
    fixture.advance(GUILTY_MEMORY.total_seconds() / 2 + 120)
    assert fixture.list_guilty() == [False, False]
    assert fixture.core.scan(TABLE) == []
    fixture.start_entry()
    assert fixture.list_guilty() == [False, False, False]


# entries whose links came up again told each other of strikes as if they had just happened
def test_entries_that_link_up_again_do_not_prolong_a_verdict() -> None:
    fixture = Fixture()
    fixture.make_guilty(fixture.start_entry())
    for _ in range(4):
        fixture.start_entry()
        fixture.link_up(len(fixture.entries) - 2, len(fixture.entries) - 1)
        assert all(fixture.list_guilty())
        fixture.advance(GUILTY_MEMORY.total_seconds() / 4)
    fixture.advance(120)
    assert not any(fixture.list_guilty())


def test_a_verdict_on_a_fingerprint_that_was_guilty_before_is_stored() -> None:
    fixture = Fixture()
    first = fixture.start_entry()
    fixture.make_guilty(first)
    first.stop()
    fixture.advance(GUILTY_MEMORY.total_seconds() + 1)
    fixture.make_guilty(first, first=10)
    fixture.start_entry()
    assert fixture.list_guilty() == [True, True]
    fixture.advance(GUILTY_MEMORY.total_seconds() - 3600)
    assert fixture.list_guilty() == [True, True]


@pytest.mark.parametrize("written", [None, START + timedelta(hours=1)])
def test_a_row_without_a_time_or_from_a_clock_that_is_ahead_holds_no_longer(
    written: datetime | None,
) -> None:
    fixture = Fixture()
    strikes = [
        Strike(PRINT, RequestId(f"r{n}"), AttemptId(1), AccountId("a"), RouteName("orders"))
        for n in range(MAX_CRASHES)
    ]
    row = RowCodec(TABLE).encode(QuarantineRow(strikes, written))
    fixture.core.put(TABLE, PRINT, row, expect=0)
    fixture.start_entry()
    assert fixture.list_guilty() == [True]
    fixture.advance(GUILTY_MEMORY.total_seconds() + 3600 + 180)
    assert fixture.list_guilty() == [False]
    assert fixture.core.scan(TABLE) == []


def make_strikes(name: Fingerprint, age: timedelta = timedelta(0)) -> list[Strike]:
    return [
        Strike(name, RequestId(f"r{n}"), AttemptId(1), AccountId("a"), RouteName("orders"), age=age)
        for n in range(MAX_CRASHES)
    ]


# one row with a time of day without its zone, or an age without bounds, ended all reading of rows
@pytest.mark.parametrize(
    ("age", "written"),
    [
        (timedelta(0), START.replace(tzinfo=None)),
        (timedelta(days=999_999_000), START),
        (timedelta(days=-3_000_000), START),
    ],
)
def test_an_odd_row_does_not_keep_others_from_being_read(age: timedelta, written: datetime) -> None:
    fixture = Fixture()
    codec = RowCodec(TABLE)
    odd = QuarantineRow(make_strikes(Fingerprint("a"), age), written)
    fixture.core.put(TABLE, "a", codec.encode(odd), expect=0)
    row = codec.encode(QuarantineRow(make_strikes(PRINT), START))
    fixture.core.put(TABLE, PRINT, row, expect=0)
    fixture.start_entry()
    fixture.advance(300)
    assert fixture.list_guilty() == [True]


@pytest.mark.parametrize("days", [-300, 999_999_000])
def test_an_age_without_bounds_prolongs_no_verdict(days: int) -> None:
    fixture = Fixture()
    entry = fixture.start_entry()
    for strike in make_strikes(PRINT, timedelta(days=days)):
        fixture.links[0].handlers[Strike](None, strike)
    fixture.advance(GUILTY_MEMORY.total_seconds() + 60)
    assert entry.find_verdict(PRINT) is QuarantineVerdict.CLEAR


# an entry whose link was down when an operator released a fingerprint brought the verdict back
def test_a_released_verdict_does_not_come_back() -> None:
    fixture = Fixture()
    first = fixture.start_entry()
    fixture.start_entry()
    fixture.make_guilty(first)
    fixture.link_up(0, 1)
    assert fixture.list_guilty() == [True, True]
    first.release(PRINT)
    fixture.advance(200)
    fixture.link_up(0, 1)
    assert fixture.list_guilty() == [False, False]
    fixture.make_guilty(first, first=10)
    assert fixture.list_guilty() == [True, False]


def test_a_suspect_counts_only_crashes_that_follow_each_other() -> None:
    fixture = Fixture()
    entry = fixture.start_entry()
    fixture.strike(entry, 0)
    fixture.strike(entry, 1)
    fixture.advance(11 * 60)
    assert entry.find_verdict(PRINT) is QuarantineVerdict.CLEAR
    fixture.strike(entry, 2)
    assert entry.find_verdict(PRINT) is QuarantineVerdict.SUSPECT
    assert entry.find_suspect_limit(PRINT) == 4
