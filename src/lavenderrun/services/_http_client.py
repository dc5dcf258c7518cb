"""Shared parts of the HTTP clients."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.endpoints import TCP4ClientEndpoint, TCP6ClientEndpoint
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool, ResponseDone
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IAgentEndpointFactory, IBodyProducer
from zope.interface import implementer

CONNECT_TIMEOUT = timedelta(seconds=2)
IDLE_TIMEOUT = timedelta(seconds=10)
"""Less than any backend server keeps an idle connection."""


@implementer(IBodyProducer)
class BytesBody:
    """A request body that is at hand."""

    def __init__(self, body: bytes) -> None:
        self.length = len(body)
        self._body = body

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole body."""
        consumer.write(self._body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Nothing is left to pause."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Nothing is left to resume."""

    def stopProducing(self) -> None:  # noqa: N802
        """Nothing is left to stop."""


class BodyReader(Protocol):
    """Collects a response's body; a body that was cut off fails."""

    def __init__(self) -> None:
        self.done: Deferred[bytes] = Deferred()
        self._parts: list[bytes] = []

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take a part."""
        self._parts.append(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Take the end."""
        if self.done.called:
            return
        if is_body_complete(reason):
            self.done.callback(b"".join(self._parts))
        else:
            self.done.errback(reason)


def is_body_complete(reason: Failure) -> bool:
    """Tell whether a response's body ended as its framing says."""
    return isinstance(reason.value, ResponseDone | PotentialDataLoss)


def read_response_body(response: Any) -> Deferred[bytes]:
    """Return the whole body of *response*."""
    reader = BodyReader()
    response.deliverBody(reader)
    return reader.done


@implementer(IAgentEndpointFactory)
class _Endpoints:
    """Makes endpoints for IP numbers; without name look-up a refusal is known at once."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor

    def endpointForURI(self, uri: Any) -> Any:  # noqa: N802
        """Return the endpoint of *uri*."""
        host = uri.host.decode("ascii").strip("[]")
        kind = TCP6ClientEndpoint if ":" in host else TCP4ClientEndpoint
        return kind(self._reactor, host, uri.port, CONNECT_TIMEOUT.total_seconds())


def make_pooled_http_agent(reactor: Any, connections: int) -> Any:
    """Return an agent that keeps up to *connections* open and never repeats a call by itself."""
    pool: Any = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = connections
    pool.cachedConnectionTimeout = IDLE_TIMEOUT.total_seconds()
    # a repeat inside the pool would hide a call that may have run
    pool.retryAutomatically = False
    return Agent.usingEndpointFactory(reactor, _Endpoints(reactor), pool)


def make_unpooled_http_agent(reactor: Any) -> Any:
    """Return an agent that opens a connection a call."""
    return Agent.usingEndpointFactory(reactor, _Endpoints(reactor))
