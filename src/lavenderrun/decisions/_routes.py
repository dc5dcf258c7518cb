"""Finds the plain route of one request target in a document."""

from __future__ import annotations

from lavenderrun.decisions._paths import RouteTable, normalize_path
from lavenderrun.types import Document, PlainRoute


def find_plain_route(document: Document, method: str, target: str) -> PlainRoute | None:
    """Return the plain route of *target*, ``None`` when it has none or its path is ambiguous."""
    path = normalize_path(target)
    if path is None:
        return None
    return RouteTable(document.plain_routes).find(path, method)
