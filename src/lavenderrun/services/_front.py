"""Service ``front``: the HTTP API for callers."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReactorTime

from lavenderrun.codecs import (
    AnswerCodec,
    ApiError,
    ModelCall,
    encode_models,
    parse_chat,
    parse_completion,
    parse_idempotency_key,
    parse_key,
    strip_headers,
)
from lavenderrun.decisions import estimate_tokens, find_plain_route
from lavenderrun.http_server import CloseReason, RequestAccount, describe_error
from lavenderrun.kernel import SERVICES, Kernel, Registry
from lavenderrun.services._front_http import (
    FrontChannel,
    FrontFactory,
    FrontRequest,
    make_leaving_refusal,
)
from lavenderrun.services._front_sinks import (
    DRAIN_OVER,
    PlainSink,
    Sink,
    StreamSink,
    WholeSink,
    log_refusal,
)
from lavenderrun.services._listener import Listener
from lavenderrun.types import (
    Admission,
    DocumentSource,
    FrontSettings,
    ModelName,
    ModelRequest,
    Outcome,
    PlainRequest,
    Refusal,
    Refused,
    RequestHandle,
    Router,
    Step,
)

ApiEndpoint = Callable[["FrontService", FrontRequest], None]

ANSWER_TIME = timedelta(seconds=1)
"""Time after the drain in which the last answers are written before connections are aborted."""

API_ENDPOINTS: Registry[ApiEndpoint] = Registry("endpoint")


@SERVICES.register("front")
class FrontService:
    """Turns HTTP requests into requests to the router, and its answers into HTTP responses."""

    needs: ClassVar[tuple[str, ...]] = ("router",)

    def __init__(self, kernel: Kernel) -> None:
        self.settings: FrontSettings = kernel.settings.front
        self._kernel = kernel
        self._drain_done: Deferred[None] | None = None
        self._is_drain_over = False
        self._factory: FrontFactory | None = None
        self._listener: Listener | None = None
        self._sinks: dict[Sink, None] = {}

    @property
    def router(self) -> Router:
        """The service that takes all requests."""
        return self._kernel.find("router", Router)

    @property
    def port(self) -> int:
        """The port that callers reach; 0 before ``start``."""
        return self._listener.port if self._listener is not None else 0

    @property
    def address(self) -> str:
        """The IP address and port that callers reach; empty before ``start``."""
        return self._listener.address if self._listener is not None else ""

    @property
    def account(self) -> RequestAccount | None:
        """How callers' requests ended, ``None`` before ``start``."""
        return self._factory.account if self._factory is not None else None

    def make_factory(self, reactor: IReactorTime) -> FrontFactory:
        """Return the factory of callers' connections; *reactor* runs their timeouts."""
        self._factory = FrontFactory(self, reactor)
        self._factory.on_empty = self._check_drained
        return self._factory

    def start(self) -> None:
        """Open the port for callers."""
        self._listener = Listener(self.settings.listen, self._find_tls())
        self._listener.open(self.make_factory)
        address = self._listener.address
        log_message("front:listening", text="front: listening for callers", address=address)

    def stop(self) -> Deferred[None]:
        """Stop accepting connections and let requests finish, for ``settings.drain``."""
        drain_done = self._drain_done = Deferred()
        if self._listener is not None:
            self._listener.close()
        if self._factory is not None:
            self._factory.account.is_leaving = True
        channels = self._list_channels()
        log_message("front:draining", text="front: closing connections", open=len(channels))
        clock = self._kernel.clock
        limits = (
            clock.call_later(self.settings.drain, self._answer_remaining),
            clock.call_later(self.settings.drain + ANSWER_TIME, self._abort_remaining),
        )

        def cancel_limits(_: object) -> None:
            for limit in limits:
                limit.cancel()

        drain_done.addBoth(cancel_limits)
        for channel in channels:
            channel.close_when_idle()
        self._check_drained()
        return drain_done

    def serve(self, request: FrontRequest) -> None:
        """Answer a request; a malformed one gets an error answer that names the field."""
        if self._is_drain_over:
            self._refuse_leaving(request)
            return
        try:
            self._find_endpoint(request)(self, request)
        except ApiError as error:
            log_message(
                "front:rejected",
                text="front: request rejected",
                request=request.id,
                refusal=error.refusal.value,
                field=error.field,
            )
            request.answer_refused(error.to_refused(), error.field)

    def _refuse_leaving(self, request: FrontRequest) -> None:
        refused = make_leaving_refusal(DRAIN_OVER)
        log_refusal(request.id, refused)
        request.answer_refused(refused)

    def serve_model(self, request: FrontRequest, parse: Callable[[bytes], ModelCall]) -> None:
        """Parse a model request with *parse* and submit it to the router."""
        key = _read_key(request)
        idempotency_key = parse_idempotency_key(request.find_headers("Idempotency-Key"))
        body = request.read_body()
        try:
            _check_size(len(body), self.settings.max_body)
            call = parse(body)
        except ApiError:
            # a caller whose key is not valid learns that, and nothing about the body
            self._check_key(request, key)
            raise
        arrived = self._kernel.clock.now()
        sink = self._make_sink(request, call)
        sink.codec = AnswerCodec(call.form, request.id, call.model, arrived)
        model_request = ModelRequest(
            request.id,
            key,
            call.model,
            call.prompt,
            call.max_tokens,
            arrived,
            idempotency_key,
        )
        self._submit(sink, partial(self.router.submit_model, model_request, sink))

    def serve_plain(self, request: FrontRequest) -> None:
        """Submit a call for a plain service to the router."""
        method, target = request.method.decode("latin-1"), request.uri.decode("latin-1")
        key = self._read_plain_key(request, method, target)
        idempotency_key = parse_idempotency_key(request.find_headers("Idempotency-Key"))
        body = request.read_body()
        _check_size(len(body), self.settings.max_plain_body)
        sink = PlainSink(request, self.settings, self._kernel.clock)
        plain_request = PlainRequest(
            request.id,
            key,
            method,
            target,
            strip_headers(request.list_headers()),
            body,
            self._kernel.clock.now(),
            idempotency_key,
        )
        self._submit(sink, partial(self.router.submit_plain, plain_request, sink))

    def serve_models(self, request: FrontRequest) -> None:
        """Answer with the models that the request's key may use."""
        key = _read_key(request)
        document = self._find_document().current
        if document is None:
            refused = Refused(Refusal.NOT_READY, Outcome.NOT_RUN, Step.ADMISSION)
            request.answer_refused(refused)
            return
        names = []
        for route in document.model_routes:
            denial = self._find_denial(request, key, route.model)
            if denial is None:
                names.append(route.model)
            elif denial.refusal is not Refusal.ROUTE_NOT_ALLOWED:
                request.answer_refused(denial)
                return
        request.answer(200, encode_models(names), [])

    def _check_key(self, request: FrontRequest, key: str) -> None:
        denial = self._find_denial(request, key, ModelName(""))
        if denial is not None and denial.refusal is Refusal.UNKNOWN_KEY:
            raise ApiError(denial.refusal, denial.detail, "Authorization")

    def _find_denial(self, request: FrontRequest, key: str, model: ModelName) -> Refused | None:
        admission = self._kernel.find("admission", Admission)
        trial_request = ModelRequest(request.id, key, model, "", 1, self._kernel.clock.now())
        admitted = admission.admit_model(trial_request)
        return admitted if isinstance(admitted, Refused) else None

    def _make_sink(self, request: FrontRequest, call: ModelCall) -> StreamSink | WholeSink:
        if call.stream:
            return StreamSink(request, self.settings, self._kernel.clock)
        sink = WholeSink(request, self.settings, self._kernel.clock)
        sink.prompt_tokens = estimate_tokens(call.prompt)
        return sink

    def _submit(self, sink: Sink, submit: Callable[[], RequestHandle]) -> None:
        self._sinks[sink] = None
        sink.notify_end(lambda: self._sinks.pop(sink, None))
        try:
            sink.attach(submit())
        except Exception as error:
            # the caller learns that the outcome is unknown, but nothing of the error itself
            log_message(
                "front:failed",
                text="front: request failed with an unexpected error",
                error=describe_error(error),
            )
            sink.refuse(Refused(Refusal.OUTCOME_UNKNOWN, Outcome.UNKNOWN, Step.ADMISSION))

    def _find_document(self) -> DocumentSource:
        return self._kernel.find("document", DocumentSource)

    def _find_endpoint(self, request: FrontRequest) -> ApiEndpoint:
        name = f"{request.method.decode('latin-1')} {request.path.decode('latin-1')}"
        if name in API_ENDPOINTS:
            return API_ENDPOINTS.find(name)
        return FrontService.serve_plain

    def _read_plain_key(self, request: FrontRequest, method: str, target: str) -> str | None:
        try:
            return parse_key(request.find_headers("Authorization"))
        except ApiError:
            document = self._find_document().current
            route = find_plain_route(document, method, target) if document else None
            if route is not None and route.open:
                return None
            raise

    def _find_tls(self) -> tuple[str | None, str | None] | None:
        certificate, private_key = self.settings.certificate, self.settings.private_key
        if certificate is None and private_key is None:
            return None
        return certificate, private_key

    def _check_drained(self) -> None:
        drain_done = self._drain_done
        if drain_done is not None and not drain_done.called and not self._list_channels():
            drain_done.callback(None)

    def _answer_remaining(self) -> None:
        log_message(
            "front:drain_over",
            text="front: drain limit passed, answering the requests that still run",
            running=len(self._sinks),
        )
        self._is_drain_over = True
        for sink in list(self._sinks):
            sink.end_at_departure()
        for channel in self._list_channels():
            channel.refuse_incomplete()
            channel.close_when_idle()

    def _abort_remaining(self) -> None:
        channels = self._list_channels()
        log_message("front:aborting", text="front: open connections aborted", open=len(channels))
        for channel in channels:
            channel.note_closing(CloseReason.DEPARTURE)
            channel.abort()

    def _list_channels(self) -> list[FrontChannel]:
        return list(self._factory.channels) if self._factory is not None else []


def _read_key(request: FrontRequest) -> str:
    key = parse_key(request.find_headers("Authorization"))
    if key is None:
        message = "Authorization: is missing; send 'Authorization: Bearer KEY'."
        raise ApiError(Refusal.NO_KEY, message, "Authorization")
    return key


def _check_size(size: int, limit: int) -> None:
    if size > limit:
        raise ApiError(Refusal.TOO_LARGE, f"body: larger than {limit} bytes.", "body")


@API_ENDPOINTS.register("POST /v1/completions")
def serve_completion(front: FrontService, request: FrontRequest) -> None:
    """Serve a text completion."""
    front.serve_model(request, parse_completion)


@API_ENDPOINTS.register("POST /v1/chat/completions")
def serve_chat(front: FrontService, request: FrontRequest) -> None:
    """Serve a chat completion."""
    front.serve_model(request, parse_chat)


@API_ENDPOINTS.register("GET /v1/models")
def serve_model_list(front: FrontService, request: FrontRequest) -> None:
    """Serve the list of models."""
    front.serve_models(request)
