"""Service ``store``: the platform's table service behind timeouts, retries and a bounded queue."""

from __future__ import annotations

import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any, ClassVar, TypeVar

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderrun.kernel import SERVICES, Clock, Kernel, Registry, Timer
from lavenderrun.types import (
    Store,
    StoreConflictError,
    StoredRow,
    StoreSettings,
    StoreThrottledError,
    StoreUnavailableError,
)

T = TypeVar("T")

TOKEN_BYTES = 12
SEED_BITS = 64


STORE_DIALECTS: Registry[Callable[[Kernel, StoreSettings], Store]] = Registry("store dialect")


@dataclass
class StoreCounters:
    """Counts of what this host asked of the table service.

    :ivar reads: attempts to read.
    :ivar writes: attempts to write or delete.
    :ivar failures: attempts without an answer.
    :ivar throttled: attempts that the table service refused for their rate.
    :ivar settled: conflicts that an earlier attempt of the same call had caused.
    :ivar refused: calls refused at once, because the queue was full or the client stopped.
    """

    reads: int = 0
    writes: int = 0
    failures: int = 0
    throttled: int = 0
    settled: int = 0
    refused: int = 0


@dataclass
class _Call:
    attempt: Callable[[], Deferred[Any]]
    is_write: bool
    deadline: datetime
    settle: Callable[[StoreConflictError], Any] | None = None
    answer: Deferred[Any] = field(default_factory=Deferred)
    tries: int = 0
    ambiguous: bool = False
    timer: Timer | None = None


