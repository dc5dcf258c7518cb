"""Service ``pool``: connections to backend servers and to the store, reused while sound."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from random import Random
from typing import Any, ClassVar, Final

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lavenderrun.decoding import parse_address
from lavenderrun.dispatch import ASSUMED_HOSTS, UnreachedAddresses
from lavenderrun.gateway._connection import Connection, Receiver
from lavenderrun.gateway._loop_watch import LoopWatch
from lavenderrun.gateway._ports import HttpAnswer, HttpRequest
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.kernel import Clock, Kernel
from lavenderrun.types import CallFailure, Headers

CONNECT_TIMEOUT: Final = timedelta(milliseconds=200)
"""Longest time to connect where another address would do: many round trips within a region, and
less than the lifetime of exported KV cache."""

DEFAULT_IDLE_TIMEOUT: Final = timedelta(seconds=1)
"""Idle timeout assumed for a server that does not say how long it keeps an idle connection."""

IDLE_REUSE_SHARE: Final = 0.5
"""Share of the server's idle timeout within which a connection is reused."""

MAX_IDLE_CONNECTIONS: Final = 64
"""Idle connections to one server that all hosts together keep: fewer than the one or two hundred
connections that a server usually accepts, because it resets any beyond its limit."""


NO_DELAY: Final = timedelta(0)

MAX_COLLECTED_BYTES: Final = 4 << 20
"""Largest body of an answer to this host's own calls; a page of the store has one megabyte."""


@dataclass
class _IdleConnections:
    """Idle connections to one address, each with the time until which it may be reused."""

    entries: list[tuple[datetime, Connection]] = field(default_factory=list)
    idle_timeout: timedelta = DEFAULT_IDLE_TIMEOUT


