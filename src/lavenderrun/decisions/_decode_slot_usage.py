"""Use of the decode slots of one engine by client account."""

from __future__ import annotations

from collections import Counter
from datetime import datetime, timedelta

from lavenderrun.types import AccountId

ACCOUNT_MEMORY = timedelta(seconds=60)
OVER_FACTOR = 1.5
OVER_SLOTS = 2.0
"""An account is over its share when it holds at least :data:`OVER_FACTOR` times its share, and at
least this many slots more than its share."""


class DecodeSlotUsage:
    """Decode slots that each account holds, compared with its share among the recent accounts.

    :param slots: decode slots of the engine.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._taken: Counter[AccountId] = Counter()
        self._seen: dict[AccountId, tuple[float, datetime]] = {}

    def note(self, account: AccountId, weight: float, now: datetime) -> None:
        """Record that *account* asks for a slot, with its weight against the other accounts."""
        self._seen[account] = (weight, now)

    def take(self, account: AccountId) -> None:
        """Count a slot for *account*."""
        self._taken[account] += 1

    def free(self, account: AccountId) -> None:
        """Stop counting a slot for *account*."""
        self._taken[account] -= 1
        if not self._taken[account]:
            del self._taken[account]

    def find_over_share(self, now: datetime) -> frozenset[AccountId]:
        """Return the accounts that hold clearly more slots than their share."""
        for account in [a for a, (_, at) in self._seen.items() if now - at > ACCOUNT_MEMORY]:
            del self._seen[account]
        weights = sum(weight for weight, _ in self._seen.values())
        over = set()
        for account, count in self._taken.items():
            if account in self._seen:
                share = self._slots * self._seen[account][0] / weights
                if count >= max(OVER_FACTOR * share, share + OVER_SLOTS):
                    over.add(account)
        return frozenset(over)
