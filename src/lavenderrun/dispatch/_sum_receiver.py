"""What a host knows of the fleet's sums: the others' part, without its own."""

from __future__ import annotations

from collections import deque
from typing import Final

from lavenderrun.dispatch._soft_state import SumKey, Sums, SumValue, subtract_sums

MAX_KEPT_REPORTS: Final = 64
"""Own reports that are kept for subtraction: six seconds of them, twice their lifetime."""


class SumReceiver:
    """Subtracts this host's own part from the fleet's sums, as the aggregator last had it."""

    def __init__(self) -> None:
        self._sent: deque[tuple[int, Sums]] = deque(maxlen=MAX_KEPT_REPORTS)
        self._sequence = 0

    def record_report(self, sums: Sums) -> int:
        """Keep a report of this host that is sent now; return its sequence."""
        self._sequence += 1
        self._sent.append((self._sequence, sums))
        return self._sequence

    def find_others(self, total: Sums, counted: int | None) -> dict[SumKey, SumValue]:
        """Return the part of all other hosts in the fleet's sums.

        :param counted: sequence of this host's report that *total* counts, ``None`` without one.
        """
        own = next((sums for sequence, sums in self._sent if sequence == counted), {})
        return subtract_sums(total, own)
