"""Stand-in for the transactional table service: its rows and an in-memory store client."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any, TypeVar

from twisted.internet.defer import Deferred

from lavenderrun.kernel import Clock
from lavenderrun.types import (
    StoreConflictError,
    StoredRow,
    StoreThrottledError,
    StoreUnavailableError,
)

T = TypeVar("T")

SECOND = timedelta(seconds=1)


@dataclass
class TableFaults:
    """Faults that a test injects into the table service.

    :param down: no call is executed or answered, so callers time out.
    :param latency: round-trip time of a call.
    :param lost_replies: number of the next writes that take effect without a reply.
    :param timeout: time after which the in-memory store reports a missing reply.
    :param reads_per_second: limit beyond which reads are throttled; ``None`` for no limit.
    :param writes_per_second: limit beyond which writes are throttled; ``None`` for no limit.
    """

    down: bool = False
    latency: timedelta = timedelta(milliseconds=2)
    lost_replies: int = 0
    timeout: timedelta = timedelta(seconds=1)
    reads_per_second: float | None = None
    writes_per_second: float | None = None

    def take_lost_reply(self) -> bool:
        """Tell whether the reply of the current write is lost, and count it down."""
        if self.lost_replies <= 0:
            return False
        self.lost_replies -= 1
        return True


class TableCore:
    """The rows of all tables; every operation is atomic.

    Versions of a row keep growing when the row is deleted and written again.

    :ivar reads: number of reads so far.
    :ivar writes: number of writes so far, refused ones included.
    """

    def __init__(self) -> None:
        self._tables: dict[str, dict[str, StoredRow]] = {}
        self._last_versions: dict[tuple[str, str], int] = {}
        self.reads = 0
        self.writes = 0

    def get(self, table: str, key: str) -> StoredRow | None:
        """Return one row, ``None`` when it does not exist."""
        self.reads += 1
        return self._tables.get(table, {}).get(key)

    def scan(self, table: str) -> list[StoredRow]:
        """Return all rows of a table in key order."""
        self.reads += 1
        rows = self._tables.get(table, {})
        return [rows[key] for key in sorted(rows)]

    def put(self, table: str, key: str, value: bytes, *, expect: int) -> StoredRow:
        """Write a row if its current version is *expect*, 0 for a missing row.

        :raises StoreConflictError: the version differs; carries the current row.
        """
        self._check(table, key, expect)
        version = self._last_versions.get((table, key), 0) + 1
        row = StoredRow(key, version, value)
        self._last_versions[table, key] = version
        self._tables.setdefault(table, {})[key] = row
        return row

    def delete(self, table: str, key: str, *, expect: int) -> None:
        """Delete a row if its current version is *expect*.

        :raises StoreConflictError: the version differs; carries the current row.
        """
        self._check(table, key, expect)
        self._tables.get(table, {}).pop(key, None)

    def _check(self, table: str, key: str, expect: int) -> None:
        self.writes += 1
        current = self._tables.get(table, {}).get(key)
        if (current.version if current else 0) != expect:
            raise StoreConflictError(current)


class Throttle:
    """Token bucket with a burst of one second of its rate."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._level: float | None = None
        self._at: datetime = clock.now()

    def take(self, rate: float | None) -> bool:
        """Tell whether one more call is within *rate*, in calls per second, and count it."""
        if rate is None:
            return True
        now = self._clock.now()
        level = rate if self._level is None else self._level + rate * ((now - self._at) / SECOND)
        self._level, self._at = min(rate, level), now
        if self._level < 1:
            return False
        self._level -= 1
        return True


class MemoryStore:
    """A host's client of a table core, with faults on the way; implements ``Store``.

    :param faults: faults between this host and the core; hosts may share one object.
    """

    def __init__(self, clock: Clock, core: TableCore, faults: TableFaults | None = None) -> None:
        self.core = core
        self.faults = faults or TableFaults()
        self._clock = clock
        self._reads = Throttle(clock)
        self._writes = Throttle(clock)

    def get(self, table: str, key: str) -> Deferred[StoredRow | None]:
        """Read one row, ``None`` when it does not exist."""
        return self._read(lambda: self.core.get(table, key))

    def scan(self, table: str) -> Deferred[list[StoredRow]]:
        """Read all rows of a table in key order."""
        return self._read(lambda: self.core.scan(table))

    def put(self, table: str, key: str, value: bytes, *, expect: int) -> Deferred[StoredRow]:
        """Write a row if its current version is *expect*."""
        return self._write(lambda: self.core.put(table, key, value, expect=expect))

    def delete(self, table: str, key: str, *, expect: int) -> Deferred[None]:
        """Delete a row if its current version is *expect*."""
        return self._write(lambda: self.core.delete(table, key, expect=expect))

    def _read(self, operation: Callable[[], T]) -> Deferred[T]:
        return self._call(operation, self._reads, self.faults.reads_per_second, write=False)

    def _write(self, operation: Callable[[], T]) -> Deferred[T]:
        return self._call(operation, self._writes, self.faults.writes_per_second, write=True)

    def _call(
        self, operation: Callable[[], T], throttle: Throttle, rate: float | None, *, write: bool
    ) -> Deferred[T]:
        answer: Deferred[T] = Deferred()
        self._schedule(
            self.faults.latency / 2, self._execute, operation, throttle, rate, write, answer
        )
        return answer

    def _execute(
        self,
        operation: Callable[[], T],
        throttle: Throttle,
        rate: float | None,
        write: bool,
        answer: Deferred[T],
    ) -> None:
        if self.faults.down:
            self._schedule(self.faults.timeout, _fail, answer, StoreUnavailableError("no reply"))
            return
        if not throttle.take(rate):
            error = StoreThrottledError("throttled", retry_after=SECOND / (rate or 1))
            self._schedule(self.faults.latency / 2, _fail, answer, error)
            return
        try:
            result: Any = operation()
        except StoreConflictError as conflict:
            result = conflict
        if write and self.faults.take_lost_reply():
            self._schedule(self.faults.timeout, _fail, answer, StoreUnavailableError("reply lost"))
        elif isinstance(result, StoreConflictError):
            self._schedule(self.faults.latency / 2, _fail, answer, result)
        else:
            self._schedule(self.faults.latency / 2, _answer, answer, result)

    def _schedule(self, delay: timedelta, call: Callable[..., None], *args: Any) -> None:
        self._clock.call_later(delay, call, *args)


def _answer(answer: Deferred[Any], result: Any) -> None:
    if not answer.called:
        answer.callback(result)


def _fail(answer: Deferred[Any], error: Exception) -> None:
    if not answer.called:
        answer.errback(error)
