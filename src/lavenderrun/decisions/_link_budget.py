"""Budget of the links between data centres that transfers of KV cache share."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime, timedelta

from lavenderrun.types import DataCentre

KV_BYTES_PER_TOKEN = 160_000
LINK_BYTES_PER_SECOND = 12.5e9
"""Rate that is assumed of a link for which the document gives none."""

STEP_SECONDS = 0.12
"""Part of the time to the first token that need not be the transfer: running steps end first."""
LEARN = 0.3
FORGET = timedelta(seconds=5)
"""After so long without news half of what was learned of a direction is forgotten."""
FAILED_SECONDS = 1.6
"""Time that counts for a transfer that failed: twice the life of an export."""

Direction = tuple[DataCentre, DataCentre]


class LinkBudget:
    """When each direction of each link is free again of the transfers that this entry started.

    :param rates: bytes a second by direction.
    :param share: part of each rate that this entry may count on.
    """

    def __init__(self, rates: Mapping[Direction, float], share: float = 1.0) -> None:
        self._rates = dict(rates)
        self._share = share
        self._free_at: dict[Direction, datetime] = {}
        self._slowness: dict[Direction, tuple[float, datetime]] = {}

    def set_rates(self, rates: Mapping[Direction, float]) -> None:
        """Take new rates; what is booked stays booked."""
        self._rates = dict(rates)

    def estimate_duration(self, direction: Direction, tokens: int, at: datetime) -> timedelta:
        """Return how long a transfer of *tokens* is expected to take once it has the link."""
        return self._nominal(direction, tokens) * self._find_slowness(direction, at)

    def learn(
        self, direction: Direction, tokens: int, took: timedelta | None, at: datetime
    ) -> None:
        """Take the time from an import's start to its first token, ``None`` when it failed."""
        seconds = FAILED_SECONDS if took is None else took.total_seconds() - STEP_SECONDS
        seen = max(1.0, seconds / self._nominal(direction, tokens).total_seconds())
        known = self._find_slowness(direction, at)
        self._slowness[direction] = (known + (seen - known) * LEARN, at)

    def estimate_wait(self, direction: Direction, at: datetime) -> timedelta:
        """Return how long a transfer that is ready at *at* waits for the link."""
        free_at = self._free_at.get(direction)
        return timedelta(0) if free_at is None else max(timedelta(0), free_at - at)

    def reserve(self, direction: Direction, tokens: int, at: datetime) -> datetime:
        """Book a transfer that is ready at *at* and return when it is expected to end."""
        begin = at + self.estimate_wait(direction, at)
        # others use the rest of the rate, so the link stays taken for longer than the transfer
        self._free_at[direction] = (
            begin + self.estimate_duration(direction, tokens, at) / self._share
        )
        return begin + self.estimate_duration(direction, tokens, at)

    def _nominal(self, direction: Direction, tokens: int) -> timedelta:
        rate = self._rates.get(direction, LINK_BYTES_PER_SECOND)
        return timedelta(seconds=max(1, tokens) * KV_BYTES_PER_TOKEN / rate)

    def _find_slowness(self, direction: Direction, at: datetime) -> float:
        """Return the factor on the nominal time; it fades to one without news."""
        known = self._slowness.get(direction)
        if known is None:
            return 1.0
        left: float = 0.5 ** ((at - known[1]) / FORGET)
        return 1.0 + (known[0] - 1.0) * left
