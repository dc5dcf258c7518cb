"""Claims of idempotency keys in the table service."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from datetime import timedelta

from eliot import log_message
from twisted.internet.defer import Deferred

from lavenderrun.codecs import RowCodec, RowError
from lavenderrun.kernel import Clock, sleep
from lavenderrun.types import (
    AccountId,
    Claim,
    IdempotencyKey,
    Store,
    StoreConflictError,
    StoredRow,
    StoreThrottledError,
    StoreUnavailableError,
)

TABLE = "claims"
MAX_WRITE_ATTEMPTS = 5
WRITE_RETRY_PAUSE = timedelta(seconds=2)
STORE_OUTAGE_ERRORS = (StoreUnavailableError, StoreThrottledError)


class ClaimUnavailableError(Exception):
    """The table service doesn't tell which request holds the idempotency key."""


@dataclass(frozen=True)
class ClaimRow:
    """A claim as stored in the table.

    :param version: version of the row, for the next conditional write.
    """

    claim: Claim
    version: int


class ClaimStore:
    """Writes, completes and deletes claims; after a write without a reply it reads the row back."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._codec = RowCodec(TABLE)

    async def acquire(self, row_key: str, claim: Claim, expect: int = 0) -> ClaimRow:
        """Write *claim* if the row's version is *expect*; return the row as stored afterwards.

        :param expect: zero when there must be no row.
        :raises ClaimUnavailableError: when the stored row isn't known; the write may have taken
            effect.
        """
        try:
            row = await self._store.put(TABLE, row_key, self._codec.encode(claim), expect=expect)
        except StoreConflictError as conflict:
            if conflict.current is None and expect:
                # the request that held the key has just released it
                return await self.acquire(row_key, claim)
            return self._decode(row_key, conflict.current)
        except STORE_OUTAGE_ERRORS:
            return await self._read_back(row_key)
        return ClaimRow(claim, row.version)

    async def store_outcome(self, row_key: str, row: ClaimRow) -> None:
        """Replace the row by a claim with its outcome; retry for a while during outages.

        :param row: the claim with its outcome, and the version that the stored row must have.
        """
        data = self._codec.encode(row.claim)
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                await self._store.put(TABLE, row_key, data, expect=row.version)
            except StoreConflictError:
                return
            except STORE_OUTAGE_ERRORS:
                await self._wait_for_retry()
            else:
                return
        log_message(
            "plain:outcome_not_kept",
            text="plain: outcome could not be stored for a retry",
            request=row.claim.request,
        )

    async def release(self, row_key: str, version: int) -> None:
        """Delete the claim of a call that did not run, so that a retry starts afresh."""
        try:
            await self._store.delete(TABLE, row_key, expect=version)
        except (*STORE_OUTAGE_ERRORS, StoreConflictError):
            # a retry that finds the claim settles it with the agent
            return

    async def _read_back(self, row_key: str) -> ClaimRow:
        try:
            row = await self._store.get(TABLE, row_key)
        except STORE_OUTAGE_ERRORS:
            raise ClaimUnavailableError from None
        return self._decode(row_key, row)

    def _decode(self, row_key: str, row: StoredRow | None) -> ClaimRow:
        # a write whose reply was lost may still create an absent row
        if row is None:
            raise ClaimUnavailableError
        try:
            return ClaimRow(self._codec.decode(row_key, row.value), row.version)
        except RowError as error:
            raise ClaimUnavailableError from error

    def _wait_for_retry(self) -> Deferred[None]:
        return sleep(self._clock, WRITE_RETRY_PAUSE)


def make_claim_key(account: AccountId | None, key: IdempotencyKey) -> str:
    """Return the key of a claim's row, a hash that reveals neither account nor idempotency key."""
    return hashlib.sha256(f"{account or ''}\n{key}".encode()).hexdigest()
