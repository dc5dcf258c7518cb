"""Service ``document``: the configuration in force on this host."""

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
from lavenderrun.services._document_confirm import Confirmations
from lavenderrun.services._document_copies import DocumentCopies
from lavenderrun.services._document_lease import DocumentLease
from lavenderrun.services._document_submit import Submission
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

KEPT_VERSIONS: Final = 8
SEED_BITS: Final = 64


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
        random_source: random.Random | None = None,
    ) -> None:
        self.clock = clock
        self.store = store
        self._hello = hello
        self._links = links
        self._record = record
        self._random = random_source or random.Random()
        rules = rules or FreshnessRules()
        self._lease = DocumentLease(
            clock, links, store, self, host=hello.host, rules=rules, random_source=self._random
        )
        self._copies = DocumentCopies(
            clock, links, self, host=hello.host, random_source=self._random
        )
        self._confirmations = Confirmations(clock, rules.window, hello.backend)
        self._in_force: StoredDocument | None = None
        self._candidate: StoredDocument | None = None
        self._kept: dict[DocumentVersion, StoredDocument] = {}
        self._watchers: list[Callable[[Document], None]] = []

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
        return self._lease.freshness.age(self.clock.now())

    @property
    def is_fresh(self) -> bool:
        """Whether keyed routes may be served by the document in force."""
        return self._in_force is not None and self._lease.freshness.is_fresh(self.clock.now())

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
        self.consider(stored)
        self._lease.note_read(read_at)

    def start(self) -> None:
        """Listen to peers and read the store."""
        self._links.bind_versions(lambda: self.version, self.saw_version)
        self._copies.start()
        self._lease.start()

    def stop(self) -> None:
        """End all timers."""
        self._confirmations.stop()
        self._copies.stop()
        self._lease.stop()

    def saw_version(self, version: DocumentVersion, link: Link) -> None:
        """Take the version that rode on a peer's batch."""
        self._confirmations.saw(link.peer.backend, version)
        if version > self.known():
            self.want(version, link)

    def known(self) -> DocumentVersion:
        """Return the newest version that this host holds, in force or not."""
        newest = self._candidate or self._in_force
        return newest.revision.version if newest else DocumentVersion(0)

    def want(self, version: DocumentVersion, link: Link) -> None:
        """Fetch a newer version from a peer."""
        self._copies.want(version, link)

    def take_row(self, row: StoredRow, asked_at: datetime) -> None:
        """Take a newer version from the store.

        :raises StoredDocumentError: when the row is damaged.
        """
        self.accept(decode_stored_document(row), asked_at)

    def renewed(self) -> None:
        """Put in force what waited for the first renewal of the lease."""
        if self._candidate is not None:
            self._put_in_force(self._candidate)

    def consider(self, stored: StoredDocument) -> None:
        """Take a version if it is newer."""
        if stored.revision.version <= self.known():
            return
        self._lease.voters = choose_voters(stored.document)
        self._candidate = stored
        # a fresh process must not fall behind what its earlier life had in force
        if self._lease.freshness.has_proof:
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
        for link in self._links.list_live():
            link.send(DocumentState(0, version, None, None, False))
        for handler in list(self._watchers):
            self._tell(handler, stored.document)

    def _tell(self, handler: Callable[[Document], None], document: Document) -> None:
        try:
            handler(document)
        except Exception as error:
            # one part that fails must not keep the others on the old version
            self._log("watcher_failed", "a part did not take it", error=type(error).__name__)

    def _log(self, kind: str, text: str, **fields: Any) -> None:
        log_message(f"document:{kind}", text=f"document: {text}", host=self._hello.host, **fields)


@SERVICES.register("document")
def make_document_service(kernel: Kernel) -> DocumentService:
    """Make the service; hosts without a ``store`` learn from peers."""
    store = kernel.find("store", Store) if kernel.has("store") else None
    record = kernel.find("record", Record) if kernel.has("record") else None
    links = kernel.find("links", Links)
    # a source of its own, so that its many draws leave those of other services alone
    random_source = random.Random(kernel.random_source.getrandbits(SEED_BITS))
    return DocumentService(
        kernel.clock,
        kernel.settings.hello(),
        links,
        store,
        record=record,
        random_source=random_source,
    )
