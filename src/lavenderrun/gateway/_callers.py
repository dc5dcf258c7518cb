"""Service ``callers``: the HTTP server that callers connect to."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import datetime, timedelta
from io import BytesIO
from typing import Any, ClassVar, Final

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from twisted.web.http import RESPONSES

from lavenderrun.decoding import parse_address
from lavenderrun.dispatch import TimeLimitHistory
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import CallerDialect
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.gateway._running_call import LEAVING_RETRY_AFTER
from lavenderrun.gateway._sockets import has_unread_bytes, set_socket_options, stop_accepting
from lavenderrun.gateway._stats import OPEN_CONNECTIONS, PARTIAL, REQUESTS, UNANSWERED, Stats
from lavenderrun.http_server import (
    AccountedChannel,
    AccountedFactory,
    AccountedRequest,
    CloseReason,
    RequestAccount,
    RequestEnd,
    describe_error,
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

MAX_DISCARDED_BYTES: Final = 16 << 20
"""Bytes beyond the largest body that are read and discarded before the connection is closed: to
close it earlier would reset it before the caller has read the answer."""

DEFAULT_IDLE_TIMEOUT: Final = timedelta(seconds=60)
"""Idle time after which a connection is closed, until a configuration sets another one."""

MIN_BODY_TIME: Final = timedelta(seconds=3)
"""Shortest time within which a body has to arrive, however short the idle timeout is."""

MIN_BODY_RATE: Final = 1000
"""Bytes a second at which a body may take longer than the time that any body has."""

LAST_READ_TIME: Final = timedelta(milliseconds=200)
"""Time between the end of a time limit and the close, in which bytes that have already arrived are
read: after a pause of this process its timers run first."""


class CallerRequest(AccountedRequest):
    """One HTTP request of a caller; its body stays in memory."""

    content: Any
    defaultContentType: Any = None  # noqa: N815

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, queued)
        self._service: CallersService = channel.factory.service
        self._running: RunningCall | None = None
        self._received_bytes = 0
        self._is_body_refused = False
        self._max_body_bytes: int = channel.max_body_bytes
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
        """Keep the body in memory; refuse one whose declared size is over the limit."""
        self.content = BytesIO()
        if length is not None and length > self._max_body_bytes:
            self.requestHeaders.removeHeader(b"expect")
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body; refuse the request once the body is over the limit."""
        self._received_bytes += len(data)
        if self._received_bytes > self._max_body_bytes:
            self._refuse_body()
        if not self._is_body_refused:
            self.content.write(data)
        elif self._received_bytes > self._max_body_bytes + MAX_DISCARDED_BYTES:
            self._abort_connection()

    def process(self) -> None:
        """Decode the complete request and submit the call to the router."""
        if self._is_body_refused:
            self.finish()
            return
        try:
            self._decode()
        except Exception as error:
            log(
                "callers:failed",
                "callers: request failed with an unexpected error",
                request=self._call_id,
                error=describe_error(error),
            )
            # what runs has a boundary of its own, so the call was not sent
            self.refuse(Refused(Refusal.INTERNAL, Outcome.NOT_RUN, Step.ADMISSION))

    def _decode(self) -> None:
        headers = self._list_headers()
        method, target = self.method.decode("latin-1"), self.uri.decode("latin-1")
        decoded = self._service.dialect.decode_call(method, target, headers, self.content.read())
        if isinstance(decoded, str):
            self.refuse(
                Refused(Refusal.BAD_REQUEST, Outcome.NOT_RUN, Step.ADMISSION, detail=decoded)
            )
            return
        self._submit(decoded)

    def _refuse_body(self) -> None:
        """Send the refusal of a body that is still coming in."""
        if self._is_body_refused:
            return
        self._is_body_refused = True
        self.end_when_finished = RequestEnd.REFUSED
        detail = f"body: larger than {self._max_body_bytes} bytes"
        refused = Refused(Refusal.TOO_LARGE, Outcome.NOT_RUN, Step.ADMISSION, detail=detail)
        status, headers, body = self._service.dialect.encode_refusal(None, refused)
        # the channel sets these only after the body has been read
        self.method, self.clientproto = b"POST", b"HTTP/1.1"
        self._set_head(status, headers)
        self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])
        self.channel.persistent = 0
        self.write(body)

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
        """Send a refusal of this host; an answer that was begun is broken off."""
        if self._begun:
            self.abort()
            return
        self.end_when_finished = RequestEnd.REFUSED
        status, headers, body = self._service.dialect.encode_refusal(self._call_id, refused)
        self.answer(status, headers, body)

    def _set_head(self, status: int, headers: Headers) -> None:
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        if self._service.router.is_leaving and not self.channel.has_pipelined:
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


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of an answer after which the connection is closed."""
    lines = [
        f"HTTP/1.1 {status} {RESPONSES[status].decode()}",
        *(f"{name}: {value}" for name, value in headers),
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class CallerChannel(AccountedChannel):
    """One connection of a caller.

    :ivar max_body_bytes: largest body of the request that is being read.
    """

    requestFactory: Any = CallerRequest  # noqa: N815
    factory: CallerFactory
    transport: Any
    timeOut: Any  # noqa: N815

    def __init__(self, service: CallersService) -> None:
        super().__init__()
        self._service = service
        self._is_reading = False
        self._is_last_read = False
        self._is_discarding = False
        self._closes_after_answer = False
        self._body_due: datetime | None = None
        self._body_bytes = 0
        self.max_body_bytes = service.max_body_bytes

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of a request; its first part begins the time limit of the head."""
        if self._is_discarding:
            return
        if not self._is_reading and not self._handlingRequest:
            self._is_reading, self._is_last_read = True, False
            # a limit that is lowered later is for later requests
            self.max_body_bytes = self._service.max_body_bytes
            self.setTimeout(self._service.find_head_timeout().total_seconds())
        self._body_bytes += len(data)
        LineReceiver.dataReceived(self, data)

    def allHeadersReceived(self) -> None:  # noqa: N802
        """Begin the time limit of the body, which grows while bytes arrive."""
        super().allHeadersReceived()
        limit = max(self._service.find_idle_timeout(), MIN_BODY_TIME)
        self._body_due, self._body_bytes = self._service.account.clock.now() + limit, 0
        self._is_last_read = False
        self.setTimeout(limit.total_seconds())

    def allContentReceived(self) -> None:  # noqa: N802
        """Handle the request, which is complete."""
        self._is_reading, self._body_due = False, None
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Begin the idle timeout after an answer."""
        self._is_last_read = False
        self._savedTimeOut = self._service.find_idle_timeout().total_seconds()
        if self._closes_after_answer and self.has_pipelined:
            # the answer to the request that has come meanwhile says that the connection closes
            self.persistent, self._closes_after_answer = 1, False
        super().requestDone(request)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close the connection unless what has arrived already is still to be read."""
        left = timedelta(0)
        if self._body_due is not None:
            arrival = timedelta(seconds=self._body_bytes / MIN_BODY_RATE)
            left = self._body_due + arrival - self._service.account.clock.now()
        if left > timedelta(0):
            self.setTimeout(left.total_seconds())
        elif not self._is_last_read:
            self._is_last_read = True
            self.setTimeout(LAST_READ_TIME.total_seconds())
        else:
            super().timeoutConnection()

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and turn on the detection of a silent caller."""
        super().connectionMade()
        set_socket_options(self.transport)
        self.factory.channels[self] = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Unregister the connection and end the requests on it."""
        self.factory.channels.pop(self, None)
        super().connectionLost(reason)

    def extend_idle_timeout(self, limit: timedelta) -> None:
        """Begin a longer idle timeout if the connection is idle."""
        if not self._is_reading and not self._handlingRequest:
            self._is_last_read = False
            self.setTimeout(limit.total_seconds())

    @property
    def is_reading(self) -> bool:
        """Whether a request has been read in part."""
        return self._is_reading

    @property
    def has_pipelined(self) -> bool:
        """Whether a part of another request has arrived behind the one under way."""
        return bool(self._dataBuffer)

    def close_when_idle(self) -> None:
        """Close the connection now, or after the answers to what has arrived."""
        if self.requests and not self.has_pipelined and not self._is_reading:
            self.persistent, self._closes_after_answer = 0, True
        elif not (self.requests or self._is_reading or has_unread_bytes(self.transport)):
            self.note_closing(CloseReason.DEPARTURE)
            self.loseConnection()

    def refuse_unread(self, answer: bytes) -> None:
        """Answer a request that was read in part; the rest of it is discarded."""
        if self._is_reading and not self._is_discarding:
            self._is_discarding = True
            self.note_closing(CloseReason.DEPARTURE)
            if not any(request.startedWriting for request in self.requests):
                self.transport.write(answer)
            # a close while the caller still sends would reset the connection before it has read
            self.transport.loseWriteConnection()


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
        channel = CallerChannel(self.service)
        channel.factory = self
        channel.callLater = self._call_later  # type: ignore[method-assign]
        channel.timeOut = self.service.find_idle_timeout().total_seconds()
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
        self._idle_timeouts = TimeLimitHistory(DEFAULT_IDLE_TIMEOUT)
        self._head_timeouts = TimeLimitHistory(DEFAULT_IDLE_TIMEOUT)
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

    @property
    def is_reading(self) -> bool:
        """Whether a request has been read in part."""
        return any(channel.is_reading for channel in self.channels)

    def stop(self) -> None:
        """Accept no more connections and close those that are left."""
        self.stop_listening()
        self.account.is_leaving = True
        self.close_idle()

    def stop_listening(self) -> None:
        """Accept the connections that wait, and no more."""
        port, self._port = self._port, None
        if port is not None:
            stop_accepting(port)

    def refuse_unread(self) -> None:
        """Refuse the requests that were read in part."""
        refused = Refused(
            Refusal.LEAVING,
            Outcome.NOT_RUN,
            Step.ADMISSION,
            retry_after=LEAVING_RETRY_AFTER,
            detail="request not complete",
        )
        answer = encode_answer(*self.dialect.encode_refusal(None, refused))
        for channel in list(self.channels):
            channel.refuse_unread(answer)

    def close_idle(self) -> None:
        """Close each connection now, or after the answer that is under way."""
        for channel in list(self.channels):
            channel.close_when_idle()

    def find_idle_timeout(self) -> timedelta:
        """Return how long a connection may stay idle from now on."""
        return self._idle_timeouts.find(self.account.clock.now())

    def find_head_timeout(self) -> timedelta:
        """Return how long a head that begins now may take."""
        return self._head_timeouts.find(self.account.clock.now())

    def _configure(self, configuration: Configuration) -> None:
        limits, now = configuration.limits, self.account.clock.now()
        self.max_body_bytes = limits.body_bytes
        before = self.find_idle_timeout()
        self._idle_timeouts.change(limits.idle_timeout, now)
        self._head_timeouts.change(limits.head_timeout or limits.idle_timeout, now)
        # a shorter one takes effect when a connection next becomes idle
        if self.find_idle_timeout() > before:
            for channel in self.channels:
                channel.extend_idle_timeout(self.find_idle_timeout())


@GATEWAY_SERVICES.register("callers")
def make_callers(kernel: Kernel) -> CallersService:
    """Return the service ``callers``."""
    return CallersService(kernel)
