"""Detection of unreachable peers by what they acknowledge."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

MAX_UNANSWERED_TIME: Final = timedelta(seconds=3)
"""Time in which a lost path has to be detected."""

MIN_UNANSWERED: Final = 2
"""Sends or probes in a row that have to stay unanswered. A single one may be lost on the way, and a
host need not answer two probes that follow each other closely (RFC 5961, section 7)."""

SAME_SEND: Final = timedelta(milliseconds=50)
"""Difference below which two measurements of the last send are of the same one: more than the
resolution of the kernel's clock, less than the shortest time before it sends again."""


@dataclass(frozen=True)
class SendState:
    """What the kernel knows of what was sent over a connection.

    :param unacknowledged: segments that were sent and not acknowledged.
    :param unanswered_probes: probes of a closed window since the last acknowledgement.
    :param since_sent: time since data was last sent or sent again.
    :param since_acknowledged: time since the last acknowledgement, of whatever.
    """

    unacknowledged: int
    unanswered_probes: int
    since_sent: timedelta
    since_acknowledged: timedelta


class AcknowledgementTracker:
    """Follows the acknowledgements on one connection.

    As long as a host is there its kernel answers what is sent to it, also when it takes no data
    because its process reads none. How long that goes on doesn't matter; what was sent since the
    last answer does.
    """

    def __init__(self) -> None:
        self._unanswered_since: datetime | None = None
        self._last_sent: datetime | None = None
        self._unanswered_sends = 0
        self._unanswered_probes = 0

    def is_lost(self, state: SendState, now: datetime) -> bool:
        """Record the state at *now*; return whether the peer is unreachable.

        What was sent since the previous call may still be answered and does not count yet.
        """
        if state.unacknowledged:
            self._unanswered_probes = 0
            return self._record_sends(now - state.since_sent, now - state.since_acknowledged, now)
        self._unanswered_since = None
        known, self._unanswered_probes = self._unanswered_probes, state.unanswered_probes
        is_silent = state.since_acknowledged >= MAX_UNANSWERED_TIME
        return is_silent and min(known, state.unanswered_probes) >= MIN_UNANSWERED

    def _record_sends(self, sent: datetime, acknowledged: datetime, now: datetime) -> bool:
        if self._unanswered_since is None or acknowledged >= self._unanswered_since:
            self._unanswered_since = sent if sent > acknowledged else None
            self._last_sent, self._unanswered_sends = sent, 1
            return False
        is_lost = (
            self._unanswered_sends >= MIN_UNANSWERED
            and now - self._unanswered_since >= MAX_UNANSWERED_TIME
        )
        if self._last_sent is None or sent > self._last_sent + SAME_SEND:
            self._last_sent = sent
            self._unanswered_sends += 1
        return is_lost
