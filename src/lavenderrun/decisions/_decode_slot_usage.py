"""How the seats of one engine are spread over the client accounts."""

from __future__ import annotations

from collections import Counter
from datetime import datetime, timedelta

from lavenderrun.types import AccountId

ACCOUNT_MEMORY = timedelta(seconds=60)
OVER_FACTOR = 1.5
OVER_SEATS = 2.0
"""An account is over its share from this factor on it, and so many seats above it."""


class DecodeSlotUsage:
    """Seats taken by each account, against its share among the accounts seen of late.

    :param seats: seats of the engine.
    """

    def __init__(self, seats: int) -> None:
        self._seats = seats
        self._taken: Counter[AccountId] = Counter()
        self._seen: dict[AccountId, tuple[float, datetime]] = {}

    def note(self, account: AccountId, weight: float, now: datetime) -> None:
        """Note that *account* asks for a seat."""
        self._seen[account] = (weight, now)

    def take(self, account: AccountId) -> None:
        """Count a seat."""
        self._taken[account] += 1

    def free(self, account: AccountId) -> None:
        """Count a seat no more."""
        self._taken[account] -= 1
        if not self._taken[account]:
            del self._taken[account]

    def find_over_share(self, now: datetime) -> frozenset[AccountId]:
        """Return the accounts that hold clearly more seats than their share."""
        for account in [a for a, (_, at) in self._seen.items() if now - at > ACCOUNT_MEMORY]:
            del self._seen[account]
        weights = sum(weight for weight, _ in self._seen.values())
        over = set()
        for account, count in self._taken.items():
            if account in self._seen:
                share = self._seats * self._seen[account][0] / weights
                if count >= max(OVER_FACTOR * share, share + OVER_SEATS):
                    over.add(account)
        return frozenset(over)
