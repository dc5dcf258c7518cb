"""Service ``engine``: HTTP client of the model engine beside this agent."""

from __future__ import annotations

from datetime import timedelta
from http import HTTPStatus
from typing import Any, ClassVar, TypeVar

import msgspec
from eliot import log_message
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.error import ConnectError
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from lavenderrun.codecs import (
    CancelCall,
    DecodeCall,
    DecodeEvent,
    DecodeEventParser,
    EngineProtocolError,
    ExportReply,
    FaultReply,
    LoadedReply,
    LoadReply,
    OrderCall,
    PrefillCall,
    ReleaseCall,
    decode_body,
    encode_body,
)
from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.services._http_client import BytesBody, make_pooled_http_agent, read_response_body
from lavenderrun.types import (
    BackendCrashError,
    BackendDownError,
    BackendSettings,
    Export,
    ExportHandle,
    LoadedModel,
    ModelName,
    Order,
    OrderKind,
    RequestId,
    Step,
    StepError,
    TokenSink,
)

T = TypeVar("T")

STATUS_ERRORS: dict[int, type[StepError]] = {
    HTTPStatus.BAD_GATEWAY: BackendCrashError,
    HTTPStatus.SERVICE_UNAVAILABLE: BackendDownError,
}
"""Errors for an engine's HTTP status; every other status is a plain ``StepError``."""


class HttpEngine:
    """Calls one engine over HTTP; implements ``Engine`` and ``ManagedEngine``.

    :param address: IP address and port of the engine; also its name in errors.
    :param agent: HTTP client; it must never retry a call by itself.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, address: str, agent: Any) -> None:
        self.address = address
        self._agent = agent

    def start(self) -> None:
        """Do nothing: connections are opened on demand."""

    def stop(self) -> None:
        """Do nothing: idle connections of the pool close by themselves."""

    def prefill(
        self, request: RequestId, model: ModelName, text: str, *, priority: int = 0
    ) -> Deferred[Export]:
        """Compute and export KV cache; cancelling the result closes the HTTP call."""
        call = PrefillCall(request, model, text, priority)
        done = self._post("prefill", call, Step.PREFILL)
        return done.addCallback(self._parse_reply, ExportReply, Step.PREFILL).addCallback(
            _to_export
        )

    def release(self, handle: ExportHandle) -> Deferred[None]:
        """Free an export in the engine."""
        return self._post("release", ReleaseCall(handle), Step.PREFILL).addCallback(_discard)

    def decode(
        self,
        request: RequestId,
        model: ModelName,
        handle: ExportHandle,
        source: str,
        *,
        max_tokens: int,
        sink: TokenSink,
    ) -> HttpDecodeTask:
        """Import the export from the engine at *source* and generate into *sink*."""
        call = DecodeCall(request, model, handle, source, max_tokens)
        response = self._request("decode", call)
        return HttpDecodeTask(self, request, response, sink)

    def cancel(self, request: RequestId) -> Deferred[None]:
        """Stop all work for a request; fires when the engine has freed its memory."""
        return self._post("cancel", CancelCall(request), Step.DECODE).addCallback(_discard)

    def find_load(self) -> Deferred[LoadReply]:
        """Read the engine's report of its own load."""
        url = f"http://{self.address}/load".encode()
        done: Deferred[Any] = self._agent.request(b"GET", url, Headers(), None)
        done.addCallback(self.check_response, Step.DECODE).addErrback(
            self.translate_error, Step.DECODE
        )
        return done.addCallback(self._parse_reply, LoadReply, Step.DECODE)

    def send_order(self, order: OrderCall) -> Deferred[None]:
        """Send an order to the engine; fails with ``StepError`` when its fencing number is old."""
        return self._post("orders", order, Step.ORDER).addCallback(_discard)

    def execute(self, order: Order) -> Deferred[None]:
        """Execute an order of the lease holder; fails with ``StepError``."""
        role = order.role.value if order.kind is OrderKind.CHANGE_ROLE else ""
        call = OrderCall(
            order.kind, order.fencing, order.model, order.adapter, role, order.revision
        )
        return self.send_order(call)

    def find_loaded(self) -> Deferred[LoadedModel | None]:
        """Read what the engine serves, ``None`` when it cannot tell; fails with ``StepError``."""
        url = f"http://{self.address}/loaded".encode()
        done: Deferred[Any] = self._agent.request(b"GET", url, Headers(), None)
        done.addCallback(self._read_loaded).addErrback(self.translate_error, Step.ORDER)
        return done

    def _read_loaded(self, response: Any) -> Deferred[Any] | None:
        if response.code == HTTPStatus.NOT_FOUND:
            return None
        return (
            self.check_response(response, Step.ORDER)
            .addCallback(self._parse_reply, LoadedReply, Step.ORDER)
            .addCallback(_to_loaded)
        )

    def check_response(self, response: Any, step: Step) -> Deferred[bytes]:
        """Return the body of a successful response.

        :raises StepError: the engine reported a fault; the error carries its text.
        """
        return read_response_body(response).addCallback(self._check_body, response.code, step)

    def translate_error(self, failure: Failure, step: Step) -> Failure:
        """Translate a refused connection to ``BackendDownError``, a broken one to a crash."""
        if isinstance(failure.value, StepError | CancelledError):
            return failure
        if isinstance(failure.value, ConnectError):
            raise BackendDownError(step, self.address, type(failure.value).__name__)
        raise BackendCrashError(step, self.address, type(failure.value).__name__)

    def _post(self, path: str, call: msgspec.Struct, step: Step) -> Deferred[bytes]:
        done = self._request(path, call)
        done.addCallback(self.check_response, step).addErrback(self.translate_error, step)
        return done

    def _request(self, path: str, call: msgspec.Struct) -> Deferred[Any]:
        url = f"http://{self.address}/{path}".encode()
        headers = Headers({"Content-Type": ["application/json"]})
        response: Deferred[Any] = self._agent.request(
            b"POST", url, headers, BytesBody(encode_body(call))
        )
        return response

    def _check_body(self, body: bytes, code: int, step: Step) -> bytes:
        if code in (HTTPStatus.OK, HTTPStatus.NO_CONTENT):
            return body
        raise STATUS_ERRORS.get(code, StepError)(step, self.address, _read_fault(body, code))

    def _parse_reply(self, body: bytes, kind: type[T], step: Step) -> T:
        try:
            return decode_body(body, kind)
        except EngineProtocolError as error:
            raise StepError(step, self.address, f"bad reply: {error}") from None


