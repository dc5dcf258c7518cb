"""Keeps the limit slots' rows: reads and writes them as the slot keeper decides."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from eliot import log_message
from twisted.internet.defer import Deferred, DeferredList
from twisted.python.failure import Failure

from lavenderrun.codecs import RATE_SLICE_TABLE, RowCodec, RowError
from lavenderrun.decisions import (
    HostIncarnation,
    RateLimiter,
    RateSliceTerms,
    RateSliceWrite,
    StoredRateSlice,
)
from lavenderrun.kernel import Clock
from lavenderrun.types import HostRole, Links, RateSliceId, Store, StoreConflictError, StoredRow

SCAN_FIRST = timedelta(seconds=5)
SCAN_SUSPECT = timedelta(seconds=2)
ROWS_A_SECOND = 200.0
"""Rows that the scans of all hosts may read together."""
START_FACTOR = 8


class RateSliceStore:
    """The slots' rows of one host.

    :param changed: called after each answer, for shares may have changed.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        limits: RateLimiter,
        terms: RateSliceTerms,
        changed: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._limits = limits
        self._changed = changed
        self._codec = RowCodec(RATE_SLICE_TABLE)
        # hosts that divide rates in another way must never share rows
        self._table = f"{RATE_SLICE_TABLE}_{terms.groups}x{terms.slices}"
        self._rows = terms.groups * terms.slices
        self._scanned = clock.now() - SCAN_FIRST
        self._scanning = False

    def refresh(self, hosts: int) -> None:
        """Read all rows when it is time to."""
        pause = timedelta(seconds=hosts * self._rows / ROWS_A_SECOND)
        # a fleet that starts looks more often, until each host has its part
        if (
            len(list(self._limits.slice_keeper.held))
            < self._limits.slice_keeper.find_target(hosts - 1) // 2
        ):
            pause /= START_FACTOR
        pause = max(SCAN_FIRST, pause)
        if self._limits.slice_keeper.has_silent_holder(self._clock.now()):
            pause = SCAN_SUSPECT
        if self._scanning or self._clock.now() - self._scanned < pause:
            return
        self._scanning = True
        self._scanned = self._clock.now()
        reading = self._store.scan(self._table)
        reading.addCallbacks(self._take_rows, lambda _: None)
        reading.addBoth(self._end_scan)

    def write(self, writes: list[RateSliceWrite]) -> Deferred[Any]:
        """Send the writes; the result fires when all are answered."""
        return DeferredList([self._write(write) for write in writes], consumeErrors=True)

    def _write(self, write: RateSliceWrite) -> Deferred[Any]:
        value = self._codec.encode(write.row)
        writing = self._store.put(self._table, write.slice_id, value, expect=write.expect)
        writing.addCallbacks(self._confirm, self._fail, (write,), {}, (write,))
        return writing

    def _confirm(self, row: StoredRow, write: RateSliceWrite) -> None:
        now = self._clock.now()
        self._limits.sync(now)
        gained = self._limits.slice_keeper.confirm(write, row.version, now)
        self._limits.sync(now, gained)
        if write.claim and gained is not None:
            log_message("limits:slot_held", text="limits: slot is held", slot=write.slice_id)
        self._changed()

    def _fail(self, failure: Failure, write: RateSliceWrite) -> None:
        now = self._clock.now()
        self._limits.sync(now)
        error = failure.value
        if isinstance(error, StoreConflictError):
            current = error.current
            stored = None if current is None else self._decode(current)
            self._limits.slice_keeper.note_conflict(write, stored, now)
        else:
            self._limits.slice_keeper.note_no_reply(write)
        self._limits.sync(now)
        self._changed()

    def _take_rows(self, rows: list[StoredRow]) -> None:
        found = {RateSliceId(row.key): self._decode(row) for row in rows}
        known = {slot: stored for slot, stored in found.items() if stored is not None}
        # a row that cannot be read must not pass for an absent one
        if len(known) == len(found):
            self._limits.slice_keeper.observe(known, self._clock.now())
            self._changed()

    def _end_scan(self, _: object) -> None:
        self._scanning = False

    def _decode(self, row: StoredRow) -> StoredRateSlice | None:
        try:
            return StoredRateSlice(row.version, self._codec.decode(row.key, row.value))
        except RowError as error:
            log_message("limits:bad_row", text="limits: row is bad", error=str(error))
            return None


def find_peers(links: Links) -> list[HostIncarnation]:
    """Return the live peers that may hold slots."""
    hellos = [link.peer for link in links.list_live() if not links.is_leaving(link.peer.host)]
    return [
        HostIncarnation(hello.host, hello.boot) for hello in hellos if hello.role is HostRole.ENTRY
    ]
