"""Addresses as the platform writes them."""

from __future__ import annotations


def is_address(text: str) -> bool:
    """Tell whether *text* is a host and a port."""
    host, _, port = text.rpartition(":")
    return bool(host) and port.isdecimal()
