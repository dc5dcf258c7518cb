from __future__ import annotations

import pytest

from lavenderrun.commands._call_end import CallEnd, FoundEnd, find_end


def make(kind: str, **fields: object) -> dict[str, object]:
    return {"message_type": kind, "request": "a", **fields}


@pytest.mark.parametrize(
    ("line", "expected"),
    [
        (make("call:answered", status=200), FoundEnd(CallEnd.ANSWERED, "status=200")),
        (make("record:request_finished", tokens=4), FoundEnd(CallEnd.ANSWERED)),
        (
            make("call:refused", reason="no_room", outcome="not-run", detail=""),
            FoundEnd(CallEnd.REFUSED, "reason=no_room outcome=not-run"),
        ),
        (
            make("record:request_refused", refused={"refusal": "no_room", "outcome": "not-run"}),
            FoundEnd(CallEnd.REFUSED, "reason=no_room outcome=not-run"),
        ),
        (
            make("call:refused", reason="leaving", outcome="unknown", detail="departure"),
            FoundEnd(CallEnd.DEPARTURE, "reason=leaving outcome=unknown"),
        ),
        (
            make("call:cut", detail="engine lost", last="3"),
            FoundEnd(CallEnd.BROKEN_OFF, "detail=engine lost last=3"),
        ),
        (
            make("call:cut", detail="departure", last="3"),
            FoundEnd(CallEnd.DEPARTURE, "detail=departure last=3"),
        ),
        (make("call:cancelled"), FoundEnd(CallEnd.CALLER_GONE)),
        (make("record:request_cancelled"), FoundEnd(CallEnd.CALLER_GONE)),
        (
            make("requests:unanswered", closed_by="error", held_ms=9, error="KeyError at f:1"),
            FoundEnd(
                CallEnd.UNANSWERED, "closed_by=error held_ms=9 error=KeyError at f:1", is_final=True
            ),
        ),
        (
            make("requests:unanswered", closed_by="departure", held_ms=9),
            FoundEnd(CallEnd.DEPARTURE, "closed_by=departure held_ms=9", is_final=True),
        ),
        (
            make("requests:unanswered", closed_by="overdue", held_ms=9),
            FoundEnd(CallEnd.OVERDUE, "closed_by=overdue held_ms=9", is_final=True),
        ),
        (
            make("requests:partial", closed_by="idle_timeout", received_bytes=4),
            FoundEnd(CallEnd.NOT_READ, "closed_by=idle_timeout received_bytes=4", is_final=True),
        ),
        (make("call:send"), FoundEnd(CallEnd.UNKNOWN)),
    ],
)
def test_each_line_tells_one_end(line: dict[str, object], expected: FoundEnd) -> None:
    assert find_end([make("call:admitted"), line, make("call:seat")]) == expected


# a call that this host had cut at the end of its grace period was told as left by its caller
def test_what_the_connection_tells_goes_before_what_the_call_tells() -> None:
    unanswered = make("requests:unanswered", closed_by="departure")
    for lines in ([make("call:cancelled"), unanswered], [unanswered, make("call:cancelled")]):
        assert find_end(lines).end is CallEnd.DEPARTURE
