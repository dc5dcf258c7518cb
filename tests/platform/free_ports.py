"""Ports for processes that a test starts."""

from __future__ import annotations

import os
import random
import socket
from collections import deque
from contextlib import ExitStack
from typing import Final

PORTS: Final = range(12_000, 32_000)
"""Below the ports that the system gives to outgoing connections and to sockets bound to port 0, so
that none of those takes a port between the search and the start of the process that uses it."""

_RANDOM_SOURCE: Final = random.Random(os.getpid())
_recent: Final[deque[int]] = deque(maxlen=2048)
"""Ports found last: their processes may not have bound them yet."""


def find_ports(count: int) -> list[int]:
    """Return ports of the loopback address free for TCP and UDP, other ones at each call."""
    with ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            port = _RANDOM_SOURCE.choice(PORTS)
            if port in _recent:
                continue
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    candidate = stack.enter_context(socket.socket(type=kind))
                    candidate.bind(("127.0.0.1", port))
            except OSError:
                continue
            ports.append(port)
            _recent.append(port)
        return ports
