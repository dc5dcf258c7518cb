"""One submission: compare-and-set, settled by reading back when the reply is lost."""

from __future__ import annotations

import random
from collections.abc import Callable, Generator
from datetime import datetime, timedelta
from typing import Any, Final, Protocol

from eliot import log_message
from twisted.internet.defer import Deferred, inlineCallbacks

from lavenderrun.codecs import (
    StoredDocumentError,
    decode_stored_document,
    encode_stored_document,
    make_stored_document,
)
from lavenderrun.decisions import find_changes
from lavenderrun.kernel import Clock, sleep
from lavenderrun.types import (
    Document,
    DocumentConflict,
    DocumentVersion,
    Revision,
    Step,
    StepError,
    Store,
    StoreConflictError,
    StoredDocument,
    StoredRow,
    StoreUnavailableError,
    Submitted,
)

TABLE: Final = "document"
ROW: Final = "current"
SETTLE_FOR: Final = timedelta(seconds=10)
SETTLE_PAUSE: Final = timedelta(seconds=0.5)
SUBMISSION_BYTES: Final = 12


class Keeper(Protocol):
    """What a submission needs of the document service."""

    clock: Clock
    store: Store | None

    @property
    def stored(self) -> StoredDocument | None:
        """The document in force."""

    def find_kept(self, version: DocumentVersion) -> StoredDocument | None:
        """Return one of the latest versions."""

    def accept(self, stored: StoredDocument, read_at: datetime) -> None:
        """Take a version that the store showed."""

    def confirm(
        self, stored: StoredDocument, base: StoredDocument | None, read_at: datetime
    ) -> Deferred[bool]:
        """Put an accepted version in force and wait for its voters."""


class Submission:
    """One attempt of an operator to replace version *expect*."""

    def __init__(
        self, keeper: Keeper, random_source: random.Random, author: str, expect: DocumentVersion
    ) -> None:
        self._keeper = keeper
        self._random = random_source
        self._author = author
        self._expect = expect
        self._id = random_source.randbytes(SUBMISSION_BYTES).hex()
        self._began = keeper.clock.now()
        self._deadline = self._began + SETTLE_FOR

    @inlineCallbacks
    def run(
        self, document: Document
    ) -> Generator[Deferred[Any], Any, Submitted | DocumentConflict]:
        """Write *document*.

        :raises StepError: when the store did not answer; the outcome is not known.
        """
        base: StoredDocument | None = yield self._find_base()
        now = self._keeper.clock.now()
        revision = Revision(DocumentVersion(self._expect + 1), self._author, now, self._id)
        stored = make_stored_document(document, revision, base)
        if base is not None and stored.digest == base.digest:
            return Submitted(self._expect, base.digest, confirmed=True)
        found = yield self._write(stored)
        if self._is_mine(found):
            accepted: Submitted = yield self._accept(found, stored, base)
            return accepted
        return self._refuse(found, document)

    @inlineCallbacks
    def _find_base(
        self,
    ) -> Generator[Deferred[Any], Any, StoredDocument | None]:
        held = self._keeper.stored
        if held is not None and held.revision.version == self._expect:
            return held
        row = yield self._call(lambda store: store.get(TABLE, ROW))
        if row is not None and row.version == self._expect:
            return self._decode(row)
        return None

    @inlineCallbacks
    def _write(self, stored: StoredDocument) -> Generator[Deferred[Any], Any, StoredRow]:
        value = encode_stored_document(stored)
        try:
            # sent again with the same submission id, so a lost reply is settled by the conflict
            row: StoredRow = yield self._call(
                lambda store: store.put(TABLE, ROW, value, expect=self._expect)
            )
        except StoreConflictError as conflict:
            if conflict.current is None:
                raise self._fail("the row is gone") from None
            return conflict.current
        return row

    @inlineCallbacks
    def _call(self, call: Callable[[Store], Deferred[Any]]) -> Generator[Deferred[Any], Any, Any]:
        store = self._keeper.store
        if store is None:
            raise self._fail("this host has no store")
        while True:
            self._began = self._keeper.clock.now()
            try:
                return (yield call(store))
            except StoreUnavailableError:
                if self._keeper.clock.now() >= self._deadline:
                    raise self._fail("no answer; the outcome is not known") from None
            yield self._pause()

    def _pause(self) -> Deferred[None]:
        return sleep(self._keeper.clock, SETTLE_PAUSE * self._random.uniform(0.5, 1.5))

    @inlineCallbacks
    def _accept(
        self, row: StoredRow, stored: StoredDocument, base: StoredDocument | None
    ) -> Generator[Deferred[Any], Any, Submitted]:
        found = self._decode(row)
        mine = next(r for r in (found.revision, *found.history) if r.submission == self._id)
        log_message(
            "document:accepted",
            text=f"document: version {mine.version} is accepted",
            version=mine.version,
            author=self._author,
            digest=stored.digest,
        )
        confirmed = yield self._keeper.confirm(found, base, self._began)
        return Submitted(mine.version, stored.digest, confirmed)

    def _refuse(self, row: StoredRow, document: Document) -> DocumentConflict:
        found = self._decode(row)
        self._keeper.accept(found, self._began)
        since = [r for r in (*found.history, found.revision) if r.version > self._expect]
        base = self._keeper.find_kept(self._expect)
        log_message(
            "document:conflict",
            text=f"document: version {self._expect} was replaced before",
            current=found.revision.version,
            author=self._author,
        )
        return DocumentConflict(
            found.revision.version,
            tuple(since),
            find_changes(_plain(base.document), _plain(found.document)) if base else None,
            find_changes(_plain(found.document), _plain(document)),
        )

    def _is_mine(self, row: StoredRow) -> bool:
        found = self._decode(row)
        return any(r.submission == self._id for r in (found.revision, *found.history))

    def _decode(self, row: StoredRow) -> StoredDocument:
        try:
            return decode_stored_document(row)
        except StoredDocumentError as error:
            raise self._fail(f"the stored document can't be read: {error}") from None

    def _fail(self, reason: str) -> StepError:
        return StepError(Step.STORE, "table service", reason)


def _plain(document: Document) -> dict[str, Any]:
    return document.model_dump(mode="json")
