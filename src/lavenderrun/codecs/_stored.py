"""The document's row in the table service and the copy of it that peers exchange."""

from __future__ import annotations

import zlib
from typing import Final

import msgspec

from lavenderrun.codecs._document import FileFormat, digest_document, encode_document, read_document
from lavenderrun.codecs._faults import FaultList
from lavenderrun.types import Document, DocumentVersion, Revision, StoredDocument, StoredRow

MAX_HISTORY: Final = 32  # revisions
MAX_COPY_BYTES: Final = 16 << 20


class StoredDocumentError(ValueError):
    """Bytes that hold no valid stored document."""


class _DocumentRow(msgspec.Struct, frozen=True):
    digest: str
    revision: Revision
    history: tuple[Revision, ...]
    document: msgspec.Raw


def make_stored_document(
    document: Document, revision: Revision, base: StoredDocument | None
) -> StoredDocument:
    """Return *document* as the revision that follows *base*."""
    history = () if base is None else (*base.history, base.revision)
    digest = digest_document(encode_document(document))
    return StoredDocument(document, digest, revision, history[-MAX_HISTORY:])


def encode_stored_document(stored: StoredDocument) -> bytes:
    """Return the value of the document's row."""
    document = msgspec.Raw(encode_document(stored.document))
    return msgspec.json.encode(
        _DocumentRow(stored.digest, stored.revision, stored.history, document)
    )


def decode_stored_document(row: StoredRow) -> StoredDocument:
    """Return the document in a row.

    :raises StoredDocumentError: when it is damaged or this release cannot read it.
    """
    return _decode(row.value, DocumentVersion(row.version))


def encode_document_copy(stored: StoredDocument) -> bytes:
    """Return the bytes of a copy for a peer."""
    return zlib.compress(encode_stored_document(stored), 1)


def decode_document_copy(data: bytes, version: DocumentVersion) -> StoredDocument:
    """Return the document in a peer's copy.

    :raises StoredDocumentError: when it is damaged or this release cannot read it.
    """
    try:
        unpacked = zlib.decompressobj().decompress(data, MAX_COPY_BYTES)
    except zlib.error as error:
        raise StoredDocumentError(str(error)) from None
    return _decode(unpacked, version)


def _decode(value: bytes, version: DocumentVersion) -> StoredDocument:
    try:
        row = msgspec.json.decode(value, type=_DocumentRow)
    except (msgspec.DecodeError, RecursionError) as error:
        raise StoredDocumentError(str(error)) from None
    if digest_document(bytes(row.document)) != row.digest:
        msg = "digest differs"
        raise StoredDocumentError(msg)
    document = read_document(bytes(row.document), FileFormat.JSON)
    if isinstance(document, FaultList):
        raise StoredDocumentError(str(document.faults[0]))
    revision = msgspec.structs.replace(row.revision, version=version)
    return StoredDocument(document, row.digest, revision, row.history)
