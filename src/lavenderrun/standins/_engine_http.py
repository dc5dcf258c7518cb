"""The engine model behind the HTTP protocol of ``docs/design/engine-protocol.md``."""

from __future__ import annotations

from http import HTTPStatus
from typing import Any

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from lavenderrun.codecs import (
    CancelCall,
    DecodeCall,
    DecodeEvent,
    EngineProtocolError,
    ExportReply,
    FaultReply,
    LoadReply,
    OrderCall,
    PrefillCall,
    ReleaseCall,
    decode_body,
    encode_body,
    encode_decode_event,
)
from lavenderrun.standins._engine_decode import DecodeTask
from lavenderrun.standins._engine_model import EngineModel
from lavenderrun.types import (
    BackendCrashError,
    BackendDownError,
    Export,
    FencingNumber,
    FinishReason,
    RequestId,
)


class EngineResource(Resource):
    """HTTP resource that serves an engine model at its root.

    :param checks_fencing: refuse orders with an old fencing number.
    :ivar orders: accepted orders.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, model: EngineModel, *, checks_fencing: bool = True) -> None:
        super().__init__()
        self.model = model
        self.orders: list[OrderCall] = []
        self._checks_fencing = checks_fencing
        self._highest_fencing = FencingNumber(0)
        self._running: dict[RequestId, Any] = {}

    def render(self, request: Request) -> Any:
        """Dispatch one call by method and path."""
        name = f"{request.method.decode('ascii')} {request.path.decode('ascii')}"
        handler = {
            "POST /prefill": self._prefill,
            "POST /decode": self._decode,
            "POST /cancel": self._cancel,
            "POST /release": self._release,
            "POST /orders": self._order,
            "GET /load": self._load,
        }.get(name)
        if handler is None:
            return _fault(request, HTTPStatus.NOT_FOUND, "no such call")
        try:
            return handler(request, request.content.read() if request.content else b"")
        except EngineProtocolError as error:
            return _fault(request, HTTPStatus.BAD_REQUEST, str(error))

    def _prefill(self, request: Request, body: bytes) -> Any:
        call = decode_body(body, PrefillCall)
        done = self.model.prefill(call.request, call.model, call.text, priority=call.priority)
        answer = _PrefillAnswer(request, done)
        self._running[call.request] = answer
        done.addBoth(lambda _: self._forget(call.request, answer))
        return NOT_DONE_YET

    def _decode(self, request: Request, body: bytes) -> Any:
        call = decode_body(body, DecodeCall)
        stream = _DecodeStream(request)
        decoding = self.model.decode(
            call.request,
            call.model,
            call.handle,
            call.source,
            max_tokens=call.max_tokens,
            sink=stream.put,
        )
        stream.attach(decoding)
        self._running[call.request] = decoding
        decoding.done.addBoth(lambda _: self._forget(call.request, decoding))
        return NOT_DONE_YET

    def _cancel(self, request: Request, body: bytes) -> Any:
        running = self._running.pop(decode_body(body, CancelCall).request, None)
        if running is not None:
            running.cancel()
        return _empty(request)

    def _release(self, request: Request, body: bytes) -> Any:
        self.model.free_export(decode_body(body, ReleaseCall).handle)
        return _empty(request)

    def _order(self, request: Request, body: bytes) -> Any:
        order = decode_body(body, OrderCall)
        if self._checks_fencing and order.fencing < self._highest_fencing:
            fault = f"fencing number {order.fencing} is older than {self._highest_fencing}"
            return _fault(request, HTTPStatus.CONFLICT, fault)
        self._highest_fencing = max(self._highest_fencing, order.fencing)
        self.orders.append(order)
        return _empty(request)

    def _load(self, request: Request, _body: bytes) -> Any:
        load = self.model.load()
        return _reply(request, LoadReply(load.running, load.queued, load.free_kv_blocks))

    def _forget(self, request: RequestId, running: object) -> None:
        if self._running.get(request) is running:
            del self._running[request]


class _PrefillAnswer:
    """Answers a prefill call when the prefill ends."""

    def __init__(self, request: Request, done: Deferred[Export]) -> None:
        self._request = request
        self._done = done
        self._disconnected = False
        request.notifyFinish().addErrback(self._handle_disconnect)
        done.addCallbacks(self._answer, self._fail)

    def cancel(self) -> None:
        """Cancel the prefill."""
        self._done.cancel()

    def _handle_disconnect(self, _reason: Failure) -> None:
        self._disconnected = True
        self._done.cancel()

    def _answer(self, export: Export) -> None:
        reply = ExportReply(
            export.handle,
            export.source,
            export.tokens,
            export.cached,
            export.lifetime.total_seconds(),
        )
        if not self._disconnected:
            self._request.write(_reply(self._request, reply))
            self._request.finish()

    def _fail(self, failure: Failure) -> None:
        if self._disconnected:
            return
        if isinstance(failure.value, BackendCrashError):
            # a crashed process drops the connection without an answer
            self._request.loseConnection()
            return
        cancelled = isinstance(failure.value, CancelledError)
        fault = "cancelled" if cancelled else str(failure.value)
        down = isinstance(failure.value, BackendDownError)
        status = HTTPStatus.SERVICE_UNAVAILABLE if down else HTTPStatus.CONFLICT
        self._request.write(_fault(self._request, status, fault))
        self._request.finish()


class _DecodeStream:
    """Streams the events of one decode."""

    def __init__(self, request: Request) -> None:
        self._request = request
        self._disconnected = False
        request.responseHeaders.setRawHeaders("Content-Type", ["text/event-stream"])
        request.notifyFinish().addErrback(self._handle_disconnect)
        self._decoding: DecodeTask | None = None

    def attach(self, decoding: DecodeTask) -> None:
        """End the stream when *decoding* ends."""
        self._decoding = decoding
        decoding.done.addCallbacks(self._end, self._fail)

    def put(self, offset: int, tokens: list[str], finish: FinishReason | None) -> None:
        """Send one decode event."""
        self._send(DecodeEvent(offset, tokens, finish))

    def _end(self, _: None) -> None:
        if not self._disconnected:
            self._request.finish()

    def _fail(self, failure: Failure) -> None:
        if self._disconnected:
            return
        if isinstance(failure.value, BackendCrashError):
            self._request.loseConnection()
            return
        if isinstance(failure.value, BackendDownError):
            self._request.write(
                _fault(self._request, HTTPStatus.SERVICE_UNAVAILABLE, str(failure.value))
            )
            self._request.finish()
            return
        self._send(DecodeEvent(fault=str(failure.value)))
        self._request.finish()

    def _send(self, event: DecodeEvent) -> None:
        if not self._disconnected:
            self._request.write(encode_decode_event(event))

    def _handle_disconnect(self, _reason: Failure) -> None:
        self._disconnected = True
        if self._decoding is not None:
            self._decoding.cancel()


def _reply(request: Request, reply: msgspec.Struct) -> bytes:
    request.responseHeaders.setRawHeaders("Content-Type", ["application/json"])
    return encode_body(reply)


def _fault(request: Request, status: HTTPStatus, fault: str) -> bytes:
    request.setResponseCode(status.value)
    return _reply(request, FaultReply(fault))


def _empty(request: Request) -> bytes:
    request.setResponseCode(HTTPStatus.NO_CONTENT.value)
    return b""
