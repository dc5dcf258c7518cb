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
class Waiting:
    """A call that waits.

    :param rank: urgency, zero is first.
    :param objective: time after its arrival at which its first token should be out.
    :param number: order of arrival.
    """

    rank: int
    arrived: datetime
    objective: timedelta
    number: int


def order_key(waiting: Waiting, now: datetime) -> tuple[int, bool, int]:
    """Return the sort key: by rank, those that can still be in time first, then by arrival."""
    is_late = now + START_TIME > waiting.arrived + waiting.objective
    return waiting.rank, is_late, waiting.number
