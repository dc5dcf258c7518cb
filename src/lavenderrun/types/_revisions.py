"""Versions of the document: authors, differences, and the messages that spread them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

import msgspec

from lavenderrun.types._document import Document
from lavenderrun.types._ids import DocumentVersion
from lavenderrun.types._messages import Message, message


class Revision(msgspec.Struct, frozen=True):
    """One accepted version.

    :param submission: id of the attempt to write it, by which a writer whose reply was lost
        recognizes its own write.
    """

    version: DocumentVersion
    author: str
    at: datetime
    submission: str


class Change(msgspec.Struct, frozen=True):
    """A field that differs between two versions.

    :param path: dotted path; list items that have an id are named by it.
    :param before: plain value, ``None`` when the field is new.
    :param after: plain value, ``None`` when the field was removed.
    """

    path: str
    before: Any
    after: Any


@dataclass(frozen=True)
class StoredDocument:
    """A document with its revision and the latest revisions before it.

    :param digest: digest of the document's canonical bytes.
    """

    document: Document
    digest: str
    revision: Revision
    history: tuple[Revision, ...] = ()


@dataclass(frozen=True)
class Submitted:
    """An accepted submission.

    :param confirmed: a majority of the voters had it in time; see ``docs/design/document.md``.
    """

    version: DocumentVersion
    digest: str
    confirmed: bool


@dataclass(frozen=True)
class DocumentConflict:
    """Result of a submission that lost a race; nothing was written.

    :param current: the current version.
    :param since: revisions after the one that the submission was based on.
    :param theirs: what those revisions changed; ``None`` when the base is not known here.
    :param yours: what the submission would change in the current version.
    """

    current: DocumentVersion
    since: tuple[Revision, ...]
    theirs: tuple[Change, ...] | None
    yours: tuple[Change, ...]


@message("document_ask")
class DocumentStateRequest(Message, tag="document_ask", frozen=True):
    """Asks a peer for the state of its document."""

    number: int


@message("document_state")
class DocumentState(Message, tag="document_state", frozen=True):
    """Answer to :class:`DocumentStateRequest`, also sent unasked when a version comes into force.

    :param number: number of the request, zero when unasked.
    :param age: time since the version is known to have been the newest, ``None`` if unknown.
    :param read_age: time since a read of the store returned it, ``None`` if unknown.
    :param is_voter: the sender is one of the voters.
    """

    number: int
    version: DocumentVersion
    age: timedelta | None
    read_age: timedelta | None
    is_voter: bool


@message("document_fetch")
class DocumentFetch(Message, tag="document_fetch", frozen=True):
    """Asks a peer for its copy of the document, which has at least *version*."""

    version: DocumentVersion


@message("document_copy")
class DocumentCopy(Message, tag="document_copy", frozen=True):
    """A peer's copy of the document.

    :param data: the stored row, compressed.
    """

    version: DocumentVersion
    data: bytes
