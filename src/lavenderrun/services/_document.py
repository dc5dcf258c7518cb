"""Service ``document``: the configuration document and its version in force on this host."""

from __future__ import annotations

import random
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final

from eliot import log_message
from twisted.internet.defer import Deferred

from lavenderrun.codecs import decode_stored_document
from lavenderrun.decisions import FreshnessRules, choose_voters
from lavenderrun.kernel import SERVICES, Clock, Kernel
from lavenderrun.services._document_confirmations import Confirmations
from lavenderrun.services._document_copies import DocumentCopies
from lavenderrun.services._document_freshness import FreshnessLease
from lavenderrun.services._document_submission import Submission
from lavenderrun.types import (
    Document,
    DocumentConflict,
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

RECENT_VERSIONS: Final = 8
SEED_BITS: Final = 64


class DocumentService:
    """Implements ``DocumentKeeper``: reads and writes the document, and shares it with peers.

    :param store: ``None`` on hosts that get the document from peers only.
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
        random_source: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.store = store
        self._hello = hello
        self._links = links
        self._record = record
        self._random = random_source or random.Random()
        rules = rules or FreshnessRules()
        self._freshness_lease = FreshnessLease(
            clock, links, store, self, host=hello.host, rules=rules, random_source=self._random
        )
        self._copies = DocumentCopies(
            clock, links, self, host=hello.host, random_source=self._random
        )
        self._confirmations = Confirmations(clock, rules.window, hello.backend)
        self._in_force: StoredDocument | None = None
        self._candidate: StoredDocument | None = None
        self._recent: dict[DocumentVersion, StoredDocument] = {}
        self._watchers: list[Callable[[Document], None]] = []

    @property
    def version(self) -> DocumentVersion:
        """The version in force, which never decreases."""
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
        """Time since the version in force is known to have been the newest, ``None`` if unknown."""
        return self._freshness_lease.freshness.age(self.clock.now())

    @property
    def is_fresh(self) -> bool:
        """Whether routes that need a key may be served by the document in force."""
        return self._in_force is not None and self._freshness_lease.freshness.is_fresh(
            self.clock.now()
        )

    def watch(self, handler: Callable[[Document], None]) -> None:
        """Call *handler* for the document in force, if any, and for each later one."""
        self._watchers.append(handler)
        if self._in_force is not None:
            handler(self._in_force.document)

    def find_recent(self, version: DocumentVersion) -> StoredDocument | None:
        """Return *version* if it is one of the latest that were in force on this host."""
        return self._recent.get(version)

    def submit(
        self, document: Document, author: str, expect: DocumentVersion
    ) -> Deferred[Submitted | DocumentConflict]:
        """Replace version *expect* by *document*.

        :raises StepError: when the store did not answer; the outcome is then unknown.
        """
        return Submission(self, self._random, author, expect).run(document)

    def confirm(
        self, stored: StoredDocument, base: StoredDocument | None, read_at: datetime
    ) -> Deferred[bool]:
        """Put an accepted version in force; fires with whether a majority of its voters hold it."""
        earlier = choose_voters(base.document) if base else frozenset()
        voters = (earlier, choose_voters(stored.document))
        pending = self._confirmations.open(stored.revision.version, voters)
        self.apply_stored(stored, read_at)
        return pending

    def apply_stored(self, stored: StoredDocument, read_at: datetime) -> None:
        """Apply a version that the store returned to a call made at *read_at*."""
        self.hold_if_newer(stored)
        self._freshness_lease.note_read(read_at)

    def start(self) -> None:
        """Subscribe to peers and begin to read the store."""
        self._links.bind_versions(lambda: self.version, self.note_version)
        self._copies.start()
        self._freshness_lease.start()

    def stop(self) -> None:
        """Stop fetching and renewing, and end all waits for voters as not confirmed."""
        self._confirmations.stop()
        self._copies.stop()
        self._freshness_lease.stop()

    def note_version(self, version: DocumentVersion, link: Link) -> None:
        """Handle the version that a peer put on its batch: fetch the document if it is newer."""
        self._confirmations.count_holder(link.peer.backend, version)
        if version > self.find_newest_version():
            self.fetch_newer(version, link)

    def find_newest_version(self) -> DocumentVersion:
        """Return the newest version that this host holds, in force or not."""
        newest = self._candidate or self._in_force
        return newest.revision.version if newest else DocumentVersion(0)

    def fetch_newer(self, version: DocumentVersion, link: Link) -> None:
        """Fetch *version* or a newer one from the peer on *link*."""
        self._copies.fetch_newer(version, link)

    def apply_row(self, row: StoredRow, asked_at: datetime) -> None:
        """Apply a newer version that the store returned to a call made at *asked_at*.

        :raises StoredDocumentError: when the row can't be decoded.
        """
        self.apply_stored(decode_stored_document(row), asked_at)

    def note_renewal(self) -> None:
        """Put in force the version that waited for the first renewal of the freshness lease."""
        if self._candidate is not None:
            self._put_in_force(self._candidate)

    def hold_if_newer(self, stored: StoredDocument) -> None:
        """Hold a newer version, and put it in force once this host has a proof of freshness."""
        if stored.revision.version <= self.find_newest_version():
            return
        self._freshness_lease.voters = choose_voters(stored.document)
        self._candidate = stored
        # a restarted host must not put an older version in force than it had before the restart
        if self._freshness_lease.freshness.has_proof:
            self._put_in_force(stored)

    def _put_in_force(self, stored: StoredDocument) -> None:
        self._candidate = None
        self._in_force = stored
        version = stored.revision.version
        self._recent[version] = stored
        while len(self._recent) > RECENT_VERSIONS:
            del self._recent[min(self._recent)]
        self._log("in_force", f"version {version} is in force", version=version)
        if self._record is not None:
            event = Event(self.clock.now(), self._hello.host, DocumentInForce(version))
            self._record.emit(event)
        self._confirmations.count_holder(self._hello.backend, version)
        for link in self._links.list_live():
            link.send(DocumentState(0, version, None, None, False))
        for handler in list(self._watchers):
            self._notify(handler, stored.document)

    def _notify(self, handler: Callable[[Document], None], document: Document) -> None:
        try:
            handler(document)
        except Exception as error:
            # one watcher that fails must not keep the others on the old version
            self._log(
                "watcher_failed", "a watcher failed on the new version", error=type(error).__name__
            )

    def _log(self, kind: str, text: str, **fields: Any) -> None:
        log_message(f"document:{kind}", text=f"document: {text}", host=self._hello.host, **fields)


@SERVICES.register("document")
def make_document_service(kernel: Kernel) -> DocumentService:
    """Make the service; hosts without a ``store`` get the document from peers."""
    store = kernel.find("store", Store) if kernel.has("store") else None
    record = kernel.find("record", Record) if kernel.has("record") else None
    links = kernel.find("links", Links)
    # a separate random source: its many draws must not change those of other services
    random_source = random.Random(kernel.random_source.getrandbits(SEED_BITS))
    return DocumentService(
        kernel.clock,
        kernel.settings.hello(),
        links,
        store,
        record=record,
        random_source=random_source,
    )
