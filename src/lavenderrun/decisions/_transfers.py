"""Budget of the links between data centres that transfers of KV cache share."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime, timedelta

from lavenderrun.types import DataCentre

KV_BYTES_PER_TOKEN = 160_000
LINK_BYTES_PER_SECOND = 12.5e9
"""Rate that is assumed of a link for which the document gives none."""

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

    def set_rates(self, rates: Mapping[Direction, float]) -> None:
        """Take new rates; what is booked stays booked."""
        self._rates = dict(rates)

    def duration(self, direction: Direction, tokens: int) -> timedelta:
        """Return how long a transfer of *tokens* takes on an idle link."""
        rate = self._rates.get(direction, LINK_BYTES_PER_SECOND)
        return timedelta(seconds=tokens * KV_BYTES_PER_TOKEN / rate)

    def wait(self, direction: Direction, at: datetime) -> timedelta:
        """Return how long a transfer that is ready at *at* waits for the link."""
        free_at = self._free_at.get(direction)
        return timedelta(0) if free_at is None else max(timedelta(0), free_at - at)

    def book(self, direction: Direction, tokens: int, at: datetime) -> datetime:
        """Book a transfer that is ready at *at* and return when it is expected to end."""
        begin = at + self.wait(direction, at)
        # others use the rest of the rate, so the link stays taken for longer than the transfer
        self._free_at[direction] = begin + self.duration(direction, tokens) / self._share
        return begin + self.duration(direction, tokens)