class Exchange:
    """One call to one address, from the wait for a connection to the end of the answer.

    It releases the connection when its answer ends, because another call may use it from then on.

    :param may_send: tells, once a connection is open, whether the call is still to be sent; asked
        once, and the call is written if it is.
    :param on_error: called with an unexpected error once a connection is open; raised without it.
    """

    def __init__(
        self,
        receiver: Receiver,
        may_send: Callable[[], bool],
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        self._receiver: Receiver | None = receiver
        self._may_send = may_send
        self._on_error = on_error
        self._connection: Connection | None = None
        self.sent = False

    @property
    def is_abandoned(self) -> bool:
        """Whether nobody waits for the answer any more."""
        return self._receiver is None

    @property
    def is_reused(self) -> bool:
        """Whether the connection has carried an earlier call."""
        return self._connection is not None and self._connection.is_reused

    def abandon(self) -> None:
        """Close the connection at once; the receiver gets no more events."""
        self._receiver = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def pause(self) -> None:
        """Stop reading the answer."""
        if self._connection is not None and self._connection.is_open:
            self._connection.pause()

    def resume(self) -> None:
        """Resume reading the answer."""
        if self._connection is not None and self._connection.is_open:
            self._connection.resume()

    def connection_opened(
        self, connection: Connection | None, send: Callable[[Connection, Receiver], None]
    ) -> None:
        """Send over the new connection, or fail when it could not be opened or was closed.

        An abandoned exchange closes it without asking whether to send.
        """
        try:
            if connection is None or not connection.is_open:
                self.answer_failed(CallFailure.UNREACHABLE)
            elif self._receiver is None:
                connection.abort()
            elif not self._may_send():
                connection.abort()
                self.answer_failed(CallFailure.WITHDRAWN)
            else:
                self.send_over(connection, send)
        except Exception as error:
            if connection is not None:
                connection.abort()
            if self._on_error is None:
                raise
            self._on_error(error)

    def run_guarded(self, step: Callable[[], None]) -> None:
        """Run a step of the call on its own, outside the code that began the call."""
        try:
            step()
        except Exception as error:
            if self._on_error is None:
                raise
            self._on_error(error)

    def send_over(
        self, connection: Connection, send: Callable[[Connection, Receiver], None]
    ) -> None:
        """Send over *connection*; an abandoned exchange closes it and sends nothing."""
        if self._receiver is None:
            connection.abort()
            return
        self._connection = connection
        self.sent = True
        send(connection, self)

    def head_received(self, status: int, headers: Headers) -> None:
        """Pass the head on to the receiver."""
        if self._receiver is not None:
            self._receiver.head_received(status, headers)

    def body_received(self, data: bytes) -> None:
        """Pass a part of the body on to the receiver."""
        if self._receiver is not None:
            self._receiver.body_received(data)

    def answer_completed(self) -> None:
        """Release the connection and tell the receiver that the answer is complete."""
        self._connection = None
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.answer_completed()

    def answer_failed(self, reason: CallFailure) -> None:
        """Release the connection and tell the receiver why the answer is incomplete."""
        self._connection = None
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.answer_failed(reason)


class _AnswerCollector:
    """Collects the status and the body of one answer."""

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        self.done: Deferred[HttpAnswer | None] = Deferred()
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()

    def head_received(self, status: int, headers: Headers) -> None:
        self._status, self._headers = status, headers

    def body_received(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._max_bytes:
            self._body.clear()
            self._end(None)

    def answer_completed(self) -> None:
        self._end(HttpAnswer(self._status, bytes(self._body), self._headers))

    def answer_failed(self, _reason: CallFailure) -> None:
        self._end(None)

    def _end(self, result: HttpAnswer | None) -> None:
        if not self.done.called:
            self.done.callback(result)


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, owner: ConnectionPool) -> None:
        self._owner = owner

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: N802
        return Connection(self._owner)


class ConnectionPool:
    """Opens connections and keeps idle ones for reuse; it never repeats a call.

    :ivar unreached: addresses to which the last connection failed.
    :ivar on_returned: called with an address that refused a connection and accepts one now; set by
        the service ``cold_servers``.
    """

    needs: ClassVar[tuple[str, ...]] = ("loop",)

    def __init__(
        self,
        clock: Clock,
        reactor: Any,
        random_source: Random | None = None,
        loop_watch: LoopWatch | None = None,
    ) -> None:
        self._clock = clock
        self._random = random_source or Random()
        self._loop_watch = loop_watch or LoopWatch(clock)
        self.unreached = UnreachedAddresses()
        self._reactor = reactor
        self._idle_by_address: dict[str, _IdleConnections] = {}
        self._addresses: dict[Connection, str] = {}
        self._refusing: set[str] = set()
        self.on_returned: Callable[[str], None] = lambda _address: None
        self.set_host_count(ASSUMED_HOSTS)

    def start(self) -> None:
        """Do nothing, because connections are opened when a call needs one."""

    def stop(self) -> None:
        """Close all connections."""
        for connection in list(self._addresses):
            connection.abort()

    def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        receiver: Receiver,
        *,
        force_new: bool = False,
        unused_connection: Connection | None = None,
        may_send: Callable[[], bool] = lambda: True,
        on_error: Callable[[Exception], None] | None = None,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> Exchange:
        """Send a call to *address*; *receiver* handles its answer.

        After a late turn of the event loop the call is sent once sockets have been read.

        :param force_new: use a new connection, because the server of an idle one may be gone.
        :param unused_connection: an unused connection by :meth:`open`; a closed one is replaced.
        :param may_send: tells, when the call is to be written, whether it is still to be sent.
        :param on_error: called with an unexpected error once a connection is open.
        :param connect_timeout: longest time to open a connection.
        """
        exchange = Exchange(receiver, may_send, on_error)

        def send(connection: Connection, to: Receiver) -> None:
            connection.send_call(method, target, headers, body, to)

        def start() -> None:
            ready = unused_connection
            if exchange.is_abandoned:
                if ready is not None:
                    ready.abort()
                return
            if ready is None or not ready.is_open:
                ready = None if force_new else self._take_idle(address)
            if ready is not None and not may_send():
                ready.abort()
                # as a receiver expects, not before this method returns
                self._clock.call_later(NO_DELAY, exchange.answer_failed, CallFailure.WITHDRAWN)
            elif ready is not None:
                exchange.send_over(ready, send)
            else:
                self.open(address, self._send_after_reads, exchange, send, timeout=connect_timeout)

        if self._loop_watch.is_late():
            self._loop_watch.run_after_reads(exchange.run_guarded, start)
        else:
            start()
        return exchange

    def _send_after_reads(
        self,
        connection: Connection | None,
        exchange: Exchange,
        send: Callable[[Connection, Receiver], None],
    ) -> None:
        self._loop_watch.run_after_reads(exchange.connection_opened, connection, send)

    async def fetch(
        self,
        address: str,
        call: HttpRequest,
        timeout: timedelta,
        max_bytes: int = MAX_COLLECTED_BYTES,
        connect_timeout: timedelta = CONNECT_TIMEOUT,
    ) -> HttpAnswer | None:
        """Send a call; return its answer, ``None`` without a complete one.

        :param max_bytes: largest body of an answer.
        :param connect_timeout: longest time to open a connection.
        """
        answer = _AnswerCollector(max_bytes)
        exchange = self.call(
            address,
            call.method,
            call.target,
            call.headers,
            call.body,
            answer,
            connect_timeout=connect_timeout,
        )
        timer = self._clock.call_later(timeout, answer.answer_failed, CallFailure.SILENT)
        try:
            return await answer.done
        finally:
            timer.cancel()
            exchange.abandon()

    def set_idle_timeout(self, address: str, idle_timeout: timedelta) -> None:
        """Store how long the server at *address* keeps idle connections."""
        self._idle_by_address.setdefault(address, _IdleConnections()).idle_timeout = idle_timeout

    def find_idle_time(self, address: str) -> timedelta:
        """Return how long a connection to *address* may be idle before it is reused."""
        found = self._idle_by_address.get(address)
        return (DEFAULT_IDLE_TIMEOUT if found is None else found.idle_timeout) * IDLE_REUSE_SHARE

    def forget(self, address: str) -> None:
        """Close the idle connections to a server that is gone, and forget its failures."""
        self.unreached.forget(address)
        self._refusing.discard(address)
        idle_connections = self._idle_by_address.pop(address, None)
        for _, connection in idle_connections.entries if idle_connections is not None else ():
            connection.abort()

    def set_host_count(self, hosts: int) -> None:
        """Keep this host's share of the idle connections and close others after their next call."""
        self._max_idle = max(1, MAX_IDLE_CONNECTIONS // max(1, hosts))

    def close_idle(self) -> None:
        """Close all idle connections, because they may be dead."""
        for idle_connections in self._idle_by_address.values():
            for _, connection in idle_connections.entries:
                connection.abort()
            idle_connections.entries.clear()

    @property
    def connections(self) -> Collection[Connection]:
        """The open connections."""
        return self._addresses.keys()

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._addresses)

    def connection_idle(self, connection: Connection) -> None:
        """Keep an idle connection for reuse, or close it when there are enough."""
        address = self._addresses.get(connection, "")
        idle_connections = self._idle_by_address.setdefault(address, _IdleConnections())
        if not address or len(idle_connections.entries) >= self._max_idle:
            connection.abort()
            return
        idle_connections.entries.append(
            (self._clock.now() + idle_connections.idle_timeout * IDLE_REUSE_SHARE, connection)
        )

    def connection_closed(self, connection: Connection) -> None:
        """Forget a closed connection."""
        address = self._addresses.pop(connection, "")
        idle_connections = self._idle_by_address.get(address)
        if idle_connections is not None:
            idle_connections.entries = [
                pair for pair in idle_connections.entries if pair[1] is not connection
            ]

    def _take_idle(self, address: str) -> Connection | None:
        idle_connections = self._idle_by_address.get(address)
        now = self._clock.now()
        while idle_connections is not None and idle_connections.entries:
            until, connection = idle_connections.entries.pop()
            if connection.is_open and now < until:
                return connection
            connection.abort()
        return None

    def open(
        self,
        address: str,
        on_opened: Callable[..., None],
        *args: Any,
        timeout: timedelta = CONNECT_TIMEOUT,
    ) -> None:
        """Open a connection; call *on_opened* with it, or ``None`` on failure, and with *args*."""
        host, port = parse_address(address)
        endpoint: Any = TCP4ClientEndpoint(self._reactor, host, port, timeout.total_seconds())
        self.unreached.begin_try(address, self._clock.now())

        def connected(connection: Any) -> None:
            self._addresses[connection] = address
            self.unreached.record_connection(address)
            if address in self._refusing:
                self._refusing.discard(address)
                self.on_returned(address)
            on_opened(connection, *args)

        def failed(failure: Failure) -> None:
            if failure.check(RefusedError):
                self._refusing.add(address)
            self.unreached.record_failure(address, self._clock.now(), self._random.random())
            on_opened(None, *args)

        endpoint.connect(_ConnectionFactory(self)).addCallbacks(connected, failed)


@GATEWAY_SERVICES.register("pool")
def make_pool(kernel: Kernel) -> ConnectionPool:
    """Return the service ``pool`` on the running reactor."""
    from twisted.internet import reactor  # the daemon has installed its reactor by now

    watch = kernel.find("loop", LoopWatch)
    return ConnectionPool(kernel.clock, reactor, kernel.random_source, watch)
