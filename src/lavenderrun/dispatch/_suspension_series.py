"""Tells suspensions of a process from a loop that is always late."""

from __future__ import annotations

from datetime import timedelta
from typing import Final

MAX_SUSPENSIONS: Final = 4
"""Late turns in series that count as suspensions. A process reads what its peers sent after each of
them, so a peer that is still silent then is not silent because of them."""

SERIES_END: Final = timedelta(seconds=1)
"""Time without a late turn that ends a series."""


class SuspensionSeries:
    """Counts the late turns of one loop.

    A late turn means that the process was suspended, which says nothing about its peers, or that it
    is busy. A busy one goes on to be late, and must not excuse silent peers for ever.
    """

    def __init__(self) -> None:
        self._late_turns = 0
        self._ran = timedelta(0)

    def note_run(self, elapsed: timedelta) -> None:
        """Record that the process ran for *elapsed* without a late turn."""
        self._ran += elapsed
        if self._ran >= SERIES_END:
            self._late_turns = 0

    def note_late_turn(self) -> bool:
        """Record a late turn; return whether it counts as a suspension."""
        self._ran = timedelta(0)
        self._late_turns += 1
        return self._late_turns <= MAX_SUSPENSIONS
