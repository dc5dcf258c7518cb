"""Errors of calls to the table service, apart from conflicts."""

from __future__ import annotations

from datetime import timedelta


class StoreUnavailableError(Exception):
    """The table service gave no answer; a write may have taken effect."""


class StoreThrottledError(StoreUnavailableError):
    """The table service refused the call to limit its rate; nothing took effect.

    :param retry_after: how long the service asks to wait before the next call.
    """

    def __init__(self, reason: str, *, retry_after: timedelta) -> None:
        super().__init__(reason)
        self.retry_after = retry_after
