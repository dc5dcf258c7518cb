"""Options of every connection: no delay, and a bound on the silence of a peer."""

from __future__ import annotations

import socket
from datetime import timedelta
from typing import Any, Final

PROBE_AFTER: Final = timedelta(seconds=1)
PROBE_EVERY: Final = timedelta(seconds=1)
PROBES: Final = 2
"""Keep-alive: a silent peer is noticed within three seconds, the time a lost path may take."""

UNSENT_MOST: Final = timedelta(seconds=3)
"""Longest time for which sent bytes may stay without acknowledgement."""

OPTIONS: Final = (
    ("TCP_KEEPIDLE", int(PROBE_AFTER.total_seconds())),
    ("TCP_KEEPINTVL", int(PROBE_EVERY.total_seconds())),
    ("TCP_KEEPCNT", PROBES),
    ("TCP_USER_TIMEOUT", int(UNSENT_MOST.total_seconds() * 1000)),
)


def split_address(address: str) -> tuple[str, int]:
    """Return the IP number and the port of ``IP:PORT``.

    :raises ValueError: the port is no number.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def set_socket_options(transport: Any) -> None:
    """Set the options on a connected transport."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(1)
    handle = transport.getHandle()
    for name, value in OPTIONS:
        option = getattr(socket, name, None)
        if option is not None:
            handle.setsockopt(socket.IPPROTO_TCP, option, value)
