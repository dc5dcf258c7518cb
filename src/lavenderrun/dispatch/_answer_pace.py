"""Tells whether a service that is asked answers in time."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Final

LATE_ANSWER: Final = timedelta(milliseconds=300)
"""Time beyond the expected one from which an answer is late."""


class AnswerPace:
    """Follows whether calls are answered in time.

    A call that is never answered does not count: its connection may have broken.

    :ivar late_ended: when answers in time last followed on late ones, ``None`` before the first
        such time.
    """

    def __init__(self) -> None:
        self.late_ended: datetime | None = None
        self._late_at: datetime | None = None

    @property
    def is_late(self) -> bool:
        """Whether the last answers were late."""
        return self._late_at is not None

    def note_answer(
        self, sent: datetime, wait: timedelta, now: datetime, *, is_expected: bool
    ) -> None:
        """Record the answer to a call.

        :param wait: how long the answer may take without being late.
        :param is_expected: it was expected just now; one that may come at any time until it is late
            does not tell that answers are in time.
        """
        if now > sent + wait + LATE_ANSWER:
            self._late_at = now
        elif is_expected and self._late_at is not None and sent >= self._late_at:
            self._late_at, self.late_ended = None, now
