"""Service ``peers``: gateways find each other in the store and exchange peer reports by UDP.

A peer report holds what the host has charged to each account, what it has reserved at each engine
and the version of its configuration. Each report is complete, so the next one replaces a lost one.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final
from uuid import uuid4

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import MessageLengthError
from twisted.internet.protocol import DatagramProtocol
from twisted.python.failure import Failure

from lavenderrun.decoding import (
    parse_address,
)
from lavenderrun.dispatch import MAX_DIRECT_HOSTS, NO_BOOT, GroupPlan, SuspensionSeries
from lavenderrun.gateway._follower import TableFollower
from lavenderrun.gateway._log import log
from lavenderrun.gateway._peer_messages import (
    GatewayRow,
    PeerReport,
    decode_gateway_row,
    decode_report,
)
from lavenderrun.gateway._peer_probe import PeerProbe
from lavenderrun.gateway._ports import RowChange, RowWrite, StoreRefusal
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore
from lavenderrun.gateway._stats import PEERS_HEARD, Stats
from lavenderrun.gateway._sum_messages import SUM_PREFIX
from lavenderrun.kernel import Clock, Kernel, Timer, sleep
from lavenderrun.types import (
    BootId,
    DataCentre,
    DocumentVersion,
    HostId,
    StoreUnavailableError,
)

RESTORE_INTERVAL: Final = timedelta(milliseconds=10)
"""Mean time between two hosts that write their rows again after the store lost them."""

REPORT_INTERVAL: Final = timedelta(milliseconds=250)
"""Interval between regular peer reports; charges and decode slots are reported sooner."""

MAX_HOSTS_AT_REPORT_INTERVAL: Final = 12
"""Number of hosts up to which ``REPORT_INTERVAL`` applies. With more hosts the interval grows,
because each host reports to all others."""

MAX_REPORT_INTERVAL: Final = timedelta(seconds=1)
"""Longest interval between regular peer reports that hold soft state."""

MAX_LARGE_REPORT_INTERVAL: Final = timedelta(seconds=3)
"""Longest interval between regular peer reports when soft state is exchanged in groups. Above
``MAX_DIRECT_HOSTS`` the interval grows by a second for each as many hosts, so that each host
receives about that many reports a second."""

EARLY_REPORT_DELAY: Final = timedelta(milliseconds=10)
"""Delay of a report after a reservation, so that reservations made within a few round trips share
one report."""

MIN_LOST_AFTER: Final = timedelta(seconds=1)
"""Shortest silence after which a host counts as lost."""

LOST_AFTER_INTERVALS: Final = 2.5
"""Silence after which a host counts as lost, in regular intervals, so that one may be missed."""

HOSTS_READ_PAUSE: Final = timedelta(milliseconds=25)
"""Pause after changes in the table of gateways, for each gateway: all of them read all changes."""

MAX_HOSTS_READ_PAUSE: Final = timedelta(seconds=2)
"""Longest such pause: reports of a new host are ignored until its row is read."""

MAX_DELAY: Final = timedelta(milliseconds=250)
"""Delay of this host's own timer from which its process was suspended or busy: what the others sent
meanwhile is not read yet, so that time is no silence of theirs."""

LATE_READ_TIME: Final = timedelta(milliseconds=50)
"""Time after such a delay in which what the others sent meanwhile is read."""

REMOVED_AFTER: Final = timedelta(seconds=10)
"""Silence after which a host's row is removed; a host that is still alive writes it again."""

REMOVAL_TURN: Final = timedelta(seconds=3)
"""Time that the reporting hosts before this one by name have to remove a row in a large fleet, each
of them. A removal is read by all after ``MAX_HOSTS_READ_PAUSE``."""

MAX_REMOVAL_TURNS: Final = 3
"""Number of turns after which all other hosts remove a row."""

MAX_REMOVALS: Final = 16
"""Most rows that one check removes: a lost data centre has a hundred."""

ROW_REMOVAL_TIMEOUT: Final = timedelta(milliseconds=200)
"""Longest wait for the removal of the own row at a planned stop; the others remove the row of a
host that does not report."""

