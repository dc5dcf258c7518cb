"""Service ``connection_watch``: closes connections whose peer has stopped acknowledging data.

Keep-alive detects an unreachable peer only while nothing is in flight to it. The kernel's limit on
unacknowledged data, ``TCP_USER_TIMEOUT``, would also end the connection of a process that reads
nothing for a while, although its host answers each probe of the closed window.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Collection
from datetime import timedelta
from typing import Any, ClassVar, Final, Protocol

from lavenderrun.dispatch import AcknowledgementTracker
from lavenderrun.gateway._callers import CallersService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._sockets import read_send_state
from lavenderrun.gateway._stats import LOST_CONNECTIONS, Stats
from lavenderrun.kernel import Clock, Kernel, Timer

CHECK_INTERVAL: Final = timedelta(milliseconds=500)
"""Interval of the checks: the largest delay that they add to the detection."""


class WatchedConnection(Protocol):
    """A connection whose peer may become unreachable."""

    transport: Any

    @property
    def is_busy(self) -> bool:
        """Whether data may be in flight on it."""

    def close_lost(self) -> None:
        """Close it at once, because its peer is unreachable."""


class ConnectionWatch:
    """Checks the connections on which data may be in flight.

    :param sides: reads the open connections of each side of this host, by its name.
    """

    needs: ClassVar[tuple[str, ...]] = ("pool", "callers")

    def __init__(
        self,
        clock: Clock,
        stats: Stats,
        sides: dict[str, Callable[[], Collection[WatchedConnection]]],
    ) -> None:
        self._clock = clock
        self._sides = sides
        self._lost = Counter(dict.fromkeys(sides, 0))
        stats.register_reader(LOST_CONNECTIONS, self._read_lost)
        self._trackers: dict[WatchedConnection, AcknowledgementTracker] = {}
        self._timer: Timer | None = None

    def start(self) -> None:
        """Start to check the connections."""
        self._timer = self._clock.call_later(CHECK_INTERVAL, self._check)

    def stop(self) -> None:
        """Stop checking."""
        if self._timer is not None:
            self._timer.cancel()

    def _check(self) -> None:
        self.start()
        known, self._trackers = self._trackers, {}
        for side, list_open in self._sides.items():
            for connection in [found for found in list_open() if found.is_busy]:
                tracker = known.get(connection) or AcknowledgementTracker()
                self._trackers[connection] = tracker
                self._check_one(side, connection, tracker)

    def _check_one(
        self, side: str, connection: WatchedConnection, tracker: AcknowledgementTracker
    ) -> None:
        # closing an earlier connection may have ended the call on this one
        state = read_send_state(connection.transport) if connection.is_busy else None
        if state is None or not tracker.is_lost(state, self._clock.now()):
            return
        self._lost[side] += 1
        log(
            "connections:lost",
            "connections: peer acknowledges nothing, connection closed",
            side=side,
            peer=str(connection.transport.getPeer().host),
            unacknowledged=state.unacknowledged,
            unanswered_probes=state.unanswered_probes,
        )
        connection.close_lost()

    def _read_lost(self) -> dict[tuple[str, ...], float]:
        return {(side,): float(number) for side, number in self._lost.items()}


@GATEWAY_SERVICES.register("connection_watch")
def make_connection_watch(kernel: Kernel) -> ConnectionWatch:
    """Make the service ``connection_watch``."""
    callers = kernel.find("callers", CallersService)
    pool = kernel.find("pool", ConnectionPool)
    sides: dict[str, Callable[[], Collection[WatchedConnection]]] = {
        "callers": lambda: callers.channels,
        "backends": lambda: pool.connections,
    }
    return ConnectionWatch(kernel.clock, kernel.find("stats", Stats), sides)
