"""Service ``engine``: the model engine beside this agent, over its HTTP protocol."""

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

FAULTS: dict[int, type[StepError]] = {
    HTTPStatus.BAD_GATEWAY: BackendCrashError,
    HTTPStatus.SERVICE_UNAVAILABLE: BackendDownError,
}
"""What an engine's status says of the work."""


class HttpEngine:
    """Speaks to one engine; see ``Engine``.

    :param address: IP number and port of the engine; also its name in errors.
    :param agent: makes the HTTP calls and never repeats one.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, address: str, agent: Any) -> None:
        self.address = address
        self._agent = agent

    def start(self) -> None:
        """Connections open when they are used."""

    def stop(self) -> None:
        """Connections in the pool close by themselves."""

    def prefill(
        self, request: RequestId, model: ModelName, text: str, *, priority: int = 0
    ) -> Deferred[Export]:
        """Compute and export KV cache; cancelling the result closes the call."""
        call = PrefillCall(request, model, text, priority)
        done = self._post("prefill", call, Step.PREFILL)
        return done.addCallback(self._decode, ExportReply, Step.PREFILL).addCallback(_to_export)

    def release(self, handle: ExportHandle) -> Deferred[None]:
        """Free an export."""
        return self._post("release", ReleaseCall(handle), Step.PREFILL).addCallback(_drop)

    def decode(
        self,
        request: RequestId,
        model: ModelName,
        handle: ExportHandle,
        source: str,
        *,
        max_tokens: int,
        sink: TokenSink,
    ) -> HttpDecoding:
        """Import an export and generate; see ``Engine``."""
        call = DecodeCall(request, model, handle, source, max_tokens)
        response = self._request("decode", call)
        return HttpDecoding(self, request, response, sink)

    def cancel(self, request: RequestId) -> Deferred[None]:
        """Stop all work for a request; the engine answers when its memory is free."""
        return self._post("cancel", CancelCall(request), Step.DECODE).addCallback(_drop)

    def find_load(self) -> Deferred[LoadReply]:
        """Read the load that the engine reports of itself."""
        url = f"http://{self.address}/load".encode()
        done: Deferred[Any] = self._agent.request(b"GET", url, Headers(), None)
        done.addCallback(self.check, Step.DECODE).addErrback(self.translate, Step.DECODE)
        return done.addCallback(self._decode, LoadReply, Step.DECODE)

    def send_order(self, order: OrderCall) -> Deferred[None]:
        """Give an order; fails with ``StepError`` when its fencing number is old."""
        return self._post("orders", order, Step.ORDER).addCallback(_drop)

    def execute(self, order: Order) -> Deferred[None]:
        """Carry an order out; see ``ManagedEngine``."""
        role = order.role.value if order.kind is OrderKind.CHANGE_ROLE else ""
        call = OrderCall(
            order.kind, order.fencing, order.model, order.adapter, role, order.revision
        )
        return self.send_order(call)

    def find_loaded(self) -> Deferred[LoadedModel | None]:
        """Read what the engine serves; see ``ManagedEngine``."""
        url = f"http://{self.address}/loaded".encode()
        done: Deferred[Any] = self._agent.request(b"GET", url, Headers(), None)
        done.addCallback(self._read_loaded).addErrback(self.translate, Step.ORDER)
        return done

    def _read_loaded(self, response: Any) -> Deferred[Any] | None:
        if response.code == HTTPStatus.NOT_FOUND:
            return None
        return (
            self.check(response, Step.ORDER)
            .addCallback(self._decode, LoadedReply, Step.ORDER)
            .addCallback(_to_loaded)
        )

    def check(self, response: Any, step: Step) -> Deferred[bytes]:
        """Return the body of a success.

        :raises StepError: carries the engine's fault.
        """
        return read_response_body(response).addCallback(self._check_body, response.code, step)

    def translate(self, failure: Failure, step: Step) -> Failure:
        """Turn a broken connection into a crash of the engine, a refused one into its absence."""
        if isinstance(failure.value, StepError | CancelledError):
            return failure
        if isinstance(failure.value, ConnectError):
            raise BackendDownError(step, self.address, type(failure.value).__name__)
        raise BackendCrashError(step, self.address, type(failure.value).__name__)

    def _post(self, path: str, call: msgspec.Struct, step: Step) -> Deferred[bytes]:
        done = self._request(path, call)
        done.addCallback(self.check, step).addErrback(self.translate, step)
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
        raise FAULTS.get(code, StepError)(step, self.address, _read_fault(body, code))

    def _decode(self, body: bytes, kind: type[T], step: Step) -> T:
        try:
            return decode_body(body, kind)
        except EngineProtocolError as error:
            raise StepError(step, self.address, f"bad reply: {error}") from None


class HttpDecoding:
    """A decode in the engine; see ``BackendTask``."""

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
        response.addCallbacks(self._take_response, self._fail)

    @property
    def done(self) -> Deferred[None]:
        """Fires when the engine has freed the seat; fails with ``StepError``."""
        return self._done

    def cancel(self) -> None:
        """Stop the decode; no more tokens reach the sink."""
        if self._cancelled or self._done.called:
            return
        self._cancelled = True
        cancelled = self._engine.cancel(self._request)
        cancelled.addErrback(self._log_cancel)
        cancelled.addCallback(lambda _: self._end(None))

    def take(self, event: DecodeEvent) -> None:
        """Take one event of the stream."""
        if self._cancelled or self._finished:
            return
        if event.fault:
            self._end(StepError(Step.DECODE, self._engine.address, event.fault))
            return
        self._finished = event.finish is not None
        self._sink(event.offset, event.tokens, event.finish)

    def lose(self, reason: Failure) -> None:
        """Take the end of the stream."""
        if self._finished or self._cancelled:
            self._end(None)
        else:
            fault = f"stream broke: {type(reason.value).__name__}"
            self._end(BackendCrashError(Step.DECODE, self._engine.address, fault))

    def reject(self, error: EngineProtocolError) -> None:
        """Give up a stream that does not fit the protocol."""
        self._end(StepError(Step.DECODE, self._engine.address, f"bad event: {error}"))

    def _take_response(self, response: Any) -> None:
        self._response = None
        if response.code == HTTPStatus.OK:
            response.deliverBody(_EventReader(self))
            return
        self._engine.check(response, Step.DECODE).addErrback(self._fail)

    def _fail(self, failure: Failure) -> None:
        if self._cancelled:
            self._end(None)
            return
        try:
            self._engine.translate(failure, Step.DECODE)
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
            text="engine: cancel got no answer",
            request=self._request,
            peer=self._engine.address,
            error=type(failure.value).__name__,
        )


class _EventReader(Protocol):
    """Reads the stream of one decode."""

    transport: Any

    def __init__(self, decoding: HttpDecoding) -> None:
        self._decoding = decoding
        self._events = DecodeEventParser()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part of the stream."""
        try:
            events = self._events.feed(data)
        except EngineProtocolError as error:
            self._decoding.reject(error)
            self.transport.loseConnection()
            return
        for event in events:
            self._decoding.take(event)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Take the end."""
        self._decoding.lose(reason)


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


def _drop(_: object) -> None:
    return None


@SERVICES.register("engine")
def make_http_engine(kernel: Kernel) -> HttpEngine:
    """Make the client of the engine that the settings name, on the running reactor."""
    from twisted.internet import reactor

    settings: BackendSettings = kernel.settings.backend
    return HttpEngine(settings.address, make_pooled_http_agent(reactor, settings.connections))
