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
    """What this host asked of the table service, in attempts."""

    reads: int = 0
    writes: int = 0
    failures: int = 0
    throttled: int = 0
    settled: int = 0
    refused: int = 0


@dataclass
class _Call:
    attempt: Callable[[], Deferred[Any]]
    write: bool
    deadline: datetime
    settle: Callable[[StoreConflictError], Any] | None = None
    answer: Deferred[Any] = field(default_factory=Deferred)
    tries: int = 0
    ambiguous: bool = False
    timer: Timer | None = None


class StoreClient:
    """Calls a dialect until it answers or the deadline passes; see ``Store``.

    Each value carries a token of its writer in front. When the reply of a conditional write is
    lost, the write is sent again: a conflict that shows our own token means that it took effect.

    :param dialect: makes one attempt a call.
    :param source: of the jitter and of the writer's tokens.
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
        self._waiting: deque[_Call] = deque()
        self._backoff: dict[int, _Call] = {}
        self._running = 0
        self._stopped = False
        self._down = False

    def start(self) -> None:
        """Take calls."""

    def stop(self) -> None:
        """Fail all calls that have no answer yet."""
        self._stopped = True
        for call in [*self._waiting, *self._backoff.values()]:
            if call.timer is not None:
                call.timer.cancel()
            self._finish(call, StoreUnavailableError("stopped"))
        self._waiting.clear()

    def get(self, table: str, key: str) -> Deferred[StoredRow | None]:
        """Read one row; see ``Store``."""
        call = self._make_call(lambda: self._dialect.get(table, key), write=False)
        return self._submit(call).addCallback(lambda row: row and _unwrap(row))

    def scan(self, table: str) -> Deferred[list[StoredRow]]:
        """Read all rows; see ``Store``."""
        call = self._make_call(lambda: self._dialect.scan(table), write=False)
        return self._submit(call).addCallback(lambda rows: [_unwrap(row) for row in rows])

    def put(self, table: str, key: str, value: bytes, *, expect: int) -> Deferred[StoredRow]:
        """Write conditionally; see ``Store``."""
        token = self._random.randbytes(TOKEN_BYTES)

        def settle(conflict: StoreConflictError) -> StoredRow | None:
            current = conflict.current
            return current if current and current.value.startswith(token) else None

        def attempt() -> Deferred[StoredRow]:
            return self._dialect.put(table, key, token + value, expect=expect)

        call = self._make_call(attempt, write=True, settle=settle)
        return self._submit(call).addCallbacks(_unwrap, _unwrap_conflict)

    def delete(self, table: str, key: str, *, expect: int) -> Deferred[None]:
        """Delete conditionally; see ``Store``."""

        def settle(conflict: StoreConflictError) -> bool | None:
            return True if conflict.current is None else None

        def attempt() -> Deferred[Any]:
            return self._dialect.delete(table, key, expect=expect)

        call = self._make_call(attempt, write=True, settle=settle)
        return self._submit(call).addCallbacks(lambda _: None, _unwrap_conflict)

    def _make_call(
        self,
        attempt: Callable[[], Deferred[Any]],
        *,
        write: bool,
        settle: Callable[[StoreConflictError], Any] | None = None,
    ) -> _Call:
        return _Call(attempt, write, self._clock.now() + self._settings.deadline, settle)

    def _submit(self, call: _Call) -> Deferred[Any]:
        if self._stopped or len(self._waiting) >= self._settings.queue:
            self.counters.refused += 1
            reason = "stopped" if self._stopped else "queue is full"
            self._finish(call, StoreUnavailableError(reason))
        else:
            self._waiting.append(call)
            self._run_next()
        return call.answer

    def _run_next(self) -> None:
        while self._waiting and self._running < self._settings.in_flight:
            self._try(self._waiting.popleft())

    def _try(self, call: _Call) -> None:
        if self._clock.now() >= call.deadline:
            self._finish(call, StoreUnavailableError("no answer before the deadline"))
            return
        self._running += 1
        call.tries += 1
        if call.write:
            self.counters.writes += 1
        else:
            self.counters.reads += 1
        attempt = call.attempt()
        timer = self._clock.call_later(self._settings.attempt_timeout, attempt.cancel)
        attempt.addBoth(self._take_answer, call, timer)

    def _take_answer(self, result: Any, call: _Call, timer: Timer) -> None:
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
        bound = min(settings.backoff_most, settings.backoff_first * 2 ** (call.tries - 1))
        pause = bound * self._random.random()
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
        call.timer = self._clock.call_later(pause, self._resume, call)

    def _resume(self, call: _Call) -> None:
        self._backoff.pop(id(call), None)
        # retries go first: their deadline is nearest
        self._waiting.appendleft(call)
        self._run_next()

    def _finish(self, call: _Call, result: Any) -> None:
        if call.answer.called:
            return
        if isinstance(result, Exception):
            call.answer.errback(result)
        else:
            call.answer.callback(result)

    def _note_down(self, error: BaseException | None) -> None:
        if not self._down:
            self._down = True
            log_message("store:down", text="store: no answer", error=str(error))

    def _note_up(self) -> None:
        if self._down:
            self._down = False
            log_message("store:up", text="store: answers again")


def _unwrap(row: StoredRow) -> StoredRow:
    return StoredRow(row.key, row.version, row.value[TOKEN_BYTES:])


def _unwrap_conflict(failure: Failure) -> Failure:
    error = failure.value
    if isinstance(error, StoreConflictError) and error.current is not None:
        raise StoreConflictError(_unwrap(error.current))
    return failure


@SERVICES.register("store")
def make_store(kernel: Kernel) -> StoreClient:
    """Make the client over the dialect that the settings name."""
    settings: StoreSettings = kernel.settings.store
    dialect = STORE_DIALECTS.find(settings.dialect)(kernel, settings)
    # a source of its own, so that more calls here move no other service's draws
    source = random.Random(kernel.random_source.getrandbits(SEED_BITS))
    return StoreClient(kernel.clock, dialect, settings, source)
