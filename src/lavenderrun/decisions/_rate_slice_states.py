"""State of a slot that a host holds."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime

import msgspec

from lavenderrun.decisions._rate_slice_views import RateSliceTerms
from lavenderrun.dispatch import HostIncarnation
from lavenderrun.types import NO_HOST, RateSliceId, RateSliceRow


@dataclass
class HeldState:
    """What makes a held slot valid.

    :param version: of the row as last confirmed.
    :param base: when the write was sent that the store confirmed last.
    :param consents: when the message was sent that each possible standby last consented to.
    """

    version: int
    base: datetime
    consents: dict[HostIncarnation, datetime] = field(default_factory=dict)

    def find_end(self, terms: RateSliceTerms) -> datetime:
        """Return the instant from which the slot must not be spent."""
        ends = [sent + terms.standby_lease for sent in self.consents.values()]
        return min([self.base + terms.lease, *ends])


class Gained(msgspec.Struct, frozen=True):
    """A slot that is now held.

    :param earned_from: nobody has spent it since; ``None`` when nobody ever has.
    """

    slot: RateSliceId
    earned_from: datetime | None


def find_standby(row: RateSliceRow | None) -> HostIncarnation | None:
    """Return the standby that a row names."""
    if row is None or row.standby == NO_HOST:
        return None
    return HostIncarnation(row.standby, row.standby_boot)
