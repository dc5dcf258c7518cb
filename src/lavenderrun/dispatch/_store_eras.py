"""Follows the era of the store, which rises when the store comes back from an older copy."""

from __future__ import annotations

from datetime import datetime
from enum import Enum
from typing import Final

from lavenderrun.types import StoreEra

MAX_RISE: Final = 100
"""Largest rise of the era that is believed: a wrong one would make all later answers old."""


class EraVerdict(Enum):
    """What the era of an answer says about the answer."""

    CURRENT = "current"
    FIRST_OF_NEW = "first of new"
    EARLIER = "earlier"


class StoreEras:
    """Compares the eras of answers; only versions of one era can be compared.

    :ivar current: the era of the store, ``None`` before the first answer that has one.
    :ivar began: when an answer first had the current era, ``None`` if it is the first one known.
    """

    def __init__(self) -> None:
        self.current: StoreEra | None = None
        self.began: datetime | None = None

    def judge(self, era: StoreEra | None, now: datetime) -> EraVerdict:
        """Take the era of an answer into account.

        An answer without an era, or with one that can't be, counts as one of the current era.

        :param era: as the answer has it, ``None`` without one that can be read.
        """
        known = self.current
        if era is None or era == known:
            return EraVerdict.CURRENT
        if known is None:
            self.current = era
            return EraVerdict.CURRENT
        if era < known:
            return EraVerdict.EARLIER
        if era > known + MAX_RISE:
            return EraVerdict.CURRENT
        self.current, self.began = era, now
        return EraVerdict.FIRST_OF_NEW
