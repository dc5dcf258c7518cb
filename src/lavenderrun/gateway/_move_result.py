"""How a move of a stream or of its prompt ends."""

from __future__ import annotations

from datetime import timedelta
from enum import Enum
from typing import Final

LATE_READ_TIME: Final = timedelta(milliseconds=20)
"""Time in which what came while this process did not run is read."""


class MoveResult(Enum):
    """How a try to move a stream or its prompt ended."""

    MOVED = "moved"
    SPOKE = "spoke"
    PAUSED = "paused"
    ENDED = "ended"
    NO_ROOM = "no_room"
    UNREACHABLE = "unreachable"
    TAKES_NO_CALLS = "takes_no_calls"
    NO_RESEND = "no_resend"
    REJECTED = "rejected"
    NO_ANSWER = "no_answer"
