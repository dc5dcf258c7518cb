"""Terms of the leases of rate slices, and what a host knows of their rows."""

from __future__ import annotations

from datetime import datetime, timedelta
from zlib import crc32

import msgspec

from lavenderrun.dispatch import HostIncarnation
from lavenderrun.types import NO_HOST, AccountId, RateSliceId, RateSliceRow


class RateSliceTerms(msgspec.Struct, frozen=True):
    """Durations and counts of the rate slice protocol; all hosts use the same.

    :param slices: number of rate slices that the rate of each account is divided into.
    :param groups: number of groups that the accounts are hashed to, each with its own slices.
    :param lease: duration of the lease on a row; longer than the store outages to be survived.
    :param standby: whether each row names a standby, which may take over before the lease ends.
    :param standby_lease: duration of a lease that a standby grants to a holder.
    :param margin: safety margin for clocks that run at different speeds.
    :param renew_every: interval between two writes of a row.
    :param request_standby_every: interval between two requests to a standby.
    :param silence_timeout: silence after which another standby is named, or the rows are read.
    :param loan_lease: maximum duration of a loan.
    :param lending: whether hosts lend to one another.
    :param start_delay: time for peers to connect after the start, before slices are claimed.
    :param surplus_delay: time without a change in the number of hosts before surplus slices are
        freed.
    """

    slices: int = 12
    groups: int = 1
    lease: timedelta = timedelta(minutes=10)
    standby: bool = True
    standby_lease: timedelta = timedelta(seconds=4)
    margin: timedelta = timedelta(seconds=1)
    renew_every: timedelta = timedelta(minutes=1)
    request_standby_every: timedelta = timedelta(seconds=1)
    silence_timeout: timedelta = timedelta(seconds=2)
    loan_lease: timedelta = timedelta(milliseconds=2500)
    lending: bool = True
    start_delay: timedelta = timedelta(milliseconds=1500)
    surplus_delay: timedelta = timedelta(seconds=10)


def make_rate_slice_ids(terms: RateSliceTerms) -> list[RateSliceId]:
    """Return the ids of all rate slices."""
    groups, slices = range(terms.groups), range(terms.slices)
    return [RateSliceId(f"{group}.{number}") for group in groups for number in slices]


def find_slice_group(slice_id: RateSliceId) -> int:
    """Return the number of the account group that a rate slice belongs to."""
    return int(slice_id.partition(".")[0])


def find_account_group(account: AccountId, terms: RateSliceTerms) -> int:
    """Return the number of an account's group, which is the same on all hosts."""
    return crc32(account.encode()) % terms.groups


class StoredRateSlice(msgspec.Struct, frozen=True):
    """The stored row of a rate slice with its version."""

    version: int
    row: RateSliceRow


class RateSliceWrite(msgspec.Struct, frozen=True):
    """A conditional write of a rate slice's row.

    :param expect: version that the row must have; zero when it was never written.
    :param sent: when the write is sent; the leases that it renews count from here.
    :param claim: whether this host does not hold the slice when the write is sent.
    :param unspent_since: for a claim, since when no host has spent the slice; ``None`` when no
        host ever has.
    """

    slice_id: RateSliceId
    expect: int
    row: RateSliceRow
    sent: datetime
    claim: bool = False
    unspent_since: datetime | None = None

    @property
    def standby(self) -> HostIncarnation | None:
        """The standby that the row names, ``None`` for no standby."""
        if self.row.standby == NO_HOST:
            return None
        return HostIncarnation(self.row.standby, self.row.standby_boot)


class RateSliceView:
    """Latest knowledge of one rate slice's row on this host.

    :ivar row: as last read; ``None`` when it is absent or not yet read at this version.
    :ivar seen_at: when this host first learned of the current version.
    :ivar granted_at: when this host last granted a standby lease for the slice.
    :ivar is_known: whether the row has been read at the current version.
    :ivar read_at: when the store last returned the current version.
    """

    def __init__(self, now: datetime) -> None:
        self.version = 0
        self.row: RateSliceRow | None = None
        self.seen_at = now
        self.granted_at: datetime | None = None
        self.is_known = False
        self.read_at: datetime | None = None

    def note_absent(self, now: datetime) -> None:
        """Record that the store has no such row."""
        self.is_known = self.version == 0
        self.read_at = now

    def note_version(self, version: int, row: RateSliceRow | None, now: datetime) -> None:
        """Record a version learned at *now*; one older than the current version is ignored.

        :param row: the row at this version, ``None`` when only the version was learned.
        """
        if version < self.version:
            return
        if version > self.version:
            self.version, self.seen_at, self.is_known = version, now, False
        if row is not None:
            self.row, self.is_known, self.read_at = row, True, now

    def is_held_by(self, me: HostIncarnation) -> bool:
        """Tell whether the row names *me*, with the same boot, as the holder."""
        return self.row is not None and self.row.holder == me.host and self.row.boot == me.boot

    def is_recently_read(self, now: datetime, terms: RateSliceTerms) -> bool:
        """Tell whether the store returned the current version within the silence timeout."""
        return self.read_at is not None and now - self.read_at <= terms.silence_timeout

    def names_standby(self, me: HostIncarnation) -> bool:
        """Tell whether the row names *me*, with the same boot, as the standby."""
        row = self.row
        return row is not None and row.standby == me.host and row.standby_boot == me.boot

    def find_claim_time(self, me: HostIncarnation, terms: RateSliceTerms) -> datetime | None:
        """Return from when *me* may claim the slice, ``None`` when its row must be read first."""
        row = self.row
        if row is None:
            return self.seen_at if self.version == 0 else None
        if row.holder == NO_HOST:
            return self.seen_at + row.quiet + terms.margin
        if self.is_held_by(me):
            return self.seen_at
        if self.names_standby(me):
            last = self.seen_at if self.granted_at is None else max(self.seen_at, self.granted_at)
            return last + terms.standby_lease + terms.margin
        return self.seen_at + terms.lease + terms.margin
