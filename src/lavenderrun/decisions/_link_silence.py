"""What the silence of a peer on a link means, by the interval at which it promised to speak."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import Final

QUIET_FACTOR: Final = 2
"""Intervals without a sign after which a peer has missed a heartbeat, not only sent it late."""

LOST_FACTOR: Final = 3
"""Intervals without a sign after which a link is lost."""


class LinkSilence(Enum):
    """Meaning of the silence of a peer; a quiet one keeps its work and gets no more."""

    NONE = "none"
    QUIET = "quiet"
    LOST = "lost"


def find_link_patience(interval: timedelta) -> timedelta:
    """Return the silence after which a link is lost."""
    return interval * LOST_FACTOR


def weigh_link_silence(silence: timedelta, interval: timedelta) -> LinkSilence:
    """Return what *silence* means.

    :param silence: time since the last sign, without suspensions of this process.
    :param interval: longest time between two signs that the peer promised.
    """
    if silence >= find_link_patience(interval):
        return LinkSilence.LOST
    return LinkSilence.QUIET if silence >= interval * QUIET_FACTOR else LinkSilence.NONE
