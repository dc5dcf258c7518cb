"""HTTP connections and requests of the services that answer callers and operators."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from io import BytesIO
from typing import Any, Protocol
from uuid import uuid4

from eliot import log_message
from twisted.internet.interfaces import IReactorTime
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web.http_headers import Headers

from lavenderrun.codecs import encode_error, find_status, list_error_headers
from lavenderrun.http_server import (
    AccountedChannel,
    AccountedFactory,
    AccountedRequest,
    CloseReason,
    RequestAccount,
    RequestEnd,
    describe_error,
)
from lavenderrun.kernel import ReactorClock
from lavenderrun.types import FrontSettings, Outcome, Refusal, Refused, RequestId, Step

# multiple of the body size limit up to which a refused body is read and discarded: to close the
# connection earlier would reset it before the caller has read the answer
MAX_DISCARDED_BODIES = 4
REQUEST_ID_HEADER = "X-Request-Id"
JSON_CONTENT_TYPE = "application/json"
LEAVING_RETRY_AFTER = timedelta(milliseconds=50)
"""Wait advised to a caller while this host stops: another host can serve it at once."""


class RequestHandler(Protocol):
    """A service that answers requests."""

    settings: FrontSettings

    def serve(self, request: FrontRequest) -> None:
        """Answer a request whose body has arrived in full."""


class FrontRequest(AccountedRequest):
    """A request whose body is kept in memory, up to the size limit of the settings."""

    content: Any

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, queued)
        self.id = RequestId(uuid4().hex)
        self.answered = False
        self._handler: RequestHandler = channel.factory.handler
        self._max_body = max(self._handler.settings.max_body, self._handler.settings.max_plain_body)
        self._received_bytes = 0

    @property
    def id_for_log(self) -> str | None:
        """The id that this host gave the request."""
        return self.id

    @property
    def received_bytes(self) -> int:
        """Number of bytes of the body that were read."""
        return self._received_bytes

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Refuse a body whose declared size is over the limit before it is read."""
        self.content = BytesIO()
        if length is not None and length > self._max_body:
            self.requestHeaders.removeHeader(b"expect")
            self._refuse_body()

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body; refuse the request once the body is over the limit."""
        self._received_bytes += len(data)
        if self._received_bytes > self._max_body:
            self._refuse_body()
        if not self.answered:
            self.content.write(data)
        elif self._received_bytes > MAX_DISCARDED_BODIES * self._max_body:
            self.channel.forceAbortClient()

    def process(self) -> None:
        """Pass the request to the service, or end it if it was refused already."""
        if self.answered:
            self.finish()
            return
        try:
            self._handler.serve(self)
        except Exception as error:
            self._fail(error)

    def _fail(self, error: Exception) -> None:
        """End the request after an unexpected error; its outcome is not known."""
        log_message(
            "front:failed",
            text="front: request failed with an unexpected error",
            request=self.id,
            error=describe_error(error),
        )
        if self.startedWriting:
            self.channel.forceAbortClient()
        else:
            self.clear_head()
            refused = Refused(Refusal.OUTCOME_UNKNOWN, Outcome.UNKNOWN, Step.ADMISSION)
            self.answer_refused(refused)

    def read_body(self) -> bytes:
        """Return the whole body of the request."""
        body: bytes = self.content.read()
        return body

    def list_headers(self) -> list[tuple[str, str]]:
        """Return all headers of the request as name and value, in the caller's order."""
        return [
            (name.decode("latin-1"), value.decode("latin-1"))
            for name, values in self.requestHeaders.getAllRawHeaders()
            for value in values
        ]

    def find_headers(self, name: str) -> list[str]:
        """Return the values of all request headers with this name."""
        values = self.requestHeaders.getRawHeaders(name.encode(), [])
        return [value.decode("latin-1") for value in values]

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Set status and headers of the answer, and add the request id to them."""
        self.answered = True
        self.setResponseCode(status)
        for name, value in headers:
            raw = value.encode("latin-1", "replace")
            self.responseHeaders.addRawHeader(name.encode("latin-1", "replace"), raw)
        self.responseHeaders.setRawHeaders(REQUEST_ID_HEADER, [self.id])
        if self.channel.factory.account.is_leaving:
            self.close_if_last()

    def clear_head(self) -> None:
        """Remove the headers that were set for an answer but not sent yet."""
        closes = self.responseHeaders.hasHeader(b"Connection")
        self.responseHeaders = Headers()
        if closes:
            self.close_after_answer()

    def answer(self, status: int, body: bytes, headers: list[tuple[str, str]]) -> None:
        """Send a complete answer with a JSON body."""
        framing = [("Content-Type", JSON_CONTENT_TYPE), ("Content-Length", str(len(body)))]
        self.put_head(status, framing + headers)
        self.write(body)
        self.finish()

    def answer_refused(self, refused: Refused, field: str = "") -> None:
        """Send a refusal as the complete answer."""
        self.end_when_finished = RequestEnd.REFUSED
        body = encode_error(refused, field)
        self.answer(find_status(refused), body, list_error_headers(refused))

    def _refuse_body(self) -> None:
        if self.answered:
            return
        detail = f"body: larger than {self._max_body} bytes."
        refused = Refused(Refusal.TOO_LARGE, Outcome.NOT_RUN, Step.ADMISSION, detail=detail)
        self.end_when_finished = RequestEnd.REFUSED
        body = encode_error(refused, "body")
        framing = [("Content-Type", JSON_CONTENT_TYPE), ("Content-Length", str(len(body)))]
        # the channel sets these only after the body has been read
        self.method, self.clientproto = b"POST", b"HTTP/1.1"
        self.put_head(find_status(refused), framing + list_error_headers(refused))
        self.close_after_answer()
        self.write(body)


class FrontChannel(AccountedChannel):
    """A connection of a caller or operator."""

    requestFactory: Any = FrontRequest  # noqa: N815
    factory: FrontFactory
    transport: Any
    callLater: Any  # noqa: N815
    timeOut: Any  # noqa: N815

    def connectionMade(self) -> None:  # noqa: N802
        """Start the idle timeout, and TCP keepalive to detect callers that are gone."""
        super().connectionMade()
        self.factory.channels[self] = None
        if hasattr(self.transport, "setTcpKeepAlive"):
            self.transport.setTcpKeepAlive(1)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Notify the requests of this connection and remove it from the factory."""
        super().connectionLost(reason)
        self.factory.remove_channel(self)

    def abort(self) -> None:
        """Close the connection at once, without sending what is buffered."""
        self.forceAbortClient()

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.note_closing(CloseReason.BAD_REQUEST)
        detail = "HTTP: the request line or a header is malformed."
        refused = Refused(Refusal.BAD_REQUEST, Outcome.NOT_RUN, Step.ADMISSION, detail=detail)
        self.transport.write(_encode_last_answer("400 Bad Request", refused))
        self.loseConnection()

    def encode_head_refusal(self) -> bytes:
        """Return the bytes of the answer to a request whose head is too large."""
        refused = Refused(
            Refusal.HEAD_TOO_LARGE,
            Outcome.NOT_RUN,
            Step.ADMISSION,
            detail=f"HTTP: the head is larger than {self.totalHeadersSize} bytes.",
        )
        return _encode_last_answer("431 Request Header Fields Too Large", refused)

    def refuse_incomplete(self) -> None:
        """Refuse a request that was read in part, because this host leaves."""
        refused = make_leaving_refusal(
            "the request was not complete when the drain of this host was over"
        )
        request_ids = [request.id for request in self.requests]
        self.refuse_unread(_encode_last_answer("503 Service Unavailable", refused, *request_ids))


