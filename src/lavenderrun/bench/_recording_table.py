"""Table service of a benchmark that records each accepted document."""

from __future__ import annotations

from collections.abc import Callable

from lavenderrun.codecs import decode_stored_document
from lavenderrun.standins import TableCore
from lavenderrun.types import DocumentAccepted, EventData, StoredRow

DOCUMENT_TABLE = "document"
TOKEN_BYTES = 12
"""Length of the random token that the store client puts before a value."""


class RecordingTable(TableCore):
    """A table core that emits ``DocumentAccepted`` when the document's row is written."""

    def __init__(self, emit: Callable[[EventData], None]) -> None:
        super().__init__()
        self._emit = emit

    def put(self, table: str, key: str, value: bytes, *, expect: int) -> StoredRow:
        """Write a row as :meth:`TableCore.put` does, and record a written document."""
        row = super().put(table, key, value, expect=expect)
        if table == DOCUMENT_TABLE:
            stored = decode_stored_document(
                StoredRow(row.key, row.version, row.value[TOKEN_BYTES:])
            )
            self._emit(DocumentAccepted(stored.revision.version, stored.document))
        return row
