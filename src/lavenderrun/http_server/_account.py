"""The account of callers' requests: how each one ended."""

from __future__ import annotations

from collections import Counter
from datetime import datetime, timedelta
from enum import Enum
from typing import Any, Final

from eliot import log_message

from lavenderrun.kernel import Clock

MILLISECOND: Final = timedelta(milliseconds=1)


class RequestEnd(Enum):
    """How a request ended that was read whole.

    ``UNANSWERED`` is a fault of this host; all others are allowed.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN_OFF = "broken_off"
    CALLER_GONE = "caller_gone"
    UNANSWERED = "unanswered"


class CloseReason(Enum):
    """Who closed a connection, or why this host closed it.

    ``OVERDUE`` is a caller that left after its deadline, which this host had to answer by.
    """

    CALLER = "caller"
    OVERDUE = "overdue"
    IDLE_TIMEOUT = "idle_timeout"
    DEPARTURE = "departure"
    BAD_REQUEST = "bad_request"
    ERROR = "error"
    ABORT = "abort"
    HOST = "host"


class RequestAccount:
    """Counts how requests ended and logs those that ended without an answer.

    :ivar ends: requests that were read whole, by their end.
    :ivar unanswered: those among them that ended without an answer, by the reason.
    :ivar partial: requests whose connection closed before they were read whole, by the reason.
    :ivar is_leaving: whether this host closes the connections that are left.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.is_leaving = False
        self.ends: Counter[RequestEnd] = Counter(dict.fromkeys(RequestEnd, 0))
        self.unanswered: Counter[CloseReason] = Counter(dict.fromkeys(CloseReason, 0))
        self.partial: Counter[CloseReason] = Counter(dict.fromkeys(CloseReason, 0))

    def record_end(self, end: RequestEnd) -> None:
        """Count the end of a request."""
        self.ends[end] += 1

    def record_unanswered(
        self, request_id: str | None, reason: CloseReason, read_at: datetime, **fields: Any
    ) -> None:
        """Count and log a request that was read whole and ended without an answer.

        :param read_at: when its last byte was read.
        :param fields: further fields of the log line.
        """
        self.record_end(RequestEnd.UNANSWERED)
        self.unanswered[reason] += 1
        log_message(
            "requests:unanswered",
            text="requests: request ended without an answer",
            request=request_id,
            closed_by=reason.value,
            held_ms=round((self.clock.now() - read_at) / MILLISECOND),
            **fields,
        )

    def record_partial(
        self, request_id: str | None, reason: CloseReason, received_bytes: int, **fields: Any
    ) -> None:
        """Count a request that was not read whole, and log it unless its caller closed.

        :param received_bytes: bytes of its body that were read.
        :param fields: further fields of the log line.
        """
        self.partial[reason] += 1
        if reason is not CloseReason.CALLER:
            log_message(
                "requests:partial",
                text="requests: connection closed before a request was read whole",
                request=request_id,
                closed_by=reason.value,
                received_bytes=received_bytes,
                **fields,
            )

    def read_ends(self) -> dict[tuple[str, ...], float]:
        """Return the number of requests that were read whole by their end, for a metric."""
        return _read_counter(self.ends)

    def read_unanswered(self) -> dict[tuple[str, ...], float]:
        """Return the number of requests without an answer by reason, for a metric."""
        return _read_counter(self.unanswered)

    def read_partial(self) -> dict[tuple[str, ...], float]:
        """Return the number of requests that were not read whole by reason, for a metric."""
        return _read_counter(self.partial)


def _read_counter(counter: Counter[Any]) -> dict[tuple[str, ...], float]:
    return {(key.value,): float(number) for key, number in counter.items()}
