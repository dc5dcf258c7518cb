"""Service ``pool``: connections to backend servers and to the store, kept while they are sound."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import ClientFactory
from twisted.python.failure import Failure

from lavenderrun.dispatch import ASSUMED_HOSTS
from lavenderrun.gateway._connection import Connection, Receiver
from lavenderrun.gateway._ports import HttpRequest
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._sockets import split_address
from lavenderrun.kernel import Clock, Kernel
from lavenderrun.types import CallFailure, Headers

CONNECT_TIMEOUT: Final = timedelta(milliseconds=200)
"""Longest time to connect: many round trips within a region, and less than exported KV cache
lives."""

IDLE_DEFAULT: Final = timedelta(seconds=1)
"""How long a connection is reused when its server does not say how long it keeps it."""

IDLE_PART: Final = 0.5
"""Part of the server's idle time within which a connection is taken again."""

IDLE_MOST: Final = 64
"""Idle connections to one server that all hosts together keep: a part of the one or two hundred
that a server usually accepts, for it resets those beyond."""


@dataclass
class _Site:
    """Idle connections to one address, each with the instant until which it may be reused."""

    idle: list[tuple[datetime, Connection]] = field(default_factory=list)
    keeps: timedelta = IDLE_DEFAULT


class Exchange:
    """One call to one address, from the wait for a connection to the end of the answer.

    It holds its connection no longer than its answer, for the next call may use it then.
    """

    def __init__(self, receiver: Receiver) -> None:
        self._receiver: Receiver | None = receiver
        self._connection: Connection | None = None
        self.sent = False

    def abandon(self) -> None:
        """Close the connection at once; nothing more is heard."""
        self._receiver = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def pause(self) -> None:
        """Stop reading for a while."""
        if self._connection is not None and self._connection.is_open:
            self._connection.pause()

    def resume(self) -> None:
        """Read on."""
        if self._connection is not None and self._connection.is_open:
            self._connection.resume()

    def take(
        self, connection: Connection | None, send: Callable[[Connection, Receiver], None]
    ) -> None:
        """Send over the connection that was opened, if any."""
        if connection is None:
            self.broken(CallFailure.UNREACHABLE)
        else:
            self.begin(connection, send)

    def begin(self, connection: Connection, send: Callable[[Connection, Receiver], None]) -> None:
        """Send over *connection*; an abandoned exchange sends nothing."""
        if self._receiver is None:
            connection.abort()
            return
        self._connection = connection
        self.sent = True
        send(connection, self)

    def headed(self, status: int, headers: Headers) -> None:
        """Take the head; see ``Receiver``."""
        if self._receiver is not None:
            self._receiver.headed(status, headers)

    def received(self, data: bytes) -> None:
        """Take a part of the body; see ``Receiver``."""
        if self._receiver is not None:
            self._receiver.received(data)

    def ended(self) -> None:
        """Leave the connection; see ``Receiver``."""
        self._connection = None
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.ended()

    def broken(self, reason: CallFailure) -> None:
        """There will be no whole answer; see ``Receiver``."""
        self._connection = None
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.broken(reason)


class _Answer:
    """Collects one whole answer."""

    def __init__(self) -> None:
        self.done: Deferred[tuple[int, bytes] | None] = Deferred()
        self._status = 0
        self._parts: list[bytes] = []

    def headed(self, status: int, _headers: Headers) -> None:
        self._status = status

    def received(self, data: bytes) -> None:
        self._parts.append(data)

    def ended(self) -> None:
        self._settle((self._status, b"".join(self._parts)))

    def broken(self, _reason: CallFailure) -> None:
        self._settle(None)

    def _settle(self, result: tuple[int, bytes] | None) -> None:
        if not self.done.called:
            self.done.callback(result)


class _ConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, owner: ConnectionPool) -> None:
        self._owner = owner

    def buildProtocol(self, addr: Any) -> Connection:  # noqa: N802
        return Connection(self._owner)


