"""Agents' connections to backend servers that record each received request."""

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

KEY_MARKER = "marker-key-of-"
"""Part of every caller's API key; a backend server that receives it has seen a key."""


class _GatedTask:
    """A backend task whose end reaches the agent through its host's clock."""

    def __init__(self, host: HostClock, running: BackendTask) -> None:
        self.inner = running
        self._done: Deferred[None] = Deferred(lambda _: running.cancel())
        running.done.addBoth(lambda result: host.run(_settle, self._done, result))

    @property
    def done(self) -> Deferred[None]:
        """Fires when the task has ended and the agent's host runs."""
        return self._done

    def cancel(self) -> None:
        """Cancel the task at the backend server."""
        self.inner.cancel()


class RecordingEngine:
    """An agent's connection to its engine, for one boot of the agent's host.

    The engine's answers wait while the agent's host is paused and are lost when it is dead.
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
        """Record the request and start a prefill, as ``Engine.prefill`` describes."""
        self._emit(BackendReceived(request, self._backend, saw_key=KEY_MARKER in text))
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
        """Free an export, as ``Engine.release`` describes."""
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
        """Record the request and start a decode, as ``Engine.decode`` describes."""
        self._emit(BackendReceived(request, self._backend))

        def gate(offset: int, tokens: list[str], finish: FinishReason | None) -> None:
            self._host.run(sink, offset, tokens, finish)

        inner = self.engine.decode(request, model, handle, source, max_tokens=max_tokens, sink=gate)
        number = next(self._numbers)
        self._open[number] = inner.cancel
        inner.done.addBoth(self._close, number)
        return _GatedTask(self._host, inner)

    def break_connection(self) -> None:
        """Cancel all open work and free its exports, as an engine does when its agent is gone."""
        work, self._open = self._open, {}
        for end in work.values():
            end()
        for handle in self._exports:
            self.engine.free_export(handle)
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
    """Passes a reply to the agent through its host's clock."""

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


class RecordingPlainBackend:
    """An agent's connection to its plain backend server, for one boot of the agent's host."""

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
        """Record the request and make the call, as ``PlainBackend.call`` describes."""
        received = f"{target} {headers} {body!r}"
        self._emit(BackendReceived(request, self._name, saw_key=KEY_MARKER in received))
        gated = _GatedSink(self._host, sink)
        running = self._backend.call(request, method, target, headers, body, gated)
        return _GatedTask(self._host, running)

    def break_connection(self) -> None:
        """Do nothing: running calls end by themselves and the host's clock drops the replies."""