ANNOUNCE_RETRY_PAUSE: Final = timedelta(milliseconds=500)
"""Mean pause before another attempt to write this host's row."""

MAX_DATAGRAM_BYTES: Final = 65507
"""Largest datagram over IPv4; what is longer than the library's 8,192 bytes would be cut."""


class _PeerState:
    """Another gateway as this host sees it.

    :ivar data_centre: its data centre, by its row.
    :ivar version: version of its row in the store.
    :ivar since: when its row was read or, while it is silent, when its silence began.
    :ivar last_report: when its last peer report came, ``None`` before one and while it is silent.
    """

    def __init__(
        self,
        address: tuple[str, int],
        data_centre: DataCentre,
        version: int,
        since: datetime,
    ) -> None:
        self.address = address
        self.data_centre = data_centre
        self.version = version
        self.since = since
        self.last_report: datetime | None = None

    @property
    def last_heard(self) -> datetime:
        """When it last reported, or when it became known."""
        return self.last_report or self.since

    def excuse(self, delay: timedelta, now: datetime) -> None:
        """Take some time out of its silence."""
        self.since = min(self.since + delay, now)
        if self.last_report is not None:
            self.last_report = min(self.last_report + delay, now)


class _ReportProtocol(DatagramProtocol):
    def __init__(self, handler: Callable[[bytes], None]) -> None:
        self._handler = handler

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:  # noqa: N802
        self._handler(datagram)


