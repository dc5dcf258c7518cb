"""Exchange of copies of the document between peers."""

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
FETCH_DELAY_MAX: Final = timedelta(seconds=0.2)


class CopyOwner(Protocol):
    """What :class:`DocumentCopies` needs of the document service."""

    @property
    def stored(self) -> StoredDocument | None:
        """The document in force."""

    def find_newest_version(self) -> DocumentVersion:
        """Return the newest version that this host holds."""

    def hold_if_newer(self, stored: StoredDocument) -> None:
        """Hold a newer version, and put it in force once this host may."""


class DocumentCopies:
    """Fetches newer versions from peers and sends them the version in force on this host."""

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
        self._encoded_copy: tuple[DocumentVersion, bytes] = (DocumentVersion(0), b"")
        self._pending_fetch: tuple[DocumentVersion, datetime] | None = None
        self._stopped = False

    def start(self) -> None:
        """Subscribe to fetches and copies from peers."""
        self._links.subscribe(DocumentFetch, self._send_copy)
        self._links.subscribe(DocumentCopy, self._handle_copy)

    def stop(self) -> None:
        """Drop fetches that still wait for their delay."""
        self._stopped = True

    def fetch_newer(self, version: DocumentVersion, link: Link) -> None:
        """Fetch *version* or a newer one from a peer, unless such a fetch is under way."""
        now = self._clock.now()
        if self._pending_fetch is not None:
            wanted, until = self._pending_fetch
            if wanted >= version and now < until:
                return
        # a random delay, so that hosts don't all ask the same peer at once
        delay = FETCH_DELAY_MAX * self._random.random()
        self._pending_fetch = (version, now + delay + FETCH_TIMEOUT)
        self._clock.call_later(delay, self._send_fetch, version, link)

    def _send_fetch(self, version: DocumentVersion, link: Link) -> None:
        if not self._stopped and version > self._owner.find_newest_version():
            link.send(DocumentFetch(version))

    def _send_copy(self, link: Link, fetch: DocumentFetch) -> None:
        stored = self._owner.stored
        if stored is None or stored.revision.version < fetch.version:
            return
        version = stored.revision.version
        if self._encoded_copy[0] != version:
            self._encoded_copy = (version, encode_document_copy(stored))
        link.send(DocumentCopy(*self._encoded_copy))

    def _handle_copy(self, link: Link, copy: DocumentCopy) -> None:
        if copy.version <= self._owner.find_newest_version():
            return
        try:
            stored = decode_document_copy(copy.data, copy.version)
        except StoredDocumentError as error:
            log_message(
                "document:copy_refused",
                text="document: a peer's copy can't be decoded",
                host=self._host,
                peer=link.peer.host,
                reason=str(error),
            )
            return
        self._pending_fetch = None
        self._owner.hold_if_newer(stored)
