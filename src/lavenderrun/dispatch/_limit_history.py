"""Limits that callers rely on for a while after they were changed."""

from __future__ import annotations

from datetime import datetime, timedelta


class TimeLimitHistory:
    """A time limit on callers whose reduction takes effect late.

    A caller that knew an earlier limit keeps to that one, so each limit holds on for its own
    length after it was replaced by a shorter one.

    :param limit: the limit until the first configuration.
    """

    def __init__(self, limit: timedelta) -> None:
        self._limit = limit
        self._is_configured = False
        self._earlier: list[tuple[datetime, timedelta]] = []

    def change(self, limit: timedelta, now: datetime) -> None:
        """Put a limit in force; the first one replaces the default at once."""
        if self._is_configured:
            self._earlier = [
                (until, earlier)
                for until, earlier in (*self._earlier, (now + self._limit, self._limit))
                if now < until and earlier > limit
            ]
        self._limit, self._is_configured = limit, True

    def find(self, now: datetime) -> timedelta:
        """Return the longest limit that a caller may rely on."""
        return max([self._limit, *(limit for until, limit in self._earlier if now < until)])
