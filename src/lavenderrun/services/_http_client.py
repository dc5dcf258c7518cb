"""HTTP agents, request bodies and response bodies that all HTTP clients share."""

from __future__ import annotations

from contextvars import ContextVar
from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IStreamClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.protocols.policies import ProtocolWrapper, WrappingFactory
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

CONNECT_TIMEOUT = timedelta(seconds=2)
IDLE_TIMEOUT = timedelta(seconds=10)
"""Shorter than the time for which any backend server keeps an idle connection open."""


@implementer(IBodyProducer)
class BytesBody:
    """A request body that is complete in memory."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing; the body was written at once."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing; the body was written at once."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; the body was written at once."""


class BodyReader(Protocol):
    """Collects the body of a response; ``done`` fails if the body is cut off."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred()
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Add a part of the body."""
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fire ``done`` with the body, or with the failure if it is incomplete."""
        if self.done.called:
            return
        if is_body_complete(reason):
            self.done.callback(b"".join(self._parts))
        else:
            self.done.errback(reason)


_connection_end: ContextVar[Failure | None] = ContextVar("connection_end", default=None)
"""Why a connection ended, while its protocol is told of that. The parser of Twisted gives the same
reason for a body without length whether its connection was closed in order or reset."""


def is_body_complete(reason: Failure) -> bool:
    """Return whether a response's body ended as its framing says."""
    if isinstance(reason.value, PotentialDataLoss):
        end = _connection_end.get()
        return end is None or end.check(ConnectionDone) is not None
    return isinstance(reason.value, ResponseDone)


class _WatchedConnection(ProtocolWrapper):
    """Tells readers of bodies why their connection ended."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Pass the end on."""
        token = _connection_end.set(reason)
        try:
            super().connectionLost(reason)
        finally:
            _connection_end.reset(token)


class _WatchingFactory(WrappingFactory):
    protocol = _WatchedConnection
    noisy = False


@implementer(IStreamClientEndpoint)
class _WatchingEndpoint:
    """An endpoint whose connections tell readers of bodies why they ended."""

    def __init__(self, endpoint: Any) -> None:
        self._endpoint = endpoint

    def connect(self, factory: Any) -> Deferred[Any]:
        """Connect; the result is the protocol that *factory* has built."""
        connecting: Deferred[Any] = self._endpoint.connect(_WatchingFactory(factory))
        return connecting.addCallback(lambda watched: watched.wrappedProtocol)


def read_response_body(response: Any) -> Deferred[bytes]:
    """Return the whole body of *response*."""
    reader = BodyReader()
    response.deliverBody(reader)
    return reader.done


@implementer(IAgentEndpointFactory)
class _AddressEndpoints:
    """Makes endpoints for IP addresses, without the name lookup that would delay a refusal."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return the endpoint of the IP address and port in *uri*."""
        host = uri.host.decode("ascii").strip("[]")
        endpoint_type = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        seconds = CONNECT_TIMEOUT.total_seconds()
        return _WatchingEndpoint(endpoint_type(self._reactor, host, uri.port, seconds))


def make_pooled_http_agent(reactor: Any, connections: int) -> Any:
    """Return an agent that never retries by itself and pools connections.

    :param connections: most idle connections kept for each server.
    """
    pool: Any = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = connections
    pool.cachedConnectionTimeout = IDLE_TIMEOUT.total_seconds()
    # a retry inside the pool would hide that the first call may have run
    pool.retryAutomatically = False
    return Agent.usingEndpointFactory(reactor, _AddressEndpoints(reactor), pool)


def make_unpooled_http_agent(reactor: Any) -> Any:
    """Return an agent that opens a new connection for each call."""
    return Agent.usingEndpointFactory(reactor, _AddressEndpoints(reactor))
