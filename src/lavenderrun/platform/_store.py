"""Encodes calls to the platform's table service and decodes its answers."""

from __future__ import annotations

import base64
import re
from collections.abc import Collection
from datetime import timedelta
from typing import Any, Final
from urllib.parse import urlencode

import msgspec

from lavenderrun.decoding import Count, decode_json
from lavenderrun.gateway import (
    GATEWAY_SERVICES,
    HistoryGoneError,
    HttpRequest,
    RowChange,
    RowConflictError,
    RowPage,
    RowWrite,
    StoreRefusal,
)
from lavenderrun.kernel import Kernel
from lavenderrun.platform._configuration import decode_configuration
from lavenderrun.platform._members import decode_member
from lavenderrun.types import Configuration, DataCentre, Headers, Member, StoreEra

CONFIGURATION_KEY: Final = "config"
EVACUATION_PREFIX: Final = "evacuate/"
"""The key of an evacuation is this and the name of the data centre, ``evacuate/ZONE``."""

UNNAMED_PART: Final = ""
"""Part of a table that holds all rows that the gateway reads and writes."""

MAX_PAGE_ROWS: Final = 500
"""Largest number of rows that the platform allows in one answer."""

ERA_HEADER: Final = "store-era"
ERA: Final = re.compile("[0-9]{1,9}")

OK: Final = 200
CONFLICT: Final = 412
HISTORY_GONE: Final = 410


class _TableRow(msgspec.Struct):
    key: str
    ver: Count
    part: str = ""
    value: str | None = None
    removed: bool = False


class _TablePage(msgspec.Struct):
    ver: Count
    rows: list[msgspec.Raw] = []
    truncated: bool = False


class TableDialect:
    """Implements ``StoreDialect`` for the platform's table service.

    :param address: IP number and port of the table service.
    """

    configuration_table = "op"
    members_table = "servers"
    hosts_table = "lavenderrun-gateways"
    leases_table = "lavenderrun-leases"

    def __init__(self, address: str) -> None:
        self._headers = [("Host", address)]

    def encode_read(self, table: str, start: str) -> HttpRequest:
        """Return the request that reads a table from key *start*, empty for the first."""
        query: dict[str, object] = {"table": table, "part": UNNAMED_PART, "limit": MAX_PAGE_ROWS}
        if start:
            query["from"] = start
        return HttpRequest("GET", f"/api/rows-get?{urlencode(query)}", self._headers)

    def encode_feed(self, table: str, after: int, wait: timedelta) -> HttpRequest:
        """Return the request that waits up to *wait* for changes after a version."""
        wait_ms = int(wait / timedelta(milliseconds=1))
        query = urlencode({"table": table, "after": after, "wait-ms": wait_ms})
        return HttpRequest("GET", f"/api/rows-feed?{query}", self._headers)

    def encode_write(self, table: str, writes: Collection[RowWrite]) -> HttpRequest:
        """Return the request that writes rows of one table in one transaction."""

        def name(write: RowWrite) -> dict[str, Any]:
            return {"table": table, "part": UNNAMED_PART, "key": write.key}

        body = msgspec.json.encode(
            {
                "expected": [
                    {**name(write), "ver": write.expected}
                    for write in writes
                    if write.expected is not None
                ],
                "writes": [
                    {**name(write), "value": base64.b64encode(write.value).decode()}
                    for write in writes
                    if write.value is not None
                ],
                "deletes": [name(write) for write in writes if write.value is None],
            }
        )
        headers = [
            *self._headers,
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(body))),
        ]
        return HttpRequest("POST", "/api/rows-tx", headers, body)

    def decode_era(self, headers: Headers) -> StoreEra | None:
        """Return the store's era in the headers of an answer, ``None`` when they do not say."""
        found = [value for name, value in headers if name.lower() == ERA_HEADER]
        if len(found) != 1 or ERA.fullmatch(found[0]) is None:
            return None
        return StoreEra(int(found[0]))

    def decode_rows(self, status: int, body: bytes) -> RowPage:
        """Return the rows in an answer; malformed rows are skipped.

        :raises StoreRefusal: when the status is not a success.
        :raises ValueError: when the answer is malformed.
        """
        if status == HISTORY_GONE:
            raise HistoryGoneError(status)
        if status == CONFLICT:
            raise RowConflictError(status)
        if status != OK:
            raise StoreRefusal(status)
        page = decode_json(body, _TablePage)
        rows = [row for raw in page.rows if (row := _decode_row(raw)) is not None]
        # the range includes its first key, so it starts at the smallest key after the last one read
        next_key = rows[-1].key + "\0" if page.truncated and rows else None
        return RowPage(rows, page.ver, next_key)

    def decode_configuration(self, rows: Collection[RowChange]) -> Configuration | None:
        """Return the newest configuration among *rows*, ``None`` without one.

        :raises ValueError: when a field is missing or wrong; names the field.
        """
        values = [r.value for r in rows if r.key == CONFIGURATION_KEY and r.value is not None]
        return decode_configuration(values[-1]) if values else None

    def decode_member(self, row: RowChange) -> Member | None:
        """Return the backend server that a row describes, ``None`` when the row is not valid."""
        return None if row.value is None else decode_member(row.key, row.value)

    def decode_evacuation(self, row: RowChange) -> DataCentre | None:
        """Return the data centre that a row evacuates, ``None`` for any other row.

        Its presence counts, whatever its value.
        """
        name = row.key.removeprefix(EVACUATION_PREFIX)
        return DataCentre(name) if name and name != row.key else None


def _decode_row(raw: msgspec.Raw) -> RowChange | None:
    try:
        row = decode_json(raw, _TableRow)
        if row.part != UNNAMED_PART:
            return None
        if row.removed or row.value is None:
            return RowChange(row.key, None, row.ver)
        return RowChange(row.key, base64.b64decode(row.value, validate=True), row.ver)
    except ValueError:
        # a malformed row must not hide the others
        return None


@GATEWAY_SERVICES.register("store_dialect")
def make_store_dialect(kernel: Kernel) -> Any:
    """Make the service ``store_dialect``."""
    return kernel.wrap(TableDialect(kernel.settings.store))
