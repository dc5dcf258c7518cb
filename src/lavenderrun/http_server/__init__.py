"""Parts that the HTTP servers for callers share: the end of each request, and who closed."""

from __future__ import annotations

from lavenderrun.http_server._account import CloseReason, RequestAccount, RequestEnd
from lavenderrun.http_server._errors import describe_error
from lavenderrun.http_server._requests import AccountedChannel, AccountedFactory, AccountedRequest
from lavenderrun.http_server._unread import has_unread_bytes

__all__ = [
    "AccountedChannel",
    "AccountedFactory",
    "AccountedRequest",
    "CloseReason",
    "RequestAccount",
    "RequestEnd",
    "describe_error",
    "has_unread_bytes",
]
