"""Leases on rows of the table service, with a fencing number that grows with each holder."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Final

import msgspec

from lavenderrun.types import NO_BOOT, NO_HOST, BootId, FencingNumber, HostId, LeaseRow

NO_FENCING: Final = FencingNumber(0)
"""Below the number of any holder."""


class HostIncarnation(msgspec.Struct, frozen=True):
    """One run of a host's daemon: the host and the id of its present start."""

    host: HostId
    boot: BootId


class LeaseTerms(msgspec.Struct, frozen=True):
    """Durations of a lease; all hosts use the same.

    :param lasts: validity, counted from the moment before the renewing write was sent.
    :param margin: added by other hosts before they claim it, as clocks run at different speeds.
    :param renew_every: time between two renewals by the holder.
    :param look_every: time between two reads of the row by other hosts.
    """

    lasts: timedelta = timedelta(seconds=15)
    margin: timedelta = timedelta(seconds=2)
    renew_every: timedelta = timedelta(seconds=5)
    look_every: timedelta = timedelta(seconds=5)


class LeaseWrite(msgspec.Struct, frozen=True):
    """A conditional write of the lease's row.

    :param expect: version that the stored row must have.
    :param sent: time of sending; the validity of the lease counts from here.
    """

    expect: int
    row: LeaseRow
    sent: datetime


class StoredLease(msgspec.Struct, frozen=True):
    """A lease's row and its version; version zero and ``None`` when there is no row."""

    version: int
    row: LeaseRow | None


class LeaseKeeper:
    """Acquires and renews one lease for one host; the caller performs the reads and writes.

    The holder must call :meth:`find_fencing_number` before each use, since the lease may have
    expired while its process was paused. Another host claims the lease only after the row stayed
    unchanged for the lease's duration plus a margin, and only by a conditional write.

    :param is_row_old: the row may be an older copy, so that another host may hold the lease even if
        it names this one.
    """

    def __init__(
        self,
        own: HostIncarnation,
        terms: LeaseTerms,
        *,
        is_row_old: bool = False,
    ) -> None:
        self.terms = terms
        self._is_row_old = is_row_old
        self._own = own
        self._stored: StoredLease | None = None
        self._row_seen: datetime | None = None
        self._fencing: FencingNumber | None = None
        self._valid_from: datetime | None = None
        self._last_read: datetime | None = None
        self._is_writing = False
        self._is_released = False

    def find_fencing_number(self, now: datetime) -> FencingNumber | None:
        """Return the fencing number, ``None`` unless this host holds the lease at *now*."""
        if (
            self._fencing is None
            or self._valid_from is None
            or now >= self._valid_from + self.terms.lasts
        ):
            return None
        return self._fencing

    def is_read_due(self, now: datetime, hosts: int) -> bool:
        """Tell whether the row must be read.

        :param hosts: number of hosts that read the row; with many of them each reads less often,
            to bound the load on the store.
        """
        if self._is_writing or self.find_fencing_number(now) is not None:
            return False
        interval = max(self.terms.look_every, timedelta(seconds=hosts / 20))
        return self._last_read is None or now - self._last_read >= interval

    def note_read(self, now: datetime) -> None:
        """Record that a read was sent."""
        self._last_read = now

    def observe(self, stored: StoredLease, now: datetime) -> None:
        """Record the row that a read or a conflict returned, unless a newer one is known."""
        known = self._stored
        if known is None or stored.version > known.version:
            self._stored, self._row_seen = stored, now

    def plan_write(self, now: datetime, lowest: FencingNumber = NO_FENCING) -> LeaseWrite | None:
        """Return the write to send now, ``None`` without one.

        The caller must then report its result by :meth:`confirm`, :meth:`note_conflict` or
        :meth:`note_no_reply`; until then no other write is planned.

        :param lowest: fencing numbers of new holders are higher.
        """
        stored = self._stored
        if self._is_writing or self._is_released or stored is None:
            return None
        if self.find_fencing_number(now) is not None:
            assert self._valid_from is not None
            if now - self._valid_from < self.terms.renew_every:
                return None
            return self._prepare_write(stored, self._fencing or FencingNumber(0), now)
        self._fencing = None
        row = stored.row
        if row is not None and self._is_own(row) and not self._is_row_old:
            # nobody has held the lease since this host wrote the row: its number stays valid
            return self._prepare_write(stored, row.fencing, now)
        if row is not None and row.holder != NO_HOST and not self._has_expired(now):
            return None
        if self._is_row_old and not self._has_expired(now):
            return None
        last = max(lowest, row.fencing if row is not None else 0)
        return self._prepare_write(stored, FencingNumber(last + 1), now)

    def plan_release(self, now: datetime) -> LeaseWrite | None:
        """Give the lease up for good and return the write that frees the row.

        :returns: ``None`` when the row is not known to be this host's or another write is pending;
            ask again after that one.
        """
        self._fencing, self._is_released = None, True
        stored = self._stored
        if self._is_writing or stored is None or stored.row is None:
            return None
        if not self._is_own(stored.row):
            return None
        return LeaseWrite(stored.version, LeaseRow(NO_HOST, NO_BOOT, stored.row.fencing), now)

    def confirm(self, write: LeaseWrite, version: int, now: datetime) -> None:
        """Record that the store accepted the write.

        :param version: the row's new version.
        """
        self._is_writing = False
        self.observe(StoredLease(version, write.row), now)
        if self._is_own(write.row) and not self._is_released:
            self._fencing, self._valid_from = write.row.fencing, write.sent
            self._is_row_old = False

    def note_conflict(self, current: StoredLease, now: datetime) -> None:
        """Record that the store rejected the write because the row has another version.

        :param current: the row as it is stored now.
        """
        self._is_writing = False
        self.observe(current, now)
        if current.row is None or not self._is_own(current.row):
            self._fencing = None

    def note_no_reply(self) -> None:
        """Record that the store did not answer the write; a lease held before stays valid."""
        self._is_writing = False

    def _prepare_write(
        self, stored: StoredLease, fencing: FencingNumber, now: datetime
    ) -> LeaseWrite:
        self._is_writing = True
        return LeaseWrite(stored.version, LeaseRow(self._own.host, self._own.boot, fencing), now)

    def _is_own(self, row: LeaseRow) -> bool:
        return row.holder == self._own.host and row.boot == self._own.boot

    def _has_expired(self, now: datetime) -> bool:
        return (
            self._row_seen is not None
            and now >= self._row_seen + self.terms.lasts + self.terms.margin
        )


class FencingGuard:
    """Rejects orders with an outdated fencing number, on behalf of engines that cannot check it.

    :ivar highest: the highest fencing number seen so far.
    """

    def __init__(self) -> None:
        self.highest = FencingNumber(0)

    def accept(self, fencing: FencingNumber) -> bool:
        """Tell whether an order with this fencing number may run, and remember the number."""
        if fencing < self.highest:
            return False
        self.highest = fencing
        return True
