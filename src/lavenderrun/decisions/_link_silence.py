"""What the silence of a peer on a link means, by the interval at which it promised to speak."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import Final

QUIET_FACTOR: Final = 2
"""Intervals without a sign after which a peer has missed a heartbeat, not only sent it late."""

SILENT_FACTOR: Final = 3
"""Intervals without a sign after which a peer may be lost."""

MAX_SOUND_SILENCE: Final = timedelta(seconds=1.25)
"""Longest time in which a sound peer sends nothing that it had promised."""


class LinkSilence(Enum):
    """Meaning of the silence of a peer.

    A quiet one keeps its work and gets no more, a silent one keeps only what has begun.
    """

    NONE = "none"
    QUIET = "quiet"
    SILENT = "silent"
    LOST = "lost"


def find_silent_after(interval: timedelta) -> timedelta:
    """Return the silence after which a peer may be lost."""
    return interval * SILENT_FACTOR


def find_link_patience(interval: timedelta) -> timedelta:
    """Return the silence after which a link is lost.

    The silence of a sound peer may begin just before it would have sent a heartbeat.
    """
    return max(find_silent_after(interval), interval + MAX_SOUND_SILENCE)


def weigh_link_silence(silence: timedelta, interval: timedelta) -> LinkSilence:
    """Return what *silence* means.

    :param silence: time since the last sign, without suspensions of this process.
    :param interval: longest time between two signs that the peer promised.
    """
    if silence >= find_link_patience(interval):
        return LinkSilence.LOST
    if silence >= find_silent_after(interval):
        return LinkSilence.SILENT
    return LinkSilence.QUIET if silence >= interval * QUIET_FACTOR else LinkSilence.NONE
