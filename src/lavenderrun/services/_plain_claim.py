"""The claim that a call on an entry makes on its idempotency key."""

from __future__ import annotations

from datetime import datetime

import msgspec
from twisted.internet.defer import Deferred

from lavenderrun.decisions import ClaimResult, classify_claim, may_dispatch, trusts_not_started
from lavenderrun.kernel import Clock
from lavenderrun.services._claim_store import ClaimRow, ClaimStore, ClaimUnavailableError
from lavenderrun.types import AttemptId, Claim, Fingerprint, KeptReply, Link, RequestId


class PlainClaim:
    """One call's view of the claim row under its idempotency key.

    :ivar row: the row as last seen, written by this request or by an earlier one; ``None`` while
        unknown or after release.
    """

    def __init__(
        self,
        store: ClaimStore,
        clock: Clock,
        row_key: str,
        request: RequestId,
        fingerprint: Fingerprint,
    ) -> None:
        self.row: ClaimRow | None = None
        self._store = store
        self._clock = clock
        self._row_key = row_key
        self._request = request
        self._fingerprint = fingerprint
        self._asked_at: datetime = clock.now()

    def acquire(self, attempt: AttemptId, link: Link) -> Deferred[ClaimResult]:
        """Claim the key for an attempt at the agent of *link*.

        The write replaces only the row last seen, so that one of two retries that take over wins.
        """
        self._asked_at = self._clock.now()
        peer = link.peer
        claim = Claim(
            self._request, attempt, peer.host, peer.boot, self._fingerprint, self._asked_at
        )
        return Deferred.fromCoroutine(self._acquire(claim))

    def is_owned(self) -> bool:
        """Tell whether this request holds the claim."""
        return self.row is not None and self.row.claim.request == self._request

    def may_dispatch(self) -> bool:
        """Tell whether the claim is recent enough for its call to be sent."""
        return may_dispatch(self._asked_at, self._clock.now())

    def trusts_not_started(self) -> bool:
        """Tell whether the agent's answer that the claimed call never started can be trusted."""
        return self.row is not None and trusts_not_started(self.row.claim, self._clock.now())

    def store_outcome(self, outcome: KeptReply) -> Deferred[None]:
        """Store the outcome for retries with the same key."""
        assert self.row is not None
        claim = msgspec.structs.replace(self.row.claim, outcome=outcome)
        row = ClaimRow(claim, self.row.version)
        return Deferred.fromCoroutine(self._store.store_outcome(self._row_key, row))

    def release(self) -> Deferred[None]:
        """Release the key of a call that did not run."""
        assert self.row is not None
        row, self.row = self.row, None
        return Deferred.fromCoroutine(self._store.release(self._row_key, row.version))

    async def _acquire(self, claim: Claim) -> ClaimResult:
        expect = 0 if self.row is None else self.row.version
        self.row = await self._store.acquire(self._row_key, claim, expect)
        found = self.row.claim
        if (found.request, found.attempt) == (claim.request, claim.attempt):
            return ClaimResult.OWNED
        if found.request == claim.request:
            # the row still holds this request's earlier claim: the new write may yet take effect
            raise ClaimUnavailableError
        return classify_claim(found, self._fingerprint)
