"""How long a host may trust the document that it holds."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from hashlib import sha256
from typing import Final

from lavenderrun.types import BackendId, DataCentre, Document

READ_SKEW: Final = 1 / 8
VOTERS_MOST: Final = 9


@dataclass(frozen=True)
class FreshnessRules:
    """Times of the freshness lease.

    :param limit: longest age at which keyed routes are served.
    :param ask_after: age from which peers are asked.
    :param read_first: earliest age of the last known read at which the store is read again.
    :param read_last: latest such age; hosts draw between the two.
    :param vote_first: earliest age at which the voters are asked.
    :param vote_last: latest age at which the voters are asked.
    :param window: how long a submission waits for its voters; a host votes this long after boot.
    """

    limit: timedelta = timedelta(seconds=4)
    ask_after: timedelta = timedelta(seconds=0.5)
    read_first: timedelta = timedelta(seconds=0.8)
    read_last: timedelta = timedelta(seconds=2.4)
    vote_first: timedelta = timedelta(seconds=2)
    vote_last: timedelta = timedelta(seconds=2.6)
    window: timedelta = timedelta(seconds=3)

    def draw_read_age(self, uniform: float) -> timedelta:
        """Return the age at which one host reads the store, from a number in [0, 1).

        Few hosts draw an early one, so that the others hear of their read before their own.
        """
        spread = self.read_last - self.read_first
        return self.read_first + spread * float(uniform**READ_SKEW)

    def draw_vote_age(self, uniform: float) -> timedelta:
        """Return the age at which one host asks the voters, from a number in [0, 1)."""
        return self.vote_first + (self.vote_last - self.vote_first) * uniform


class DocumentFreshness:
    """The latest instant at which this host is known to have held the newest document.

    A proof is dated before the question that led to it was sent, so it errs on the old side.
    Proofs from before the boot are dropped: what an earlier life had in force can't be undone by
    an older copy.
    """

    def __init__(self, boot: datetime, rules: FreshnessRules) -> None:
        self._boot = boot
        self._rules = rules
        self._proved: datetime | None = None
        self._read: datetime | None = None

    @property
    def has_proof(self) -> bool:
        """Whether any proof was made in this life."""
        return self._proved is not None

    def note_proof(self, at: datetime) -> bool:
        """Take a proof dated *at*; return whether it moves the lease."""
        if at < self._boot or (self._proved is not None and at <= self._proved):
            return False
        self._proved = at
        return True

    def note_read(self, at: datetime) -> bool:
        """Take a read of the store, here or at a peer, dated *at*; it is a proof as well."""
        if at >= self._boot and (self._read is None or at > self._read):
            self._read = at
        return self.note_proof(at)

    def read_age(self, now: datetime) -> timedelta | None:
        """Return the time since the latest known read of the store."""
        return None if self._read is None else now - self._read

    def age(self, now: datetime) -> timedelta | None:
        """Return the time since the latest proof."""
        return None if self._proved is None else now - self._proved

    def is_fresh(self, now: datetime) -> bool:
        """Tell whether keyed routes may be served."""
        return self._proved is not None and now - self._proved <= self._rules.limit

    @property
    def may_vote(self) -> bool:
        """Whether this host counts among the voters.

        A host that restarted has forgotten what it confirmed; it votes again once it holds a
        proof that is younger than any submission that may have counted its earlier life.
        """
        return self._proved is not None and self._proved - self._boot >= self._rules.window


def choose_voters(document: Document) -> frozenset[BackendId]:
    """Return the backend servers whose agents vote: few, spread over the data centres."""
    queues: dict[DataCentre, list[BackendId]] = {}
    for backend in sorted(document.backends, key=lambda backend: _rank(backend.id)):
        queues.setdefault(backend.data_centre, []).append(backend.id)
    voters: list[BackendId] = []
    while queues and len(voters) < VOTERS_MOST:
        for data_centre in sorted(queues):
            voters.append(queues[data_centre].pop(0))
            if not queues[data_centre]:
                del queues[data_centre]
    return frozenset(voters[:VOTERS_MOST])


def has_majority(voters: frozenset[BackendId], agreed: set[BackendId]) -> bool:
    """Tell whether more than half of *voters* agreed."""
    return 2 * len(voters & agreed) > len(voters)


def _rank(backend: BackendId) -> bytes:
    return sha256(backend.encode()).digest()
