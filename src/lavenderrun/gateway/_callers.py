"""Service ``callers``: the HTTP front that callers reach."""

from __future__ import annotations

from collections.abc import Callable
from io import BytesIO
from typing import Any, ClassVar, Final

from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request

from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import CallerDialect
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.gateway._sockets import set_socket_options, split_address
from lavenderrun.gateway._stats import OPEN_CONNECTIONS, Stats
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
"""Connections that may wait to be taken; a burst of callers at once."""

BODY_MOST: Final = 4 << 20
"""Bytes of a body before a configuration says otherwise."""

IDLE_SECONDS: Final = 60.0
"""Idle time of a connection before a configuration says otherwise."""


class CallerRequest(Request):
    """A caller's call; its body stays in memory."""

    content: Any
    defaultContentType: Any = None  # noqa: N815

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, queued, parsePOSTFormSubmission=False)
        self._front: CallersService = channel.factory.front
        self._running: RunningCall | None = None
        self._received = 0
        self._over = False
        self._call_id: RequestId | None = None
        self._begun = False

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory whatever its length."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body within the bound."""
        self._received += len(data)
        if self._received <= self._front.body_most:
            self.content.write(data)

    def process(self) -> None:
        """Hand the whole call on."""
        if self._received > self._front.body_most:
            detail = f"body: larger than {self._front.body_most} bytes"
            self.refuse(Refused(Refusal.TOO_LARGE, Outcome.NOT_RUN, Step.ADMISSION, detail=detail))
            return
        headers = [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]
        method, target = self.method.decode("latin-1"), self.uri.decode("latin-1")
        found = self._front.dialect.decode_call(method, target, headers, self.content.read())
        if isinstance(found, str):
            self.refuse(Refused(Refusal.BAD_REQUEST, Outcome.NOT_RUN, Step.ADMISSION, detail=found))
            return
        self._submit(found)

    def _submit(self, call: GatewayCall) -> None:
        self._call_id = call.id
        self._running = self._front.router.submit(call, self)
        if self._over:
            self._running = None

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """The caller is gone."""
        self._over = True
        running, self._running = self._running, None
        if running is not None:
            running.cancel()
        super().connectionLost(reason)

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer without length; see ``CallSink``."""
        if self._over:
            return
        self._begun = True
        self._put_head(status, headers)
        self.registerProducer(_Valve(self._running), True)
        self.write(b"")

    def write(self, data: bytes) -> None:
        """Pass on a part of the body; see ``CallSink``."""
        if not self._over:
            super().write(data)

    def finish(self) -> None:
        """End a begun answer as complete; see ``CallSink``."""
        if self._over:
            return
        self._over = True
        if self._begun:
            self.unregisterProducer()
        super().finish()

    def abort(self) -> None:
        """End a begun answer without its end; see ``CallSink``."""
        if self._over:
            return
        self._over = True
        if self._begun:
            self.unregisterProducer()
        self.channel.loseConnection()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Give a whole answer; see ``CallSink``."""
        if self._over:
            return
        self._put_head(status, headers)
        self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
        self.write(body)
        self.finish()

    def refuse(self, refused: Refused) -> None:
        """Give a refusal; see ``CallSink``."""
        status, headers, body = self._front.dialect.encode_refusal(self._call_id, refused)
        self.answer(status, headers, body)

    def _put_head(self, status: int, headers: Headers) -> None:
        self.setResponseCode(status)
        for name, value in headers:
            self.responseHeaders.addRawHeader(name.encode("latin-1"), value.encode("latin-1"))
        if self._front.router.is_leaving:
            self.channel.persistent = 0
            self.responseHeaders.setRawHeaders(b"Connection", [b"close"])


class _Valve:
    """Stops the engine's stream while the caller does not read."""

    def __init__(self, running: RunningCall | None) -> None:
        self._running = running

    def pauseProducing(self) -> None:  # noqa: N802
        """Read no more from the engine."""
        if self._running is not None:
            self._running.pause()

    def resumeProducing(self) -> None:  # noqa: N802
        """Read on."""
        if self._running is not None:
            self._running.resume()

    def stopProducing(self) -> None:  # noqa: N802
        """The connection is gone; the request hears of that itself."""


class CallerChannel(HTTPChannel):
    """A caller's connection."""

    requestFactory: Any = CallerRequest  # noqa: N815
    factory: CallerFactory
    transport: Any
    timeOut: Any  # noqa: N815

    def connectionMade(self) -> None:  # noqa: N802
        """Notice a silent caller."""
        super().connectionMade()
        set_socket_options(self.transport)
        self.factory.channels.add(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell the connection's calls."""
        self.factory.channels.discard(self)
        super().connectionLost(reason)

    def set_idle(self, seconds: float) -> None:
        """Take another idle time, at once when the connection idles."""
        self.timeOut = seconds
        self._savedTimeOut = seconds
        if not self.requests:
            self.setTimeout(seconds)

    def close_when_idle(self) -> None:
        """Close now, or after the answer that is being given."""
        if self.requests:
            self.persistent = 0
        else:
            self.loseConnection()


class CallerFactory(ServerFactory):
    """Makes the channels of the front."""

    noisy = False

    def __init__(self, front: CallersService, call_later: Callable[..., Any]) -> None:
        self.front = front
        self.channels: set[CallerChannel] = set()
        self._call_later = call_later

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the channel of a new connection."""
        channel = CallerChannel()
        channel.factory = self
        channel.callLater = self._call_later  # type: ignore[method-assign]
        channel.timeOut = self.front.idle
        return channel

    def log(self, request: CallerRequest) -> None:
        """Write no access log; each call has its own lines."""


class CallersService:
    """Listens for callers."""

    needs: ClassVar[tuple[str, ...]] = ("router", "configuration")

    def __init__(self, kernel: Kernel) -> None:
        self._listen: str = kernel.settings.callers
        self._configuration = kernel.find("configuration", ConfigurationService)
        self.router = kernel.find("router", GatewayRouter)
        self.dialect = kernel.find("caller_dialect", CallerDialect)
        self.body_most = BODY_MOST
        self.idle = IDLE_SECONDS
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

    @property
    def channels(self) -> set[CallerChannel]:
        """The open connections."""
        return self._factory.channels if self._factory is not None else set()

    def start(self) -> None:
        """Listen."""
        from twisted.internet import reactor  # the daemon has installed its own by now

        loop: Any = reactor
        host, port = split_address(self._listen)
        self._factory = CallerFactory(self, loop.callLater)
        self._port = loop.listenTCP(port, self._factory, backlog=BACKLOG, interface=host)
        log("callers:listening", "callers: listening", address=self._listen)
        self._configuration.watch(self._configure)

    def stop(self) -> None:
        """Close what is left."""
        if self._port is not None:
            self._port.stopListening()
        self.close_idle()

    def close_idle(self) -> None:
        """Close connections that carry no call."""
        for channel in list(self.channels):
            channel.close_when_idle()

    def _configure(self, configuration: Configuration) -> None:
        self.body_most = configuration.limits.body_bytes
        self.idle = configuration.limits.idle_timeout.total_seconds()
        for channel in self.channels:
            channel.set_idle(self.idle)


@GATEWAY_SERVICES.register("callers")
def make_callers(kernel: Kernel) -> CallersService:
    """Make the service."""
    return CallersService(kernel)
