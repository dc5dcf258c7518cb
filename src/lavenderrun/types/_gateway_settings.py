"""Settings of a gateway."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from lavenderrun.types._ids import DataCentre, HostId


@dataclass(frozen=True)
class GatewayBounds:
    """Promises that a deployment asks of its gateways.

    :param grace: time between the order to stop and the kill.
    :param retry_ratio: most resends as a share of the calls in one window, over all hosts.
    :param retry_window: the window of that share.
    :param retry_reserve: resends a window beyond the share, over all hosts.
    """

    grace: timedelta
    retry_ratio: float
    retry_window: timedelta
    retry_reserve: float


@dataclass(frozen=True)
class GatewaySettings:
    """Settings of one gateway.

    :param callers: IP number and port that callers reach.
    :param readiness: IP number and port of the readiness check.
    :param peers: IP number and port, of UDP and TCP, that other gateways reach.
    :param metrics: IP number and port of the metrics page.
    :param store: IP number and port of the table service.
    """

    host: HostId
    data_centre: DataCentre
    callers: str
    readiness: str
    peers: str
    metrics: str
    store: str
    bounds: GatewayBounds
