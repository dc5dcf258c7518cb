"""Registry of the operators' endpoints, and the calls and replies that they exchange."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import unquote

from lavenderrun.codecs import AdminError, AdminErrorBody, AdminFault, encode_admin
from lavenderrun.kernel import Kernel, Registry

JSON_CONTENT_TYPE: Final = "application/json"


@dataclass(frozen=True)
class AdminCall:
    """One call of the operators' API.

    :param operator: name of the operator whose key came with it, empty on public endpoints.
    :param parts: variable parts of the path, in order.
    :param find_headers: returns the values of the headers with a given name.
    """

    operator: str
    parts: tuple[str, ...]
    body: bytes
    find_headers: Callable[[str], list[str]]


@dataclass(frozen=True)
class AdminReply:
    """The answer to a call of the operators' API."""

    status: int
    body: bytes
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = JSON_CONTENT_TYPE


class AdminCallError(Exception):
    """The failure of a call, which becomes an error answer.

    :param status: HTTP status.
    :param code: machine-readable reason.
    :param message: reason as a sentence; must not contain a key.
    :param faults: faults of a submitted document.
    """

    def __init__(
        self, status: int, code: str, message: str, faults: list[AdminFault] | None = None
    ) -> None:
        super().__init__(message)
        self.status = status
        self.code = code
        self.message = message
        self.faults = faults or []

    def to_reply(self) -> AdminReply:
        """Return the error answer."""
        body = AdminError(AdminErrorBody(self.code, self.message, self.faults))
        return AdminReply(self.status, encode_admin(body))


AdminHandler = Callable[[Kernel, AdminCall], Any]


@dataclass(frozen=True)
class AdminEndpoint:
    """The handler of one method and path.

    :param path: parts of the path; a part in capitals matches any value.
    :param handler: returns a :class:`AdminReply` or a ``Deferred`` of one.
    :param is_public: whether it is served without a key.
    """

    method: str
    path: tuple[str, ...]
    handler: AdminHandler
    is_public: bool

    def match(self, path: tuple[str, ...]) -> tuple[str, ...] | None:
        """Return the variable parts of *path*, ``None`` when it does not match."""
        if len(path) != len(self.path):
            return None
        pairs = list(zip(self.path, path, strict=True))
        if any(not own.isupper() and own != given for own, given in pairs):
            return None
        return tuple(given for own, given in pairs if own.isupper())


ADMIN_ENDPOINTS: Registry[AdminEndpoint] = Registry("admin endpoint")


def register_endpoint(
    name: str, *, is_public: bool = False
) -> Callable[[AdminHandler], AdminHandler]:
    """Return a decorator that registers a handler.

    :param name: method and path, as in ``GET /admin/status``.
    :param is_public: whether it is served without a key.
    """
    method, path = name.split(" ")

    def decorate(handler: AdminHandler) -> AdminHandler:
        ADMIN_ENDPOINTS.register(name)(AdminEndpoint(method, split_path(path), handler, is_public))
        return handler

    return decorate


def find_endpoint(method: str, path: str) -> tuple[AdminEndpoint, tuple[str, ...]]:
    """Return the endpoint for a call and the variable parts of its path.

    :raises AdminCallError: when no endpoint has the path, or none with the method.
    """
    path_parts = split_path(path)
    allowed_methods = []
    for _, endpoint in ADMIN_ENDPOINTS:
        parts = endpoint.match(path_parts)
        if parts is not None and endpoint.method == method:
            return endpoint, parts
        if parts is not None:
            allowed_methods.append(endpoint.method)
    if allowed_methods:
        msg = f"The path takes {' and '.join(sorted(allowed_methods))}."
        raise AdminCallError(405, "method_not_allowed", msg)
    raise AdminCallError(404, "unknown_path", "There is no such path.")


def split_path(path: str) -> tuple[str, ...]:
    """Return the parts of a path, percent-decoded."""
    return tuple(unquote(part) for part in path.strip("/").split("/"))
