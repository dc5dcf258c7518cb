"""One HTTP/1.1 connection to a backend server or to the store.

It differs from the library's own client in three ways that at-most-once calls need: it tells
whether a byte of a call was written, takes no byte beyond an answer as part of anything, and a
connection that ended by a reset never looks like the end of a body without length.
"""

from __future__ import annotations

from typing import Any, Final, Protocol

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol as StreamProtocol
from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from lavenderrun.gateway._sockets import set_socket_options
from lavenderrun.types import CallFailure, Headers

HEAD_MOST: Final = 65536
"""Bytes of an answer's head."""


class Receiver(Protocol):
    """Takes what comes of one call; after ``ended`` or ``broken`` nothing follows."""

    def headed(self, status: int, headers: Headers) -> None:
        """Take the head of the answer."""

    def received(self, data: bytes) -> None:
        """Take a part of the body."""

    def ended(self) -> None:
        """The body is complete."""

    def broken(self, reason: CallFailure) -> None:
        """The answer will not be complete."""


class Owner(Protocol):
    """Is told when a connection can take a call again and when it is gone."""

    def rested(self, connection: Connection) -> None:
        """The connection is idle and sound."""

    def lost(self, connection: Connection) -> None:
        """The connection is closed."""


class Connection(StreamProtocol):
    """A connection that carries one call at a time."""

    transport: Any

    def __init__(self, owner: Owner) -> None:
        self._owner = owner
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=HEAD_MOST)
        self._receiver: Receiver | None = None
        self._open = False

    @property
    def is_open(self) -> bool:
        """Whether bytes can still be written."""
        return self._open

    def connectionMade(self) -> None:  # noqa: N802
        """Send without delay and notice a silent peer."""
        self._open = True
        set_socket_options(self.transport)

    def call(
        self, method: str, target: str, headers: Headers, body: bytes, receiver: Receiver
    ) -> None:
        """Send a call; from here on it may reach the server."""
        self._receiver = receiver
        event = h11.Request(
            method=method.encode("latin-1"),
            target=target.encode("latin-1"),
            headers=[(name.encode("latin-1"), value.encode("latin-1")) for name, value in headers],
        )
        data = self._http.send(event) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        self.transport.write(data)

    def abort(self) -> None:
        """Close at once; the receiver hears nothing more."""
        self._receiver = None
        self._open = False
        if self.transport is not None:
            self.transport.abortConnection()

    def pause(self) -> None:
        """Stop reading; the caller does not take what came."""
        self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        self.transport.resumeProducing()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes of the answer; without a call there must be none."""
        if self._receiver is None:
            self.abort()
            return
        try:
            self._http.receive_data(data)
            self._pump()
        except h11.RemoteProtocolError:
            self._break(CallFailure.MALFORMED)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """End the call that runs, if any."""
        self._open = False
        if self._receiver is not None:
            self._lose(clean=bool(reason.check(ConnectionDone)))
        self._owner.lost(self)

    def _lose(self, *, clean: bool) -> None:
        if clean:
            try:
                self._http.receive_data(b"")
                self._pump()
            except h11.RemoteProtocolError:
                self._break(CallFailure.CLOSED)
                return
        if self._receiver is not None:
            self._break(CallFailure.CLOSED if clean else CallFailure.RESET)

    def _pump(self) -> None:
        while self._receiver is not None:
            event = self._http.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._receiver.headed(event.status_code, _decode(event.headers))
            elif isinstance(event, h11.Data):
                self._receiver.received(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
            elif isinstance(event, h11.ConnectionClosed):
                self._break(CallFailure.CLOSED)

    def _finish(self) -> None:
        receiver, self._receiver = self._receiver, None
        unread = self._http.trailing_data[0]
        reusable = self._open and not unread and self._http.our_state is h11.DONE
        if reusable and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
        else:
            self.abort()
        if receiver is not None:
            receiver.ended()
        if self._open:
            self._owner.rested(self)

    def _break(self, reason: CallFailure) -> None:
        receiver, self._receiver = self._receiver, None
        self.abort()
        if receiver is not None:
            receiver.broken(reason)


def _decode(headers: Any) -> Headers:
    return [
        (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers.raw_items()
    ]
