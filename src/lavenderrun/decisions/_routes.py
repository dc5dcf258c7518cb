"""Match of one target to the plain routes of a document."""

from __future__ import annotations

from lavenderrun.decisions._paths import RouteTable, normalize_path
from lavenderrun.types import Document, PlainRoute


def find_plain_route(document: Document, method: str, target: str) -> PlainRoute | None:
    """Return the route of *target*, ``None`` when it is ambiguous or has none."""
    path = normalize_path(target)
    if path is None:
        return None
    return RouteTable(document.plain_routes).find(path, method)
