"""Rows of rate slices in the table service, read and written as the slice keeper decides."""

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

MIN_SCAN_PAUSE = timedelta(seconds=5)
SILENT_HOLDER_SCAN_PAUSE = timedelta(seconds=2)
MAX_ROWS_PER_SECOND = 200.0
"""Rows that the scans of all hosts together may read in a second."""
START_SCAN_SPEEDUP = 8


class RateSliceStore:
    """Reads and writes the rows of rate slices for one host.

    :param on_answer: called after each answer of the table service, since it may change this
        host's shares of accounts' rates.
    """

    def __init__(
        self,
        clock: Clock,
        store: Store,
        limiter: RateLimiter,
        terms: RateSliceTerms,
        on_answer: Callable[[], None],
    ) -> None:
        self._clock = clock
        self._store = store
        self._limiter = limiter
        self._on_answer = on_answer
        self._codec = RowCodec(RATE_SLICE_TABLE)
        # hosts that divide rates into other numbers of slices must not share rows
        self._table = f"{RATE_SLICE_TABLE}_{terms.groups}x{terms.slices}"
        self._row_count = terms.groups * terms.slices
        self._last_scan = clock.now() - MIN_SCAN_PAUSE
        self._scanning = False

    def refresh(self, hosts: int) -> None:
        """Scan all rows when the next scan is due.

        :param hosts: number of live hosts, this one included.
        """
        pause = timedelta(seconds=hosts * self._row_count / MAX_ROWS_PER_SECOND)
        # scan more often until this host holds half its target, as in a fleet that starts
        if (
            len(list(self._limiter.slice_keeper.held))
            < self._limiter.slice_keeper.find_target(hosts - 1) // 2
        ):
            pause /= START_SCAN_SPEEDUP
        pause = max(MIN_SCAN_PAUSE, pause)
        if self._limiter.slice_keeper.has_silent_holder(self._clock.now()):
            pause = SILENT_HOLDER_SCAN_PAUSE
        if self._scanning or self._clock.now() - self._last_scan < pause:
            return
        self._scanning = True
        self._last_scan = self._clock.now()
        reading = self._store.scan(self._table)
        reading.addCallbacks(self._handle_rows, lambda _: None)
        reading.addBoth(self._end_scan)

    def write(self, writes: list[RateSliceWrite]) -> Deferred[Any]:
        """Send the writes; the result fires when all have been answered or have failed."""
        return DeferredList([self._write(write) for write in writes], consumeErrors=True)

    def _write(self, write: RateSliceWrite) -> Deferred[Any]:
        value = self._codec.encode(write.row)
        writing = self._store.put(self._table, write.slice_id, value, expect=write.expect)
        writing.addCallbacks(self._confirm, self._fail, (write,), {}, (write,))
        return writing

    def _confirm(self, row: StoredRow, write: RateSliceWrite) -> None:
        now = self._clock.now()
        self._limiter.sync(now)
        gained = self._limiter.slice_keeper.confirm(write, row.version, now)
        self._limiter.sync(now, gained)
        if write.claim and gained is not None:
            log_message("limits:slot_held", text="limits: rate slice is held", slot=write.slice_id)
        self._on_answer()

    def _fail(self, failure: Failure, write: RateSliceWrite) -> None:
        now = self._clock.now()
        self._limiter.sync(now)
        error = failure.value
        if isinstance(error, StoreConflictError):
            current = error.current
            stored = None if current is None else self._decode(current)
            self._limiter.slice_keeper.note_conflict(write, stored, now)
        else:
            self._limiter.slice_keeper.note_no_reply(write)
        self._limiter.sync(now)
        self._on_answer()

    def _handle_rows(self, rows: list[StoredRow]) -> None:
        found = {RateSliceId(row.key): self._decode(row) for row in rows}
        known = {slice_id: stored for slice_id, stored in found.items() if stored is not None}
        # a row that can't be decoded must not count as absent
        if len(known) == len(found):
            self._limiter.slice_keeper.observe(known, self._clock.now())
            self._on_answer()

    def _end_scan(self, _: object) -> None:
        self._scanning = False

    def _decode(self, row: StoredRow) -> StoredRateSlice | None:
        try:
            return StoredRateSlice(row.version, self._codec.decode(row.key, row.value))
        except RowError as error:
            log_message(
                "limits:bad_row",
                text="limits: row of a rate slice can't be decoded",
                error=str(error),
            )
            return None


def find_peers(links: Links) -> list[HostIncarnation]:
    """Return the peers that may hold rate slices: live entries that are not leaving."""
    hellos = [link.peer for link in links.list_live() if not links.is_leaving(link.peer.host)]
    return [
        HostIncarnation(hello.host, hello.boot) for hello in hellos if hello.role is HostRole.ENTRY
    ]
