"""Match of a path to the document's routes."""

from __future__ import annotations

from lavenderrun.types import Document, ModelName, ModelRoute, PlainRoute


def find_plain_route(document: Document, method: str, target: str) -> PlainRoute | None:
    """Return the route with the longest prefix that fits; prefixes end at a path segment."""
    path = target.partition("?")[0]
    fitting = [
        route
        for route in document.plain_routes
        if _has_prefix(path, route.prefix) and (not route.methods or method in route.methods)
    ]
    return max(fitting, key=lambda route: len(route.prefix), default=None)


def find_model_route(document: Document, model: ModelName) -> ModelRoute | None:
    """Return the first route to *model*."""
    return next((route for route in document.model_routes if route.model == model), None)


def _has_prefix(path: str, prefix: str) -> bool:
    if path == prefix:
        return True
    return path.startswith(prefix if prefix.endswith("/") else f"{prefix}/")
