"""The freshness lease of a host, renewed by asking peers and voters and reading the store."""

from __future__ import annotations

import random
from datetime import datetime, timedelta
from typing import Final, Protocol

from eliot import log_message
from twisted.python.failure import Failure

from lavenderrun.decisions import DocumentFreshness, FreshnessRules, has_majority
from lavenderrun.kernel import Clock, Timer
from lavenderrun.services._document_submission import ROW_KEY, TABLE
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

TICK_INTERVAL: Final = timedelta(seconds=0.5)
PEERS_ASKED: Final = 3
PEERS_KEPT_FOR: Final = timedelta(seconds=10)
RELAY_ASK_AFTER: Final = timedelta(seconds=1.5)
ROUNDS_KEPT: Final = 8
READ_BACKOFF_MAX: Final = timedelta(seconds=8)


class FreshnessLeaseOwner(Protocol):
    """What :class:`FreshnessLease` needs of the document service."""

    @property
    def version(self) -> DocumentVersion:
        """The version in force."""

    def find_newest_version(self) -> DocumentVersion:
        """Return the newest version that this host holds."""

    def fetch_newer(self, version: DocumentVersion, link: Link) -> None:
        """Fetch *version* or a newer one from the peer on *link*."""

    def apply_row(self, row: StoredRow, asked_at: datetime) -> None:
        """Apply a newer version that the store returned to a call made at *asked_at*."""

    def note_renewal(self) -> None:
        """Handle a renewal of the lease."""


class _RequestRound:
    """One request for the document state, sent to several peers.

    :param sent_at: the time just before it was sent.
    """

    def __init__(self, sent_at: datetime) -> None:
        self.sent_at = sent_at
        self.votes: set[BackendId] = set()


class FreshnessLease:
    """Renews the lease that :class:`DocumentFreshness` holds, before it ends.

    :param store: ``None`` on hosts that get the document from peers only.
    """

    def __init__(
        self,
        clock: Clock,
        links: Links,
        store: Store | None,
        owner: FreshnessLeaseOwner,
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
        self._rounds: dict[int, _RequestRound] = {}
        self._round_number = 0
        self._reading = False
        self._read_failures = 0
        self._next_read_at = clock.now()
        self._read_at_age = rules.read_first
        self._vote_at_age = rules.vote_first
        self._timer: Timer | None = None
        self._stopped = False

    def start(self) -> None:
        """Subscribe to peers and begin to renew the lease."""
        self._links.subscribe(DocumentStateRequest, self._send_state)
        self._links.subscribe(DocumentState, self._handle_state)
        self._links.watch(self._ask_new_peer, lambda link: None)
        self._tick()

    def stop(self) -> None:
        """Cancel the timer and ignore a read that is still in flight."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()

    def note_read(self, at: datetime) -> None:
        """Renew the lease by a read of the store that began at *at*, on this host or on a peer."""
        if self.freshness.note_read(at):
            self._handle_renewal()

    def _note_proof(self, at: datetime) -> None:
        if self.freshness.note_proof(at):
            self._handle_renewal()

    def _handle_renewal(self) -> None:
        draw = self._random.random()
        self._read_at_age = self._rules.draw_read_age(draw)
        self._vote_at_age = self._rules.draw_vote_age(draw)
        self._owner.note_renewal()

    def _tick(self) -> None:
        self._timer = self._clock.call_later(
            TICK_INTERVAL * self._random.uniform(0.8, 1.2), self._tick
        )
        now = self._clock.now()
        age, read_age = self.freshness.age(now), self.freshness.read_age(now)
        if self._should_ask_peers(age):
            self._send_requests(self._choose_peers(now))
        if read_age is None or read_age >= self._read_at_age:
            self._read(now)
        if age is None or age >= self._vote_at_age:
            self._send_requests(
                [link for link in self._links.list_live() if link.peer.backend in self.voters]
            )

    # peers and voters

    def _should_ask_peers(self, age: timedelta | None) -> bool:
        """Tell whether to ask peers; a host without a store only relays proofs and asks later."""
        relay = self._store is None and self._owner.version > 0
        return age is None or age >= (RELAY_ASK_AFTER if relay else self._rules.ask_after)

    def _ask_new_peer(self, link: Link) -> None:
        if not self.freshness.is_fresh(self._clock.now()):
            self._send_requests([link])

    def _choose_peers(self, now: datetime) -> list[Link]:
        # keeps the same few peers for a while: a link in use costs more heartbeats than an idle one
        live = list(self._links.list_live())
        if now >= self._peers_until or not all(link in live for link in self._peers):
            self._peers = self._random.sample(live, min(PEERS_ASKED, len(live)))
            self._peers_until = now + (PEERS_KEPT_FOR if len(live) > PEERS_ASKED else timedelta(0))
        return self._peers

    def _send_requests(self, links: list[Link]) -> None:
        if not links:
            return
        self._round_number += 1
        self._rounds[self._round_number] = _RequestRound(self._clock.now())
        self._rounds.pop(self._round_number - ROUNDS_KEPT, None)
        for link in links:
            link.send(DocumentStateRequest(self._round_number))

    def _send_state(self, link: Link, request: DocumentStateRequest) -> None:
        now, lease = self._clock.now(), self.freshness
        state = DocumentState(
            request.number, self._owner.version, lease.age(now), lease.read_age(now), lease.may_vote
        )
        link.send(state)

    def _handle_state(self, link: Link, state: DocumentState) -> None:
        if state.version > self._owner.find_newest_version():
            self._owner.fetch_newer(state.version, link)
            return
        request_round = self._rounds.get(state.number)
        if request_round is None:
            return
        if state.read_age is not None:
            self.note_read(request_round.sent_at - state.read_age)
        if state.age is not None:
            self._note_proof(request_round.sent_at - state.age)
        if state.is_voter and link.peer.backend is not None:
            request_round.votes.add(link.peer.backend)
            if has_majority(self.voters, request_round.votes):
                self._note_proof(request_round.sent_at)

    # the store

    def _read(self, now: datetime) -> None:
        if self._store is None or self._reading or now < self._next_read_at:
            return
        self._reading = True
        answer = self._store.get(TABLE, ROW_KEY)
        answer.addCallback(self._handle_row, now)
        answer.addErrback(self._note_failure)

    def _handle_row(self, row: StoredRow | None, asked_at: datetime) -> None:
        self._reading = False
        if self._stopped:
            return
        if row is None or row.version <= self._owner.find_newest_version():
            self.note_read(asked_at)
        else:
            self._owner.apply_row(row, asked_at)
        self._read_failures = 0

    def _note_failure(self, failure: Failure) -> None:
        self._reading = False
        self._read_failures += 1
        pause = min(READ_BACKOFF_MAX, TICK_INTERVAL * 2**self._read_failures)
        self._next_read_at = self._clock.now() + pause * self._random.uniform(0.5, 1)
        log_message(
            "document:read_failed",
            text="document: the store could not be read",
            host=self._host,
            reason=failure.getErrorMessage(),
        )
