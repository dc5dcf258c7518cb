"""A lease on a row of the table service, with a fencing number that grows with each holder."""

from __future__ import annotations

from datetime import datetime, timedelta

import msgspec

from lavenderrun.types import NO_BOOT, NO_HOST, BootId, FencingNumber, HostId, LeaseRow


class HostIncarnation(msgspec.Struct, frozen=True):
    """One life of a host."""

    host: HostId
    boot: BootId


class LeaseTerms(msgspec.Struct, frozen=True):
    """Durations of a lease; all hosts use the same.

    :param lasts: from before the write that renewed it was sent.
    :param margin: for clocks that run at different speeds.
    :param renew_every: between two writes of the holder.
    :param look_every: between two reads of the others.
    """

    lasts: timedelta = timedelta(seconds=15)
    margin: timedelta = timedelta(seconds=2)
    renew_every: timedelta = timedelta(seconds=5)
    look_every: timedelta = timedelta(seconds=5)


class LeaseWrite(msgspec.Struct, frozen=True):
    """A conditional write of the lease's row.

    :param sent: the lease that it renews counts from here.
    """

    expect: int
    row: LeaseRow
    sent: datetime


class StoredLease(msgspec.Struct, frozen=True):
    """A lease's row with its version; version zero and no row when it is absent."""

    version: int
    row: LeaseRow | None


class LeaseKeeper:
    """One host's view of one lease.

    The holder must ask :meth:`find_fencing` at each use: a holder that was paused finds there that
    its lease is over. Another host claims it only after it saw the row unchanged for the lease and
    a margin, and by a conditional write.
    """

    def __init__(self, me: HostIncarnation, terms: LeaseTerms) -> None:
        self.terms = terms
        self._me = me
        self._stored: StoredLease | None = None
        self._seen: datetime | None = None
        self._held: FencingNumber | None = None
        self._base: datetime | None = None
        self._looked: datetime | None = None
        self._busy = False

    def find_fencing(self, now: datetime) -> FencingNumber | None:
        """Return the fencing number while this host holds the lease."""
        if self._held is None or self._base is None or now >= self._base + self.terms.lasts:
            return None
        return self._held

    def is_read_due(self, now: datetime, hosts: int) -> bool:
        """Tell whether the row must be read.

        :param hosts: how many share the store's reads; they look less often when they are many.
        """
        if self._busy or self.find_fencing(now) is not None:
            return False
        pause = max(self.terms.look_every, timedelta(seconds=hosts / 20))
        return self._looked is None or now - self._looked >= pause

    def note_read(self, now: datetime) -> None:
        """Take note that a read was sent."""
        self._looked = now

    def observe(self, stored: StoredLease, now: datetime) -> None:
        """Take what a read returned or a conflict showed."""
        known = self._stored
        if known is None or stored.version > known.version:
            self._stored, self._seen = stored, now

    def plan_write(self, now: datetime) -> LeaseWrite | None:
        """Return the write to send now; answered by one of the methods below."""
        stored = self._stored
        if self._busy or stored is None:
            return None
        if self.find_fencing(now) is not None:
            assert self._base is not None
            if now - self._base < self.terms.renew_every:
                return None
            return self._write(stored, self._held or FencingNumber(0), now)
        self._held = None
        row = stored.row
        if row is not None and self._is_mine(row):
            # nobody has held it since: the row is as this host wrote it
            return self._write(stored, row.fencing, now)
        if row is not None and row.holder != NO_HOST and not self._is_over(now):
            return None
        last = row.fencing if row is not None else 0
        return self._write(stored, FencingNumber(last + 1), now)

    def plan_release(self, now: datetime) -> LeaseWrite | None:
        """Give the lease up at once and return the write that frees the row."""
        fencing, stored = self.find_fencing(now), self._stored
        self._held = None
        if fencing is None or stored is None or self._busy:
            return None
        return LeaseWrite(stored.version, LeaseRow(NO_HOST, NO_BOOT, fencing), now)

    def confirm(self, write: LeaseWrite, version: int, now: datetime) -> None:
        """Take the store's confirmation."""
        self._busy = False
        self.observe(StoredLease(version, write.row), now)
        if self._is_mine(write.row):
            self._held, self._base = write.row.fencing, write.sent

    def note_conflict(self, current: StoredLease, now: datetime) -> None:
        """Take a conflict: the row is another than the write expected."""
        self._busy = False
        self.observe(current, now)
        if current.row is None or not self._is_mine(current.row):
            self._held = None

    def note_no_reply(self) -> None:
        """Take the store's silence; the lease stays what the last confirmation made it."""
        self._busy = False

    def _write(self, stored: StoredLease, fencing: FencingNumber, now: datetime) -> LeaseWrite:
        self._busy = True
        return LeaseWrite(stored.version, LeaseRow(self._me.host, self._me.boot, fencing), now)

    def _is_mine(self, row: LeaseRow) -> bool:
        return row.holder == self._me.host and row.boot == self._me.boot

    def _is_over(self, now: datetime) -> bool:
        return self._seen is not None and now >= self._seen + self.terms.lasts + self.terms.margin


class FencingGuard:
    """Highest fencing number that an agent has heard of; it stands in for engines without one."""

    def __init__(self) -> None:
        self.highest = FencingNumber(0)

    def accept(self, fencing: FencingNumber) -> bool:
        """Tell whether a sender with this number may still give orders."""
        if fencing < self.highest:
            return False
        self.highest = fencing
        return True
