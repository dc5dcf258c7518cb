"""Backend servers as the bench gives them to agents: they tell the record what they receive."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lavenderrun.bench._time import HostClock
from lavenderrun.standins import EngineModel, MemoryPlain
from lavenderrun.types import (
    BackendId,
    BackendReceived,
    BackendTask,
    EventData,
    Export,
    ExportHandle,
    FinishReason,
    ModelName,
    Refused,
    ReplySink,
    RequestId,
    TokenSink,
)

MARKER = "marker-key-of-"
"""Part of every caller's key, and of nothing else."""


class _GatedRunning:
    """A decode whose end reaches the agent through its host's clock."""

    def __init__(self, host: HostClock, running: BackendTask) -> None:
        self.inner = running
        self._done: Deferred[None] = Deferred(lambda _: running.cancel())
        running.done.addBoth(lambda result: host.run(_settle, self._done, result))

    @property
    def done(self) -> Deferred[None]:
        """Fires when the seat is free and the agent's host runs."""
        return self._done

    def cancel(self) -> None:
        """Stop it."""
        self.inner.cancel()


class WitnessEngine:
    """One life of an agent's connection to its engine.

    What the engine answers waits while the agent's host is paused and is lost when it is dead.
    """

    def __init__(
        self,
        engine: EngineModel,
        backend: BackendId,
        host: HostClock,
        emit: Callable[[EventData], None],
    ) -> None:
        self.engine = engine
        self._backend = backend
        self._host = host
        self._emit = emit
        self._numbers = count()
        self._open: dict[int, Callable[[], None]] = {}
        self._exports: set[ExportHandle] = set()

    def prefill(self, request: RequestId, model: ModelName, text: str) -> Deferred[Export]:
        """See ``Engine``."""
        self._emit(BackendReceived(request, self._backend, saw_key=MARKER in text))
        inner = self.engine.prefill(request, model, text)
        outer: Deferred[Export] = Deferred(lambda _: inner.cancel())
        number = next(self._numbers)
        self._open[number] = inner.cancel

        def settle(result: Any) -> None:
            self._open.pop(number, None)
            if isinstance(result, Export):
                self._exports.add(result.handle)
            self._host.run(_settle, outer, result)

        inner.addBoth(settle)
        return outer

    def release(self, handle: ExportHandle) -> Deferred[None]:
        """See ``Engine``."""
        self._exports.discard(handle)
        return self.engine.release(handle)

    def decode(
        self,
        request: RequestId,
        model: ModelName,
        handle: ExportHandle,
        source: str,
        *,
        max_tokens: int,
        sink: TokenSink,
    ) -> BackendTask:
        """See ``Engine``."""
        self._emit(BackendReceived(request, self._backend))

        def gate(offset: int, tokens: list[str], finish: FinishReason | None) -> None:
            self._host.run(sink, offset, tokens, finish)

        inner = self.engine.decode(request, model, handle, source, max_tokens=max_tokens, sink=gate)
        number = next(self._numbers)
        self._open[number] = inner.cancel
        inner.done.addBoth(self._close, number)
        return _GatedRunning(self._host, inner)

    def break_connection(self) -> None:
        """End all work of this life, as an engine does when its agent's connection ends."""
        work, self._open = self._open, {}
        for end in work.values():
            end()
        for handle in self._exports:
            self.engine.end_export(handle)
        self._exports.clear()

    def _close(self, result: Any, number: int) -> Any:
        self._open.pop(number, None)
        return result


def _settle(done: Deferred[Any], result: Any) -> None:
    if done.called:
        return
    if isinstance(result, Failure):
        done.errback(result)
    else:
        done.callback(result)


class _GatedSink:
    """A reply on its way to the agent through its host's clock."""

    def __init__(self, host: HostClock, sink: ReplySink) -> None:
        self._host = host
        self._sink = sink

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        self._host.run(self._sink.put_head, status, headers)

    def put_body(self, data: bytes) -> None:
        self._host.run(self._sink.put_body, data)

    def finish(self) -> None:
        self._host.run(self._sink.finish)

    def refuse(self, refused: Refused) -> None:
        self._host.run(self._sink.refuse, refused)


class WitnessPlain:
    """One life of an agent's connection to its plain backend server."""

    def __init__(
        self,
        backend: MemoryPlain,
        name: BackendId,
        host: HostClock,
        emit: Callable[[EventData], None],
    ) -> None:
        self._backend = backend
        self._name = name
        self._host = host
        self._emit = emit

    def call(
        self,
        request: RequestId,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        sink: ReplySink,
    ) -> BackendTask:
        """See ``PlainBackend``."""
        sight = f"{target} {headers} {body!r}"
        self._emit(BackendReceived(request, self._name, saw_key=MARKER in sight))
        gated = _GatedSink(self._host, sink)
        running = self._backend.call(request, method, target, headers, body, gated)
        return _GatedRunning(self._host, running)

    def break_connection(self) -> None:
        """Leave the calls that run to run on; their replies find nobody."""
