"""One submission: a compare-and-set write, sent again when its reply is lost."""

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
ROW_KEY: Final = "current"
SETTLE_TIMEOUT: Final = timedelta(seconds=10)
RETRY_PAUSE: Final = timedelta(seconds=0.5)
SUBMISSION_ID_BYTES: Final = 12


class SubmissionOwner(Protocol):
    """What a submission needs of the document service."""

    clock: Clock
    store: Store | None

    @property
    def stored(self) -> StoredDocument | None:
        """The document in force."""

    def find_recent(self, version: DocumentVersion) -> StoredDocument | None:
        """Return *version* if it is one of the latest that were in force on this host."""

    def apply_stored(self, stored: StoredDocument, read_at: datetime) -> None:
        """Apply a version that the store returned to a call made at *read_at*."""

    def confirm(
        self, stored: StoredDocument, base: StoredDocument | None, read_at: datetime
    ) -> Deferred[bool]:
        """Put an accepted version in force; fires with whether a majority of its voters hold it."""


class Submission:
    """One attempt of an operator to replace version *expect* by a new document."""

    def __init__(
        self,
        owner: SubmissionOwner,
        random_source: random.Random,
        author: str,
        expect: DocumentVersion,
    ) -> None:
        self._owner = owner
        self._random = random_source
        self._author = author
        self._expect = expect
        self._id = random_source.randbytes(SUBMISSION_ID_BYTES).hex()
        self._call_began_at = owner.clock.now()
        self._deadline = self._call_began_at + SETTLE_TIMEOUT

    @inlineCallbacks
    def run(
        self, document: Document
    ) -> Generator[Deferred[Any], Any, Submitted | DocumentConflict]:
        """Write *document* as the version after *expect*.

        :raises StepError: when the store did not answer; the outcome is then unknown.
        """
        base: StoredDocument | None = yield self._find_base()
        now = self._owner.clock.now()
        revision = Revision(DocumentVersion(self._expect + 1), self._author, now, self._id)
        stored = make_stored_document(document, revision, base)
        if base is not None and stored.digest == base.digest:
            return Submitted(self._expect, base.digest, confirmed=True)
        found = yield self._write(stored)
        if self._has_own_submission(found):
            accepted: Submitted = yield self._accept(found, stored, base)
            return accepted
        return self._handle_conflict(found, document)

    @inlineCallbacks
    def _find_base(
        self,
    ) -> Generator[Deferred[Any], Any, StoredDocument | None]:
        held = self._owner.stored
        if held is not None and held.revision.version == self._expect:
            return held
        row = yield self._call(lambda store: store.get(TABLE, ROW_KEY))
        if row is not None and row.version == self._expect:
            return self._decode(row)
        return None

    @inlineCallbacks
    def _write(self, stored: StoredDocument) -> Generator[Deferred[Any], Any, StoredRow]:
        value = encode_stored_document(stored)
        try:
            # retries keep the submission id, so a conflict after a lost reply reveals the write
            row: StoredRow = yield self._call(
                lambda store: store.put(TABLE, ROW_KEY, value, expect=self._expect)
            )
        except StoreConflictError as conflict:
            if conflict.current is None:
                raise self._make_error("the row is gone") from None
            return conflict.current
        return row

    @inlineCallbacks
    def _call(self, call: Callable[[Store], Deferred[Any]]) -> Generator[Deferred[Any], Any, Any]:
        store = self._owner.store
        if store is None:
            raise self._make_error("this host has no store")
        while True:
            self._call_began_at = self._owner.clock.now()
            try:
                return (yield call(store))
            except StoreUnavailableError:
                if self._owner.clock.now() >= self._deadline:
                    raise self._make_error("no answer; the outcome is not known") from None
            yield self._wait_for_retry()

    def _wait_for_retry(self) -> Deferred[None]:
        return sleep(self._owner.clock, RETRY_PAUSE * self._random.uniform(0.5, 1.5))

    @inlineCallbacks
    def _accept(
        self, row: StoredRow, stored: StoredDocument, base: StoredDocument | None
    ) -> Generator[Deferred[Any], Any, Submitted]:
        found = self._decode(row)
        own = next(r for r in (found.revision, *found.history) if r.submission == self._id)
        log_message(
            "document:accepted",
            text=f"document: version {own.version} is accepted",
            version=own.version,
            author=self._author,
            digest=stored.digest,
        )
        confirmed = yield self._owner.confirm(found, base, self._call_began_at)
        return Submitted(own.version, stored.digest, confirmed)

    def _handle_conflict(self, row: StoredRow, document: Document) -> DocumentConflict:
        found = self._decode(row)
        self._owner.apply_stored(found, self._call_began_at)
        since = [r for r in (*found.history, found.revision) if r.version > self._expect]
        base = self._owner.find_recent(self._expect)
        log_message(
            "document:conflict",
            text=f"document: refused, version {self._expect} was already replaced",
            current=found.revision.version,
            author=self._author,
        )
        return DocumentConflict(
            found.revision.version,
            tuple(since),
            find_changes(_dump(base.document), _dump(found.document)) if base else None,
            find_changes(_dump(found.document), _dump(document)),
        )

    def _has_own_submission(self, row: StoredRow) -> bool:
        found = self._decode(row)
        return any(r.submission == self._id for r in (found.revision, *found.history))

    def _decode(self, row: StoredRow) -> StoredDocument:
        try:
            return decode_stored_document(row)
        except StoredDocumentError as error:
            raise self._make_error(f"the stored document can't be read: {error}") from None

    def _make_error(self, reason: str) -> StepError:
        return StepError(Step.STORE, "table service", reason)


def _dump(document: Document) -> dict[str, Any]:
    return document.model_dump(mode="json")
