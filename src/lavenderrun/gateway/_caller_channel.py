"""Connections of callers: their time limits, and how they are closed."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from http import HTTPStatus
from typing import Any, Final, Protocol

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from lavenderrun.gateway._caller_request import CallerRequest
from lavenderrun.gateway._sockets import set_socket_options
from lavenderrun.http_server import (
    AccountedChannel,
    AccountedFactory,
    CloseReason,
    RequestAccount,
)
from lavenderrun.types import Headers

MIN_BODY_TIME: Final = timedelta(seconds=3)
"""Shortest time within which a body has to arrive, however short the idle timeout is."""

MIN_BODY_RATE: Final = 1000
"""Bytes a second at which a body may take longer than the time that any body has."""

LAST_READ_TIME: Final = timedelta(milliseconds=200)
"""Time between the end of a time limit and the close, in which bytes that have already arrived are
read: after a pause of this process its timers run first."""


class ConnectionLimits(Protocol):
    """What a connection of a caller uses of the service ``callers``."""

    account: RequestAccount
    max_body_bytes: int
    max_head_bytes: int

    def encode_head_refusal(self, limit: int) -> bytes:
        """Return the answer to a request whose head is larger than *limit* bytes."""

    def find_idle_timeout(self) -> timedelta:
        """Return how long a connection may stay idle from now on."""

    def find_head_timeout(self) -> timedelta:
        """Return how long a head that begins now may take."""


def encode_answer(status: int, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of an answer after which the connection is closed."""
    lines = [
        f"HTTP/1.1 {status} {HTTPStatus(status).phrase}",
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

    def __init__(self, service: ConnectionLimits) -> None:
        super().__init__()
        self._service = service
        self._has_limits = False
        self._is_last_read = False
        self._body_due: datetime | None = None
        self._body_bytes = 0
        self.max_body_bytes = service.max_body_bytes
        self.limit_head(service.max_head_bytes)

    def encode_head_refusal(self) -> bytes:
        """Return the bytes of the answer to a request whose head is too large."""
        return self._service.encode_head_refusal(self.totalHeadersSize)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of a request; its first part begins the time limit of the head."""
        if self._is_discarding:
            return
        if not self._has_limits and not self._handlingRequest:
            self._has_limits, self._is_last_read = True, False
            # a limit that is lowered later is for later requests
            self.max_body_bytes = self._service.max_body_bytes
            self.limit_head(self._service.max_head_bytes)
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
        self._has_limits, self._body_due = False, None
        super().allContentReceived()

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Begin the idle timeout after an answer."""
        self._is_last_read = False
        self._savedTimeOut = self._service.find_idle_timeout().total_seconds()
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

    @property
    def is_busy(self) -> bool:
        """Whether a request is under way, or the rest of an answer is sent before the close."""
        return bool(self.requests) or self.transport.disconnecting

    def close_lost(self) -> None:
        """Close the connection at once, because the caller is unreachable."""
        self.note_closing(CloseReason.CALLER)
        self.transport.abortConnection()

    def extend_idle_timeout(self, limit: timedelta) -> None:
        """Begin a longer idle timeout if the connection is idle."""
        if not self._has_limits and not self._handlingRequest:
            self._is_last_read = False
            self.setTimeout(limit.total_seconds())


class CallerFactory(AccountedFactory):
    """Makes a channel for each connection of a caller."""

    def __init__(self, service: ConnectionLimits, call_later: Callable[..., Any]) -> None:
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
