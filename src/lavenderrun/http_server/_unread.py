"""Bytes that have arrived on a connection and were not read yet."""

from __future__ import annotations

import socket
from typing import Any


def has_unread_bytes(transport: Any) -> bool:
    """Tell whether bytes have arrived on a connected transport that were not read yet."""
    # TLS is a layer over the transport that has the socket
    carrier = getattr(transport, "transport", transport)
    try:
        return bool(carrier.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False
