"""The order in which queued calls get a decode slot."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

USUAL_FIRST_TOKEN_TIME: Final = timedelta(milliseconds=250)
"""Usual time from a decode slot to the first token: a prefill, a transfer and a decode step."""

MAX_QUEUE_WAIT: Final = timedelta(seconds=2.5)
"""Longest wait for a decode slot; callers drop a stream that has not begun a little later."""

RANK_STEP: Final = timedelta(seconds=1)
"""Wait after which a call moves up one rank, so that calls of a high rank can't starve the others:
a call of rank 2 is ordered with rank 0 for the last half second that it may wait."""

MIN_SERVICE_TIME: Final = timedelta(milliseconds=30)
"""Remaining time below which a call is not sent, because any call takes longer."""


LARGE_CALL_RATIO: Final = 2.0
"""Ratio to the mean need of calls from which a call is large: small ones take what comes free
before it is enough for a large one."""

LARGE_CALL_WAIT: Final = timedelta(milliseconds=300)
"""Wait after which an engine is kept for a large call; a stream that ends may free enough."""


@dataclass(frozen=True)
class QueuedCall:
    """A call that waits for a decode slot.

    :param rank: urgency, zero is first.
    :param objective: time from arrival within which its first token should be out.
    :param deadline: time at which its answer is due, ``None`` without one.
    :param has_returned: it was rejected before and came back when it was advised to.
    """

    rank: int
    arrived: datetime
    objective: timedelta
    deadline: datetime | None = None
    has_returned: bool = False


def can_start(call: QueuedCall, earliest: datetime) -> bool:
    """Tell whether a call that gets its decode slot at *earliest* can still be served."""
    if earliest - call.arrived >= MAX_QUEUE_WAIT:
        return False
    return call.deadline is None or earliest + MIN_SERVICE_TIME < call.deadline


def find_rank(call: QueuedCall, now: datetime, ranks: Collection[int]) -> int:
    """Return the rank by which a call is ordered: it moves up one after each ``RANK_STEP``.

    It moves only to ranks of which calls wait, so that calls of a single rank keep their order.

    :param ranks: ranks of the calls that wait at any host.
    """
    highest = max(0, call.rank - (now - call.arrived) // RANK_STEP)
    return min((rank for rank in ranks if highest <= rank < call.rank), default=call.rank)


def make_sort_key(
    call: QueuedCall, now: datetime, ranks: Collection[int] = ()
) -> tuple[int, bool, bool, datetime]:
    """Return the sort key of a call.

    It is by rank, then calls that can meet their objective, then calls that came back, then by
    arrival.

    :param ranks: ranks of the calls that wait at any host.
    """
    rank, is_late = find_rank(call, now, ranks), misses_objective(call, now)
    return rank, is_late, not call.has_returned, call.arrived


def misses_objective(call: QueuedCall, now: datetime) -> bool:
    """Tell whether the first token is too late even when the call gets a decode slot now."""
    return now + USUAL_FIRST_TOKEN_TIME > call.arrived + call.objective


def needs_own_engine(call: QueuedCall, tokens: int, mean_tokens: float, now: datetime) -> bool:
    """Tell whether a call is so large that an engine's freed memory has to be kept for it.

    :param mean_tokens: mean need of the service's calls.
    """
    return now - call.arrived >= LARGE_CALL_WAIT and tokens >= LARGE_CALL_RATIO * mean_tokens
