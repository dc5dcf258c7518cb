"""Service ``plain``: the plain backend server beside this agent, over HTTP."""

from __future__ import annotations

from typing import Any, ClassVar

from twisted.internet.defer import Deferred, fail
from twisted.internet.error import ConnectError, TimeoutError  # noqa: A004
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import NO_BODY_CODES
from twisted.web.http_headers import Headers

from lavenderrun.codecs import strip_headers
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
    """A call that HTTP can not carry; nothing was sent."""


NEVER_SENT = (ConnectError, TimeoutError, UnsendableError)


class HttpPlainBackend:
    """Makes calls to one backend server; see ``PlainBackend``.

    Methods that may change something get a fresh connection each: on one that was idle, a close
    by the backend server can not be told from a call that ran.

    :param pooled: agent for safe methods.
    :param fresh: agent for all others.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, clock: Clock, settings: BackendSettings, pooled: Any, fresh: Any) -> None:
        self.clock = clock
        self.settings = settings
        self._pooled = pooled
        self._fresh = fresh

    def start(self) -> None:
        """Connections open when they are used."""

    def stop(self) -> None:
        """Connections in the pool close by themselves."""

    def call(
        self,
        request: RequestId,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        sink: ReplySink,
    ) -> HttpCall:
        """Make the call into *sink*."""
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
    """A call that runs; its end is told to the sink, then ``done`` fires."""

    def __init__(
        self, plain: HttpPlainBackend, method: str, response: Deferred[Any], sink: ReplySink
    ) -> None:
        self._plain = plain
        self._method = method
        self._response = response
        self._sink = sink
        self._transport: Any = None
        self._slow = False
        self._done: Deferred[None] = Deferred()
        self._timer: Timer = self._expect()
        response.addCallbacks(self._take_response, self._take_failure)

    @property
    def done(self) -> Deferred[None]:
        """Fires when the call is over, whole, refused or cancelled."""
        return self._done

    def cancel(self) -> None:
        """Close the connection; nothing more reaches the sink."""
        if not self._done.called:
            self._end()
            self._close()

    def pace(self, *, slow: bool) -> None:
        """Stop reading while *slow*."""
        self._slow = slow
        self._timer.cancel()
        if not slow and not self._done.called:
            self._timer = self._expect()
        if self._transport is not None:
            if slow:
                self._transport.pauseProducing()
            else:
                self._transport.resumeProducing()

    def begin_body(self, transport: Any) -> None:
        """Take the transport of the body."""
        self._transport = transport
        if self._slow:
            transport.pauseProducing()

    def take_body(self, data: bytes) -> None:
        """Take a part of the body."""
        if self._done.called:
            return
        if not self._slow:
            self._timer.cancel()
            self._timer = self._expect()
        self._sink.put_body(data)

    def end_body(self, reason: Failure) -> None:
        """Take the end of the body."""
        if self._done.called:
            return
        if is_body_complete(reason):
            self._sink.finish()
            self._end()
        else:
            self._refuse(Outcome.UNKNOWN, type(reason.value).__name__)

    def _take_response(self, response: Any) -> None:
        if self._done.called:
            response.deliverBody(_Discard())
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

    def _take_failure(self, failure: Failure) -> None:
        if not self._done.called:
            never_sent = failure.check(*NEVER_SENT) is not None
            outcome = Outcome.NOT_RUN if never_sent else Outcome.UNKNOWN
            self._refuse(outcome, type(failure.value).__name__)

    def _expect(self) -> Timer:
        return self._plain.clock.call_later(self._plain.settings.silence, self._give_up)

    def _give_up(self) -> None:
        self._refuse(Outcome.UNKNOWN, "no byte for too long")
        self._close()

    def _refuse(self, outcome: Outcome, detail: str) -> None:
        refused = Refused(
            Refusal.BACKEND_LOST, outcome, Step.CALL, self._plain.settings.address, detail=detail
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
    """Hands a body on."""

    transport: Any

    def __init__(self, call: HttpCall) -> None:
        self._call = call

    def connectionMade(self) -> None:  # noqa: N802
        """Begin."""
        self._call.begin_body(self.transport)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part."""
        self._call.take_body(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Take the end."""
        self._call.end_body(reason)


class _Discard(Protocol):
    """Closes the connection of a reply that nobody waits for."""

    transport: Any

    def connectionMade(self) -> None:  # noqa: N802
        """Close."""
        self.transport.loseConnection()


@SERVICES.register("plain")
def make_plain_backend(kernel: Kernel) -> HttpPlainBackend:
    """Make the client of the backend server that the settings name, on the running reactor."""
    from twisted.internet import reactor

    settings: BackendSettings = kernel.settings.backend
    pooled = make_pooled_http_agent(reactor, settings.connections)
    return HttpPlainBackend(kernel.clock, settings, pooled, make_unpooled_http_agent(reactor))
