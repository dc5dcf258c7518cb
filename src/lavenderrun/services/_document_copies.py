"""Copies of the document from peer to peer."""

from __future__ import annotations

import random
from datetime import datetime, timedelta
from typing import Final, Protocol

from eliot import log_message

from lavenderrun.codecs import StoredDocumentError, decode_document_copy, encode_document_copy
from lavenderrun.kernel import Clock
from lavenderrun.types import (
    DocumentCopy,
    DocumentFetch,
    DocumentVersion,
    HostId,
    Link,
    Links,
    StoredDocument,
)

FETCH_TIMEOUT: Final = timedelta(seconds=1)
FETCH_SPREAD: Final = timedelta(seconds=0.2)


class CopyOwner(Protocol):
    """What the exchange needs of the document service."""

    @property
    def stored(self) -> StoredDocument | None:
        """The document in force."""

    def known(self) -> DocumentVersion:
        """Return the newest version that this host holds."""

    def consider(self, stored: StoredDocument) -> None:
        """Take a newer version."""


class DocumentCopies:
    """Fetches newer versions from peers and gives them this host's."""

    def __init__(
        self,
        clock: Clock,
        links: Links,
        owner: CopyOwner,
        *,
        host: HostId,
        random_source: random.Random,
    ) -> None:
        self._clock = clock
        self._links = links
        self._owner = owner
        self._host = host
        self._random = random_source
        self._copy: tuple[DocumentVersion, bytes] = (DocumentVersion(0), b"")
        self._fetching: tuple[DocumentVersion, datetime] | None = None
        self._stopped = False

    def start(self) -> None:
        """Listen to peers."""
        self._links.subscribe(DocumentFetch, self._send_copy)
        self._links.subscribe(DocumentCopy, self._take_copy)

    def stop(self) -> None:
        """Drop what is still to come."""
        self._stopped = True

    def want(self, version: DocumentVersion, link: Link) -> None:
        """Fetch at least *version* from a peer, unless a fetch is under way."""
        now = self._clock.now()
        if self._fetching is not None:
            wanted, until = self._fetching
            if wanted >= version and now < until:
                return
        # spread, so that not every host asks the same peer at the same moment
        delay = FETCH_SPREAD * self._random.random()
        self._fetching = (version, now + delay + FETCH_TIMEOUT)
        self._clock.call_later(delay, self._fetch, version, link)

    def _fetch(self, version: DocumentVersion, link: Link) -> None:
        if not self._stopped and version > self._owner.known():
            link.send(DocumentFetch(version))

    def _send_copy(self, link: Link, fetch: DocumentFetch) -> None:
        stored = self._owner.stored
        if stored is None or stored.revision.version < fetch.version:
            return
        version = stored.revision.version
        if self._copy[0] != version:
            self._copy = (version, encode_document_copy(stored))
        link.send(DocumentCopy(*self._copy))

    def _take_copy(self, link: Link, copy: DocumentCopy) -> None:
        if copy.version <= self._owner.known():
            return
        try:
            stored = decode_document_copy(copy.data, copy.version)
        except StoredDocumentError as error:
            log_message(
                "document:copy_refused",
                text="document: a peer's copy was refused",
                host=self._host,
                peer=link.peer.host,
                reason=str(error),
            )
            return
        self._fetching = None
        self._owner.consider(stored)
