"""The idempotency key of one call on an entry."""

from __future__ import annotations

from datetime import datetime

import msgspec
from twisted.internet.defer import Deferred

from lavenderrun.decisions import ClaimResult, classify_claim, may_dispatch, trusts_not_started
from lavenderrun.kernel import Clock
from lavenderrun.services._claim_store import ClaimRow, ClaimStore, ClaimUnavailableError
from lavenderrun.types import AttemptId, Claim, Fingerprint, KeptReply, Link, RequestId


class PlainClaim:
    """What a call knows of the row under its idempotency key.

    :ivar row: as last seen; by another try or by this one.
    """

    def __init__(
        self,
        desk: ClaimStore,
        clock: Clock,
        name: str,
        request: RequestId,
        fingerprint: Fingerprint,
    ) -> None:
        self.row: ClaimRow | None = None
        self._desk = desk
        self._clock = clock
        self._name = name
        self._request = request
        self._fingerprint = fingerprint
        self._asked: datetime = clock.now()

    def take(self, attempt: AttemptId, link: Link) -> Deferred[ClaimResult]:
        """Claim the key for a call to the agent of *link*.

        Writes over the row last seen, so that of two tries that take over only one wins.
        """
        self._asked = self._clock.now()
        peer = link.peer
        claim = Claim(self._request, attempt, peer.host, peer.boot, self._fingerprint, self._asked)
        return Deferred.fromCoroutine(self._take(claim))

    def is_owned(self) -> bool:
        """Tell whether the row stands for this try."""
        return self.row is not None and self.row.claim.request == self._request

    def may_dispatch(self) -> bool:
        """Tell whether the claim is young enough to be followed by its call."""
        return may_dispatch(self._asked, self._clock.now())

    def trusts_not_started(self) -> bool:
        """Tell whether "never started" can be believed of the other try's call."""
        return self.row is not None and trusts_not_started(self.row.claim, self._clock.now())

    def end(self, outcome: KeptReply) -> Deferred[None]:
        """Keep the outcome for later tries."""
        assert self.row is not None
        claim = msgspec.structs.replace(self.row.claim, outcome=outcome)
        row = ClaimRow(claim, self.row.version)
        return Deferred.fromCoroutine(self._desk.end(self._name, row))

    def free(self) -> Deferred[None]:
        """Give the key up; the call did not run."""
        assert self.row is not None
        row, self.row = self.row, None
        return Deferred.fromCoroutine(self._desk.free(self._name, row.version))

    async def _take(self, claim: Claim) -> ClaimResult:
        expect = 0 if self.row is None else self.row.version
        self.row = await self._desk.take(self._name, claim, expect)
        found = self.row.claim
        if (found.request, found.attempt) == (claim.request, claim.attempt):
            return ClaimResult.OWNED
        if found.request == claim.request:
            # our own earlier row: whether the new one will still be written is not known
            raise ClaimUnavailableError
        return classify_claim(found, self._fingerprint)
