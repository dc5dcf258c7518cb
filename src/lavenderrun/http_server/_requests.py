"""Requests, connections and factories that keep the account of requests."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Any, Final

from twisted.internet.error import ConnectionAborted, ConnectionDone, ConnectionLost
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.python.failure import Failure
from twisted.web.http import HTTPChannel, Request
from zope.interface import implementer

from lavenderrun.http_server._account import CloseReason, RequestAccount, RequestEnd
from lavenderrun.http_server._errors import describe_error
from lavenderrun.http_server._half_closed import HalfClosedWatch
from lavenderrun.http_server._open_chunk import OpenChunk
from lavenderrun.http_server._unread import has_unread_bytes

MIN_HEADER_BYTES: Final = len(b"a:\r\n")
"""Length of the shortest header; no head has more headers than it has room for."""

EVENT_STREAM: Final = b"text/event-stream"
BLANK_LINE: Final = b"\n"
"""Ignored between two events and after the last one."""

OVERDUE_AFTER: Final = timedelta(milliseconds=500)
"""Time after the deadline of a request from which its caller has left for want of an answer."""


class AccountedRequest(Request):
    """A request whose end is recorded once.

    :ivar end_when_finished: end that is recorded when the answer is finished.
    :ivar due: when the caller stops waiting, ``None`` when it does not say.
    """

    channel: Any

    def __init__(self, channel: Any, queued: object = False) -> None:
        super().__init__(channel, queued, parsePOSTFormSubmission=False)
        self.end_when_finished = RequestEnd.ANSWERED
        self.due: datetime | None = None
        self._account: RequestAccount = channel.factory.account
        self._read_at: datetime | None = None
        self._is_recorded = False
        self._open_chunk = OpenChunk()

    @property
    def id_for_log(self) -> str | None:
        """The id of the request in log lines, ``None`` without one."""
        return None

    @property
    def received_bytes(self) -> int:
        """Number of bytes of the body that were read."""
        return 0

    def requestReceived(self, command: bytes, path: bytes, version: bytes) -> None:  # noqa: N802
        """Note that the request was read whole, and handle it."""
        self._read_at = self._account.clock.now()
        super().requestReceived(command, path, version)

    def write(self, data: bytes) -> None:
        """Send a part of the body, after what is left of a chunk that was begun as a probe."""
        if data and self._open_chunk.is_open:
            self.channel.write(self._open_chunk.complete(data))
            data = data[1:]
            if not data:
                return
        super().write(data)

    def finish(self) -> None:
        """Record the end of the request and finish its answer."""
        self.record_end(self.end_when_finished)
        if self._open_chunk.is_open:
            self.channel.write(self._open_chunk.complete(BLANK_LINE))
        super().finish()

    def send_probe(self, *, in_body: bool) -> None:
        """Send bytes that change no answer, so that the host of a caller that is gone resets.

        :param in_body: the body of a stream of events may be probed, too.
        """
        if self.clientproto != b"HTTP/1.1":
            return
        if not self.startedWriting:
            self.channel.send_interim_answer()
        elif in_body and self.chunked and self._is_event_stream():
            self.channel.write(self._open_chunk.take_probe())

    def _is_event_stream(self) -> bool:
        values = self.responseHeaders.getRawHeaders(b"content-type", [])
        return any(value.partition(b";")[0].strip().lower() == EVENT_STREAM for value in values)

    def close_after_answer(self) -> None:
        """Say in the head of this answer that the connection closes after it."""
        self.channel.persistent = 0
        self.responseHeaders.setRawHeaders(b"Connection", [b"close"])

    def close_if_last(self) -> None:
        """Close the connection after this answer unless another request has arrived behind it."""
        if not self.channel.has_pipelined:
            self.close_after_answer()

    def record_end(self, end: RequestEnd) -> None:
        """Record how the request ended; a second call does nothing."""
        if not self._is_recorded:
            self._is_recorded = True
            self._account.record_end(end)

    def connectionLost(self, reason: Failure) -> None:  # noqa: N802
        """Record the end of a request whose connection closed before its answer ended."""
        if not self._is_recorded:
            self._record_loss(reason)
        super().connectionLost(reason)

    def _record_loss(self, failure: Failure) -> None:
        reason = self.channel.find_close_reason(failure)
        fields: dict[str, Any] = {}
        if reason is CloseReason.ERROR and failure.value is not None:
            fields["error"] = describe_error(failure.value)
        if self.startedWriting and (self._read_at is None or reason is not CloseReason.CALLER):
            refused = self.end_when_finished is RequestEnd.REFUSED
            self.record_end(RequestEnd.REFUSED if refused else RequestEnd.BROKEN_OFF)
            return
        self._is_recorded = True
        if self._read_at is None:
            self._account.record_partial(self.id_for_log, reason, self.received_bytes, **fields)
        elif reason is not CloseReason.CALLER:
            self._account.record_unanswered(self.id_for_log, reason, self._read_at, **fields)
        elif self._is_overdue():
            self._account.record_unanswered(self.id_for_log, CloseReason.OVERDUE, self._read_at)
        else:
            self._account.record_end(RequestEnd.CALLER_GONE)

    def _is_overdue(self) -> bool:
        is_late = self.due is not None and self._account.clock.now() > self.due + OVERDUE_AFTER
        return is_late and not self.startedWriting


@implementer(IHalfCloseableProtocol)
class AccountedChannel(HTTPChannel):
    """A connection of callers that knows why it is closed.

    A caller that closes its writing side gets the answers to its whole requests.
    """

    factory: AccountedFactory
    transport: Any
    _closing: CloseReason | None = None
    _half_closed: HalfClosedWatch | None = None
    _closes_after_answer = False
    _is_discarding = False
    # callers that still read close their writing side after the request, not during the answer
    _was_closed_in_answer = False

    def __init__(self) -> None:
        super().__init__()
        self.limit_head(HTTPChannel.totalHeadersSize)

    def limit_head(self, limit: int) -> None:
        """Refuse requests whose head is larger than *limit* bytes, however many lines it has."""
        self.totalHeadersSize = self.MAX_LENGTH = limit
        self.maxHeaders = limit // MIN_HEADER_BYTES

    def encode_head_refusal(self) -> bytes:
        """Return the bytes of the answer to a request whose head is too large."""
        raise NotImplementedError

    def lineReceived(self, line: bytes) -> None:  # noqa: N802
        """Read a line of a head, unless it makes the head too large."""
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self._refuse_head()
        else:
            super().lineReceived(line)

    def headerReceived(self, line: bytes) -> bool:  # noqa: N802
        """Read a header, unless there are too many."""
        if self._receivedHeaderCount >= self.maxHeaders:
            self._refuse_head()
            return False
        return bool(super().headerReceived(line))

    def lineLengthExceeded(self, _line: bytes) -> None:  # noqa: N802
        """Refuse a request of which a single line is too large."""
        self._refuse_head()

    def _refuse_head(self) -> None:
        self.note_closing(CloseReason.BAD_REQUEST)
        self._answer_and_discard(self.encode_head_refusal())

    def note_closing(self, reason: CloseReason) -> None:
        """Note why this host closes the connection; the first reason stays."""
        if self._closing is None:
            self._closing = reason

    def find_close_reason(self, failure: Failure) -> CloseReason:
        """Return why the connection closed.

        :param failure: what the transport says.
        """
        if self._closing is not None:
            return self._closing
        if failure.check(ConnectionAborted):
            return CloseReason.ABORT
        if not failure.check(ConnectionDone, ConnectionLost) and not _is_tls_error(failure):
            return CloseReason.ERROR
        return CloseReason.DEPARTURE if self.factory.account.is_leaving else CloseReason.CALLER

    @property
    def is_reading(self) -> bool:
        """Whether a request has been read in part."""
        # a request that was read whole is under way until it is taken out of the list
        has_part = bool(self.requests) or bool(self._buffer)
        return has_part and not self._handlingRequest and self._closing is None

    @property
    def has_pipelined(self) -> bool:
        """Whether a part of another request has arrived behind the one under way."""
        # the end of a body leaves an empty part behind
        return any(self._dataBuffer) or bool(self._buffer)

    def close_when_idle(self) -> None:
        """Close the connection now, or after the answers to what has arrived."""
        if self._closing is not None:
            return
        if self.requests and not self.has_pipelined and not self.is_reading:
            if self.persistent:
                self.persistent, self._closes_after_answer = 0, True
        elif not (self.requests or self.is_reading or has_unread_bytes(self.transport)):
            self.note_closing(CloseReason.DEPARTURE)
            self.loseConnection()

    def refuse_unread(self, answer: bytes) -> None:
        """Answer a request that was read in part; the rest of it is discarded."""
        if not self.is_reading or self._is_discarding:
            return
        self.note_closing(CloseReason.DEPARTURE)
        self._answer_and_discard(answer)

    def _answer_and_discard(self, answer: bytes) -> None:
        """Send a last answer and discard what still arrives."""
        self._is_discarding = True
        self.clearLineBuffer()
        if not any(request.startedWriting for request in self.requests):
            self.transport.write(answer)
        # a close while the caller still sends would reset the connection before it has read
        if self.isSecure():
            # TLS reads on after its own end until the caller's
            self.loseConnection()
        else:
            self.transport.loseWriteConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Read a part of a request."""
        if not self._is_discarding:
            super().dataReceived(data)

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close an idle connection."""
        self.note_closing(CloseReason.IDLE_TIMEOUT)
        super().timeoutConnection()

    def loseConnection(self) -> None:  # noqa: N802
        """Close the connection once what was written is sent."""
        self.note_closing(CloseReason.HOST)
        super().loseConnection()

    def forceAbortClient(self) -> None:  # noqa: N802
        """Close the connection at once."""
        self.note_closing(CloseReason.ABORT)
        super().forceAbortClient()

    def readConnectionLost(self) -> None:  # noqa: N802
        """Keep the connection until the requests that were read whole are answered."""
        if not self._handlingRequest:
            self.note_closing(CloseReason.CALLER)
            self.loseConnection()
        elif self._half_closed is None:
            self._was_closed_in_answer = any(r.startedWriting for r in self.requests[:1])
            clock = self.factory.account.clock
            self._half_closed = HalfClosedWatch(
                clock, self.transport, self._send_probe, self._note_gone
            )
            self._half_closed.start()

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing: what is still read is discarded."""

    def requestDone(self, request: Any) -> None:  # noqa: N802
        """Close the connection after the last answer to what has arrived, if it is to close."""
        if self._closes_after_answer and self.has_pipelined:
            # the answer to the request that has come meanwhile says that the connection closes
            self.persistent, self._closes_after_answer = 1, False
        super().requestDone(request)
        # a request may be answered while those behind it are still read from the buffer
        is_idle = not self._handlingRequest and not self._busyReceiving
        if self._half_closed is not None and is_idle:
            self.readConnectionLost()

    def _send_probe(self) -> None:
        for request in self.requests[:1]:
            request.send_probe(in_body=self._was_closed_in_answer)

    def send_interim_answer(self) -> None:
        """Send an interim answer, which a caller ignores."""
        self._send100Continue()

    def _note_gone(self) -> None:
        self.note_closing(CloseReason.CALLER)
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the requests on this connection."""
        if self._half_closed is not None:
            self._half_closed.stop()
        unread = sum(map(len, self._dataBuffer))
        if unread:
            # pipelined behind a request that was under way
            self.factory.account.record_partial(None, self.find_close_reason(reason), unread)
        super().connectionLost(reason)

    def _respondToBadRequestAndDisconnect(self) -> None:  # noqa: N802
        self.note_closing(CloseReason.BAD_REQUEST)
        super()._respondToBadRequestAndDisconnect()


class AccountedFactory(ServerFactory):
    """Base of the factories of callers' connections.

    :ivar account: how the requests on these connections ended.
    """

    noisy = False

    def __init__(self, account: RequestAccount) -> None:
        self.account = account


def _is_tls_error(failure: Failure) -> bool:
    # a caller that resets a TLS connection; pyOpenSSL is not installed beside a gateway
    return failure.type is not None and failure.type.__module__.startswith("OpenSSL")
