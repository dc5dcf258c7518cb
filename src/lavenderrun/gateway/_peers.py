"""Service ``peers``: gateways find each other in the store and report to each other by datagram.

A report holds what the host has charged to each account, what it has reserved at each engine and
the version of its configuration. Reports are whole, so a lost one costs nothing but time.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final
from uuid import uuid4

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.protocol import DatagramProtocol
from twisted.python.failure import Failure

from lavenderrun.gateway._follower import Follower
from lavenderrun.gateway._log import log
from lavenderrun.gateway._ports import RowChange, RowWrite, StoreRefusal
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore
from lavenderrun.gateway._sockets import split_address
from lavenderrun.gateway._stats import PEERS_HEARD, Stats
from lavenderrun.kernel import Clock, Kernel, Timer, sleep
from lavenderrun.types import (
    AccountId,
    BackendId,
    BackendRole,
    BootId,
    DocumentVersion,
    Fingerprint,
    HostId,
    Incarnation,
    StoreUnavailableError,
)

REPORT_EVERY: Final = timedelta(milliseconds=250)
"""How often a host reports; bounds how far the sum of all hosts may run over a quota."""

HOSTS_AT_FULL_PACE: Final = 12
"""Hosts up to which reports come at that pace; more report less often, as each tells all."""

REPORT_PAUSE_MOST: Final = timedelta(milliseconds=500)
"""Longest pause between reports, half of the silence that counts."""

REPORT_SOON: Final = timedelta(milliseconds=10)
"""When a host reports after it has reserved a seat; calls of a few round trips go together."""

LOST_AFTER: Final = timedelta(seconds=1)
"""Four missed reports."""

REMOVED_AFTER: Final = timedelta(seconds=10)
"""Silence after which a host's entry is removed; a live host that sees that enters itself again."""

ANNOUNCE_PAUSE: Final = timedelta(milliseconds=500)
"""Pause before the entry is tried again."""


class Report(msgspec.Struct, array_like=True):
    """What one host tells the others.

    :param used: units charged since the start, by account.
    :param reserved: calls and tokens reserved, by backend server.
    :param moving: engines that took an order, with the role they will have.
    :param broken: lives of servers that may have been broken, by the call's fingerprint.
    """

    host: HostId
    boot: BootId
    version: DocumentVersion
    used: Mapping[AccountId, float]
    reserved: Mapping[BackendId, tuple[int, int]]
    moving: Mapping[BackendId, BackendRole] = {}
    broken: Mapping[Fingerprint, Sequence[Incarnation]] = {}


class _Entry(msgspec.Struct):
    """A host's row."""

    address: str
    boot: str


class _Peer:
    def __init__(self, address: tuple[str, int], version: int, since: datetime) -> None:
        self.address = address
        self.version = version
        self.since = since
        self.heard: datetime | None = None


class _Datagrams(DatagramProtocol):
    def __init__(self, received: Callable[[bytes], None]) -> None:
        self._received = received

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        self._received(datagram)


