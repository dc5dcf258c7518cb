"""Service ``document``: the configuration in force on this host."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderrun.codecs import (
    StoredDocumentError,
    decode_copy,
    decode_stored,
    encode_copy,
)
from lavenderrun.decisions import Freshness, FreshnessRules, choose_voters, has_majority
from lavenderrun.kernel import SERVICES, Clock, Kernel, Timer
from lavenderrun.services._document_confirm import Confirmations
from lavenderrun.services._document_submit import ROW, TABLE, Submission
from lavenderrun.types import (
    BackendId,
    Document,
    DocumentAsk,
    DocumentConflict,
    DocumentCopy,
    DocumentFetch,
    DocumentInForce,
    DocumentState,
    DocumentVersion,
    Event,
    Hello,
    Link,
    Links,
    Record,
    Store,
    StoredDocument,
    StoredRow,
    Submitted,
)

TICK: Final = timedelta(seconds=0.5)
PEERS_ASKED: Final = 3
ROUNDS_KEPT: Final = 8
FETCH_TIMEOUT: Final = timedelta(seconds=1)
FETCH_SPREAD: Final = timedelta(seconds=0.2)
READ_BACKOFF_MOST: Final = timedelta(seconds=8)
KEPT_VERSIONS: Final = 8


class _Round:
    """One question to some peers.

    :param at: just before it was sent.
    """

    def __init__(self, at: datetime) -> None:
        self.at = at
        self.votes: set[BackendId] = set()


class DocumentService:
    """Reads, spreads and accepts versions of the document; see ``DocumentKeeper``.

    :param store: ``None`` on hosts that learn from peers alone.
    """

    needs: ClassVar[tuple[str, ...]] = ("links",)

    def __init__(
        self,
        clock: Clock,
        hello: Hello,
        links: Links,
        store: Store | None,
        *,
        record: Record | None = None,
        rules: FreshnessRules | None = None,
        chance: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.store = store
        self._hello = hello
        self._links = links
        self._record = record
        self._rules = rules or FreshnessRules()
        self._random = chance or random.Random()
        self._freshness = Freshness(clock.now(), self._rules)
        self._confirmations = Confirmations(clock, self._rules.window, hello.backend)
        self._in_force: StoredDocument | None = None
        self._candidate: StoredDocument | None = None
        self._kept: dict[DocumentVersion, StoredDocument] = {}
        self._watchers: list[Callable[[Document], None]] = []
        self._voters: frozenset[BackendId] = frozenset()
        self._rounds: dict[int, _Round] = {}
        self._asks = 0
        self._fetching: tuple[DocumentVersion, datetime] | None = None
        self._reading = False
        self._read_failures = 0
        self._read_from = clock.now()
        self._read_at_age = self._rules.read_first
        self._vote_at_age = self._rules.vote_first
        self._timer: Timer | None = None
        self._running = False

    @property
    def version(self) -> DocumentVersion:
        """The version in force; it never goes back."""
        return self._in_force.revision.version if self._in_force else DocumentVersion(0)

    @property
    def current(self) -> Document | None:
        """The document in force, ``None`` before the first was read."""
        return self._in_force.document if self._in_force else None

    @property
    def stored(self) -> StoredDocument | None:
        """The document in force with its revision and history."""
        return self._in_force

    @property
    def age(self) -> timedelta | None:
        """Time since the version in force is known to have been the newest."""
        return self._freshness.age(self.clock.now())

    @property
    def is_fresh(self) -> bool:
        """Whether keyed routes may be served by the document in force."""
        return self._in_force is not None and self._freshness.is_fresh(self.clock.now())

    def watch(self, handler: Callable[[Document], None]) -> None:
        """Call *handler* for the document in force, if any, and for each later one."""
        self._watchers.append(handler)
        if self._in_force is not None:
            handler(self._in_force.document)

    def find_kept(self, version: DocumentVersion) -> StoredDocument | None:
        """Return one of the latest versions that were in force here."""
        return self._kept.get(version)

    def submit(
        self, document: Document, author: str, expect: DocumentVersion
    ) -> Deferred[Submitted | DocumentConflict]:
        """Put *document* in the place of version *expect*.

        :raises StepError: when the store did not answer; the outcome is not known.
        """
        return Submission(self, self._random, author, expect).run(document)

    def confirm(
        self, stored: StoredDocument, base: StoredDocument | None, read_at: datetime
    ) -> Deferred[bool]:
        """Put an accepted version in force and wait for its voters."""
        earlier = choose_voters(base.document) if base else frozenset()
        voters = (earlier, choose_voters(stored.document))
        pending = self._confirmations.open(stored.revision.version, voters)
        self.accept(stored, read_at)
        return pending

    def accept(self, stored: StoredDocument, read_at: datetime) -> None:
        """Take a version that the store showed to a call made at *read_at*."""
        self._consider(stored)
        self._note_read(read_at)

    def start(self) -> None:
        """Listen to peers and read the store."""
        self._running = True
        self._links.bind_versions(lambda: self.version, self.saw_version)
        self._links.subscribe(DocumentAsk, self._answer)
        self._links.subscribe(DocumentState, self._take_state)
        self._links.subscribe(DocumentFetch, self._send_copy)
        self._links.subscribe(DocumentCopy, self._take_copy)
        self._links.watch(self._greet, lambda link: None)
        self._tick()

    def stop(self) -> None:
        """End all timers."""
        self._running = False
        self._confirmations.stop()
        if self._timer is not None:
            self._timer.cancel()

    def saw_version(self, version: DocumentVersion, link: Link) -> None:
        """Take the version that rode on a peer's batch."""
        self._confirmations.saw(link.peer.backend, version)
        if version > self._known():
            self._want(version, link)

    def _known(self) -> DocumentVersion:
        newest = self._candidate or self._in_force
        return newest.revision.version if newest else DocumentVersion(0)

    # the lease

    def _tick(self) -> None:
        self._timer = self.clock.call_later(TICK * self._random.uniform(0.8, 1.2), self._tick)
        age = self.age
        if age is None or age >= self._rules.ask_after:
            self._ask(self._choose_peers())
        read_age = self._freshness.read_age(self.clock.now())
        if read_age is None or read_age >= self._read_at_age:
            self._read()
        if age is None or age >= self._vote_at_age:
            self._ask([link for link in self._links.live() if link.peer.backend in self._voters])

    def _choose_peers(self) -> list[Link]:
        links = list(self._links.live())
        return self._random.sample(links, min(PEERS_ASKED, len(links)))

    def _ask(self, links: list[Link]) -> None:
        if not links:
            return
        self._asks += 1
        self._rounds[self._asks] = _Round(self.clock.now())
        self._rounds.pop(self._asks - ROUNDS_KEPT, None)
        for link in links:
            link.send(DocumentAsk(self._asks))

    def _answer(self, link: Link, ask: DocumentAsk) -> None:
        now, lease = self.clock.now(), self._freshness
        state = DocumentState(
            ask.ask, self.version, lease.age(now), lease.read_age(now), lease.may_vote(now)
        )
        link.send(state)

    def _take_state(self, link: Link, state: DocumentState) -> None:
        if state.version > self._known():
            self._want(state.version, link)
            return
        asked = self._rounds.get(state.ask)
        if asked is None:
            return
        if state.read_age is not None:
            self._note_read(asked.at - state.read_age)
        if state.age is not None:
            self._prove(asked.at - state.age)
        if state.votes and link.peer.backend is not None:
            asked.votes.add(link.peer.backend)
            if has_majority(self._voters, asked.votes):
                self._prove(asked.at)

    def _note_read(self, at: datetime) -> None:
        if self._freshness.note_read(at):
            self._renew()

    def _prove(self, at: datetime) -> None:
        if self._freshness.prove(at):
            self._renew()

    def _renew(self) -> None:
        draw = self._random.random()
        self._read_at_age = self._rules.draw_read_age(draw)
        self._vote_at_age = self._rules.draw_vote_age(draw)
        if self._candidate is not None:
            self._put_in_force(self._candidate)

    # the store

    def _read(self) -> None:
        now = self.clock.now()
        if self.store is None or self._reading or now < self._read_from:
            return
        self._reading = True
        self.store.get(TABLE, ROW).addCallbacks(
            self._take_row, self._note_failure, callbackArgs=(now,)
        ).addErrback(self._note_failure)

    def _take_row(self, row: StoredRow | None, asked_at: datetime) -> None:
        self._reading = False
        self._read_failures = 0
        if not self._running:
            return
        if row is None or row.version <= self._known():
            self._note_read(asked_at)
        else:
            self.accept(decode_stored(row), asked_at)

    def _note_failure(self, failure: Failure) -> None:
        self._reading = False
        self._read_failures += 1
        pause = min(READ_BACKOFF_MOST, TICK * 2**self._read_failures)
        self._read_from = self.clock.now() + pause * self._random.uniform(0.5, 1)
        self._log("read_failed", "store was not read", reason=failure.getErrorMessage())

    # copies between peers

    def _greet(self, link: Link) -> None:
        if not self._freshness.is_fresh(self.clock.now()):
            self._ask([link])

    def _want(self, version: DocumentVersion, link: Link) -> None:
        now = self.clock.now()
        if self._fetching is not None:
            wanted, until = self._fetching
            if wanted >= version and now < until:
                return
        # spread, so that not every host asks the same peer at the same moment
        delay = FETCH_SPREAD * self._random.random()
        self._fetching = (version, now + delay + FETCH_TIMEOUT)
        self.clock.call_later(delay, self._fetch, version, link)

    def _fetch(self, version: DocumentVersion, link: Link) -> None:
        if self._running and version > self._known():
            link.send(DocumentFetch(version))

    def _send_copy(self, link: Link, fetch: DocumentFetch) -> None:
        stored = self._in_force
        if stored is not None and stored.revision.version >= fetch.version:
            link.send(DocumentCopy(stored.revision.version, encode_copy(stored)))

    def _take_copy(self, link: Link, copy: DocumentCopy) -> None:
        if copy.version <= self._known():
            return
        try:
            stored = decode_copy(copy.data, copy.version)
        except StoredDocumentError as error:
            self._log("copy_refused", "copy was refused", peer=link.peer.host, reason=str(error))
            return
        self._fetching = None
        self._consider(stored)

    # what is in force

    def _consider(self, stored: StoredDocument) -> None:
        if stored.revision.version <= self._known():
            return
        self._voters = choose_voters(stored.document)
        self._candidate = stored
        # a fresh process must not fall behind what its earlier life had in force
        if self._freshness.is_proved:
            self._put_in_force(stored)

    def _put_in_force(self, stored: StoredDocument) -> None:
        self._candidate = None
        self._in_force = stored
        version = stored.revision.version
        self._kept[version] = stored
        while len(self._kept) > KEPT_VERSIONS:
            del self._kept[min(self._kept)]
        self._log("in_force", f"version {version} is in force", version=version)
        if self._record is not None:
            event = Event(self.clock.now(), self._hello.host, DocumentInForce(version))
            self._record.emit(event)
        self._confirmations.saw(self._hello.backend, version)
        for link in self._links.live():
            link.send(DocumentState(0, version, None, None, False))
        for handler in list(self._watchers):
            handler(stored.document)

    def _log(self, kind: str, text: str, **fields: Any) -> None:
        log_message(f"document:{kind}", text=f"document: {text}", host=self._hello.host, **fields)


@SERVICES.register("document")
def make_document(kernel: Kernel) -> DocumentService:
    """Make the service; hosts without a ``store`` learn from peers."""
    store = kernel.find("store", Store) if kernel.has("store") else None
    record = kernel.find("record", Record) if kernel.has("record") else None
    links = kernel.find("links", Links)
    return DocumentService(
        kernel.clock, kernel.settings.hello(), links, store, record=record, chance=kernel.chance
    )
