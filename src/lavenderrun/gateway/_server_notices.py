"""What a backend server says about itself in an answer to a call of this host."""

from __future__ import annotations

from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._stats import NOTICES
from lavenderrun.types import AnswerHead, AnswerKind, Member


def record_notices(
    services: CallServices, call_log: CallLog, member: Member, head: AnswerHead
) -> None:
    """Record that a server leaves, rests or is cold; an answer to another call is not its word."""
    if head.kind is AnswerKind.FOREIGN:
        return
    if head.leaving:
        services.view.note_departure(member)
        services.stats.count(NOTICES, member.service, "leaving")
        call_log.write(
            "server_leaving",
            "server said it is leaving",
            member=member.id,
            status=head.status,
        )
    if head.rest is not None:
        services.view.begin_rest(member, head.rest)
        services.stats.count(NOTICES, member.service, "rest")
        call_log.write(
            "server_resting",
            "server asked for no calls",
            member=member.id,
            rest_ms=to_milliseconds(head.rest),
        )
    # another server than the one of the row rejects the call as misdirected
    if head.cold is not None and head.kind is not AnswerKind.WRONG_SERVER:
        services.view.cold.note_answer(member, head.cold)
