"""Format of network addresses on the platform."""

from __future__ import annotations


def is_address(text: str) -> bool:
    """Tell whether *text* has the form ``IP:PORT`` with a decimal port."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdecimal()
