"""Service ``rows``: reads, changes and transactions of the table service."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import datetime, timedelta
from enum import Enum
from typing import ClassVar, Final

from twisted.internet.defer import Deferred

from lavenderrun.dispatch import AnswerPace, EraVerdict, StoreEras
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
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import Headers, StoreUnavailableError

ANSWER_TIMEOUT: Final = timedelta(seconds=1.5)
"""Longest wait for an answer, about sixty times the usual one."""

TOO_MANY_CALLS: Final = 429
UNAVAILABLE: Final = 503

NO_WAIT: Final = timedelta(0)

MAX_END_DELAY: Final = timedelta(seconds=1)
"""Longest time after the last failed call was sent at which an outage counts as ended, however
late the next call was sent."""


class StoreState(Enum):
    """Whether the store answers this host."""

    UNKNOWN = "unknown"
    REACHED = "reached"
    LOST = "lost"


class RowStore:
    """Client of the table service.

    :ivar dialect: encodes calls to the store and decodes its answers.
    :ivar state: result of the last call.
    :ivar state_changed: when the state last changed.
    :ivar outage_ended: when the last outage ended, ``None`` before the first. A single failed call
        is none: its connection may have broken.
    :ivar pace: whether the store answers in time.
    :ivar on_late: called after each late answer; set by the service ``members``.
    :ivar eras: the era of the store. An answer of an earlier era, and the one by which a new era
        shows, count as none: what was known when the call was made may not hold.
    :ivar last_success: when the last successful call was sent, ``None`` before the first; what it
        read is at least as new.
    """

    needs: ClassVar[tuple[str, ...]] = ("pool",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._address: str = kernel.settings.store
        self._pool = kernel.find("pool", ConnectionPool)
        self._stats = kernel.find("stats", Stats)
        self.dialect = kernel.find("store_dialect", StoreDialect)
        self.state = StoreState.UNKNOWN
        self.state_changed: datetime = kernel.clock.now()
        self.last_success: datetime | None = None
        self.outage_ended: datetime | None = None
        self.pace = AnswerPace()
        self.eras = StoreEras()
        self._era_watchers: list[Callable[[], None]] = []
        self.on_late: Callable[[], None] = lambda: None
        self._is_outage = False
        self._failure_sent: datetime = kernel.clock.now()
        self._probing: object | None = None
        self._waiting: dict[Deferred[None], Timer] = {}
        self._stats.register_reader(STORE_AGE, self._measure_age)

    def watch_era(self, watcher: Callable[[], None]) -> None:
        """Call *watcher* soon after the store has come back from an older copy."""
        self._era_watchers.append(watcher)

    def start(self) -> None:
        """Do nothing; calls are made on request."""

    def stop(self) -> None:
        """Do nothing; the pool ends the connections."""

    async def read(self, table: str) -> RowPage:
        """Read a whole table.

        :raises StoreUnavailableError: when the store does not answer or its answer is malformed.
        :raises StoreRefusal: when the store refuses the call.
        """
        rows: list[RowChange] = []
        start: str | None = ""
        version: int | None = None
        while start is not None:
            page = await self._call("read", self.dialect.encode_read(table, start), ANSWER_TIMEOUT)
            rows.extend(page.rows)
            # later pages may be newer; changes are followed from the oldest version
            version = page.version if version is None else min(version, page.version)
            start = page.next_key
        return RowPage(rows, version or 0)

    async def read_changes(self, table: str, after: int, wait: timedelta) -> RowPage:
        """Return the changes of a table after a version.

        :param after: version up to which the table is known.
        :param wait: how long the store may delay its answer while there are no changes.
        :raises StoreUnavailableError: when the store does not answer or its answer is malformed.
        :raises HistoryGoneError: when the store no longer keeps the changes.
        :raises StoreRefusal: when the store refuses the call.
        """
        call = self.dialect.encode_feed(table, after, wait)
        return await self._call("feed", call, wait + ANSWER_TIMEOUT, wait)

    async def write(
        self, table: str, writes: Collection[RowWrite], timeout: timedelta = ANSWER_TIMEOUT
    ) -> int:
        """Write rows in one transaction and return the version that it made.

        :param timeout: longest wait for the answer.
        :raises StoreUnavailableError: when the store does not answer or its answer is malformed.
        :raises RowConflictError: when a row does not have the expected version.
        :raises StoreRefusal: when the store refuses the call.
        """
        page = await self._call("write", self.dialect.encode_write(table, writes), timeout)
        return page.version

    def claim_probe(self, caller: object) -> bool:
        """Tell whether *caller* is the one that keeps calling while the store does not answer.

        Each call has a cost, so one caller finds out when the store is back and the others wait.
        """
        if self.state is not StoreState.LOST:
            return True
        if self._probing is None:
            self._probing = caller
        return self._probing is caller

    def release_probe(self, caller: object) -> None:
        """Let another caller find out when the store is back."""
        if self._probing is caller:
            self._probing = None

    def wait_until_reached(self, limit: timedelta) -> Deferred[None]:
        """Return a deferred that fires when the store answers again, or after *limit*."""
        done: Deferred[None] = Deferred(self._forget_waiting)
        self._waiting[done] = self._clock.call_later(limit, self._end_wait, done)
        return done

    def _forget_waiting(self, done: Deferred[None]) -> None:
        timer = self._waiting.pop(done, None)
        if timer is not None:
            timer.cancel()

    def _end_wait(self, done: Deferred[None]) -> None:
        self._forget_waiting(done)
        done.callback(None)

    async def _call(
        self, kind: str, call: HttpRequest, timeout: timedelta, wait: timedelta = NO_WAIT
    ) -> RowPage:
        sent = self._clock.now()
        # there is no other address to go to, and a full link holds up all connections alike
        answer = await self._pool.fetch(
            self._address, call, timeout, connect_timeout=ANSWER_TIMEOUT
        )
        if answer is None:
            self._note_failure(kind, sent, "no answer")
            msg = f"store did not answer {kind}"
            raise StoreUnavailableError(msg)
        self._check_era(kind, answer.headers)
        try:
            page = self.dialect.decode_rows(answer.status, answer.body)
        except StoreRefusal as refusal:
            if refusal.status == TOO_MANY_CALLS:
                # the store answers; it neither begins nor ends an outage
                self._stats.count(STORE_CALLS, kind, str(refusal))
            elif refusal.status == UNAVAILABLE:
                self._note_failure(kind, sent, str(refusal))
            else:
                self._note_answer(kind, sent, str(refusal))
            raise
        except ValueError as error:
            self._note_failure(kind, sent, "answer can not be read")
            raise StoreUnavailableError(str(error)) from error
        # changes come at any time while the store waits for them
        is_expected = not (wait and page.rows)
        self.pace.note_answer(sent, wait, self._clock.now(), is_expected=is_expected)
        self.last_success = max(sent, self.last_success or sent)
        self._note_answer(kind, sent, "")
        if self.pace.is_late:
            self.on_late()
        return page

    def _check_era(self, kind: str, headers: Headers) -> None:
        """Take the era of an answer into account.

        :raises StoreUnavailableError: when the answer is not one of the era known before.
        """
        before = self.eras.current
        verdict = self.eras.judge(self.dialect.decode_era(headers), self._clock.now())
        if verdict is EraVerdict.CURRENT:
            return
        self._stats.count(STORE_CALLS, kind, f"{verdict.value} era")
        if verdict is EraVerdict.FIRST_OF_NEW:
            log(
                "store:new_era",
                "store: came back from an older copy, reading all tables",
                call=kind,
                era=self.eras.current,
                era_before=before,
            )
            # the call whose answer this is may belong to a watcher
            self._clock.call_later(NO_WAIT, self._begin_era)
        msg = f"store answered {kind} in another era"
        raise StoreUnavailableError(msg)

    def _begin_era(self) -> None:
        for watcher in self._era_watchers:
            watcher()

    def _measure_age(self) -> dict[tuple[str, ...], float]:
        if self.last_success is None:
            return {}
        return {(): (self._clock.now() - self.last_success).total_seconds()}

    def _note_failure(self, kind: str, sent: datetime, reason: str) -> None:
        self._stats.count(STORE_CALLS, kind, reason)
        self._failure_sent = max(sent, self._failure_sent)
        if self.state is StoreState.LOST:
            # calls that were under way may have failed by the same cause as the first
            self._is_outage = self._is_outage or sent >= self.state_changed
            return
        self.state, self.state_changed = StoreState.LOST, self._clock.now()
        log("store:lost", "store: unavailable", call=kind, reason=reason)

    def _note_answer(self, kind: str, sent: datetime, refusal: str) -> None:
        self._stats.count(STORE_CALLS, kind, refusal or "ok")
        if self.state is StoreState.REACHED:
            return
        now = self._clock.now()
        if self._is_outage:
            # an answer to an earlier call does not tell since when the store answers
            answering = sent if sent >= self.state_changed else now
            self.outage_ended = min(answering, self._failure_sent + MAX_END_DELAY)
        log("store:reached", "store: available", call=kind, outage=self._is_outage)
        self.state, self.state_changed, self._is_outage = StoreState.REACHED, now, False
        self._probing = None
        for done in list(self._waiting):
            self._end_wait(done)


@GATEWAY_SERVICES.register("rows")
def make_rows(kernel: Kernel) -> RowStore:
    """Make the service ``rows``."""
    return RowStore(kernel)
