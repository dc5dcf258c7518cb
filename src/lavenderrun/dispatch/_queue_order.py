"""The order in which calls that wait for a seat are served."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

START_TIME: Final = timedelta(milliseconds=250)
"""Usual time from a seat to the first token: a prefill, a transfer and a decode step."""

PATIENCE_MOST: Final = timedelta(seconds=2.5)
"""Longest wait for a seat; callers leave a stream that does not begin a little later."""


@dataclass(frozen=True)
class QueuedCall:
    """A call that waits.

    :param rank: urgency, zero is first.
    :param objective: time after its arrival at which its first token should be out.
    """

    rank: int
    arrived: datetime
    objective: timedelta


def order_key(waiting: QueuedCall, now: datetime) -> tuple[int, bool, datetime]:
    """Return the sort key: by rank, those that can still be in time first, then by arrival."""
    return waiting.rank, is_late(waiting, now), waiting.arrived


def is_late(waiting: QueuedCall, now: datetime) -> bool:
    """Tell whether a seat that is had now comes too late for the objective."""
    return now + START_TIME > waiting.arrived + waiting.objective
