"""Timing model of one continuous-batching engine, on a clock and without a network."""

from __future__ import annotations

import bisect
import random
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from itertools import count
from typing import Any

from twisted.internet.defer import Deferred

from lavenderrun.kernel import Clock, Timer
from lavenderrun.standins._engine_cache import (
    KV_BLOCK_TOKENS,
    CacheWatcher,
    PrefixCache,
    hash_blocks,
)
from lavenderrun.standins._engine_decode import DecodeBatch, Decoding
from lavenderrun.standins._engine_speed import EngineLoad, EngineSpeed
from lavenderrun.standins._fabric import Cache, Fabric
from lavenderrun.standins._text import POISON_PREFILL, count_tokens
from lavenderrun.types import (
    BackendCrashError,
    BackendDownError,
    DataCentre,
    Export,
    ExportHandle,
    ModelName,
    RequestId,
    Step,
    StepError,
    TokenSink,
)


@dataclass
class _Prefilling:
    request: RequestId
    text: str
    tokens: int
    priority: int
    order: int
    done: Deferred[Export] = field(repr=False)
    began: datetime
    cached: int = 0


class EngineModel:
    """One engine; implements the ``Engine`` port.

    :param address: names it to other engines.
    :param random_source: seeded source for its lost cache events.
    :ivar prefilled_tokens: tokens that prefills have computed.
    :ivar wasted_tokens: those of them whose result no engine imported.
    :ivar generated_tokens: tokens that decodes have generated.
    """

    def __init__(
        self,
        clock: Clock,
        fabric: Fabric,
        address: str,
        data_centre: DataCentre,
        *,
        speed: EngineSpeed | None = None,
        random_source: random.Random | None = None,
    ) -> None:
        self.speed = speed or EngineSpeed()
        self.address = address
        self.data_centre = data_centre
        self.crashes = 0
        self.prefilled_tokens = 0
        self.wasted_tokens = 0
        self.generated_tokens = 0
        self._clock = clock
        self._fabric = fabric
        self._cache = PrefixCache(
            clock, self.speed.cached_kv_blocks, random_source or random.Random(0)
        )
        self._numbers = count(1)
        self._life = 0
        self._down_until: datetime | None = None
        self._frozen: list[tuple[Callable[..., Any], tuple[Any, ...]]] | None = None
        self._waiting: list[_Prefilling] = []
        self._active: _Prefilling | None = None
        self._exports: dict[ExportHandle, Cache] = {}
        self._batch = DecodeBatch(self)
        self._history: deque[tuple[datetime, EngineLoad]] = deque()
        fabric.attach(self)

    def prefill(
        self, request: RequestId, model: ModelName, text: str, *, priority: int = 0
    ) -> Deferred[Export]:
        """Queue a prefill; see ``Engine``. A smaller *priority* goes first."""
        done: Deferred[Export] = Deferred(self._cancel_prefill)
        if self.is_down:
            done.errback(self.down_error(Step.PREFILL))
            return done
        work = _Prefilling(
            request,
            text,
            count_tokens(text),
            priority,
            next(self._numbers),
            done,
            self._clock.now(),
        )
        bisect.insort(self._waiting, work, key=lambda each: (each.priority, each.order))
        self.note_load()
        self._begin_prefill()
        return done

    def release(self, handle: ExportHandle) -> Deferred[None]:
        """Free an export; see ``Engine``."""
        self.end_export(handle)
        done: Deferred[None] = Deferred()
        done.callback(None)
        return done

    def decode(
        self,
        request: RequestId,
        model: ModelName,
        handle: ExportHandle,
        source: str,
        *,
        max_tokens: int,
        sink: TokenSink,
    ) -> Decoding:
        """Import an export and generate; see ``Engine``."""
        decoding = Decoding(self._batch, request, max_tokens, sink)
        if self.is_down:
            decoding.fail(self.down_error(Step.DECODE))
        elif self._batch.is_full:
            decoding.fail(StepError(Step.DECODE, self.address, "no seat is free"))
        else:
            self._batch.admit(decoding)
            decoding.transfer = self._fabric.pull(
                handle, source, self.data_centre, decoding.take_cache
            )
        return decoding

    def read_export(self, handle: ExportHandle) -> Cache | None:
        """Return an export's contents, ``None`` when it is freed."""
        return self._exports.get(handle)

    def end_export(self, handle: ExportHandle, *, used: bool = False) -> None:
        """Free an export."""
        cache = self._exports.pop(handle, None)
        if cache is not None:
            if not used:
                self.wasted_tokens += cache.computed
            self.note_load()
            self._begin_prefill()

    def watch_cache(self, watcher: CacheWatcher) -> None:
        """Publish cache events to *watcher*."""
        self._cache.watch(watcher)

    def held(self) -> int:
        """Return the pieces that requests hold now."""
        pieces = sum(count_kv_blocks(cache.tokens) for cache in self._exports.values())
        if self._active is not None:
            pieces += count_kv_blocks(self._active.tokens)
        return pieces + self._batch.held()

    def load(self) -> EngineLoad:
        """Return the load as it was :attr:`EngineSpeed.load_lag` ago."""
        horizon = self._clock.now() - self.speed.load_lag
        while len(self._history) > 1 and self._history[1][0] <= horizon:
            self._history.popleft()
        if self._history and self._history[0][0] <= horizon:
            return self._history[0][1]
        return EngineLoad(0, 0, self.speed.kv_blocks)

    def note_load(self) -> None:
        """Keep the present load for later reports."""
        queued = len(self._waiting) + (self._active is not None)
        load = EngineLoad(self._batch.size, queued, self.speed.kv_blocks - self.held())
        self._history.append((self._clock.now(), load))
        if len(self._history) > 4096:
            self.load()

    def crash(self) -> None:
        """Lose all work and memory; calls are taken again after a restart."""
        self.crashes += 1
        self._life += 1
        self._down_until = self._clock.now() + self.speed.restart
        self._cache.clear()
        self.wasted_tokens += sum(cache.computed for cache in self._exports.values())
        self._exports.clear()
        error = self.crash_error(Step.PREFILL)
        lost = self._waiting + ([self._active] if self._active is not None else [])
        self._waiting = []
        self._waste_active()
        self._batch.crash()
        self.note_load()
        for work in lost:
            work.done.errback(error)

    def freeze(self) -> None:
        """Stop all progress until :meth:`thaw`."""
        if self._frozen is None:
            self._frozen = []

    def thaw(self) -> None:
        """Go on after :meth:`freeze`."""
        backlog, self._frozen = self._frozen or [], None
        for call, args in backlog:
            call(*args)

    @property
    def is_down(self) -> bool:
        """Whether a crash keeps the engine from taking calls."""
        return self._down_until is not None and self._clock.now() < self._down_until

    def down_error(self, step: Step) -> BackendDownError:
        """Return the error of a call that a crashed engine did not take."""
        return BackendDownError(step, self.address, "the backend server is down")

    def crash_error(self, step: Step) -> BackendCrashError:
        """Return the error that callers of a crashed engine get."""
        return BackendCrashError(step, self.address, "the backend server crashed")

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Run *call* later, unless the engine crashes first; a freeze holds it back."""
        return self._clock.call_later(delay, self._run, self._life, call, *args)

    def _run(self, life: int, call: Callable[..., Any], *args: Any) -> None:
        if life != self._life:
            return
        if self._frozen is None:
            call(*args)
        else:
            self._frozen.append((self._run, (life, call, *args)))

    def _begin_prefill(self) -> None:
        if self._active is not None or not self._waiting:
            return
        if count_kv_blocks(self._waiting[0].tokens) > self.speed.kv_blocks - self.held():
            return
        work = self._active = self._waiting.pop(0)
        work.began = self._clock.now()
        blocks = hash_blocks(work.text)
        work.cached = min(self._cache.find_prefix(blocks) * KV_BLOCK_TOKENS, work.tokens)
        self.call_later(
            self.speed.time_prefill(work.tokens - work.cached), self._end_prefill, work, blocks
        )

    def _end_prefill(self, work: _Prefilling, blocks: list[str]) -> None:
        if self._active is not work:
            return
        if POISON_PREFILL in work.text:
            self.crash()
            return
        self._active = None
        self.prefilled_tokens += work.tokens - work.cached
        self._cache.store(blocks)
        handle = ExportHandle(f"{self.address}#{self._life}.{work.order}")
        self._exports[handle] = Cache(
            work.request, work.text, work.tokens, work.tokens - work.cached
        )
        self.call_later(self.speed.export_life, self.end_export, handle)
        self.note_load()
        self._begin_prefill()
        work.done.callback(
            Export(handle, self.address, work.tokens, work.cached, self.speed.export_life)
        )

    def _cancel_prefill(self, done: Deferred[Export]) -> None:
        self._waiting = [work for work in self._waiting if work.done is not done]
        if self._active is not None and self._active.done is done:
            self._waste_active()
        self.note_load()
        self._begin_prefill()

    def _waste_active(self) -> None:
        work, self._active = self._active, None
        if work is not None:
            spent = (self._clock.now() - work.began) / self.speed.prefill_a_token
            computed = min(int(spent), work.tokens - work.cached)
            self.prefilled_tokens += computed
            self.wasted_tokens += computed


def count_kv_blocks(tokens: int) -> int:
    """Return the pieces of KV cache that *tokens* take."""
    return -(-tokens // KV_BLOCK_TOKENS)
