"""What a host knows of the slots' rows, and the terms of their leases."""

from __future__ import annotations

from datetime import datetime, timedelta
from zlib import crc32

import msgspec

from lavenderrun.dispatch import HostIncarnation
from lavenderrun.types import NO_HOST, AccountId, RateSliceId, RateSliceRow


class RateSliceTerms(msgspec.Struct, frozen=True):
    """Durations and counts of the slots' protocol; all hosts use the same.

    :param slices: parts that the rate of each account is divided into.
    :param groups: accounts are spread over so many groups, each with its own slots.
    :param lease: of a row; longer than the outages to be survived.
    :param standby: whether a standby may take over sooner.
    :param standby_lease: of one vouching.
    :param margin: for clocks that run at different speeds.
    :param renew_every: between two writes of a row.
    :param vouch_every: between two vouchings.
    :param suspicion: silence after which another standby is named, or the rows are read.
    :param loan_lease: longest loan out of a slot.
    :param lending: whether hosts lend to one another.
    :param gather: time for peers to link after the start.
    :param settle: time without a change of hosts before surplus slots are freed.
    """

    slices: int = 12
    groups: int = 1
    lease: timedelta = timedelta(minutes=10)
    standby: bool = True
    standby_lease: timedelta = timedelta(seconds=4)
    margin: timedelta = timedelta(seconds=1)
    renew_every: timedelta = timedelta(minutes=1)
    vouch_every: timedelta = timedelta(seconds=1)
    suspicion: timedelta = timedelta(seconds=2)
    loan_lease: timedelta = timedelta(milliseconds=2500)
    lending: bool = True
    gather: timedelta = timedelta(milliseconds=1500)
    settle: timedelta = timedelta(seconds=10)


def make_rate_slice_ids(terms: RateSliceTerms) -> list[RateSliceId]:
    """Return the ids of all slots."""
    groups, slots = range(terms.groups), range(terms.slices)
    return [RateSliceId(f"{group}.{slot}") for group in groups for slot in slots]


def find_group(slot: RateSliceId) -> int:
    """Return the group of accounts that a slot is a part of."""
    return int(slot.partition(".")[0])


def find_group_of(account: AccountId, terms: RateSliceTerms) -> int:
    """Return the group of an account; the same on all hosts."""
    return crc32(account.encode()) % terms.groups


class StoredRateSlice(msgspec.Struct, frozen=True):
    """A slot's row with its version."""

    version: int
    row: RateSliceRow


class RateSliceWrite(msgspec.Struct, frozen=True):
    """A conditional write of a slot's row.

    :param expect: version that the row must have; zero when it was never written.
    :param sent: leases that the write renews count from here.
    :param claim: whether the slot was not held when the write was sent.
    :param earned_from: of a claim: nobody has spent the slot since; ``None`` when nobody ever has.
    """

    slot: RateSliceId
    expect: int
    row: RateSliceRow
    sent: datetime
    claim: bool = False
    earned_from: datetime | None = None

    @property
    def standby(self) -> HostIncarnation | None:
        """The standby that the write names."""
        if self.row.standby == NO_HOST:
            return None
        return HostIncarnation(self.row.standby, self.row.standby_boot)


class RateSliceView:
    """What is known of one slot's row.

    :ivar row: as last read; ``None`` when it is absent or not yet read at this version.
    :ivar seen: when this version was first heard of.
    :ivar vouched: when this host last promised not to take the slot over.
    :ivar known: whether the row at this version has been read.
    :ivar read: when the store last showed this version.
    """

    def __init__(self, now: datetime) -> None:
        self.version = 0
        self.row: RateSliceRow | None = None
        self.seen = now
        self.vouched: datetime | None = None
        self.known = False
        self.read: datetime | None = None

    def note_absent(self, now: datetime) -> None:
        """Take the news that there is no row."""
        self.known = self.version == 0
        self.read = now

    def note(self, version: int, row: RateSliceRow | None, now: datetime) -> None:
        """Take a version heard at *now*; an older one is stale and tells nothing."""
        if version < self.version:
            return
        if version > self.version:
            self.version, self.seen, self.known = version, now, False
        if row is not None:
            self.row, self.known, self.read = row, True, now

    def is_mine(self, me: HostIncarnation) -> bool:
        """Tell whether the row names this life of *me* as the holder."""
        return self.row is not None and self.row.holder == me.host and self.row.boot == me.boot

    def is_fresh(self, now: datetime, terms: RateSliceTerms) -> bool:
        """Tell whether the store has shown this version just now."""
        return self.read is not None and now - self.read <= terms.suspicion

    def names_standby(self, me: HostIncarnation) -> bool:
        """Tell whether the row lets *me* take over early."""
        row = self.row
        return row is not None and row.standby == me.host and row.standby_boot == me.boot

    def find_free(self, me: HostIncarnation, terms: RateSliceTerms) -> datetime | None:
        """Return from when on *me* may claim the slot, ``None`` when it must be read first."""
        row = self.row
        if row is None:
            return self.seen if self.version == 0 else None
        if row.holder == NO_HOST:
            return self.seen + row.quiet + terms.margin
        if self.is_mine(me):
            return self.seen
        if self.names_standby(me):
            last = self.seen if self.vouched is None else max(self.seen, self.vouched)
            return last + terms.standby_lease + terms.margin
        return self.seen + terms.lease + terms.margin
