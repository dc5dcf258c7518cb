"""Settings of a gateway."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

from lavenderrun.types._ids import DataCentre, HostId

DEFAULT_MEMORY: Final = 256 << 20
"""Memory in bytes that a process may have where the deployment does not say."""


@dataclass(frozen=True)
class GatewayBounds:
    """Limits that a deployment sets for its gateways.

    :param grace: time between the signal to stop and the kill.
    :param drain: time after which no call may be sent to a backend server that leaves.
    :param retry_ratio: maximum resends as a share of the calls in one window, over all hosts.
    :param retry_window: length of the window in which calls and resends are counted.
    :param retry_reserve: resends allowed in a window beyond the share, over all hosts.
    :param memory: bytes that the process may have in all; it is killed beyond them.
    :param cold_excess: calls a second that a cold server must never exceed, over all hosts, as a
        multiple of those that it takes; without it and a reserve there is no bound.
    :param cold_reserve: calls that a cold server may get in a second beyond that multiple.
    :param contact: time without a disturbance after which all bounds hold again.
    :param adoption: time within which a configuration that the store has acknowledged is in force.
    """

    grace: timedelta
    drain: timedelta
    retry_ratio: float
    retry_window: timedelta
    retry_reserve: float
    memory: int = DEFAULT_MEMORY
    cold_excess: float = 0.0
    cold_reserve: float = 0.0
    contact: timedelta = timedelta(seconds=3)
    adoption: timedelta = timedelta(seconds=2)


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway.

    :param callers: IP address and port for callers.
    :param readiness: IP address and port of the readiness check.
    :param peers: IP address and port, of UDP and TCP, for other gateways.
    :param metrics: IP address and port of the metrics page.
    :param store: IP address and port of the table service.
    """

    host: HostId
    data_centre: DataCentre
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str
    bounds: GatewayBounds
