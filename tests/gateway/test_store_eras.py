"""The store comes back from an older copy, and gives versions out again."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Any

import pytest
from eliot import add_destinations, remove_destination
from store_fixture import BOUNDS, SERVER_ROW, START, BreakingStore, StoreFixture
from twisted.internet.defer import Deferred

from lavenderrun.dispatch import EraVerdict, HostIncarnation, LeaseKeeper, LeaseTerms, StoredLease
from lavenderrun.dispatch._store_eras import MAX_RISE, StoreEras
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService
from lavenderrun.platform._store import TableDialect
from lavenderrun.types import (
    BackendId,
    BootId,
    FencingNumber,
    HostId,
    LeaseRow,
    MemberState,
    ServiceGroup,
    StoreEra,
)

CONFIG: dict[str, Any] = {"routes": [], "services": [], "limits": {}, "tenants": []}
SERVERS, HOSTS, OPERATORS = "servers", "lavenderrun-gateways", "op"
REWRITE_SECONDS = 2.0
ROW = {**SERVER_ROW, "born": 1}
NEXT_ROW = {**SERVER_ROW, "born": 2}
DRAIN_SECONDS = BOUNDS.drain.total_seconds()


class Host:
    """The services of a host that read tables of a store which can go back."""

    def __init__(self) -> None:
        self.store = BreakingStore()
        self.fixture = StoreFixture(self.store)
        self.store.clock = self.fixture.kernel.clock
        self.store.headers = [("Store-Era", "0")]
        settings = self.fixture.kernel.settings
        settings.host, settings.peers = "h1", "127.0.0.1:9"
        for key in ("a", "b", "c"):
            self.store.put(SERVERS, key, ROW)
        self.store.put(OPERATORS, "config", {"version": 1, **CONFIG})
        self.members = MembersService(self.fixture.kernel)
        self.configuration = ConfigurationService(self.fixture.kernel)
        self.peers = PeersService(self.fixture.kernel)
        self.members.start()
        self.configuration.start()
        self.peers.follower.start()
        self.fixture.pass_time(5)

    def find_state(self, key: str) -> MemberState | None:
        member = self.members.find(BackendId(key))
        return None if member is None else member.state

    def count_ready(self) -> int:
        members = self.members.list_members(ServiceGroup("s"))
        return sum(member.state is MemberState.READY for member in members)


# the counter had passed the version that the host knew, so it went on from there and never read
# what was written between
@pytest.mark.parametrize("others", [0, 1, 2, 3, 10, 40])
def test_what_is_written_after_a_return_is_read_wherever_the_counter_is(others: int) -> None:
    host = Host()
    copy = host.store.copy()
    for number in range(3):
        host.store.put(SERVERS, f"lost-{number}", ROW)
    host.fixture.pass_time(0.5)
    host.store.is_down = True
    host.store.go_back(copy)
    host.store.put(SERVERS, "a", {**ROW, "state": "draining"})
    host.store.put(OPERATORS, "config", {"version": 2, **CONFIG})
    for number in range(others):
        host.store.put("other", f"row-{number}", {})
    host.fixture.pass_time(0.3)
    host.store.is_down = False
    host.fixture.pass_time(DRAIN_SECONDS)
    assert host.find_state("a") is MemberState.LEAVING
    assert host.configuration.version == 2


# each call that waits must end, not only the one that hears of the era
def test_a_return_without_an_outage_is_noticed_by_all_followers() -> None:
    host = Host()
    copy = host.store.copy()
    host.store.put(SERVERS, "lost", ROW)
    host.fixture.pass_time(0.5)
    host.store.go_back(copy)
    host.fixture.pass_time(1)
    host.store.put(SERVERS, "a", {**ROW, "state": "draining"})
    host.store.put(OPERATORS, "config", {"version": 2, **CONFIG})
    host.fixture.pass_time(0.5)
    assert host.find_state("a") is MemberState.LEAVING
    assert host.configuration.version == 2


def test_a_copy_undoes_nothing_that_is_newer() -> None:
    host = Host()
    copy = host.store.copy()
    host.store.put(SERVERS, "a", {**ROW, "state": "draining"})
    host.store.put(SERVERS, "b", None)
    host.store.put(SERVERS, "c", NEXT_ROW)
    host.store.put(OPERATORS, "config", {"version": 2, **CONFIG})
    host.fixture.pass_time(1)
    host.store.go_back(copy)
    for _ in range(20):
        host.fixture.pass_time(0.1)
        assert host.find_state("a") is MemberState.LEAVING
        assert host.find_state("b") is None
        member = host.members.find(BackendId("c"))
        assert member is not None
        assert member.started == 2
        assert host.configuration.version == 2


def test_a_server_whose_row_was_being_kept_does_not_come_back_by_the_copy() -> None:
    host = Host()
    copy = host.store.copy()
    host.store.is_down = True
    host.store.break_connections()
    host.fixture.pass_time(1)
    host.store.is_down = False
    host.fixture.pass_time(0.8)
    host.store.put(SERVERS, "a", None)
    host.fixture.pass_time(0.4)
    assert host.find_state("a") is MemberState.READY
    host.store.go_back(copy)
    host.fixture.pass_time(REWRITE_SECONDS)
    assert host.find_state("a") is None


def test_a_server_that_the_copy_lacks_is_kept_until_it_can_have_written_its_row_again() -> None:
    host = Host()
    copy = host.store.copy()
    host.store.put(SERVERS, "back", ROW)
    host.store.put(SERVERS, "gone", ROW)
    host.fixture.pass_time(1)
    host.store.go_back(copy)
    host.fixture.pass_time(REWRITE_SECONDS - 0.3)
    assert host.count_ready() == 5
    host.store.put(SERVERS, "back", ROW)
    host.fixture.pass_time(0.5)
    assert (host.find_state("back"), host.find_state("gone")) == (MemberState.READY, None)


def test_a_server_that_returns_after_a_copy_brought_back_its_old_row_is_known_again() -> None:
    host = Host()
    copy = host.store.copy()
    host.store.put(SERVERS, "b", None)
    host.fixture.pass_time(3)
    host.store.go_back(copy)
    host.fixture.pass_time(1)
    assert host.find_state("b") is None
    host.store.put(SERVERS, "b", {**ROW, "seq": 9})
    host.fixture.pass_time(0.5)
    assert host.find_state("b") is MemberState.READY


@pytest.mark.parametrize("times", [1, 2, 5])
def test_a_host_writes_its_own_row_again(times: int) -> None:
    host = Host()
    copy = host.store.copy()
    host.peers._announce()
    host.fixture.pass_time(1)
    for _ in range(times):
        host.store.go_back(copy)
        host.fixture.pass_time(1)
        assert host.store.copy()[1][HOSTS, "h1"][0] > copy[0]


# a host that was stopped just after a return wrote its row again after it had removed it
def test_a_host_that_has_stopped_does_not_write_its_row_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = Host()
    copy = host.store.copy()
    # hosts write their rows again one after the other
    monkeypatch.setattr(host.peers, "count_hosts", lambda: 1000)
    host.store.go_back(copy)
    host.fixture.pass_time(0.5)
    stopped = Deferred.fromCoroutine(host.peers.stop())
    host.fixture.pass_time(11)
    assert stopped.called
    assert host.store.copy()[1].get((HOSTS, "h1"), (0, None))[1] is None


def test_a_return_is_logged_once_and_an_answer_of_the_earlier_era_is_none() -> None:
    host = Host()
    lines: list[dict[str, Any]] = []
    take = lines.append
    add_destinations(take)
    lines.clear()
    try:
        host.store.go_back(host.store.copy())
        host.fixture.pass_time(1)
        host.store.headers = [("Store-Era", "0")]
        host.store.put(SERVERS, "a", {**ROW, "state": "draining"})
        host.fixture.pass_time(1)
        assert host.find_state("a") is MemberState.READY
        host.store.headers = [("Store-Era", "1")]
        host.fixture.pass_time(2)
        assert host.find_state("a") is MemberState.LEAVING
    finally:
        remove_destination(take)
    [line] = [line for line in lines if line["message_type"] == "store:new_era"]
    assert (line["era"], line["era_before"]) == (1, 0)


@pytest.mark.parametrize(
    ("headers", "era"),
    [
        ([("store-era", "7")], 7),
        ([("Store-Era", "0")], 0),
        ([], None),
        ([("Store-Era", "")], None),
        ([("Store-Era", "-1")], None),
        ([("Store-Era", "1.5")], None),
        ([("Store-Era", "9" * 400)], None),
        ([("Store-Era", "1"), ("Store-Era", "2")], None),
        ([("Store-Era", "\u0661")], None),
    ],
)
def test_the_era_is_read_from_the_headers(headers: list[tuple[str, str]], era: int | None) -> None:
    assert TableDialect("127.0.0.1:9").decode_era(headers) == era


def test_eras_only_rise_and_by_no_more_than_can_be() -> None:
    eras = StoreEras()
    steps = [
        (None, EraVerdict.CURRENT, None),
        (3, EraVerdict.CURRENT, 3),
        (None, EraVerdict.CURRENT, 3),
        (4, EraVerdict.FIRST_OF_NEW, 4),
        (3, EraVerdict.EARLIER, 4),
        (5 + MAX_RISE, EraVerdict.CURRENT, 4),
        (6, EraVerdict.FIRST_OF_NEW, 6),
    ]
    for era, verdict, current in steps:
        assert eras.judge(None if era is None else StoreEra(era), START) is verdict
        assert eras.current == current


class LeaseHost:
    """A host that wants a lease, and one of whose calls is a round trip."""

    def __init__(self, name: str, lowest: int = 0, *, is_row_old: bool = False) -> None:
        own = HostIncarnation(HostId(name), BootId(name))
        self.keeper = LeaseKeeper(own, LeaseTerms(), is_row_old=is_row_old)
        self._lowest = FencingNumber(lowest)

    def claim(self, stored: StoredLease, now: datetime) -> StoredLease | None:
        """Claim the lease if that is allowed; return the row that this makes."""
        self.keeper.observe(stored, now)
        write = self.keeper.plan_write(now, self._lowest)
        if write is None:
            return None
        self.keeper.confirm(write, stored.version + 1, now)
        return StoredLease(stored.version + 1, write.row)


# the copy named a host that another one had followed, and it took the lease up again at once
def test_a_lease_of_an_older_copy_is_taken_up_after_its_last_holder_has_given_up() -> None:
    terms, row = LeaseTerms(), LeaseRow(HostId("a"), BootId("a"), FencingNumber(5))
    last_renewal = START + timedelta(seconds=1)
    host = LeaseHost("a", 1_000_000, is_row_old=True)
    for tenths in range(400):
        now = START + timedelta(seconds=tenths / 10)
        claimed = host.claim(StoredLease(7, row), now)
        if claimed is not None:
            break
    assert claimed is not None
    assert now > last_renewal + terms.lasts
    assert claimed.row is not None
    assert claimed.row.fencing > 1_000_000
    # from then on the row is its own
    assert host.claim(claimed, now + terms.renew_every) is not None


def test_a_lease_without_a_return_is_taken_up_at_once() -> None:
    row = LeaseRow(HostId("a"), BootId("a"), FencingNumber(5))
    claimed = LeaseHost("a").claim(StoredLease(7, row), START)
    assert claimed is not None
    assert claimed.row is not None
    assert claimed.row.fencing == 5