class PeersService:
    """Knows the other gateways.

    :ivar report: set by the service that knows what to report.
    :ivar changed: set by the service that must know all hosts.
    """

    needs: ClassVar[tuple[str, ...]] = ("rows",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock: Clock = kernel.clock
        self._host: HostId = kernel.settings.host
        self._address: str = kernel.settings.peers
        self._rows = kernel.find("rows", RowStore)
        self._table = self._rows.dialect.hosts_table
        self._peers: dict[HostId, _Peer] = {}
        self._port: Any = None
        self._datagrams = _Datagrams(self._take)
        self._timer: Timer | None = None
        self._soon: Timer | None = None
        self._announcing: Deferred[None] | None = None
        self._entry_version = 0
        self.boot = BootId(uuid4().hex[:12])
        self.report: Callable[[], Report] = lambda: Report(
            self._host, self.boot, DocumentVersion(0), {}, {}
        )
        self._watchers: list[Callable[[Report], None]] = []
        self.changed: Callable[[dict[HostId, datetime]], None] = lambda _hosts: None
        self.follower = Follower(self._rows, self._table, self, kernel.clock, kernel.random_source)
        kernel.find("stats", Stats).register_reader(PEERS_HEARD, self._count_states)

    def start(self) -> None:
        """Listen, enter this host and begin to report."""
        from twisted.internet import reactor  # the daemon has installed its own by now

        loop: Any = reactor
        host, port = split_address(self._address)
        self._port = loop.listenUDP(port, self._datagrams, interface=host)
        self.follower.start()
        self._announce()
        self._tick()

    async def stop(self) -> None:
        """Take this host's entry out and report no more."""
        for timer in (self._timer, self._soon):
            if timer is not None:
                timer.cancel()
        self.follower.stop()
        if self._announcing is not None:
            self._announcing.cancel()
        try:
            await self._rows.write(self._table, [RowWrite(self._host, None)])
        except (StoreUnavailableError, StoreRefusal) as error:
            log("peers:entry_left", "peers: own entry not removed", error=str(error))
        if self._port is not None:
            await self._port.stopListening()

    def count_hosts(self) -> int:
        """Return how many gateways there are, this one included."""
        return len(self._peers) + 1

    def count_reporting(self) -> int:
        """Return how many of the others report."""
        return len(self._list_reporting())

    def watch(self, watcher: Callable[[Report], None]) -> None:
        """Call *watcher* with each report."""
        self._watchers.append(watcher)

    def find_address(self, host: HostId) -> str | None:
        """Return the address at which a known gateway serves others."""
        peer = self._peers.get(host)
        return None if peer is None else f"{peer.address[0]}:{peer.address[1]}"

    def is_first(self) -> bool:
        """Tell whether this host has the first name among those that report."""
        return all(self._host < host for host in self._list_reporting())

    def replace(self, rows: Sequence[RowChange]) -> None:
        """Take all entries; see ``TableReader``."""
        present = {row.key for row in rows}
        for host in list(self._peers):
            if host not in present:
                del self._peers[host]
        if self._host not in present and self._entry_version:
            self._announce()
        self.change(rows)

    def change(self, rows: Sequence[RowChange]) -> None:
        """Take changed and removed entries; see ``TableReader``."""
        for row in rows:
            if row.key == self._host:
                if row.value is None and row.version > self._entry_version:
                    self._announce()
                continue
            entry = _decode(row.value)
            if entry is None:
                self._peers.pop(HostId(row.key), None)
                continue
            old = self._peers.get(HostId(row.key))
            peer = _Peer(split_address(entry.address), row.version, self._clock.now())
            if old is not None and old.address == peer.address:
                peer.heard = old.heard
            self._peers[HostId(row.key)] = peer
        self._tell()

    def _list_reporting(self) -> list[HostId]:
        now = self._clock.now()
        return [h for h, p in self._peers.items() if p.heard and now - p.heard < LOST_AFTER]

    def _tell(self) -> None:
        self.changed({host: peer.since for host, peer in self._peers.items()})

    def _announce(self) -> None:
        if self._announcing is None:
            self._announcing = Deferred.fromCoroutine(self._enter())
            self._announcing.addErrback(self._fail_to_enter)

    def _fail_to_enter(self, failure: Failure) -> None:
        self._announcing = None
        if not failure.check(CancelledError):
            log("peers:not_entered", "peers: own entry not written", error=repr(failure.value))

    async def _enter(self) -> None:
        value = msgspec.json.encode(_Entry(self._address, self.boot))
        while True:
            try:
                written = await self._rows.write(self._table, [RowWrite(self._host, value)])
            except (StoreUnavailableError, StoreRefusal):
                # the store logs when it is lost
                await sleep(self._clock, ANNOUNCE_PAUSE)
                continue
            self._entry_version = written
            self._announcing = None
            return

    def report_soon(self) -> None:
        """Report before the next regular time."""
        if self._soon is None:
            self._soon = self._clock.call_later(REPORT_SOON, self._report)

    def _report(self) -> None:
        if self._soon is not None:
            self._soon.cancel()
            self._soon = None
        if self._peers and self._datagrams.transport is not None:
            data = msgspec.msgpack.encode(self.report())
            for peer in self._peers.values():
                self._send(data, peer)

    def _tick(self) -> None:
        pause = REPORT_EVERY * max(1.0, self.count_hosts() / HOSTS_AT_FULL_PACE)
        self._timer = self._clock.call_later(min(pause, REPORT_PAUSE_MOST), self._tick)
        self._report()
        now = self._clock.now()
        for host, peer in list(self._peers.items()):
            if peer.heard is not None and now - peer.heard >= LOST_AFTER:
                log("peers:lost", "peers: host reports no more", peer=host)
                peer.since, peer.heard = peer.heard, None
            if now - (peer.heard or peer.since) > REMOVED_AFTER:
                self._remove(host, peer, now)

    def _send(self, data: bytes, peer: _Peer) -> None:
        transport: Any = self._datagrams.transport
        try:
            transport.write(data, peer.address)
        except OSError as error:
            log("peers:unsent", "peers: report not sent", peer=peer.address[0], error=str(error))

    def _remove(self, host: HostId, peer: _Peer, now: datetime) -> None:
        peer.since, peer.heard = now, None
        log("peers:silent", "peers: silent host taken out", peer=host)
        write = RowWrite(host, None, expected=peer.version)
        removed = Deferred.fromCoroutine(self._rows.write(self._table, [write]))
        # another host may have been faster, or the silent one is back
        removed.addErrback(lambda failure: failure.trap(StoreUnavailableError, StoreRefusal))

    def _take(self, datagram: bytes) -> None:
        try:
            report = msgspec.msgpack.decode(datagram, type=Report)
        except msgspec.DecodeError as error:
            log("peers:unreadable", "peers: report can not be read", error=str(error))
            return
        peer = self._peers.get(report.host)
        if peer is None:
            return
        if peer.heard is None:
            log("peers:heard", "peers: host reports", peer=report.host, version=report.version)
        peer.heard = self._clock.now()
        for watcher in self._watchers:
            watcher(report)

    def _count_states(self) -> dict[tuple[str, ...], float]:
        live = self.count_reporting()
        return {("live",): float(live), ("silent",): float(len(self._peers) - live)}


def _decode(value: bytes | None) -> _Entry | None:
    if value is None:
        return None
    try:
        entry = msgspec.json.decode(value, type=_Entry)
        split_address(entry.address)
    except (msgspec.DecodeError, ValueError) as error:
        log("peers:entry_unreadable", "peers: entry can not be read", error=str(error))
        return None
    return entry


@GATEWAY_SERVICES.register("peers")
def make_peers(kernel: Kernel) -> PeersService:
    """Make the service."""
    return PeersService(kernel)