class PeersService:
    """Keeps track of the other gateways and exchanges peer reports with them.

    :ivar boot: id of the current run of this host's process.
    :ivar previous: id of the run before, ``NO_BOOT`` when the store had no row of it at the start.
    :ivar make_report: makes this host's peer report; set by the service ``reports``.
    :ivar on_hosts_changed: called when rows of gateways change, with all other hosts and since when
        each has been known or silent; set by the service ``reports``.
    :ivar on_process_ended: called with a silent host whose process is known to have ended; set by
        the service ``view``.
    :ivar plan: groups in which hosts of a large fleet exchange soft state.
    :ivar on_plan_changed: called with each new plan; set by the service ``sums``.
    :ivar on_soft_change: called when soft state changes that goes through groups; set by the
        service ``sums``.
    :ivar on_sum_datagram: called with each datagram of that exchange; set by the service ``sums``.
    :ivar follower: reads the table of gateways.
    """

    needs: ClassVar[tuple[str, ...]] = ("rows",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock: Clock = kernel.clock
        self._random = kernel.random_source
        self._host: HostId = kernel.settings.host
        self._address: str = kernel.settings.peers
        self._data_centre: DataCentre = kernel.settings.data_centre
        self.plan = GroupPlan({self._host: self._data_centre})
        self.on_plan_changed: Callable[[GroupPlan], None] = lambda _plan: None
        self.on_soft_change: Callable[[], None] = lambda: None
        self.on_sum_datagram: Callable[[bytes], None] = lambda _datagram: None
        self._rows = kernel.find("rows", RowStore)
        self._table = self._rows.dialect.hosts_table
        self._peers: dict[HostId, _PeerState] = {}
        self._port: Any = None
        self._report_protocol = _ReportProtocol(self._take_datagram)
        self._timer: Timer | None = None
        self._early_timer: Timer | None = None
        self._restore_timer: Timer | None = None
        self._announcement: Deferred[None] | None = None
        self._row_version = 0
        self._last_sent: datetime = kernel.clock.now()
        self._tick_due: datetime = kernel.clock.now()
        self._ticked: datetime = kernel.clock.now()
        self._suspensions = SuspensionSeries()
        self._silence_timer: Timer | None = None
        self.boot = BootId(uuid4().hex[:12])
        self.previous = NO_BOOT
        self._has_read_rows = False
        self.make_report: Callable[[], PeerReport] = lambda: PeerReport(
            self._host, self.boot, DocumentVersion(0), {}, {}
        )
        self._watchers: list[Callable[[PeerReport], None]] = []
        self.on_hosts_changed: Callable[[dict[HostId, datetime]], None] = lambda _hosts: None
        self.on_process_ended: Callable[[HostId], None] = lambda _host: None
        self._probe: PeerProbe | None = None
        self.follower = TableFollower(
            self._rows,
            self._table,
            self,
            kernel.clock,
            kernel.random_source,
            lambda: min(HOSTS_READ_PAUSE * self.count_hosts(), MAX_HOSTS_READ_PAUSE),
        )
        kernel.find("stats", Stats).register_reader(PEERS_HEARD, self._count_states)

    def start(self) -> None:
        """Listen, read the rows and start to report; the own row is written once they are read."""
        from twisted.internet import reactor  # imported late: the daemon installs its own reactor

        loop: Any = reactor
        host, port = parse_address(self._address)
        self._probe = PeerProbe(loop, self._clock, self._note_process_end)
        self._port = loop.listenUDP(port, self._report_protocol, host, MAX_DATAGRAM_BYTES)
        self.follower.start()
        self._tick_due = self._clock.now()
        self._tick()

    async def stop(self) -> None:
        """Stop reporting and remove this host's row."""
        timers = (self._timer, self._early_timer, self._silence_timer, self._restore_timer)
        for timer in timers:
            if timer is not None:
                timer.cancel()
        self.follower.stop()
        if self._announcement is not None:
            self._announcement.cancel()
        try:
            row = RowWrite(self._host, None)
            await self._rows.write(self._table, [row], ROW_REMOVAL_TIMEOUT)
        except (StoreUnavailableError, StoreRefusal) as error:
            log("peers:entry_left", "peers: own row not removed", error=str(error))
        if self._port is not None:
            await self._port.stopListening()

    @property
    def report_interval(self) -> timedelta:
        """Interval between regular peer reports; it grows with the number of hosts."""
        if self.plan.is_aggregated:
            large = timedelta(seconds=self.count_hosts() / MAX_DIRECT_HOSTS)
            return min(large, MAX_LARGE_REPORT_INTERVAL)
        factor = max(1.0, self.count_hosts() / MAX_HOSTS_AT_REPORT_INTERVAL)
        return min(REPORT_INTERVAL * factor, MAX_REPORT_INTERVAL)

    @property
    def lost_after(self) -> timedelta:
        """Silence after which a host counts as lost."""
        return max(MIN_LOST_AFTER, self.report_interval * LOST_AFTER_INTERVALS)

    def count_hosts(self) -> int:
        """Return the number of gateways, including this one."""
        return len(self._peers) + 1

    def count_reporting(self) -> int:
        """Return how many of the other gateways report."""
        return len(self._list_reporting())

    def watch(self, watcher: Callable[[PeerReport], None]) -> None:
        """Call *watcher* with each peer report that arrives."""
        self._watchers.append(watcher)

    def find_address(self, host: HostId) -> str | None:
        """Return the address at which a gateway serves its peers, ``None`` when unknown."""
        peer = self._peers.get(host)
        return None if peer is None else f"{peer.address[0]}:{peer.address[1]}"

    def is_first_by_name(self, silence: timedelta | None = None) -> bool:
        """Tell whether this host's name sorts before those of all gateways that report.

        :param silence: after which a host no longer counts, ``lost_after`` by default.
        """
        if silence is None:
            return all(self._host < host for host in self._list_reporting())
        since = self._clock.now() - silence
        return all(self._host < h for h, p in self._peers.items() if p.last_heard > since)

    def replace_rows(self, rows: Sequence[RowChange]) -> None:
        """Apply all rows of the table, as ``TableListener`` requires."""
        present = {row.key for row in rows}
        for host in list(self._peers):
            if host not in present:
                del self._peers[host]
        if not self._has_read_rows:
            self._has_read_rows = True
            self.previous = self._find_previous(rows)
            self._announce()
            self.change_rows(rows)
            if self.plan.is_aggregated:
                # the next regular report comes after seconds, and its receivers wait for it
                self.report_soon()
            return
        if self._host not in present and self._row_version:
            self._announce()
        self.change_rows(rows)

    def merge_copy(self, rows: Sequence[RowChange]) -> None:
        """Apply the rows of an older copy, as ``TableListener`` requires.

        Hosts that report are kept, and each host writes its row again, one after the other.
        """
        reporting = set(self._list_reporting())
        present = {row.key for row in rows}
        for host in list(self._peers):
            if host not in present and host not in reporting:
                del self._peers[host]
        self.change_rows(rows)
        if self._restore_timer is not None:
            self._restore_timer.cancel()
        delay = RESTORE_INTERVAL * self.count_hosts() * self._random.random()
        self._restore_timer = self._clock.call_later(delay, self._announce)

    def _find_previous(self, rows: Sequence[RowChange]) -> BootId:
        for row in rows:
            own_row = decode_gateway_row(row.value) if row.key == self._host else None
            if own_row is not None:
                return BootId(own_row.boot)
        return NO_BOOT

    def change_rows(self, rows: Sequence[RowChange]) -> None:
        """Apply changed and removed rows, as ``TableListener`` requires."""
        for row in rows:
            if row.key == self._host:
                if row.value is None and row.version > self._row_version:
                    self._announce()
                continue
            gateway_row = decode_gateway_row(row.value)
            if gateway_row is None:
                self._peers.pop(HostId(row.key), None)
                continue
            known = self._peers.get(HostId(row.key))
            peer = _PeerState(
                parse_address(gateway_row.address),
                gateway_row.data_centre,
                row.version,
                self._clock.now(),
            )
            if known is not None and known.address == peer.address:
                peer.last_report = known.last_report
            self._peers[HostId(row.key)] = peer
        self._notify_hosts()

    def _list_reporting(self) -> list[HostId]:
        since = self._clock.now() - self.lost_after
        return [h for h, p in self._peers.items() if p.last_report and p.last_report > since]

    def _notify_hosts(self) -> None:
        data_centres = {host: peer.data_centre for host, peer in self._peers.items()}
        self.plan = GroupPlan({**data_centres, self._host: self._data_centre})
        self.on_hosts_changed({host: peer.since for host, peer in self._peers.items()})
        self.on_plan_changed(self.plan)

    def _announce(self) -> None:
        if self._announcement is None:
            self._announcement = Deferred.fromCoroutine(self._write_row())
            self._announcement.addErrback(self._log_announce_failure)
            self._announcement.addBoth(self._end_announcement)

    def _end_announcement(self, _result: object) -> None:
        self._announcement = None

    def _log_announce_failure(self, failure: Failure) -> None:
        if not failure.check(CancelledError):
            log("peers:not_entered", "peers: own row not written", error=repr(failure.value))

    async def _write_row(self) -> None:
        value = msgspec.json.encode(GatewayRow(self._address, self.boot, self._data_centre))
        while True:
            try:
                version = await self._rows.write(self._table, [RowWrite(self._host, value)])
            except (StoreUnavailableError, StoreRefusal):
                # RowStore logs when the store is lost
                await sleep(self._clock, ANNOUNCE_RETRY_PAUSE * (0.5 + self._random.random()))
                continue
            self._row_version = version
            return

    def report_soft_change(self, *, brief: bool = False) -> None:
        """Report a change of soft state soon: in the group, or to each host of a small fleet.

        :param brief: what has changed will not last; with many hosts it is not worth a report.
        """
        if brief and self.count_hosts() > MAX_HOSTS_AT_REPORT_INTERVAL:
            return
        if self.plan.is_aggregated:
            self.on_soft_change()
        else:
            self.report_soon()

    def report_soon(self) -> None:
        """Send a peer report to all hosts soon, because of a fact or in a small fleet."""
        if self._early_timer is None:
            self._early_timer = self._clock.call_later(EARLY_REPORT_DELAY, self._report)

    def _report(self) -> None:
        if self._early_timer is not None:
            self._early_timer.cancel()
            self._early_timer = None
        if self._peers and self._report_protocol.transport is not None:
            self._last_sent = self._clock.now()
            data = msgspec.msgpack.encode(self.make_report())
            for peer in self._peers.values():
                self._send(data, peer)

    def _tick(self) -> None:
        now = self._clock.now()
        delay = now - self._tick_due
        if delay <= MAX_DELAY:
            self._suspensions.note_run(now - self._ticked)
        elif self._suspensions.note_late_turn():
            for peer in self._peers.values():
                peer.excuse(delay, now)
        self._ticked = now
        # an early report postpones the regular one
        due = self._last_sent + self.report_interval
        if self._clock.now() >= due or self.count_hosts() <= MAX_HOSTS_AT_REPORT_INTERVAL:
            self._report()
            due = self._clock.now() + self.report_interval
        self._tick_due = due
        self._timer = self._clock.call_later(due - self._clock.now(), self._tick)
        if delay <= MAX_DELAY:
            self._check_silences(self._clock.now())
            return
        if self._silence_timer is not None:
            self._silence_timer.cancel()
        self._silence_timer = self._clock.call_later(LATE_READ_TIME, self._check_silences, now)

    def _check_silences(self, now: datetime) -> None:
        """Find the hosts that were silent at *now*, by all that has been read since."""
        lost_after, removed_after, removals = self.lost_after, self._find_removal_time(), 0
        for host, peer in list(self._peers.items()):
            if peer.last_report is not None and now - peer.last_report >= lost_after:
                log("peers:lost", "peers: host stopped reporting", peer=host)
                peer.since, peer.last_report = peer.last_report, None
            if now - peer.last_heard > removed_after and removals < MAX_REMOVALS:
                removals += 1
                self._remove_row(host, peer, now)
        if self._probe is not None:
            self._probe.probe(self._list_silent(now))

    def _find_removal_time(self) -> timedelta:
        """Return the silence after which this host removes a row, in its turn by name."""
        if self.count_hosts() <= MAX_HOSTS_AT_REPORT_INTERVAL:
            return REMOVED_AFTER
        before = sum(host < self._host for host in self._list_reporting())
        return REMOVED_AFTER + REMOVAL_TURN * min(before, MAX_REMOVAL_TURNS)

    def _list_silent(self, now: datetime) -> list[tuple[HostId, tuple[str, int]]]:
        silent_from = now - self.lost_after
        return [(h, p.address) for h, p in self._peers.items() if p.last_heard <= silent_from]

    def _note_process_end(self, host: HostId) -> None:
        log("peers:ended", "peers: process of a silent host has ended", peer=host)
        self.on_process_ended(host)

    def send_datagram(self, datagram: bytes, host: HostId) -> None:
        """Send a datagram of the exchange in groups, if *host* is known."""
        peer = self._peers.get(host)
        if peer is not None and self._report_protocol.transport is not None:
            self._send(datagram, peer)

    def _send(self, data: bytes, peer: _PeerState) -> None:
        transport: Any = self._report_protocol.transport
        try:
            transport.write(data, peer.address)
        except (OSError, MessageLengthError) as error:
            log(
                "peers:unsent",
                "peers: peer report not sent",
                peer=peer.address[0],
                error=str(error),
                length=len(data),
            )

    def _remove_row(self, host: HostId, peer: _PeerState, now: datetime) -> None:
        peer.since, peer.last_report = now, None
        log("peers:silent", "peers: removing the row of a silent host", peer=host)
        write = RowWrite(host, None, expected=peer.version)
        removed = Deferred.fromCoroutine(self._rows.write(self._table, [write]))
        # the write conflicts when another host was faster or the silent one is back
        removed.addErrback(lambda failure: failure.trap(StoreUnavailableError, StoreRefusal))

    def _take_datagram(self, datagram: bytes) -> None:
        if datagram.startswith(SUM_PREFIX):
            self.on_sum_datagram(datagram)
            return
        report = decode_report(datagram)
        if report is None:
            return
        peer = self._peers.get(report.host)
        if peer is None:
            return
        if peer.last_report is None:
            log(
                "peers:heard",
                "peers: host started reporting",
                peer=report.host,
                version=report.version,
            )
        peer.last_report = self._clock.now()
        for watcher in self._watchers:
            watcher(report)

    def _count_states(self) -> dict[tuple[str, ...], float]:
        live = self.count_reporting()
        return {("live",): float(live), ("silent",): float(len(self._peers) - live)}


@GATEWAY_SERVICES.register("peers")
def make_peers(kernel: Kernel) -> PeersService:
    """Make the service ``peers``."""
    return PeersService(kernel)
