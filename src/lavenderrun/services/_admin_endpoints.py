"""What an endpoint of the operators' API takes and gives, and the registry of them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, Final
from urllib.parse import unquote

from lavenderrun.codecs import AdminError, AdminErrorBody, AdminFault, encode_admin
from lavenderrun.kernel import Kernel, Registry

JSON: Final = "application/json"


@dataclass(frozen=True)
class AdminCall:
    """One call of an operator.

    :param operator: whose key came with it, empty on pages that need none.
    :param parts: the variable parts of the path, in order.
    """

    operator: str
    parts: tuple[str, ...]
    body: bytes
    find_headers: Callable[[str], list[str]]


@dataclass(frozen=True)
class AdminReply:
    """The answer to an operator."""

    status: int
    body: bytes
    headers: list[tuple[str, str]] = field(default_factory=list)
    content_type: str = JSON


class AdminCallError(Exception):
    """An answer that is not a success.

    :param code: names the reason for programs.
    :param message: a sentence without keys.
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
        """Return the answer."""
        body = AdminError(AdminErrorBody(self.code, self.message, self.faults))
        return AdminReply(self.status, encode_admin(body))


AdminHandler = Callable[[Kernel, AdminCall], Any]


@dataclass(frozen=True)
class AdminEndpoint:
    """One method and path; parts in capitals stand for anything.

    :param handler: returns a :class:`AdminReply` or a ``Deferred`` of one.
    :param is_open: served without a key.
    """

    method: str
    path: tuple[str, ...]
    handler: AdminHandler
    is_open: bool

    def match(self, path: tuple[str, ...]) -> tuple[str, ...] | None:
        """Return the variable parts of *path*, ``None`` when it is another path."""
        if len(path) != len(self.path):
            return None
        pairs = list(zip(self.path, path, strict=True))
        if any(not mine.isupper() and mine != other for mine, other in pairs):
            return None
        return tuple(other for mine, other in pairs if mine.isupper())


ADMIN_ENDPOINTS: Registry[AdminEndpoint] = Registry("admin endpoint")


def register_endpoint(
    name: str, *, is_open: bool = False
) -> Callable[[AdminHandler], AdminHandler]:
    """Return a decorator that serves *name*, a method and a path, by its function."""
    method, path = name.split(" ")

    def decorate(handler: AdminHandler) -> AdminHandler:
        ADMIN_ENDPOINTS.register(name)(AdminEndpoint(method, split_path(path), handler, is_open))
        return handler

    return decorate


def find_endpoint(method: str, path: str) -> tuple[AdminEndpoint, tuple[str, ...]]:
    """Return the endpoint for a call and the variable parts of its path.

    :raises AdminCallError: when there is none.
    """
    wanted = split_path(path)
    allowed = []
    for _, endpoint in ADMIN_ENDPOINTS:
        parts = endpoint.match(wanted)
        if parts is not None and endpoint.method == method:
            return endpoint, parts
        if parts is not None:
            allowed.append(endpoint.method)
    if allowed:
        msg = f"The path takes {' and '.join(sorted(allowed))}."
        raise AdminCallError(405, "method_not_allowed", msg)
    raise AdminCallError(404, "unknown_path", "There is no such path.")


def split_path(path: str) -> tuple[str, ...]:
    """Return the decoded parts of a path."""
    return tuple(unquote(part) for part in path.strip("/").split("/"))
