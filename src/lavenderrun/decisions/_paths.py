"""Normalizes request paths and finds the plain route of a path."""

from __future__ import annotations

import re
from collections.abc import Iterable
from typing import Final

from lavenderrun.types import PlainRoute

PERCENT_ESCAPE: Final = re.compile(rb"%([0-9a-fA-F]{2})")
ENCODED_SEPARATOR: Final = re.compile(r"%(2f|5c|00)", re.IGNORECASE)


def normalize_path(target: str) -> str | None:
    """Return the decoded path of *target*, ``None`` when two servers could parse it differently.

    A backend server could resolve dot segments, empty segments, backslashes and encoded slashes
    to a path under another route, to which the caller may have no access.
    """
    raw = target.partition("?")[0]
    if not raw.startswith("/") or "\\" in raw or "#" in raw or ENCODED_SEPARATOR.search(raw):
        return None
    try:
        octets = PERCENT_ESCAPE.sub(lambda match: bytes([int(match[1], 16)]), raw.encode())
        path = octets.decode()
    except UnicodeError:
        return None
    segments = path.split("/")[1:]
    if not path.isprintable() or {".", ".."} & set(segments) or "" in segments[:-1]:
        return None
    return path


class RouteTable:
    """Plain routes by path prefix; the longest matching prefix wins."""

    def __init__(self, routes: Iterable[PlainRoute]) -> None:
        self._routes: dict[str, list[PlainRoute]] = {}
        for route in routes:
            self._routes.setdefault(route.prefix.rstrip("/"), []).append(route)

    def find(self, path: str, method: str) -> PlainRoute | None:
        """Return the route of *path* and *method*.

        If the longest matching prefix does not allow the method, shorter ones are not tried.
        """
        prefix = path.rstrip("/")
        while prefix not in self._routes:
            if not prefix:
                return None
            prefix = prefix.rpartition("/")[0]
        for route in self._routes[prefix]:
            if not route.methods or method in route.methods:
                return route
        return None
