"""Budget of the links between data centres for transfers of KV cache."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime, timedelta

from lavenderrun.types import DataCentre

KV_BYTES_PER_TOKEN = 160_000
LINK_BYTES_PER_SECOND = 12.5e9
"""Rate assumed for a link without a rate in the document."""

FIRST_STEP_SECONDS = 0.12
"""Time to the first token beyond the transfer, because decode steps in progress end first."""
SLOWNESS_SAMPLE_WEIGHT = 0.3
SLOWNESS_HALF_LIFE = timedelta(seconds=5)
"""Time without a measured transfer in which the learned slowness of a direction halves."""
FAILED_TRANSFER_SECONDS = 1.6
"""Duration that a failed transfer counts as: twice the lifetime of an export."""

LinkDirection = tuple[DataCentre, DataCentre]


class LinkBudget:
    """Time until which the transfers of this entry use each direction of each link.

    :param rates: bytes per second by direction.
    :param share: part of each rate that this entry may use.
    """

    def __init__(self, rates: Mapping[LinkDirection, float], share: float = 1.0) -> None:
        self._rates = dict(rates)
        self._share = share
        self._free_at: dict[LinkDirection, datetime] = {}
        self._slowness: dict[LinkDirection, tuple[float, datetime]] = {}

    def set_rates(self, rates: Mapping[LinkDirection, float]) -> None:
        """Set new rates; existing reservations stay."""
        self._rates = dict(rates)

    def estimate_duration(self, direction: LinkDirection, tokens: int, at: datetime) -> timedelta:
        """Return how long a transfer of *tokens* is expected to take once the link is free."""
        return self._estimate_nominal(direction, tokens) * self._find_slowness(direction, at)

    def learn(
        self, direction: LinkDirection, tokens: int, took: timedelta | None, at: datetime
    ) -> None:
        """Record how long a transfer took.

        :param took: time from the start of the import to the first token, ``None`` for a failure.
        """
        seconds = (
            FAILED_TRANSFER_SECONDS if took is None else took.total_seconds() - FIRST_STEP_SECONDS
        )
        seen = max(1.0, seconds / self._estimate_nominal(direction, tokens).total_seconds())
        known = self._find_slowness(direction, at)
        self._slowness[direction] = (known + (seen - known) * SLOWNESS_SAMPLE_WEIGHT, at)

    def estimate_wait(self, direction: LinkDirection, at: datetime) -> timedelta:
        """Return how long a transfer that is ready at *at* must wait for the link."""
        free_at = self._free_at.get(direction)
        return timedelta(0) if free_at is None else max(timedelta(0), free_at - at)

    def reserve(self, direction: LinkDirection, tokens: int, at: datetime) -> datetime:
        """Reserve the link for a transfer that is ready at *at*; return its expected end."""
        begin = at + self.estimate_wait(direction, at)
        # other entries use the rest of the rate, so the link stays reserved for longer
        self._free_at[direction] = (
            begin + self.estimate_duration(direction, tokens, at) / self._share
        )
        return begin + self.estimate_duration(direction, tokens, at)

    def _estimate_nominal(self, direction: LinkDirection, tokens: int) -> timedelta:
        rate = self._rates.get(direction, LINK_BYTES_PER_SECOND)
        return timedelta(seconds=max(1, tokens) * KV_BYTES_PER_TOKEN / rate)

    def _find_slowness(self, direction: LinkDirection, at: datetime) -> float:
        """Return the factor on the nominal duration; it decays to one without new transfers."""
        known = self._slowness.get(direction)
        if known is None:
            return 1.0
        remaining: float = 0.5 ** ((at - known[1]) / SLOWNESS_HALF_LIFE)
        return 1.0 + (known[0] - 1.0) * remaining
