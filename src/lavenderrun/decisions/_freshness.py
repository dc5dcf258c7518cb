"""Freshness of the document that a host holds: how long it may be used without a check."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from hashlib import sha256
from typing import Final

from lavenderrun.types import BackendId, DataCentre, Document

READ_AGE_SKEW: Final = 1 / 8
MAX_VOTERS: Final = 9


@dataclass(frozen=True)
class FreshnessRules:
    """Durations of the freshness lease; an age is the time since the latest proof.

    :param limit: maximum age at which routes that need a key are served.
    :param ask_after: age from which peers are asked.
    :param read_first: minimum time since the last known read of the store before the next one.
    :param read_last: maximum of the same; each host draws a time between the two.
    :param vote_first: minimum age at which the voters are asked.
    :param vote_last: maximum age at which the voters are asked.
    :param window: how long a submission waits for its voters; a host votes only this long after
        boot.
    """

    limit: timedelta = timedelta(seconds=4)
    ask_after: timedelta = timedelta(seconds=0.5)
    read_first: timedelta = timedelta(seconds=0.8)
    read_last: timedelta = timedelta(seconds=2.4)
    vote_first: timedelta = timedelta(seconds=2)
    vote_last: timedelta = timedelta(seconds=2.6)
    window: timedelta = timedelta(seconds=3)

    def draw_read_age(self, uniform: float) -> timedelta:
        """Return the age at which this host reads the store.

        Few hosts draw an early age, so that the others learn from their read and skip their own.

        :param uniform: random number in [0, 1).
        """
        spread = self.read_last - self.read_first
        return self.read_first + spread * float(uniform**READ_AGE_SKEW)

    def draw_vote_age(self, uniform: float) -> timedelta:
        """Return the age at which this host asks the voters.

        :param uniform: random number in [0, 1).
        """
        return self.vote_first + (self.vote_last - self.vote_first) * uniform


class DocumentFreshness:
    """Tracks the latest time at which this host provably held the newest document.

    A proof is dated before its question was sent, so the real age is never underestimated. Proofs
    from before the boot are ignored, so that an older copy cannot replace a document that was in
    force before a restart.
    """

    def __init__(self, boot: datetime, rules: FreshnessRules) -> None:
        self._boot = boot
        self._rules = rules
        self._proved_at: datetime | None = None
        self._read_at: datetime | None = None

    @property
    def has_proof(self) -> bool:
        """Whether there has been a proof since the boot."""
        return self._proved_at is not None

    def note_proof(self, at: datetime) -> bool:
        """Record a proof dated *at*; return whether it extends the lease."""
        if at < self._boot or (self._proved_at is not None and at <= self._proved_at):
            return False
        self._proved_at = at
        return True

    def note_read(self, at: datetime) -> bool:
        """Record a read of the store by this host or a peer, dated *at*, which is also a proof."""
        if at >= self._boot and (self._read_at is None or at > self._read_at):
            self._read_at = at
        return self.note_proof(at)

    def read_age(self, now: datetime) -> timedelta | None:
        """Return the time since the latest known read of the store."""
        return None if self._read_at is None else now - self._read_at

    def age(self, now: datetime) -> timedelta | None:
        """Return the time since the latest proof."""
        return None if self._proved_at is None else now - self._proved_at

    def is_fresh(self, now: datetime) -> bool:
        """Tell whether routes that need a key may be served."""
        return self._proved_at is not None and now - self._proved_at <= self._rules.limit

    @property
    def may_vote(self) -> bool:
        """Whether this host may vote on submissions.

        A restarted host has lost what it confirmed. It votes again once it has a proof newer than
        any submission that may have counted its vote from before the restart.
        """
        return self._proved_at is not None and self._proved_at - self._boot >= self._rules.window


def choose_voters(document: Document) -> frozenset[BackendId]:
    """Return the backend servers whose agents vote, spread over the data centres."""
    by_data_centre: dict[DataCentre, list[BackendId]] = {}
    for backend in sorted(document.backends, key=lambda backend: _rank(backend.id)):
        by_data_centre.setdefault(backend.data_centre, []).append(backend.id)
    voters: list[BackendId] = []
    while by_data_centre and len(voters) < MAX_VOTERS:
        for data_centre in sorted(by_data_centre):
            voters.append(by_data_centre[data_centre].pop(0))
            if not by_data_centre[data_centre]:
                del by_data_centre[data_centre]
    return frozenset(voters[:MAX_VOTERS])


def has_majority(voters: frozenset[BackendId], agreed: set[BackendId]) -> bool:
    """Tell whether more than half of *voters* are in *agreed*."""
    return 2 * len(voters & agreed) > len(voters)


def _rank(backend: BackendId) -> bytes:
    return sha256(backend.encode()).digest()
