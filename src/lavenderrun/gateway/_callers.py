"""Service ``callers``: the HTTP server that callers connect to."""

from __future__ import annotations

from collections.abc import Callable, Collection
from io import BytesIO
from typing import Any, ClassVar, Final

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from lavenderrun.decoding import parse_address
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import CallerDialect
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.gateway._sockets import set_socket_options
from lavenderrun.gateway._stats import OPEN_CONNECTIONS, PARTIAL, REQUESTS, UNANSWERED, Stats
from lavenderrun.http_server import (
    AccountedChannel,
    AccountedFactory,
    AccountedRequest,
    CloseReason,
    RequestAccount,
    RequestEnd,
)
from lavenderrun.kernel import Kernel
from lavenderrun.types import (
    Configuration,
    GatewayCall,
    Headers,
    Outcome,
    Refusal,
    Refused,
    RequestId,
    RunningCall,
    Step,
)

BACKLOG: Final = 512
"""Connections that may wait to be accepted when many callers connect at once."""

DEFAULT_MAX_BODY_BYTES: Final = 4 << 20
"""Largest body of a call until a configuration sets another one."""

MAX_UNREAD_BYTES: Final = 1 << 20
"""Bytes beyond the largest body that are read before the connection is closed, so that a caller
that sends a little too much gets an answer."""

DEFAULT_IDLE_SECONDS: Final = 60.0
"""Idle time after which a connection is closed, until a configuration sets another one."""


class CallerRequest(AccountedRequest):
    """One HTTP request of a caller; its body stays in memory."""

    content: Any
    defaultContentType: Any = None  # noqa: N815

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, queued)
        self._service: CallersService = channel.factory.service
        self._running: RunningCall | None = None
        self._received_bytes = 0
        self._is_over = False
        self._call_id: RequestId | None = None
        self._begun = False

    @property
    def id_for_log(self) -> str | None:
        """The id that the caller gave the request."""
        return self._service.dialect.find_id(self._list_headers())

    @property
    def received_bytes(self) -> int:
        """Number of bytes of the body that were read."""
        return self._received_bytes

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory whatever its length."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body, up to the largest size allowed."""
        self._received_bytes += len(data)
        if self._received_bytes <= self._service.max_body_bytes:
            self.content.write(data)
        elif self._received_bytes > self._service.max_body_bytes + MAX_UNREAD_BYTES:
            self._abort_connection()

    def process(self) -> None:
        """Decode the complete request and submit the call to the router."""
        if self._received_bytes > self._service.max_body_bytes:
            detail = f"body: larger than {self._service.max_body_bytes} bytes"
            self.refuse(Refused(Refusal.TOO_LARGE, Outcome.NOT_RUN, Step.ADMISSION, detail=detail))
            return
        headers = self._list_headers()
        method, target = self.method.decode("latin-1"), self.uri.decode("latin-1")
        decoded = self._service.dialect.decode_call(method, target, headers, self.content.read())
        if isinstance(decoded, str):
            self.refuse(
                Refused(Refusal.BAD_REQUEST, Outcome.NOT_RUN, Step.ADMISSION, detail=decoded)
            )
            return
        self._submit(decoded)

    def _list_headers(self) -> Headers:
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]

    def _submit(self, call: GatewayCall) -> None:
        self._call_id = call.id
        if call.patience is not None:
            self.due = self._service.account.clock.now() + call.patience
        self._running = self._service.router.submit(call, self)
        if self._is_over:
            self._running = None

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Cancel the call, because the caller is gone."""
        self._is_over = True
        running, self._running = self._running, None
        if running is not None:
            running.cancel()
        super().connectionLost(reason)

    def begin(self, status: int, headers: Headers) -> None:
        """Send the head of an answer whose length is not known."""
        if self._is_over:
            return
        self._begun = True
        self._set_head(status, headers)
        self.registerProducer(_FlowControl(self._running), True)
        self.write(b"")

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if not self._is_over:
            super().write(data)

    def finish(self) -> None:
        """End the answer as complete."""
        if self._is_over:
            return
        self._is_over = True
        if self._begun:
            self.unregisterProducer()
        super().finish()

    def abort(self) -> None:
        """Close the connection before the answer ends, so that it cannot look complete."""
        if self._is_over:
            return
        self._is_over = True
        self.record_end(RequestEnd.BROKEN_OFF)
        if self._begun:
            self.unregisterProducer()
        if self.chunked:
            self.channel.loseConnection()
        else:
            # without chunks an orderly close is the end of a complete answer
            self._abort_connection()

    def _abort_connection(self) -> None:
        self.channel.note_closing(CloseReason.ABORT)
        transport: Any = self.channel.transport
        transport.abortConnection()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer of a backend server."""
        if self._is_over:
            return
        self._set_head(status, headers)
        self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
        self.write(body)
        self.finish()

    def refuse(self, refused: Refused) -> None:
        """Send a refusal of this host."""
        self.end_when_finished = RequestEnd.REFUSED
        status, headers, body = self._service.dialect.encode_refusal(self._call_id, refused)
        self.answer(status, headers, body)

    def _set_head(self, status: int, headers: Headers) -> None:
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        if self._service.router.is_leaving:
            self.channel.persistent = 0
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])