class StoreClient:
    """Implements ``Store``: calls a dialect until it answers or the deadline passes.

    Each stored value starts with a random token of the call that wrote it. When the reply of a
    conditional write is lost, the write is sent again: a conflict whose row has the call's own
    token means that the first attempt took effect.

    :param dialect: makes one attempt per call.
    :param source: random source of the jitter and of the tokens.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(
        self, clock: Clock, dialect: Store, settings: StoreSettings, source: random.Random
    ) -> None:
        self.counters = StoreCounters()
        self._clock = clock
        self._dialect = dialect
        self._settings = settings
        self._random = source
        self._queue: deque[_Call] = deque()
        self._backoff: dict[int, _Call] = {}
        self._running = 0
        self._stopped = False
        self._is_down = False

    def start(self) -> None:
        """Do nothing: the client takes calls from the moment it is made."""

    def stop(self) -> None:
        """Fail all calls that wait, and start no further attempt."""
        self._stopped = True
        for call in [*self._queue, *self._backoff.values()]:
            if call.timer is not None:
                call.timer.cancel()
            self._finish(call, StoreUnavailableError("stopped"))
        self._queue.clear()

    def get(self, table: str, key: str) -> Deferred[StoredRow | None]:
        """Read one row, ``None`` when it is absent."""
        call = self._make_call(lambda: self._dialect.get(table, key), is_write=False)
        return self._submit(call).addCallback(lambda row: row and _strip_token(row))

    def scan(self, table: str) -> Deferred[list[StoredRow]]:
        """Read all rows of a table."""
        call = self._make_call(lambda: self._dialect.scan(table), is_write=False)
        return self._submit(call).addCallback(lambda rows: [_strip_token(row) for row in rows])

    def put(self, table: str, key: str, value: bytes, *, expect: int) -> Deferred[StoredRow]:
        """Write when the row's version is *expect*; fails with :class:`StoreConflictError`."""
        token = self._random.randbytes(TOKEN_BYTES)

        def settle(conflict: StoreConflictError) -> StoredRow | None:
            current = conflict.current
            return current if current and current.value.startswith(token) else None

        def attempt() -> Deferred[StoredRow]:
            return self._dialect.put(table, key, token + value, expect=expect)

        call = self._make_call(attempt, is_write=True, settle=settle)
        return self._submit(call).addCallbacks(_strip_token, _strip_conflict_token)

    def delete(self, table: str, key: str, *, expect: int) -> Deferred[None]:
        """Delete when the row's version is *expect*; fails with :class:`StoreConflictError`."""

        def settle(conflict: StoreConflictError) -> bool | None:
            return True if conflict.current is None else None

        def attempt() -> Deferred[Any]:
            return self._dialect.delete(table, key, expect=expect)

        call = self._make_call(attempt, is_write=True, settle=settle)
        return self._submit(call).addCallbacks(lambda _: None, _strip_conflict_token)

    def _make_call(
        self,
        attempt: Callable[[], Deferred[Any]],
        *,
        is_write: bool,
        settle: Callable[[StoreConflictError], Any] | None = None,
    ) -> _Call:
        return _Call(attempt, is_write, self._clock.now() + self._settings.deadline, settle)

    def _submit(self, call: _Call) -> Deferred[Any]:
        if self._stopped or len(self._queue) >= self._settings.queue:
            self.counters.refused += 1
            reason = "stopped" if self._stopped else "queue is full"
            self._finish(call, StoreUnavailableError(reason))
        else:
            self._queue.append(call)
            self._run_next()
        return call.answer

    def _run_next(self) -> None:
        while self._queue and self._running < self._settings.in_flight:
            self._start_attempt(self._queue.popleft())

    def _start_attempt(self, call: _Call) -> None:
        if self._clock.now() >= call.deadline:
            self._finish(call, StoreUnavailableError("no answer before the deadline"))
            return
        self._running += 1
        call.tries += 1
        if call.is_write:
            self.counters.writes += 1
        else:
            self.counters.reads += 1
        attempt = call.attempt()
        timer = self._clock.call_later(self._settings.attempt_timeout, attempt.cancel)
        attempt.addBoth(self._handle_result, call, timer)

    def _handle_result(self, result: Any, call: _Call, timer: Timer) -> None:
        timer.cancel()
        self._running -= 1
        if not isinstance(result, Failure):
            self._note_up()
            self._finish(call, result)
        elif isinstance(result.value, StoreConflictError):
            self._note_up()
            self._settle(call, result.value)
        else:
            self._plan_retry(call, result.value)
        self._run_next()

    def _settle(self, call: _Call, conflict: StoreConflictError) -> None:
        settled = call.settle(conflict) if call.ambiguous and call.settle else None
        if settled is not None:
            self.counters.settled += 1
        self._finish(call, conflict if settled is None else settled)

    def _plan_retry(self, call: _Call, error: BaseException | None) -> None:
        settings = self._settings
        longest_pause = min(settings.backoff_most, settings.backoff_first * 2 ** (call.tries - 1))
        pause = longest_pause * self._random.random()
        if isinstance(error, StoreThrottledError):
            self.counters.throttled += 1
            pause = max(pause, error.retry_after * (1 + self._random.random()))
        else:
            self.counters.failures += 1
            call.ambiguous = True
            self._note_down(error)
        if self._stopped or self._clock.now() + pause >= call.deadline:
            self._finish(call, StoreUnavailableError(f"no answer in {call.tries} tries: {error}"))
            return
        self._backoff[id(call)] = call
        call.timer = self._clock.call_later(pause, self._retry, call)

    def _retry(self, call: _Call) -> None:
        self._backoff.pop(id(call), None)
        # retries go to the front: their deadline is nearest
        self._queue.appendleft(call)
        self._run_next()

    def _finish(self, call: _Call, result: Any) -> None:
        if call.answer.called:
            return
        if isinstance(result, Exception):
            call.answer.errback(result)
        else:
            call.answer.callback(result)

    def _note_down(self, error: BaseException | None) -> None:
        if not self._is_down:
            self._is_down = True
            log_message(
                "store:down", text="store: the table service does not answer", error=str(error)
            )

    def _note_up(self) -> None:
        if self._is_down:
            self._is_down = False
            log_message("store:up", text="store: the table service answers again")


def _strip_token(row: StoredRow) -> StoredRow:
    return StoredRow(row.key, row.version, row.value[TOKEN_BYTES:])


def _strip_conflict_token(failure: Failure) -> Failure:
    error = failure.value
    if isinstance(error, StoreConflictError) and error.current is not None:
        raise StoreConflictError(_strip_token(error.current))
    return failure


@SERVICES.register("store")
def make_store(kernel: Kernel) -> StoreClient:
    """Make the client over the dialect that the settings name."""
    settings: StoreSettings = kernel.settings.store
    dialect = STORE_DIALECTS.find(settings.dialect)(kernel, settings)
    # a separate random source: more calls here must not change the draws of other services
    source = random.Random(kernel.random_source.getrandbits(SEED_BITS))
    return StoreClient(kernel.clock, dialect, settings, source)