class HttpDecodeTask:
    """A decode that runs in the engine."""

    def __init__(
        self, engine: HttpEngine, request: RequestId, response: Deferred[Any], sink: TokenSink
    ) -> None:
        self._engine = engine
        self._request = request
        self._response: Deferred[Any] | None = response
        self._sink = sink
        self._cancelled = False
        self._finished = False
        self._done: Deferred[None] = Deferred()
        response.addCallbacks(self._handle_response, self._fail)

    @property
    def done(self) -> Deferred[None]:
        """Fires when the engine has freed the decode slot; fails with ``StepError``."""
        return self._done

    def cancel(self) -> None:
        """Stop the decode; no more tokens reach the sink."""
        if self._cancelled or self._done.called:
            return
        self._cancelled = True
        cancelled = self._engine.cancel(self._request)
        cancelled.addErrback(self._log_cancel)
        cancelled.addCallback(lambda _: self._end(None))

    def handle_event(self, event: DecodeEvent) -> None:
        """Pass one event of the stream to the sink."""
        if self._cancelled or self._finished:
            return
        if event.fault:
            self._end(StepError(Step.DECODE, self._engine.address, event.fault))
            return
        self._finished = event.finish is not None
        self._sink(event.offset, event.tokens, event.finish)

    def handle_stream_end(self, reason: Failure) -> None:
        """End the decode; a stream that closes before its last event counts as a crash."""
        if self._finished or self._cancelled:
            self._end(None)
        else:
            fault = f"stream broke: {type(reason.value).__name__}"
            self._end(BackendCrashError(Step.DECODE, self._engine.address, fault))

    def handle_protocol_error(self, error: EngineProtocolError) -> None:
        """Fail the decode because its stream violates the protocol."""
        self._end(StepError(Step.DECODE, self._engine.address, f"bad event: {error}"))

    def _handle_response(self, response: Any) -> None:
        self._response = None
        if response.code == HTTPStatus.OK:
            response.deliverBody(_DecodeStreamReader(self))
            return
        self._engine.check_response(response, Step.DECODE).addErrback(self._fail)

    def _fail(self, failure: Failure) -> None:
        if self._cancelled:
            self._end(None)
            return
        try:
            self._engine.translate_error(failure, Step.DECODE)
            raise StepError(Step.DECODE, self._engine.address, "cancelled")
        except StepError as error:
            self._end(error)

    def _end(self, error: StepError | None) -> None:
        if self._done.called:
            return
        if error is None:
            self._done.callback(None)
        else:
            self._done.errback(error)

    def _log_cancel(self, failure: Failure) -> None:
        log_message(
            "engine:cancel_failed",
            text="engine: cancel call failed",
            request=self._request,
            peer=self._engine.address,
            error=type(failure.value).__name__,
        )


class _DecodeStreamReader(Protocol):
    """Parses the body of one decode response into events."""

    transport: Any

    def __init__(self, task: HttpDecodeTask) -> None:
        self._task = task
        self._parser = DecodeEventParser()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and handle the events that are complete."""
        try:
            events = self._parser.feed(data)
        except EngineProtocolError as error:
            self._task.handle_protocol_error(error)
            self.transport.loseConnection()
            return
        for event in events:
            self._task.handle_event(event)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Handle the end of the stream."""
        self._task.handle_stream_end(reason)


def _to_export(reply: ExportReply) -> Export:
    lives = timedelta(seconds=reply.lives)
    return Export(reply.handle, reply.source, reply.tokens, reply.cached, lives)


def _to_loaded(reply: LoadedReply) -> LoadedModel:
    return LoadedModel(reply.model, reply.revision, reply.adapters, reply.role)


def _read_fault(body: bytes, code: int) -> str:
    try:
        return decode_body(body, FaultReply).fault
    except EngineProtocolError:
        return f"status {code}"


def _discard(_: object) -> None:
    return None


@SERVICES.register("engine")
def make_http_engine(kernel: Kernel) -> HttpEngine:
    """Make the HTTP client of the engine at the configured address, on the running reactor."""
    from twisted.internet import reactor

    settings: BackendSettings = kernel.settings.backend
    return HttpEngine(settings.address, make_pooled_http_agent(reactor, settings.connections))
