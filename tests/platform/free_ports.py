"""Ports for processes that a test starts."""

from __future__ import annotations

import fcntl
import os
import random
import socket
import tempfile
from collections import deque
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Final

PORTS: Final = range(12_000, 32_000)
"""Below the ports that the system gives to outgoing connections and to sockets bound to port 0, so
that none of those takes a port between the search and the start of the process that uses it."""

MAX_RECENT: Final = 2048

_RANDOM_SOURCE: Final = random.Random(os.getpid())
_recent: Final[deque[int]] = deque()
"""Ports found last: their processes may not have bound them yet."""

_LOCKS: Final = os.open(
    Path(tempfile.gettempdir()) / f"lavenderrun-test-ports-{os.getuid()}", os.O_RDWR | os.O_CREAT
)
"""A file whose byte at a port's number is locked by the test run that has found the port. The locks
of a process end with it."""


def find_ports(count: int) -> list[int]:
    """Return ports of the loopback address free for TCP and UDP, other ones at each call.

    Test runs beside each other find different ports.
    """
    with ExitStack() as stack:
        ports: list[int] = []
        while len(ports) < count:
            port = _RANDOM_SOURCE.choice(PORTS)
            if port in _recent or not _lock(port):
                continue
            try:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    candidate = stack.enter_context(socket.socket(type=kind))
                    candidate.bind(("127.0.0.1", port))
            except OSError:
                _unlock(port)
                continue
            ports.append(port)
            _recent.append(port)
        while len(_recent) > MAX_RECENT:
            _unlock(_recent.popleft())
        return ports


def _lock(port: int) -> bool:
    """Lock a port for this process; return whether no other one has it."""
    with suppress(BlockingIOError, PermissionError):  # either tells of another process's lock
        fcntl.lockf(_LOCKS, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, port)
        return True
    return False


def _unlock(port: int) -> None:
    fcntl.lockf(_LOCKS, fcntl.LOCK_UN, 1, port)
