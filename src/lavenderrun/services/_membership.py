"""Service ``membership``: registers this entry, and links it to all agents and entries.

The document lists the agents. Each entry registers itself in a row of the table service; the row
only says where to dial: if the greeting on the link differs, the greeting is used.
"""

from __future__ import annotations

from datetime import timedelta
from typing import Any, ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred, ensureDeferred

from lavenderrun.codecs import RowCodec, RowError
from lavenderrun.decisions import StaleRowDetector, choose_peer_addresses
from lavenderrun.kernel import SERVICES, Kernel, Timer
from lavenderrun.types import (
    Backend,
    Document,
    DocumentSource,
    EntryHost,
    Links,
    Store,
    StoreConflictError,
    StoredRow,
    StoreThrottledError,
    StoreUnavailableError,
)

TABLE = "entries"
ROUND_INTERVAL = timedelta(seconds=30)
EARLY_ROUND_INTERVAL = timedelta(seconds=2)
EARLY_ROUNDS = 5

STORE_ERRORS = (StoreUnavailableError, StoreThrottledError, StoreConflictError)


class MembershipService:
    """Links an entry to the agents of the document and to the other registered entries."""

    needs: ClassVar[tuple[str, ...]] = ("links", "store", "document")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._random = kernel.random_source
        self._links = kernel.find("links", Links)
        self._store = kernel.find("store", Store)
        self._document = kernel.find("document", DocumentSource)
        hello = kernel.settings.hello()
        self._own_entry = EntryHost(hello.host, hello.boot, hello.data_centre, hello.address)
        self._codec = RowCodec(TABLE)
        self._stale_rows = StaleRowDetector()
        self._entries: dict[str, EntryHost] = {}
        self._backends: list[Backend] = []
        self._rounds = 0
        self._timer: Timer | None = None
        self._stopped = False

    def start(self) -> None:
        """Watch the document, and register and read the entries at regular intervals."""
        self._document.watch(self._apply_document)
        self._begin_round()

    def stop(self) -> Deferred[None]:
        """Remove this entry's row."""
        self._stopped = True
        if self._timer is not None:
            self._timer.cancel()
        return ensureDeferred(self._remove_own_row())

    def entries(self) -> list[EntryHost]:
        """Return the other entries, as last read from the table service."""
        return [entry for entry in self._entries.values() if entry.host != self._own_entry.host]

    def _apply_document(self, document: Document) -> None:
        self._backends = document.backends
        self._set_peers()

    def _set_peers(self) -> None:
        self._links.set_peers(
            choose_peer_addresses(self._own_entry.host, self._backends, self._entries.values())
        )

    def _begin_round(self) -> None:
        ensureDeferred(self._run_round())

    async def _run_round(self) -> None:
        try:
            await self._register()
            await self._read_entries()
        except STORE_ERRORS as error:
            log_message(
                "membership:store",
                text="membership: round failed, the entries read before stay",
                error=type(error).__name__,
            )
        if not self._stopped:
            self._rounds += 1
            pause = EARLY_ROUND_INTERVAL if self._rounds < EARLY_ROUNDS else ROUND_INTERVAL
            jitter = self._random.uniform(0.75, 1.25)
            self._timer = self._clock.call_later(pause * jitter, self._begin_round)

    async def _register(self) -> None:
        row = await self._store.get(TABLE, self._own_entry.host)
        version = row.version if row is not None else 0
        # each round writes, since a host whose row version stays the same counts as dead
        await self._store.put(
            TABLE, self._own_entry.host, self._codec.encode(self._own_entry), expect=version
        )

    async def _read_entries(self) -> None:
        rows = await self._store.scan(TABLE)
        found = {row.key: entry for row in rows if (entry := self._decode(row)) is not None}
        versions = {row.key: row.version for row in rows}
        for key in self._stale_rows.find_stale(versions, self._clock.now()):
            found.pop(key, None)
            await self._store.delete(TABLE, key, expect=versions[key])
        self._entries = found
        self._set_peers()

    def _decode(self, row: StoredRow) -> EntryHost | None:
        try:
            entry: Any = self._codec.decode(row.key, row.value)
        except RowError as error:
            log_message(
                "membership:row",
                text="membership: skipped a row that can't be decoded",
                error=str(error),
            )
            return None
        return entry  # type: ignore[no-any-return]

    async def _remove_own_row(self) -> None:
        try:
            row = await self._store.get(TABLE, self._own_entry.host)
            if row is not None:
                await self._store.delete(TABLE, self._own_entry.host, expect=row.version)
        except STORE_ERRORS:
            log_message(
                "membership:store",
                text="membership: own row not removed, left to the other entries",
            )


@SERVICES.register("membership")
def make_membership(kernel: Kernel) -> MembershipService:
    """Make the service."""
    return MembershipService(kernel)
