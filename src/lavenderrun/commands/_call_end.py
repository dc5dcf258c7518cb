"""How a call ended, by its log lines."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from typing import Any, Final

from lavenderrun.kernel import Registry

AT_DEPARTURE: Final = "departure"
"""Detail of a line about a call that a host ended because it stops."""


class CallEnd(Enum):
    """How a call ended; the value is the sentence that is printed."""

    ANSWERED = "the whole answer was passed on"
    REFUSED = "refused"
    BROKEN_OFF = "broken off after its answer had begun"
    CALLER_GONE = "the caller left before the end of the answer"
    DEPARTURE = "ended at the end of the host's grace period"
    UNANSWERED = "ended by the host without an answer"
    OVERDUE = "the caller left after its deadline, without an answer"
    NOT_READ = "the connection closed before the request was read whole"
    UNKNOWN = "no line tells how it ended: the process ended first, or its lines were dropped"


@dataclass(frozen=True)
class FoundEnd:
    """The end of a call as one line tells it.

    :param detail: values of the line that say more, empty without any.
    :param is_final: the line is written when the connection to the caller ends, after all others.
    """

    end: CallEnd
    detail: str = ""
    is_final: bool = False


EndReader = Callable[[Mapping[str, Any]], FoundEnd]

END_READERS: Registry[EndReader] = Registry("line that tells how a call ended")
"""Readers of lines by their message type."""


@END_READERS.register("call:answered")
@END_READERS.register("record:request_finished")
def read_answered(line: Mapping[str, Any]) -> FoundEnd:
    """Return the end of a call whose answer, or the failure of its server, was passed on."""
    return FoundEnd(CallEnd.ANSWERED, _join(line, "status"))


@END_READERS.register("call:refused")
def read_refused(line: Mapping[str, Any]) -> FoundEnd:
    """Return the end of a refused call with reason, outcome and detail."""
    if line.get("detail") == AT_DEPARTURE:
        return FoundEnd(CallEnd.DEPARTURE, _join(line, "reason", "outcome"))
    return FoundEnd(CallEnd.REFUSED, _join(line, "reason", "outcome", "detail"))


@END_READERS.register("record:request_refused")
def read_refused_request(line: Mapping[str, Any]) -> FoundEnd:
    """Return the end of a request that an entry refused."""
    refused = line.get("refused")
    fields = refused if isinstance(refused, Mapping) else {}
    return read_refused({**fields, "reason": fields.get("refusal")})


@END_READERS.register("call:cut")
def read_cut(line: Mapping[str, Any]) -> FoundEnd:
    """Return the end of a stream that was cut after its answer had begun."""
    at_departure = line.get("detail") == AT_DEPARTURE
    end = CallEnd.DEPARTURE if at_departure else CallEnd.BROKEN_OFF
    return FoundEnd(end, _join(line, "detail", "last"))


@END_READERS.register("call:cancelled")
@END_READERS.register("record:request_cancelled")
def read_cancelled(_line: Mapping[str, Any]) -> FoundEnd:
    """Return the end of a call whose caller is gone."""
    return FoundEnd(CallEnd.CALLER_GONE)


@END_READERS.register("requests:unanswered")
def read_unanswered(line: Mapping[str, Any]) -> FoundEnd:
    """Return the end of a request whose connection closed without an answer."""
    by_reason = {"departure": CallEnd.DEPARTURE, "overdue": CallEnd.OVERDUE}
    end = by_reason.get(str(line.get("closed_by")), CallEnd.UNANSWERED)
    return FoundEnd(end, _join(line, "closed_by", "held_ms", "error"), is_final=True)


@END_READERS.register("requests:partial")
def read_partial(line: Mapping[str, Any]) -> FoundEnd:
    """Return the end of a request that was not read whole."""
    return FoundEnd(CallEnd.NOT_READ, _join(line, "closed_by", "received_bytes"), is_final=True)


def find_end(lines: Iterable[Mapping[str, Any]]) -> FoundEnd:
    """Return how a call ended.

    :param lines: the call's lines of one process, in order of time.
    """
    found = FoundEnd(CallEnd.UNKNOWN)
    for line in lines:
        kind = line.get("message_type")
        if kind not in END_READERS:
            continue
        read = END_READERS.find(str(kind))(line)
        if read.is_final or not found.is_final:
            found = read
    return found


def _join(line: Mapping[str, Any], *names: str) -> str:
    values = ((name, line.get(name)) for name in names)
    return " ".join(f"{name}={value}" for name, value in values if value not in (None, ""))
