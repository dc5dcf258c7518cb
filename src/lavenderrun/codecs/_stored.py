"""The document's row in the table service and its copy between peers."""

from __future__ import annotations

import zlib
from typing import Final

import msgspec

from lavenderrun.codecs._document import FileFormat, digest_document, encode_document, read_document
from lavenderrun.codecs._faults import FaultList
from lavenderrun.types import Document, DocumentVersion, Revision, StoredDocument, StoredRow

HISTORY_MOST: Final = 32  # revisions
COPY_MOST: Final = 16 << 20  # bytes


class StoredDocumentError(ValueError):
    """Bytes that hold no whole document."""


class _Row(msgspec.Struct, frozen=True):
    digest: str
    revision: Revision
    history: tuple[Revision, ...]
    document: msgspec.Raw


def make_stored_document(
    document: Document, revision: Revision, base: StoredDocument | None
) -> StoredDocument:
    """Return *document* as the revision after *base*."""
    history = () if base is None else (*base.history, base.revision)
    digest = digest_document(encode_document(document))
    return StoredDocument(document, digest, revision, history[-HISTORY_MOST:])


def encode_stored_document(stored: StoredDocument) -> bytes:
    """Return the value of the row."""
    document = msgspec.Raw(encode_document(stored.document))
    return msgspec.json.encode(_Row(stored.digest, stored.revision, stored.history, document))


def decode_stored_document(row: StoredRow) -> StoredDocument:
    """Return the document in a row.

    :raises StoredDocumentError: when it is damaged or this release can't read it.
    """
    return _decode(row.value, DocumentVersion(row.version))


def encode_document_copy(stored: StoredDocument) -> bytes:
    """Return the bytes of a copy for a peer."""
    return zlib.compress(encode_stored_document(stored), 1)


def decode_document_copy(data: bytes, version: DocumentVersion) -> StoredDocument:
    """Return the document in a peer's copy.

    :raises StoredDocumentError: when it is damaged or this release can't read it.
    """
    try:
        unpacked = zlib.decompressobj().decompress(data, COPY_MOST)
    except zlib.error as error:
        raise StoredDocumentError(str(error)) from None
    return _decode(unpacked, version)


def _decode(value: bytes, version: DocumentVersion) -> StoredDocument:
    try:
        row = msgspec.json.decode(value, type=_Row)
    except (msgspec.DecodeError, msgspec.ValidationError) as error:
        raise StoredDocumentError(str(error)) from None
    if digest_document(bytes(row.document)) != row.digest:
        msg = "digest differs"
        raise StoredDocumentError(msg)
    document = read_document(bytes(row.document), FileFormat.JSON)
    if isinstance(document, FaultList):
        raise StoredDocumentError(str(document.faults[0]))
    revision = msgspec.structs.replace(row.revision, version=version)
    return StoredDocument(document, row.digest, revision, row.history)
