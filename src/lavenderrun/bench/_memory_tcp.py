"""Connections without a network: hosts connect to HTTP servers on the clock of a benchmark."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import h11
from twisted.internet.error import ConnectError, ConnectionAborted
from twisted.python.failure import Failure

from lavenderrun.bench._time import EventClock
from lavenderrun.gateway import HttpRequest
from lavenderrun.types import Headers, HostId

LATENCY = timedelta(microseconds=250)
"""Time that bytes take from a host to a server and back, each way."""

Answer = Callable[[int, Headers, bytes], None]
RequestHandler = Callable[[HostId, HttpRequest, Answer], None]
"""Handles a request of a host and passes status, headers and body of its answer on."""


class ServerNetwork:
    """HTTP servers by address."""

    def __init__(self, clock: EventClock) -> None:
        self.clock = clock
        self.servers: dict[str, RequestHandler] = {}

    def listen(self, address: str, handler: RequestHandler) -> None:
        """Let *handler* serve the requests to *address*."""
        self.servers[address] = handler


class HostReactor:
    """The part of a reactor by which one host connects to servers."""

    def __init__(self, network: ServerNetwork, host: HostId) -> None:
        self._network = network
        self._host = host

    def connectTCP(self, host: str, port: int, factory: Any, **_options: Any) -> None:  # noqa: N802
        """Connect to a server, as ``IReactorTCP`` requires."""
        handler = self._network.servers.get(f"{host}:{port}")
        clock = self._network.clock
        if handler is None:
            failure = Failure(ConnectError())
            clock.call_later(2 * LATENCY, factory.clientConnectionFailed, None, failure)
            return
        transport = HostTransport(clock, self._host, handler)
        clock.call_later(2 * LATENCY, transport.connect, factory)


class HostTransport:
    """Transport of a host's connection, with the HTTP server at its other end."""

    def __init__(self, clock: EventClock, host: HostId, handler: RequestHandler) -> None:
        self._clock = clock
        self._host = host
        self._handler = handler
        self._http = h11.Connection(h11.SERVER)
        self._request: h11.Request | None = None
        self._body = b""
        self._protocol: Any = None
        self._is_open = True

    def connect(self, factory: Any) -> None:
        """Connect the protocol of *factory*."""
        self._protocol = factory.buildProtocol(None)
        self._protocol.makeConnection(self)

    def write(self, data: bytes) -> None:
        """Send bytes to the server."""
        self._clock.call_later(LATENCY, self._receive, data)

    def abortConnection(self) -> None:  # noqa: N802
        """Close the connection; what is under way is lost."""
        if self._is_open:
            self._is_open = False
            failure = Failure(ConnectionAborted())
            self._clock.call_later(timedelta(0), self._protocol.connectionLost, failure)

    def getHandle(self) -> HostTransport:  # noqa: N802
        """Return the object that takes socket options."""
        return self

    def setsockopt(self, *_option: int) -> None:
        """Ignore a socket option."""

    def setTcpNoDelay(self, _enabled: bool) -> None:  # noqa: N802
        """Ignore the option."""

    def setTcpKeepAlive(self, _enabled: int) -> None:  # noqa: N802
        """Ignore the option."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: answers are short."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: answers are short."""

    def _receive(self, data: bytes) -> None:
        self._http.receive_data(data)
        while self._http.their_state is not h11.DONE:
            event = self._http.next_event()
            if isinstance(event, h11.Request):
                self._request, self._body = event, b""
            elif isinstance(event, h11.Data):
                self._body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._handle_request()
            else:
                return

    def _handle_request(self) -> None:
        request = self._request
        assert request is not None
        headers = [(name.decode(), value.decode()) for name, value in request.headers]
        decoded = HttpRequest(request.method.decode(), request.target.decode(), headers, self._body)
        self._handler(self._host, decoded, self._answer)

    def _answer(self, status: int, headers: Headers, body: bytes) -> None:
        head = h11.Response(status_code=status, headers=headers)
        data = b"".join(
            self._http.send(event) or b"" for event in (head, h11.Data(body), h11.EndOfMessage())
        )
        self._http.start_next_cycle()
        self._clock.call_later(LATENCY, self._deliver, data)

    def _deliver(self, data: bytes) -> None:
        if self._is_open:
            self._protocol.dataReceived(data)
