"""How calls to the table service fail, apart from conflicts."""

from __future__ import annotations

from datetime import timedelta


class StoreUnavailableError(Exception):
    """The table service gave no answer; a write may have taken effect."""


class StoreThrottledError(StoreUnavailableError):
    """The table service refused the call for its rate; nothing took effect.

    :param retry_after: when the service asks to be called again.
    """

    def __init__(self, reason: str, *, retry_after: timedelta) -> None:
        super().__init__(reason)
        self.retry_after = retry_after
