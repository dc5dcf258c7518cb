"""Service ``plain``: HTTP client of the plain backend server beside this agent."""

from __future__ import annotations

from typing import Any, ClassVar

from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectError, TimeoutError  # noqa: A004
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import NO_BODY_CODES
from twisted.web.http_headers import Headers

from lavenderrun.codecs import strip_headers
from lavenderrun.decoding import is_final_status
from lavenderrun.kernel import SERVICES, Clock, Kernel, Timer
from lavenderrun.services._http_client import (
    BytesBody,
    is_body_complete,
    make_pooled_http_agent,
    make_unpooled_http_agent,
)
from lavenderrun.types import (
    BackendSettings,
    Outcome,
    Refusal,
    Refused,
    ReplySink,
    RequestId,
    Step,
)

REQUEST_ID_HEADER = "X-Request-Id"
SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})


class UnsendableError(Exception):
    """A call that can't be encoded in HTTP; nothing was sent."""


NEVER_SENT_ERRORS = (ConnectError, TimeoutError, UnsendableError)


class HttpPlainBackend:
    """Implements ``PlainBackend``: makes calls to one backend server.

    A call by a method that isn't safe gets a new connection: when the backend server closes a
    reused one, it isn't known whether the call ran.

    :param pooled: HTTP client with a connection pool, for safe methods.
    :param fresh: HTTP client that opens a connection per call, for all other methods.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, clock: Clock, settings: BackendSettings, pooled: Any, fresh: Any) -> None:
        self.clock = clock
        self.settings = settings
        self._pooled = pooled
        self._fresh = fresh

    def start(self) -> None:
        """Do nothing: connections open when they are used."""

    def stop(self) -> None:
        """Do nothing: the pool closes idle connections."""

    def call(
        self,
        request: RequestId,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        sink: ReplySink,
    ) -> HttpCall:
        """Make a call and pass its reply or refusal to *sink*."""
        raw = Headers()
        for name, value in strip_headers(headers):
            raw.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        raw.setRawHeaders(REQUEST_ID_HEADER, [request])
        agent = self._pooled if method in SAFE_METHODS else self._fresh
        url = f"http://{self.settings.address}{target}".encode("latin-1")
        producer = BytesBody(body) if body else None
        try:
            response = agent.request(method.encode("latin-1"), url, raw, producer)
        except ValueError as error:
            response = fail(UnsendableError(str(error)))
        return HttpCall(self, method, response, sink)


class HttpCall:
    """A running call; its end goes to the sink before ``done`` fires."""

    def __init__(
        self, plain: HttpPlainBackend, method: str, response: Deferred[Any], sink: ReplySink
    ) -> None:
        self._backend = plain
        self._method = method
        self._response = response
        self._sink = sink
        self._transport: Any = None
        self._is_paused = False
        self._done: Deferred[None] = Deferred()
        self._timer: Timer = self._start_silence_timer()
        response.addCallbacks(self._handle_response, self._handle_failure)

    @property
    def done(self) -> Deferred[None]:
        """Fires when the call has finished or was refused or cancelled."""
        return self._done

    def cancel(self) -> None:
        """Close the connection and pass nothing more to the sink."""
        if not self._done.called:
            self._end()
            self._close()

    def pace(self, *, slow: bool) -> None:
        """Stop reading the reply while *slow*."""
        self._is_paused = slow
        self._timer.cancel()
        if not slow and not self._done.called:
            self._timer = self._start_silence_timer()
        if self._transport is not None:
            if slow:
                self._transport.pauseProducing()
            else:
                self._transport.resumeProducing()

    def begin_body(self, transport: Any) -> None:
        """Set the transport that the body is read from."""
        self._transport = transport
        if self._is_paused:
            transport.pauseProducing()

    def take_body(self, data: bytes) -> None:
        """Pass a part of the body to the sink."""
        if self._done.called:
            return
        if not self._is_paused:
            self._timer.cancel()
            self._timer = self._start_silence_timer()
        self._sink.put_body(data)

    def end_body(self, reason: Failure) -> None:
        """Finish the call, or refuse it when the body is incomplete."""
        if self._done.called:
            return
        if is_body_complete(reason):
            self._sink.finish()
            self._end()
        else:
            self._refuse(Outcome.UNKNOWN, type(reason.value).__name__)

    def _handle_response(self, response: Any) -> None:
        if self._done.called:
            response.deliverBody(_BodyDiscarder())
            return
        if not is_final_status(response.code):
            self._refuse(Outcome.UNKNOWN, f"invalid status {response.code}")
            response.deliverBody(_BodyDiscarder())
            return
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in response.headers.getAllRawHeaders()
            for value in values
        ]
        headers = strip_headers(headers)
        has_body = self._method != "HEAD" and response.code not in NO_BODY_CODES
        if has_body and isinstance(response.length, int):
            headers.append(("Content-Length", str(response.length)))
        self._sink.put_head(response.code, headers)
        response.deliverBody(_BodyReader(self))

    def _handle_failure(self, failure: Failure) -> None:
        if not self._done.called:
            never_sent = failure.check(*NEVER_SENT_ERRORS) is not None
            outcome = Outcome.NOT_RUN if never_sent else Outcome.UNKNOWN
            self._refuse(outcome, type(failure.value).__name__)

    def _start_silence_timer(self) -> Timer:
        return self._backend.clock.call_later(self._backend.settings.silence, self._end_silent)

    def _end_silent(self) -> None:
        self._refuse(Outcome.UNKNOWN, "no byte for too long")
        self._close()

    def _refuse(self, outcome: Outcome, detail: str) -> None:
        refused = Refused(
            Refusal.BACKEND_LOST, outcome, Step.CALL, self._backend.settings.address, detail=detail
        )
        self._sink.refuse(refused)
        self._end()

    def _close(self) -> None:
        if self._transport is not None:
            self._transport.loseConnection()
        else:
            self._response.cancel()

    def _end(self) -> None:
        self._timer.cancel()
        if not self._done.called:
            self._done.callback(None)


class _BodyReader(Protocol):
    """Passes a reply's body to its call."""

    transport: Any

    def __init__(self, call: HttpCall) -> None:
        self._call = call

    def connectionMade(self) -> None:  # noqa: N802
        """Pass the transport on."""
        self._call.begin_body(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass data on."""
        self._call.take_body(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Pass the end on."""
        self._call.end_body(reason)


class _BodyDiscarder(Protocol):
    """Closes the connection of a reply to a call that has ended."""

    transport: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Close the connection."""
        self.transport.loseConnection()


@SERVICES.register("plain")
def make_plain_backend(kernel: Kernel) -> HttpPlainBackend:
    """Make a client of the backend server in the settings, on the running reactor."""
    from twisted.internet import reactor

    settings: BackendSettings = kernel.settings.backend
    pooled = make_pooled_http_agent(reactor, settings.connections)
    return HttpPlainBackend(kernel.clock, settings, pooled, make_unpooled_http_agent(reactor))
