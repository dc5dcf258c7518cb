"""The freshness lease of a host: questions to peers and voters, and reads of the store."""

from __future__ import annotations

import random
from datetime import datetime, timedelta
from typing import Final, Protocol

from eliot import log_message
from twisted.python.failure import Failure

from lavenderrun.decisions import DocumentFreshness, FreshnessRules, has_majority
from lavenderrun.kernel import Clock, Timer
from lavenderrun.services._document_submit import ROW, TABLE
from lavenderrun.types import (
    BackendId,
    DocumentState,
    DocumentStateRequest,
    DocumentVersion,
    HostId,
    Link,
    Links,
    Store,
    StoredRow,
)

TICK: Final = timedelta(seconds=0.5)
PEERS_ASKED: Final = 3
PEERS_KEPT: Final = timedelta(seconds=10)
RELAY_ASK_AFTER: Final = timedelta(seconds=1.5)
ROUNDS_KEPT: Final = 8
READ_BACKOFF_MOST: Final = timedelta(seconds=8)


class LeaseOwner(Protocol):
    """What the lease needs of the document service."""

    @property
    def version(self) -> DocumentVersion:
        """The version in force."""

    def known(self) -> DocumentVersion:
        """Return the newest version that this host holds."""

    def want(self, version: DocumentVersion, link: Link) -> None:
        """Fetch a newer version from a peer."""

    def take_row(self, row: StoredRow, asked_at: datetime) -> None:
        """Take a newer version from the store."""

    def renewed(self) -> None:
        """Take notice that the lease was renewed."""


class _Round:
    """One question to some peers.

    :param at: just before it was sent.
    """

    def __init__(self, at: datetime) -> None:
        self.at = at
        self.votes: set[BackendId] = set()


class DocumentLease:
    """Keeps :class:`DocumentFreshness` up to date.

    :param store: ``None`` on hosts that learn from peers alone.
    """

    def __init__(
        self,
        clock: Clock,
        links: Links,
        store: Store | None,
        owner: LeaseOwner,
        *,
        host: HostId,
        rules: FreshnessRules,
        random_source: random.Random,
    ) -> None:
        self.freshness = DocumentFreshness(clock.now(), rules)
        self.voters: frozenset[BackendId] = frozenset()
        self._clock = clock
        self._links = links
        self._store = store
        self._owner = owner
        self._host = host
        self._rules = rules
        self._random = random_source
        self._peers: list[Link] = []
        self._peers_until = clock.now()
        self._rounds: dict[int, _Round] = {}
        self._asks = 0
        self._reading = False
        self._read_failures = 0
        self._read_from = clock.now()
        self._read_at_age = rules.read_first
        self._vote_at_age = rules.vote_first
        self._timer: Timer | None = None
        self._stopped = False

    def start(self) -> None:
        """Answer peers and begin to renew."""
        self._links.subscribe(DocumentStateRequest, self._answer)
        self._links.subscribe(DocumentState, self._take_state)
        self._links.watch(self._greet, lambda link: None)
        self._tick()

    def stop(self) -> None:
        """End the timer and drop what is still to come."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def note_read(self, at: datetime) -> None:
        """Take a read of the store, here or at a peer, dated *at*."""
        if self.freshness.note_read(at):
            self._renew()

    def _prove(self, at: datetime) -> None:
        if self.freshness.note_proof(at):
            self._renew()

    def _renew(self) -> None:
        draw = self._random.random()
        self._read_at_age = self._rules.draw_read_age(draw)
        self._vote_at_age = self._rules.draw_vote_age(draw)
        self._owner.renewed()

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK * self._random.uniform(0.8, 1.2), self._tick)
        now = self._clock.now()
        age, read_age = self.freshness.age(now), self.freshness.read_age(now)
        if self._asks_peers(age):
            self._ask(self._choose_peers(now))
        if read_age is None or read_age >= self._read_at_age:
            self._read(now)
        if age is None or age >= self._vote_at_age:
            self._ask(
                [link for link in self._links.list_live() if link.peer.backend in self.voters]
            )

    # peers and voters

    def _asks_peers(self, age: timedelta | None) -> bool:
        """Tell whether peers are worth a question; a host without a store only relays proofs."""
        relay = self._store is None and self._owner.version > 0
        return age is None or age >= (RELAY_ASK_AFTER if relay else self._rules.ask_after)

    def _greet(self, link: Link) -> None:
        if not self.freshness.is_fresh(self._clock.now()):
            self._ask([link])

    def _choose_peers(self, now: datetime) -> list[Link]:
        # the same few for a while: a link in use costs more heartbeats than an idle one
        live = list(self._links.list_live())
        if now >= self._peers_until or not all(link in live for link in self._peers):
            self._peers = self._random.sample(live, min(PEERS_ASKED, len(live)))
            self._peers_until = now + (PEERS_KEPT if len(live) > PEERS_ASKED else timedelta(0))
        return self._peers

    def _ask(self, links: list[Link]) -> None:
        if not links:
            return
        self._asks += 1
        self._rounds[self._asks] = _Round(self._clock.now())
        self._rounds.pop(self._asks - ROUNDS_KEPT, None)
        for link in links:
            link.send(DocumentStateRequest(self._asks))

    def _answer(self, link: Link, ask: DocumentStateRequest) -> None:
        now, lease = self._clock.now(), self.freshness
        state = DocumentState(
            ask.number, self._owner.version, lease.age(now), lease.read_age(now), lease.may_vote
        )
        link.send(state)

    def _take_state(self, link: Link, state: DocumentState) -> None:
        if state.version > self._owner.known():
            self._owner.want(state.version, link)
            return
        asked = self._rounds.get(state.number)
        if asked is None:
            return
        if state.read_age is not None:
            self.note_read(asked.at - state.read_age)
        if state.age is not None:
            self._prove(asked.at - state.age)
        if state.is_voter and link.peer.backend is not None:
            asked.votes.add(link.peer.backend)
            if has_majority(self.voters, asked.votes):
                self._prove(asked.at)

    # the store

    def _read(self, now: datetime) -> None:
        if self._store is None or self._reading or now < self._read_from:
            return
        self._reading = True
        answer = self._store.get(TABLE, ROW)
        answer.addCallback(self._take_row, now)
        answer.addErrback(self._note_failure)

    def _take_row(self, row: StoredRow | None, asked_at: datetime) -> None:
        self._reading = False
        if self._stopped:
            return
        if row is None or row.version <= self._owner.known():
            self.note_read(asked_at)
        else:
            self._owner.take_row(row, asked_at)
        self._read_failures = 0

    def _note_failure(self, failure: Failure) -> None:
        self._reading = False
        self._read_failures += 1
        pause = min(READ_BACKOFF_MOST, TICK * 2**self._read_failures)
        self._read_from = self._clock.now() + pause * self._random.uniform(0.5, 1)
        log_message(
            "document:read_failed",
            text="document: store was not read",
            host=self._host,
            reason=failure.getErrorMessage(),
        )
