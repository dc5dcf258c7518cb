"""Service ``rows``: reads, changes and transactions of the table service."""

from __future__ import annotations

from collections.abc import Collection
from datetime import datetime, timedelta
from enum import Enum
from typing import ClassVar, Final

from lavenderrun.gateway._log import log
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import (
    HttpRequest,
    RowChange,
    RowPage,
    RowWrite,
    StoreDialect,
    StoreRefusal,
)
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import STORE_AGE, STORE_CALLS, Stats
from lavenderrun.kernel import Kernel
from lavenderrun.types import StoreUnavailableError

ANSWER_TIMEOUT: Final = timedelta(seconds=1.5)
"""Longest wait for an answer: a store that is sixty times slower than usual still makes it."""


class StoreState(Enum):
    """Whether the store answers this host."""

    UNKNOWN = "unknown"
    REACHED = "reached"
    LOST = "lost"


class RowStore:
    """The table service as this host reaches it.

    :ivar state: by the newest answer or failure.
    :ivar changed: when the state last changed.
    :ivar answered: when the newest answered call was sent; what it read is no older.
    """

    needs: ClassVar[tuple[str, ...]] = ("pool",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._address: str = kernel.settings.store
        self._pool = kernel.find("pool", ConnectionPool)
        self._stats = kernel.find("stats", Stats)
        self.dialect = kernel.find("store_dialect", StoreDialect)
        self.state = StoreState.UNKNOWN
        self.changed: datetime = kernel.clock.now()
        self.answered: datetime | None = None
        self._stats.register_reader(STORE_AGE, self._read_age)

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    async def read(self, table: str) -> RowPage:
        """Read a whole table.

        :raises StoreUnavailableError: without an answer.
        :raises StoreRefusal: when the store refuses.
        """
        rows: list[RowChange] = []
        start: str | None = ""
        version: int | None = None
        while start is not None:
            page = await self._ask("read", self.dialect.encode_read(table, start), ANSWER_TIMEOUT)
            rows.extend(page.rows)
            # later pages may be newer; the feed goes on from the oldest
            version = page.version if version is None else min(version, page.version)
            start = page.next_key
        return RowPage(rows, version or 0)

    async def feed(self, table: str, after: int, wait: timedelta) -> RowPage:
        """Wait for changes of a table; raises as :meth:`read` does."""
        call = self.dialect.encode_feed(table, after, wait)
        return await self._ask("feed", call, wait + ANSWER_TIMEOUT)

    async def write(self, table: str, writes: Collection[RowWrite]) -> int:
        """Write rows in one transaction and return its version; raises as :meth:`read` does."""
        page = await self._ask("write", self.dialect.encode_write(table, writes), ANSWER_TIMEOUT)
        return page.version

    async def _ask(self, kind: str, call: HttpRequest, timeout: timedelta) -> RowPage:
        sent = self._clock.now()
        answer = await self._pool.fetch(self._address, call, timeout)
        if answer is None:
            self._settle(kind, StoreState.LOST, "no answer")
            msg = f"no answer to {kind}"
            raise StoreUnavailableError(msg)
        try:
            page = self.dialect.decode_rows(*answer)
        except StoreRefusal as refusal:
            is_down = refusal.status in {429, 503}
            self._settle(kind, StoreState.LOST if is_down else StoreState.REACHED, str(refusal))
            raise
        except ValueError as error:
            self._settle(kind, StoreState.LOST, "answer can not be read")
            raise StoreUnavailableError(str(error)) from error
        self.answered = max(sent, self.answered or sent)
        self._settle(kind, StoreState.REACHED, "")
        return page

    def _read_age(self) -> dict[tuple[str, ...], float]:
        if self.answered is None:
            return {}
        return {(): (self._clock.now() - self.answered).total_seconds()}

    def _settle(self, kind: str, state: StoreState, reason: str) -> None:
        self._stats.count(STORE_CALLS, kind, reason or "ok")
        if state is self.state:
            return
        self.state, self.changed = state, self._clock.now()
        if state is StoreState.LOST:
            log("store:lost", "store: no answer or refused", call=kind, reason=reason)
        else:
            log("store:reached", "store: answers", call=kind)


@GATEWAY_SERVICES.register("rows")
def make_rows(kernel: Kernel) -> RowStore:
    """Make the service."""
    return RowStore(kernel)
