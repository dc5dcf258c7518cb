"""State of the rate slices that this host holds."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime

import msgspec

from lavenderrun.decisions._rate_slice_views import RateSliceTerms
from lavenderrun.dispatch import HostIncarnation
from lavenderrun.types import NO_HOST, RateSliceId, RateSliceRow


@dataclass
class HeldSliceState:
    """Leases under which this host holds a rate slice.

    :param version: version of the row as last confirmed.
    :param renewed_at: when the latest write that the store confirmed was sent.
    :param granted_at: for each possible standby, when the latest request that it granted was sent.
    """

    version: int
    renewed_at: datetime
    granted_at: dict[HostIncarnation, datetime] = field(default_factory=dict)

    def find_expiry(self, terms: RateSliceTerms) -> datetime:
        """Return when the rate slice must no longer be spent."""
        ends = [sent + terms.standby_lease for sent in self.granted_at.values()]
        return min([self.renewed_at + terms.lease, *ends])


class GainedRateSlice(msgspec.Struct, frozen=True):
    """A rate slice that this host has started to hold.

    :param unspent_since: since when no host has spent it; ``None`` when no host ever has.
    """

    slice_id: RateSliceId
    unspent_since: datetime | None


def find_standby(row: RateSliceRow | None) -> HostIncarnation | None:
    """Return the standby that a row names, ``None`` when there is no row or it names none."""
    if row is None or row.standby == NO_HOST:
        return None
    return HostIncarnation(row.standby, row.standby_boot)