def make_leaving_refusal(detail: str) -> Refused:
    """Return the refusal of a request that was not run because this host leaves."""
    return Refused(
        Refusal.LEAVING,
        Outcome.NOT_RUN,
        Step.ADMISSION,
        retry_after=LEAVING_RETRY_AFTER,
        detail=detail,
    )


def _encode_last_answer(status: str, refused: Refused, *request_ids: RequestId) -> bytes:
    """Return the bytes of a refusal after which the connection is closed."""
    body = encode_error(refused)
    headers = [
        ("Content-Type", JSON_CONTENT_TYPE),
        ("Content-Length", str(len(body))),
        ("Connection", "close"),
        *((REQUEST_ID_HEADER, request_id) for request_id in request_ids),
        *list_error_headers(refused),
    ]
    lines = [f"HTTP/1.1 {status}", *(f"{name}: {value}" for name, value in headers)]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class FrontFactory(AccountedFactory):
    """Makes the channels of new connections.

    :param reactor: runs the idle timeouts.
    :ivar on_empty: called when the last connection has closed.
    """

    def __init__(self, handler: RequestHandler, reactor: IReactorTime) -> None:
        super().__init__(RequestAccount(ReactorClock.starting_now(reactor)))
        self.handler = handler
        self.channels: dict[FrontChannel, None] = {}
        self.on_empty: Callable[[], None] = lambda: None
        self._reactor = reactor

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Return the channel of a new connection."""
        channel = FrontChannel()
        channel.factory = self
        channel.callLater = self._reactor.callLater
        channel.timeOut = self.handler.settings.idle.total_seconds()
        return channel

    def remove_channel(self, channel: FrontChannel) -> None:
        """Remove a closed channel; call ``on_empty`` if it was the last."""
        self.channels.pop(channel, None)
        if not self.channels:
            self.on_empty()

    def log(self, request: FrontRequest) -> None:
        """Write no access log; each service logs its requests itself."""
