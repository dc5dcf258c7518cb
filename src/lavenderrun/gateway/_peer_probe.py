"""Finds out whether the process of a silent gateway has ended: its host refuses connections."""

from __future__ import annotations

from collections.abc import Callable, Collection
from datetime import datetime, timedelta
from typing import Any, Final

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectionRefusedError as RefusedError
from twisted.internet.protocol import ClientFactory, Protocol
from twisted.python.failure import Failure

from lavenderrun.kernel import Clock
from lavenderrun.types import HostId

CONNECT_TIMEOUT: Final = timedelta(milliseconds=200)
"""Longest time to connect to another gateway."""

PROBE_INTERVAL: Final = timedelta(seconds=1)
"""Time between two connections to the same silent host."""

MAX_PROBES: Final = 8
"""Most connections that are begun at once. A host that starts with all others knows hundreds of
silent ones."""

Address = tuple[str, int]


class _ProbeProtocol(Protocol):
    """Closes its connection at once: the port is open, so the process may still run."""

    def connectionMade(self) -> None:  # noqa: N802
        transport: Any = self.transport
        transport.abortConnection()


class PeerProbe:
    """Connects to silent gateways until their hosts refuse it.

    A suspended process still accepts connections and a broken path lets them time out; neither
    tells that the process has ended.

    :param reactor: opens the connections.
    :param on_ended: called once in each silence with a host whose process has ended.
    """

    def __init__(self, reactor: Any, clock: Clock, on_ended: Callable[[HostId], None]) -> None:
        self._reactor = reactor
        self._clock = clock
        self._on_ended = on_ended
        self._due: dict[HostId, datetime | None] = {}
        """When each silent host is tried next, ``None`` once its process has ended."""

    def probe(self, silent: Collection[tuple[HostId, Address]]) -> None:
        """Connect to the *silent* hosts whose turn it is, and forget all others.

        At most ``MAX_PROBES`` are tried, those first that have waited longest.
        """
        now = self._clock.now()
        self._due = {host: self._due.get(host, now) for host, _ in silent}
        turns = [
            (due, host, address)
            for host, address in silent
            if (due := self._due[host]) is not None and now >= due
        ]
        for _, host, address in sorted(turns)[:MAX_PROBES]:
            self._due[host] = now + PROBE_INTERVAL
            self._connect(host, address)

    def _connect(self, host: HostId, address: Address) -> None:
        seconds = CONNECT_TIMEOUT.total_seconds()
        endpoint: Any = TCP4ClientEndpoint(self._reactor, *address, seconds)
        factory = ClientFactory.forProtocol(_ProbeProtocol)
        factory.noisy = False
        endpoint.connect(factory).addErrback(self._handle_failure, host)

    def _handle_failure(self, failure: Failure, host: HostId) -> None:
        if failure.check(RefusedError) and self._due.get(host) is not None:
            self._due[host] = None
            self._on_ended(host)
