"""What decides which log lines of a gateway are written when there are too many."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, Final

from lavenderrun.dispatch import LineTraits
from lavenderrun.types import AnswerKind, RequestId

CALL_PREFIX: Final = "call:"

FIRST_EVENT: Final = "call:admitted"

FIRST_ERROR_STATUS: Final = 400

LAST_EVENTS: Final = frozenset({"call:answered", "call:refused", "call:cut", "call:cancelled"})

ORDINARY_EVENTS: Final = frozenset({FIRST_EVENT, "call:seat", "call:prefill_skipped"})
"""Events of calls to which nothing out of the ordinary may have happened yet."""


def find_traits(message: Mapping[str, Any]) -> LineTraits:
    """Return the traits of a log line by its event and fields."""
    event, request = str(message.get("message_type", "")), message.get("request")
    if request is None or not event.startswith(CALL_PREFIX):
        return LineTraits()
    return LineTraits(
        RequestId(str(request)),
        event == FIRST_EVENT,
        event in LAST_EVENTS,
        not _is_ordinary(event, message),
    )


def _is_ordinary(event: str, message: Mapping[str, Any]) -> bool:
    if event == "call:send":
        return bool(message.get("attempt", 1) == 1)
    if event == "call:attempt":
        return message.get("result") == AnswerKind.SERVED.value
    if event == "call:answered":
        return bool(message.get("status", 0) < FIRST_ERROR_STATUS)
    return event in ORDINARY_EVENTS