class ConnectionPool:
    """Opens connections and keeps idle ones for a while; it never repeats a call."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, clock: Clock, reactor: Any) -> None:
        self._clock = clock
        self._reactor = reactor
        self._sites: dict[str, _Site] = {}
        self._addresses: dict[Connection, str] = {}
        self.set_host_count(ASSUMED_HOSTS)

    def start(self) -> None:
        """Nothing to begin."""

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
        fresh: bool = False,
        over: Connection | None = None,
    ) -> Exchange:
        """Send a call to *address*; what comes of it goes to *receiver*.

        :param fresh: over a new connection, so that a call never goes to a server that is gone.
        :param over: an unused connection by :meth:`open`; a closed one is replaced.
        """
        exchange = Exchange(receiver)

        def send(connection: Connection, to: Receiver) -> None:
            connection.call(method, target, headers, body, to)

        ready = over if over is not None and over.is_open else None
        if ready is None and not fresh:
            ready = self._take_idle(address)
        if ready is not None:
            exchange.begin(ready, send)
        else:
            self.open(address, exchange.take, send)
        return exchange

    async def fetch(
        self, address: str, call: HttpRequest, timeout: timedelta
    ) -> tuple[int, bytes] | None:
        """Send a call and return status and body of its answer, ``None`` without a whole one."""
        answer = _Answer()
        exchange = self.call(address, call.method, call.target, call.headers, call.body, answer)
        timer = self._clock.call_later(timeout, answer.broken, CallFailure.SILENT)
        try:
            return await answer.done
        finally:
            timer.cancel()
            exchange.abandon()

    def learn_idle(self, address: str, keeps: timedelta) -> None:
        """Take how long the server at *address* keeps idle connections."""
        self._sites.setdefault(address, _Site()).keeps = keeps

    def forget(self, address: str) -> None:
        """Close the idle connections to a server that is gone."""
        site = self._sites.pop(address, None)
        for _, connection in site.idle if site is not None else ():
            connection.abort()

    def set_host_count(self, hosts: int) -> None:
        """Keep this host's part of the idle connections; what is over it goes as it is taken."""
        self._idle_most = max(1, IDLE_MOST // max(1, hosts))

    def close_idle(self) -> None:
        """Close all idle connections, for they may be dead."""
        for site in self._sites.values():
            for _, connection in site.idle:
                connection.abort()
            site.idle.clear()

    def count_open(self) -> int:
        """Return the number of open connections."""
        return len(self._addresses)

    def rested(self, connection: Connection) -> None:
        """Keep an idle connection; see ``Owner``."""
        address = self._addresses.get(connection, "")
        site = self._sites.setdefault(address, _Site())
        if not address or len(site.idle) >= self._idle_most:
            connection.abort()
            return
        site.idle.append((self._clock.now() + site.keeps * IDLE_PART, connection))

    def lost(self, connection: Connection) -> None:
        """Forget a closed connection; see ``Owner``."""
        address = self._addresses.pop(connection, "")
        site = self._sites.get(address)
        if site is not None:
            site.idle = [pair for pair in site.idle if pair[1] is not connection]

    def _take_idle(self, address: str) -> Connection | None:
        site = self._sites.get(address)
        now = self._clock.now()
        while site is not None and site.idle:
            until, connection = site.idle.pop()
            if connection.is_open and now < until:
                return connection
            connection.abort()
        return None

    def open(self, address: str, opened: Callable[..., None], *given: Any) -> None:
        """Open a connection and call *opened* with it, or with ``None``, and with *given*."""
        host, port = split_address(address)
        seconds = CONNECT_TIMEOUT.total_seconds()
        endpoint: Any = TCP4ClientEndpoint(self._reactor, host, port, seconds)

        def connected(connection: Any) -> None:
            self._addresses[connection] = address
            opened(connection, *given)

        def failed(_: Failure) -> None:
            opened(None, *given)

        endpoint.connect(_ConnectionFactory(self)).addCallbacks(connected, failed)


@GATEWAY_SERVICES.register("pool")
def make_pool(kernel: Kernel) -> ConnectionPool:
    """Make the service on the running reactor."""
    from twisted.internet import reactor  # the daemon has installed its own by now

    return ConnectionPool(kernel.clock, reactor)
