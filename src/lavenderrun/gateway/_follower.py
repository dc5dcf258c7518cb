"""Follows one table of the store: a whole read first, then its changes in order."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import timedelta
from random import Random
from typing import Final, Protocol

from twisted.internet.defer import CancelledError, Deferred

from lavenderrun.gateway._log import log
from lavenderrun.gateway._ports import HistoryGoneError, RowChange, StoreRefusal
from lavenderrun.gateway._rows import RowStore
from lavenderrun.kernel import Clock, sleep
from lavenderrun.types import StoreUnavailableError

FEED_WAIT: Final = timedelta(seconds=5)
"""How long the store holds a call without changes; bounds how long a dead feed goes unnoticed
beside the keep-alive probes."""

PAUSE_FIRST: Final = timedelta(milliseconds=100)
PAUSE_MOST: Final = timedelta(milliseconds=800)
"""Pauses between failed calls, doubled each time, with jitter."""


class TableReader(Protocol):
    """Takes what a follower reads."""

    def replace(self, rows: Sequence[RowChange]) -> None:
        """Take all rows of the table."""

    def change(self, rows: Sequence[RowChange]) -> None:
        """Take changed and removed rows."""


class Follower:
    """Keeps a reader up to date with a table.

    :param table: its name in the store.
    """

    def __init__(
        self, rows: RowStore, table: str, reader: TableReader, clock: Clock, random_source: Random
    ) -> None:
        self._rows = rows
        self._table = table
        self._reader = reader
        self._clock = clock
        self._random = random_source
        self._version: int | None = None
        self._pause = PAUSE_FIRST
        self._running: Deferred[None] | None = None

    @property
    def version(self) -> int | None:
        """The store's version up to which the table was read, ``None`` before the first."""
        return self._version

    def start(self) -> None:
        """Begin to read."""
        self._running = Deferred.fromCoroutine(self._run())
        self._running.addErrback(self._report)

    def stop(self) -> None:
        """Read no more."""
        running, self._running = self._running, None
        if running is not None:
            running.cancel()

    def restart(self) -> None:
        """Ask anew at once; the call that waits may never be answered."""
        if self._running is not None:
            self.stop()
            self.start()

    async def catch_up(self) -> None:
        """Read the changes up to now; raises as ``RowStore.read`` does."""
        if self._version is None:
            await self._read_all()
        else:
            await self._read_changes(timedelta(0))

    async def _run(self) -> None:
        while True:
            try:
                if self._version is None:
                    await self._read_all()
                else:
                    await self._read_changes(FEED_WAIT)
                self._pause = PAUSE_FIRST
            except HistoryGoneError:
                log("store:history_gone", "store: changes are gone, reading all", table=self._table)
                self._version = None
            except (StoreUnavailableError, StoreRefusal):
                # the store logs when it is lost; here only the pace matters
                await self._sleep()

    async def _read_all(self) -> None:
        page = await self._rows.read(self._table)
        self._version = page.version
        self._reader.replace(page.rows)

    async def _read_changes(self, wait: timedelta) -> None:
        after = self._version or 0
        page = await self._rows.feed(self._table, after, wait)
        if page.version < (self._version or 0):
            return
        self._version = page.version
        if page.rows:
            self._reader.change(page.rows)

    async def _sleep(self) -> None:
        pause = self._pause * (0.5 + self._random.random())
        self._pause = min(self._pause * 2, PAUSE_MOST)
        await sleep(self._clock, pause)

    def _report(self, failure: object) -> None:
        error = getattr(failure, "value", failure)
        if not isinstance(error, CancelledError):
            log("store:follower_failed", "store: reading ended by a fault", error=repr(error))
            self._clock.call_later(PAUSE_MOST, self.restart)
