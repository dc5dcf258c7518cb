"""Budget of retries as a share of recent requests, by client account and for the fleet."""

from __future__ import annotations

from datetime import datetime, timedelta

from lavenderrun.types import AccountId

RETRY_RESERVE = 3.0
HALF_LIFE = timedelta(seconds=10)
ACCOUNT_SHARE_FACTOR = 2.0


class DecayingCount:
    """Count that decays by half every :data:`HALF_LIFE`."""

    def __init__(self) -> None:
        self._value = 0.0
        self._read_at: datetime | None = None

    def read(self, now: datetime) -> float:
        """Return the count at *now*."""
        if self._read_at is not None and now > self._read_at:
            self._value *= 0.5 ** ((now - self._read_at) / HALF_LIFE)
        self._read_at = now
        return self._value

    def add(self, now: datetime) -> None:
        """Add one at *now*."""
        self._value = self.read(now) + 1.0


class RetryBudget:
    """Limits retries to a share of the first tries, so that they do not amplify an outage.

    A client account may use up to twice the fleet's share and no more, so that failures of one
    account leave retries to the others.

    :param share: most retries as a share of the first tries.
    :param reserve: retries that are allowed at once whatever the share.
    """

    def __init__(self, share: float, reserve: float = RETRY_RESERVE) -> None:
        self.share = share
        self._reserve = reserve
        self._first_tries = DecayingCount()
        self._retries = DecayingCount()
        self._account_first_tries: dict[AccountId | None, DecayingCount] = {}
        self._account_retries: dict[AccountId | None, DecayingCount] = {}

    def note_first_try(self, account: AccountId | None, now: datetime) -> None:
        """Count a first try of *account*."""
        self._first_tries.add(now)
        self._account_first_tries.setdefault(account, DecayingCount()).add(now)

    def allow_retry(self, account: AccountId | None, now: datetime) -> bool:
        """Return whether a retry fits the budgets of account and fleet; count it if it does."""
        first_tries = self._account_first_tries.setdefault(account, DecayingCount())
        retries = self._account_retries.setdefault(account, DecayingCount())
        account_limit = self._reserve + ACCOUNT_SHARE_FACTOR * self.share * first_tries.read(now)
        fleet_limit = self._reserve + self.share * self._first_tries.read(now)
        if retries.read(now) >= account_limit or self._retries.read(now) >= fleet_limit:
            return False
        retries.add(now)
        self._retries.add(now)
        return True
