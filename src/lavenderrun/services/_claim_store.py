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
WRITE_TRIES = 5
WRITE_PAUSE = timedelta(seconds=2)
STORE_OUTAGE_ERRORS = (StoreUnavailableError, StoreThrottledError)


class ClaimUnavailableError(Exception):
    """The table service does not tell who holds the key."""


@dataclass(frozen=True)
class ClaimRow:
    """A claim as it stands in the table.

    :param version: of the row, for the next conditional write.
    """

    claim: Claim
    version: int


class ClaimStore:
    """Takes, ends and frees claims; a lost reply is settled by reading back."""

    def __init__(self, store: Store, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._codec = RowCodec(TABLE)

    async def take(self, name: str, claim: Claim, expect: int = 0) -> ClaimRow:
        """Write *claim* when the row's version is *expect*; return the row that stands.

        :raises ClaimUnavailableError: when that is not known; the write may have taken effect.
        """
        try:
            row = await self._store.put(TABLE, name, self._codec.encode(claim), expect=expect)
        except StoreConflictError as conflict:
            if conflict.current is None and expect:
                # the other try has just freed it
                return await self.take(name, claim)
            return self._read(name, conflict.current)
        except STORE_OUTAGE_ERRORS:
            return await self._read_back(name)
        return ClaimRow(claim, row.version)

    async def end(self, name: str, row: ClaimRow) -> None:
        """Write a claim with its outcome over the row, trying again for a while."""
        data = self._codec.encode(row.claim)
        for _ in range(WRITE_TRIES):
            try:
                await self._store.put(TABLE, name, data, expect=row.version)
            except StoreConflictError:
                return
            except STORE_OUTAGE_ERRORS:
                await self._pause()
            else:
                return
        log_message(
            "plain:outcome_not_kept",
            text="plain: outcome could not be kept",
            request=row.claim.request,
        )

    async def free(self, name: str, version: int) -> None:
        """Delete a claim whose call did not run, so that the next try is a first one."""
        try:
            await self._store.delete(TABLE, name, expect=version)
        except (*STORE_OUTAGE_ERRORS, StoreConflictError):
            # the next try settles it with the agent
            return

    async def _read_back(self, name: str) -> ClaimRow:
        try:
            row = await self._store.get(TABLE, name)
        except STORE_OUTAGE_ERRORS:
            raise ClaimUnavailableError from None
        return self._read(name, row)

    def _read(self, name: str, row: StoredRow | None) -> ClaimRow:
        # an absent row may still be written by a call whose reply is lost
        if row is None:
            raise ClaimUnavailableError
        try:
            return ClaimRow(self._codec.decode(name, row.value), row.version)
        except RowError as error:
            raise ClaimUnavailableError from error

    def _pause(self) -> Deferred[None]:
        return sleep(self._clock, WRITE_PAUSE)


def name_claim(account: AccountId | None, key: IdempotencyKey) -> str:
    """Return the row's key; it tells neither account nor idempotency key."""
    return hashlib.sha256(f"{account or ''}\n{key}".encode()).hexdigest()
