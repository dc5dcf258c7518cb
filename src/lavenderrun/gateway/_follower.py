"""Follows one table of the store: reads it whole, then its changes in order."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import datetime, timedelta
from random import Random
from typing import Final, Protocol

from twisted.internet.defer import CancelledError, Deferred

from lavenderrun.gateway._log import log
from lavenderrun.gateway._ports import HistoryGoneError, RowChange, StoreRefusal
from lavenderrun.gateway._rows import ANSWER_TIMEOUT, TOO_MANY_CALLS, RowStore, StoreState
from lavenderrun.kernel import Clock, sleep
from lavenderrun.types import StoreUnavailableError

CHANGES_WAIT: Final = timedelta(seconds=5)
"""Longest time for which the store delays its answer while there are no changes."""

MIN_CHANGES_WAIT: Final = timedelta(seconds=1)
"""Shortest such time, as each answer costs the store a call."""

REPEATED_CALL_TIME: Final = timedelta(milliseconds=500)
"""Time from giving up a lost call to the answer of the one that repeats it."""

FIRST_RETRY_PAUSE: Final = timedelta(milliseconds=100)
MAX_RETRY_PAUSE: Final = timedelta(milliseconds=500)
"""Bounds of the pause after a failed call, which doubles each time and has jitter."""

MAX_REFUSED_PAUSE: Final = timedelta(seconds=1)
"""Longest pause after a call that the store refused because there were too many. All hosts call at
once after a common start, and a store that is reached does not let one of them find out for all."""

MIN_EMPTY_INTERVAL: Final = timedelta(milliseconds=100)
"""Shortest time between calls for changes of which the first was answered without any: a store may
be behind, or not delay its answer."""

MAX_OUTAGE_WAIT: Final = timedelta(seconds=1.6)
"""Longest wait of a follower that leaves it to another one to find out when the store is back."""


def limit_changes_wait(contact: timedelta, known_within: timedelta) -> timedelta:
    """Return how long the store may delay its answer while there are no changes.

    A call whose answer is lost is given up only when its wait and the time for the answer are over.
    The changes missed by then must still be known in time.

    :param contact: time after a disturbance from which changes must be known in time.
    :param known_within: time within which a change must be known.
    """
    wait = contact + known_within - ANSWER_TIMEOUT - REPEATED_CALL_TIME
    return min(max(wait, MIN_CHANGES_WAIT), CHANGES_WAIT)


class TableListener(Protocol):
    """Receives the rows that a follower reads."""

    def replace_rows(self, rows: Sequence[RowChange]) -> None:
        """Apply all rows of the table; rows that are missing were removed."""

    def change_rows(self, rows: Sequence[RowChange]) -> None:
        """Apply changed and removed rows."""

    def merge_copy(self, rows: Sequence[RowChange]) -> None:
        """Apply all rows of an older copy of the table, which undo nothing that is newer."""


class TableFollower:
    """Passes the rows of a table and their changes to a listener.

    :param table: the table's name in the store.
    :param find_pause: returns the pause after an answer with changes, in which further changes
        collect; without one there is no pause.
    :param find_wait: returns how long the store may delay its answer while there are no changes;
        without one it is ``CHANGES_WAIT``.
    """

    def __init__(
        self,
        rows: RowStore,
        table: str,
        listener: TableListener,
        clock: Clock,
        random_source: Random,
        find_pause: Callable[[], timedelta] | None = None,
        find_wait: Callable[[], timedelta] = lambda: CHANGES_WAIT,
    ) -> None:
        self._find_pause = find_pause
        self._find_wait = find_wait
        self._rows = rows
        self._table = table
        self._listener = listener
        self._clock = clock
        self._random = random_source
        self._version: int | None = None
        self._answered: datetime | None = None
        self._retry_pause = FIRST_RETRY_PAUSE
        self._whole_read_pause = timedelta(0)
        self._reading: Deferred[None] | None = None
        self._is_copy_next = False
        rows.watch_era(self._begin_era)

    @property
    def version(self) -> int | None:
        """The store's version up to which the table was read, ``None`` before the first read."""
        return self._version

    @property
    def age(self) -> timedelta | None:
        """Time since the last answer about the table, ``None`` before the first."""
        return None if self._answered is None else self._clock.now() - self._answered

    def start(self) -> None:
        """Start reading the table."""
        self._reading = Deferred.fromCoroutine(self._run())
        self._reading.addErrback(self._log_failure)

    def stop(self) -> None:
        """Stop reading the table."""
        self._rows.release_probe(self)
        reading, self._reading = self._reading, None
        if reading is not None:
            reading.cancel()

    def restart(self) -> None:
        """Repeat the pending call at once, as it may never be answered."""
        if self._reading is not None:
            self.stop()
            self.start()

    def _begin_era(self) -> None:
        """Read the table anew, as its versions mean something else now."""
        self._is_copy_next = self._is_copy_next or self._version is not None
        self._version = None
        self.restart()

    async def catch_up(self) -> None:
        """Read all changes up to now.

        :raises StoreUnavailableError: when the store does not answer or its answer is malformed.
        :raises StoreRefusal: when the store refuses the call.
        """
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
                    await self._follow_changes()
                self._retry_pause = FIRST_RETRY_PAUSE
            except HistoryGoneError:
                log(
                    "store:history_gone",
                    "store: change history is gone, reading the whole table",
                    table=self._table,
                )
                self._version = None
                await self._pause_before_whole_read()
            except (StoreUnavailableError, StoreRefusal) as error:
                # RowStore logs when the store is lost
                is_refused = getattr(error, "status", None) == TOO_MANY_CALLS
                longest = MAX_REFUSED_PAUSE if is_refused else MAX_RETRY_PAUSE
                await self._pause_before_retry(longest)

    async def _follow_changes(self) -> None:
        called = self._clock.now()
        has_changes = await self._read_changes(self._choose_wait())
        self._whole_read_pause = timedelta(0)
        if not has_changes:
            pause = called + MIN_EMPTY_INTERVAL - self._clock.now()
        elif self._find_pause is not None:
            pause = self._find_pause()
        else:
            return
        if pause > timedelta(0):
            await sleep(self._clock, pause)

    async def _read_all(self) -> None:
        page = await self._rows.read(self._table)
        self._version, self._answered = page.version, self._clock.now()
        is_copy, self._is_copy_next = self._is_copy_next, False
        apply = self._listener.merge_copy if is_copy else self._listener.replace_rows
        self._apply(page.rows, apply)

    async def _read_changes(self, wait: timedelta) -> bool:
        """Read changes; return whether there were any."""
        after = self._version or 0
        page = await self._rows.read_changes(self._table, after, wait)
        if page.version < (self._version or 0):
            return False
        self._version, self._answered = page.version, self._clock.now()
        if page.rows:
            self._apply(page.rows, self._listener.change_rows)
        return bool(page.rows)

    def _apply(
        self, rows: Sequence[RowChange], apply: Callable[[Sequence[RowChange]], None]
    ) -> None:
        """Apply rows, one by one if that fails, so that a bad row does not hide the others."""
        try:
            apply(rows)
        except Exception as error:
            self._log_row_failure("", error)
            for row in rows:
                try:
                    self._listener.change_rows([row])
                except Exception as row_error:
                    self._log_row_failure(row.key, row_error)

    def _log_row_failure(self, key: str, error: Exception) -> None:
        log(
            "store:row_failed",
            "store: rows could not be applied",
            table=self._table,
            entry=key,
            error=repr(error),
        )

    def _choose_wait(self) -> timedelta:
        # a store that is back must not delay the answer that tells so
        return timedelta(0) if self._rows.state is StoreState.LOST else self._find_wait()

    async def _pause_before_whole_read(self) -> None:
        """Pause unless changes were read since the last whole read."""
        pause, least = self._whole_read_pause, FIRST_RETRY_PAUSE
        self._whole_read_pause = min(max(pause * 2, least), MAX_RETRY_PAUSE)
        if pause:
            await sleep(self._clock, pause * (0.5 + self._random.random()))

    async def _pause_before_retry(self, longest: timedelta) -> None:
        if not self._rows.claim_probe(self):
            await self._rows.wait_until_reached(MAX_OUTAGE_WAIT)
            return
        pause = self._retry_pause * (0.5 + self._random.random())
        self._retry_pause = min(self._retry_pause * 2, longest)
        await sleep(self._clock, pause)

    def _log_failure(self, failure: object) -> None:
        error = getattr(failure, "value", failure)
        if not isinstance(error, CancelledError):
            log(
                "store:follower_failed",
                "store: reading a table failed unexpectedly",
                error=repr(error),
            )
            self._clock.call_later(MAX_RETRY_PAUSE, self.restart)
