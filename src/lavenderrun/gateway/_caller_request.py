"""One request of a caller: read into memory, submitted to the router, answered."""

from __future__ import annotations

from datetime import timedelta
from io import BytesIO
from typing import Any, Final, Protocol

from twisted.python.failure import Failure

from lavenderrun.dispatch import SMALL_BYTES, HolderKind
from lavenderrun.gateway._body_sender import BodySender
from lavenderrun.gateway._log import log
from lavenderrun.gateway._memory import Holding, MemoryService
from lavenderrun.gateway._ports import CallerDialect
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.http_server import (
    AccountedRequest,
    CloseReason,
    RequestAccount,
    RequestEnd,
    describe_error,
)
from lavenderrun.types import (
    GatewayCall,
    Headers,
    Outcome,
    Refusal,
    Refused,
    RequestId,
    RunningCall,
    Step,
)

MAX_DISCARDED_BYTES: Final = 16 << 20
"""Bytes beyond the largest body that are read and discarded before the connection is closed: to
close it earlier would reset it before the caller has read the answer."""

RETRY_AFTER_NO_MEMORY: Final = timedelta(seconds=1)
"""Wait advised to a caller whose body finds no room: the time of a few calls."""


class RequestServices(Protocol):
    """What a request of a caller uses of the service ``callers``."""

    account: RequestAccount
    dialect: CallerDialect
    memory: MemoryService
    router: GatewayRouter


class CallerRequest(AccountedRequest):
    """One HTTP request of a caller; its body stays in memory."""

    content: Any
    defaultContentType: Any = None  # noqa: N815

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, queued)
        self._service: RequestServices = channel.factory.service
        self._running: RunningCall | None = None
        self._received_bytes = 0
        self._is_body_refused = False
        self._max_body_bytes: int = channel.max_body_bytes
        self._is_over = False
        self._call_id: RequestId | None = None
        self._begun = False
        self._holding: Holding | None = None
        self._output: Holding | None = None
        self._sender: BodySender | None = None

    @property
    def id_for_log(self) -> str | None:
        """The id that the caller gave the request."""
        return self._service.dialect.find_id(self._list_headers())

    @property
    def received_bytes(self) -> int:
        """Number of bytes of the body that were read."""
        return self._received_bytes

    def gotLength(self, length: int | None) -> None:  # noqa: N802
        """Keep the body in memory; refuse one that is too large or finds no room."""
        self.content = BytesIO()
        if length is None:
            return
        if length > self._max_body_bytes:
            self._refuse_large_body()
        elif length > SMALL_BYTES:
            self._hold_body(length)
        if self._is_body_refused:
            self.requestHeaders.removeHeader(b"expect")

    def handleContentChunk(self, data: bytes) -> None:  # noqa: N802
        """Keep a part of the body; refuse the request once the body is over the limit."""
        self._received_bytes += len(data)
        if self._received_bytes > self._max_body_bytes:
            self._refuse_large_body()
        elif self._holding is not None:
            self._holding.add(len(data))
        elif self._received_bytes > SMALL_BYTES and not self._is_body_refused:
            self._hold_body(self._max_body_bytes)
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
        # shares the bytes, which are held once
        body, self.content = self.content.getvalue(), BytesIO()
        decoded = self._service.dialect.decode_call(method, target, headers, body)
        if isinstance(decoded, str):
            self.refuse(
                Refused(Refusal.BAD_REQUEST, Outcome.NOT_RUN, Step.ADMISSION, detail=decoded)
            )
            return
        self._submit(decoded)

    def _hold_body(self, need: int) -> None:
        """Ask for room for a body of *need* bytes; without it the request is refused at once."""
        memory = self._service.memory
        self._holding = memory.hold(HolderKind.REQUEST, self._peer, need)
        self._holding.add(self._received_bytes)
        if not self._holding.request_room():
            memory.log_refusal(self._holding, self.id_for_log)
            self._refuse_body(
                Refused(
                    Refusal.NO_ROOM,
                    Outcome.NOT_RUN,
                    Step.ADMISSION,
                    retry_after=RETRY_AFTER_NO_MEMORY,
                    detail="body: no room for it now",
                )
            )

    @property
    def _peer(self) -> str:
        return str(getattr(self.getClientAddress(), "host", ""))

    def _refuse_large_body(self) -> None:
        detail = f"body: larger than {self._max_body_bytes} bytes"
        self._refuse_body(
            Refused(Refusal.TOO_LARGE, Outcome.NOT_RUN, Step.ADMISSION, detail=detail)
        )

    def _refuse_body(self, refused: Refused) -> None:
        """Send the refusal of a body that is still coming in."""
        if self._is_body_refused:
            return
        self._is_body_refused = True
        self.content = BytesIO()
        self._end_holdings()
        self.end_when_finished = RequestEnd.REFUSED
        status, headers, body = self._service.dialect.encode_refusal(None, refused)
        # the channel sets these only after the body has been read
        self.method, self.clientproto = b"POST", b"HTTP/1.1"
        self._set_head(status, headers)
        self.responseHeaders.setRawHeaders(b"Content-Length", [b"%d" % len(body)])
        self.close_after_answer()
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
        self._end_holdings()
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
        self._end_holdings()
        if self._begun:
            self.unregisterProducer()
        super().finish()

    def abort(self) -> None:
        """Close the connection before the answer ends, so that it cannot look complete."""
        if self._is_over:
            return
        self._is_over = True
        self._end_holdings()
        self.record_end(RequestEnd.BROKEN_OFF)
        if self._begun or self._sender is not None:
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
        if len(body) > SMALL_BYTES:
            self._send_long(body)
            return
        self.write(body)
        self.finish()

    def _send_long(self, body: bytes) -> None:
        """Send a body as fast as the caller reads it, and count it until then."""
        self._output = self._service.memory.hold_output(self._peer, len(body))
        # the call is over, and its own body needs no room any more
        self._running = None
        if self._holding is not None:
            self._holding.end()
        self._output.request, self._output.on_end = self.id_for_log, self.abort
        self._sender = BodySender(body, self._write_piece, self._end_long)
        self.registerProducer(self._sender, True)
        self._sender.resumeProducing()

    def _write_piece(self, piece: bytes) -> None:
        self.write(piece)
        if self._output is not None:
            self._output.note_progress()

    def _end_long(self) -> None:
        self._sender = None
        self.unregisterProducer()
        self.finish()

    def _end_holdings(self) -> None:
        """Give back the room of the request's body and of its answer."""
        if self._sender is not None:
            self._sender.stopProducing()
        for holding in (self._holding, self._output):
            if holding is not None:
                holding.end()
        self._holding = self._output = None

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
        if self._service.router.is_leaving:
            self.close_if_last()


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
