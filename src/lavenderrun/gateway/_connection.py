"""One HTTP/1.1 connection to a backend server or to the store.

It differs from Twisted's own HTTP client in three ways that at-most-once calls need: it reports
whether any byte of a call was written, it never treats bytes after an answer as part of the next
answer, and it never treats a reset of the connection as the end of a body without length. Nor does
it treat the end of a connection over which a call is still being written as that of an answer with
success.
"""

from __future__ import annotations

from typing import Any, Final, Protocol

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from lavenderrun.decoding import is_final_status
from lavenderrun.dispatch import SMALL_BYTES
from lavenderrun.gateway._body_sender import BodySender
from lavenderrun.gateway._sockets import acknowledge_at_once, set_socket_options
from lavenderrun.types import CallFailure, Headers

MAX_HEAD_BYTES: Final = 65536
"""Largest head of an answer, line of a chunk's size or trailer."""

FIRST_FAILURE_STATUS: Final = 300

MAX_INTERIM_ANSWERS: Final = 16
"""Largest number of interim answers (1xx) before an answer."""


MAX_SMALL_PIECES: Final = 1 << 15
MIN_PIECE_BYTES: Final = 16
"""Number of pieces up to which those of a body may be smaller than this on average: an event of a
stream is larger, and each piece costs processor time that other calls need."""


class Receiver(Protocol):
    """Handles the answer to one call; nothing follows ``answer_completed`` or ``answer_failed``."""

    def head_received(self, status: int, headers: Headers) -> None:
        """Handle the head of the answer."""

    def body_received(self, data: bytes) -> None:
        """Handle a part of the body."""

    def answer_completed(self) -> None:
        """Handle the end of a complete answer."""

    def answer_failed(self, reason: CallFailure) -> None:
        """Handle a failure after which the answer will not be complete."""


class ConnectionOwner(Protocol):
    """Handles connections that can carry another call and connections that are closed."""

    def connection_idle(self, connection: Connection) -> None:
        """Handle a connection that is idle and can be reused."""

    def connection_closed(self, connection: Connection) -> None:
        """Handle a connection that is closed."""


class Connection(StreamProtocol):
    """A connection that carries one call at a time.

    :ivar is_kept: its user keeps it for another call, so that the owner must not reuse it.
    """

    transport: Any

    def __init__(self, owner: ConnectionOwner) -> None:
        self._owner = owner
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._receiver: Receiver | None = None
        self._interim_answers = 0
        self._pieces = 0
        self._body_bytes = 0
        self._open = False
        self._is_paused = False
        self._calls = 0
        self._sender: BodySender | None = None
        self._is_success = False
        self._was_kept = False
        self.is_kept = False

    @property
    def is_reused(self) -> bool:
        """Whether the connection has carried an earlier call of a caller than the present one."""
        return self._calls > 1

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be written to."""
        return self._open

    @property
    def is_busy(self) -> bool:
        """Whether a call is under way."""
        return self._open and self._receiver is not None

    def close_lost(self) -> None:
        """Close at once, because the server is unreachable; its call ends as reset."""
        self.transport.abortConnection()

    def connectionMade(self) -> None:  # noqa: N802
        """Turn off send delays and turn on the detection of a silent peer."""
        self._open = True
        set_socket_options(self.transport)

    def send_call(
        self, method: str, target: str, headers: Headers, body: bytes, receiver: Receiver
    ) -> None:
        """Send a call; from here on it may reach the server."""
        self._receiver = receiver
        # a call before which the connection is kept belongs to the call for which it is kept
        self._calls += not self.is_kept
        self._was_kept = self._was_kept or self.is_kept
        self._interim_answers = self._pieces = self._body_bytes = 0
        event = h11.Request(
            method=method.encode("latin-1"),
            target=target.encode("latin-1"),
            headers=[(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers],
        )
        data = self._http.send(event) or b""
        if len(body) > SMALL_BYTES:
            self.transport.write(data)
            self._sender = BodySender(body, self._write_piece, self._end_call)
            self.transport.registerProducer(self._sender, True)
            self._sender.resumeProducing()
            return
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.transport.write(data)

    def _write_piece(self, piece: bytes) -> None:
        self.transport.write(self._http.send(h11.Data(data=piece)) or b"")

    def _end_call(self) -> None:
        self._sender = None
        self.transport.unregisterProducer()
        self.transport.write(self._http.send(h11.EndOfMessage()) or b"")

    def abort(self) -> None:
        """Close at once; the receiver gets no more events."""
        self._receiver = None
        self._open = False
        if self._sender is not None:
            self._sender.stopProducing()
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading, because there is no room for more."""
        self._is_paused = True
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading."""
        self._is_paused = False
        self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse bytes of the answer; bytes that arrive without a call close the connection."""
        if self._receiver is None:
            self.abort()
            return
        try:
            self._http.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError:
            self._fail_answer(CallFailure.MALFORMED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the call under way, if there is one, and tell the owner."""
        self._open = False
        if self._receiver is not None:
            self._end_answer(clean=bool(reason.check(ConnectionDone)))
        self._owner.connection_closed(self)

    def _end_answer(self, *, clean: bool) -> None:
        # a server that ends its connection while it is being written to may have stopped midway
        is_upload_cut = self._sender is not None and self._is_success
        if clean and not is_upload_cut:
            try:
                self._http.receive_data(b"")
                self._process_events()
            except h11.RemoteProtocolError:
                self._fail_answer(CallFailure.CLOSED)
                return
        if self._receiver is not None:
            self._fail_answer(CallFailure.CLOSED if clean else CallFailure.RESET)

    def _process_events(self) -> None:
        while self._receiver is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.InformationalResponse):
                self._interim_answers += 1
                if self._interim_answers > MAX_INTERIM_ANSWERS:
                    self._fail_answer(CallFailure.OVERSIZED)
            elif isinstance(event, h11.Response):
                self._process_head(self._receiver, event)
            elif isinstance(event, h11.Data):
                self._process_piece(self._receiver, bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete_answer()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail_answer(CallFailure.CLOSED)

    def _process_head(self, receiver: Receiver, head: h11.Response) -> None:
        if not is_final_status(head.status_code):
            self._fail_answer(CallFailure.MALFORMED)
            return
        if self._was_kept:
            acknowledge_at_once(self.transport)
        self._is_success = head.status_code < FIRST_FAILURE_STATUS
        receiver.head_received(head.status_code, _decode_headers(head.headers))

    def _process_piece(self, receiver: Receiver, data: bytes) -> None:
        self._pieces += 1
        self._body_bytes += len(data)
        is_small = self._body_bytes < self._pieces * MIN_PIECE_BYTES
        if is_small and self._pieces > MAX_SMALL_PIECES:
            self._fail_answer(CallFailure.OVERSIZED)
        else:
            receiver.body_received(data)

    def _complete_answer(self) -> None:
        receiver, self._receiver = self._receiver, None
        trailing = self._http.trailing_data[0]
        reusable = self._open and not trailing and self._http.our_state is h11.DONE
        if reusable and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            if self._is_paused:
                self.resume()
        else:
            self.abort()
        if receiver is not None:
            receiver.answer_completed()
        # the receiver may have sent its next call
        if self._open and self._receiver is None and not self.is_kept:
            self._owner.connection_idle(self)

    def _fail_answer(self, reason: CallFailure) -> None:
        receiver, self._receiver = self._receiver, None
        self.abort()
        if receiver is not None:
            receiver.answer_failed(reason)


def _decode_headers(headers: Any) -> Headers:
    return [
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers.raw_items()
    ]
