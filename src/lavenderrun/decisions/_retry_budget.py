"""Retry budget: a share of recent requests, for each client account and for the fleet."""

from __future__ import annotations

from datetime import datetime, timedelta

from lavenderrun.types import AccountId

RETRY_RESERVE = 3.0
WINDOW = timedelta(seconds=10)
ACCOUNT_SHARE_FACTOR = 2.0


class DecayingCount:
    """A count that halves every :data:`WINDOW`."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at: datetime | None = None

    def read(self, now: datetime) -> float:
        """Return the count at *now*."""
        if self._at is not None and now > self._at:
            self._value *= 0.5 ** ((now - self._at) / WINDOW)
        self._at = now
        return self._value

    def add(self, now: datetime) -> None:
        """Count one."""
        self._value = self.read(now) + 1.0


class RetryBudget:
    """Allows retries up to a share of requests, so that an outage is never amplified.

    An account may use up to twice the fleet's share, so that one account's failures do not eat
    what the others need.

    :param share: most retries as a share of first tries.
    :param reserve: retries that are allowed at once whatever the share.
    """

    def __init__(self, share: float, reserve: float = RETRY_RESERVE) -> None:
        self.share = share
        self._reserve = reserve
        self._tries = DecayingCount()
        self._retries = DecayingCount()
        self._account_tries: dict[AccountId | None, DecayingCount] = {}
        self._account_retries: dict[AccountId | None, DecayingCount] = {}

    def note_first_try(self, account: AccountId | None, now: datetime) -> None:
        """Count a first try."""
        self._tries.add(now)
        self._account_tries.setdefault(account, DecayingCount()).add(now)

    def allow_retry(self, account: AccountId | None, now: datetime) -> bool:
        """Return whether a retry fits both budgets, and count it when it does."""
        tries = self._account_tries.setdefault(account, DecayingCount())
        retries = self._account_retries.setdefault(account, DecayingCount())
        account_most = self._reserve + ACCOUNT_SHARE_FACTOR * self.share * tries.read(now)
        fleet_most = self._reserve + self.share * self._tries.read(now)
        if retries.read(now) >= account_most or self._retries.read(now) >= fleet_most:
            return False
        retries.add(now)
        self._retries.add(now)
        return True