class _FlowControl:
    """Stops reading from the backend server while the caller does not read."""

    def __init__(self, running: RunningCall | None) -> None:
        self._running = running

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the backend server."""
        if self._running is not None:
            self._running.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the backend server."""
        if self._running is not None:
            self._running.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``CallerRequest.connectionLost`` cancels the call."""


class CallerChannel(AccountedChannel):
    """One connection of a caller."""

    requestFactory: Any = CallerRequest  # noqa: N815
    factory: CallerFactory
    transport: Any
    timeOut: Any  # noqa: N815

    def __init__(self) -> None:
        super().__init__()
        self._is_reading = False

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of a request; only its first part restarts the idle timeout."""
        if self._is_reading:
            LineReceiver.dataReceived(self, data)
        else:
            self._is_reading = True
            super().dataReceived(data)

    def allContentReceived(self) -> None:  # noqa: N802
        """Handle the request, which is complete."""
        self._is_reading = False
        super().allContentReceived()

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and turn on the detection of a silent caller."""
        super().connectionMade()
        set_socket_options(self.transport)
        self.factory.channels[self] = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Unregister the connection and end the requests on it."""
        self.factory.channels.pop(self, None)
        super().connectionLost(reason)

    def set_idle_timeout(self, seconds: float) -> None:
        """Change the idle timeout, at once when the connection is idle."""
        self.timeOut = seconds
        self._savedTimeOut = seconds
        if not self.requests:
            self.setTimeout(seconds)

    def close_when_idle(self) -> None:
        """Close the connection now, or after the answer that is under way."""
        if self.requests:
            self.persistent = 0
        else:
            self.note_closing(CloseReason.DEPARTURE)
            self.loseConnection()


class CallerFactory(AccountedFactory):
    """Makes a channel for each connection of a caller."""

    def __init__(self, service: CallersService, call_later: Callable[..., Any]) -> None:
        super().__init__(service.account)
        self.service = service
        # in order of their arrival, so that the same calls are closed in the same order
        self.channels: dict[CallerChannel, None] = {}
        self._call_later = call_later

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the channel of a new connection."""
        channel = CallerChannel()
        channel.factory = self
        channel.callLater = self._call_later  # type: ignore[method-assign]
        channel.timeOut = self.service.idle_seconds
        return channel

    def log(self, request: CallerRequest) -> None:
        """Write no access log; each call has its own log lines."""


class CallersService:
    """Accepts connections of callers and submits their calls to the router."""

    needs: ClassVar[tuple[str, ...]] = ("router", "configuration")

    def __init__(self, kernel: Kernel) -> None:
        self._listen: str = kernel.settings.callers
        self._configuration = kernel.find("configuration", ConfigurationService)
        self.router = kernel.find("router", GatewayRouter)
        self.dialect = kernel.find("caller_dialect", CallerDialect)
        self.account = RequestAccount(kernel.clock)
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES
        self.idle_seconds = DEFAULT_IDLE_SECONDS
        self._port: Any = None
        self._factory: CallerFactory | None = None
        stats = kernel.find("stats", Stats)
        pool = kernel.find("pool", ConnectionPool)
        stats.register_reader(
            OPEN_CONNECTIONS,
            lambda: {
                ("callers",): float(len(self.channels)),
                ("backends",): float(pool.count_open()),
            },
        )

        stats.register_reader(REQUESTS, self.account.read_ends)
        stats.register_reader(UNANSWERED, self.account.read_unanswered)
        stats.register_reader(PARTIAL, self.account.read_partial)

    @property
    def channels(self) -> Collection[CallerChannel]:
        """The open connections of callers, in order of their arrival."""
        return self._factory.channels if self._factory is not None else ()

    def start(self) -> None:
        """Accept connections and apply each new configuration."""
        from twisted.internet import reactor  # the daemon has installed its reactor by now

        loop: Any = reactor
        host, port = parse_address(self._listen)
        self._factory = CallerFactory(self, loop.callLater)
        self._port = loop.listenTCP(port, self._factory, backlog=BACKLOG, interface=host)
        log("callers:listening", "callers: listening", address=self._listen)
        self._configuration.watch(self._configure)

    def stop(self) -> None:
        """Accept no more connections and close those that are left."""
        if self._port is not None:
            self._port.stopListening()
        self.account.is_leaving = True
        self.close_idle()

    def close_idle(self) -> None:
        """Close each connection now, or after the answer that is under way."""
        for channel in list(self.channels):
            channel.close_when_idle()

    def _configure(self, configuration: Configuration) -> None:
        self.max_body_bytes = configuration.limits.body_bytes
        self.idle_seconds = configuration.limits.idle_timeout.total_seconds()
        for channel in self.channels:
            channel.set_idle_timeout(self.idle_seconds)


@GATEWAY_SERVICES.register("callers")
def make_callers(kernel: Kernel) -> CallersService:
    """Return the service ``callers``."""
    return CallersService(kernel)
