"""Holds of a stream at a decode engine: taken before the prompt is computed, used by its send."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch import choose_hold_lifetime, has_lapsed
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._move_result import LATE_READ_TIME
from lavenderrun.gateway._ports import HoldAnswer, HoldResult
from lavenderrun.gateway._prefill import estimate_prefill
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._server_notices import record_notices
from lavenderrun.gateway._stats import HOLDS
from lavenderrun.gateway._watch_timer import WatchTimer
from lavenderrun.types import CallFailure, Headers, HoldId, Member

MAX_ANSWER_TIME: Final = timedelta(milliseconds=200)
"""Longest time in which an engine answers a request for a hold, as long as that to connect."""

MAX_ANSWER_BYTES: Final = 4096
"""Largest body of such an answer, which names the hold."""


def find_lifetime(
    services: CallServices, admitted: AdmittedCall, member: Member, tokens: int, *, prefills: bool
) -> timedelta | None:
    """Return how long *member* is asked to hold capacity, ``None`` when no hold is to be taken.

    :param tokens: tokens that the call has reserved there.
    :param prefills: a prefill engine computes the prompt before the call is sent.
    """
    longest = services.view.find_hold_lifetime(member, tokens, admitted.access.rank)
    # a request for a hold would count as one of the few calls that a cold engine takes
    if not longest or services.view.cold.is_cold(member):
        return None
    expected = estimate_prefill(services, admitted) if prefills else timedelta(0)
    return choose_hold_lifetime(expected, longest)


class DecodeHold:
    """Capacity that a decode engine reserves for one stream until it is sent there.

    :param ends: when the engine frees it by itself.
    """

    def __init__(
        self,
        services: CallServices,
        call_log: CallLog,
        member: Member,
        hold: HoldId,
        ends: datetime,
    ) -> None:
        self._services = services
        self._call_log = call_log
        self._member = member
        self._hold: HoldId | None = hold
        self._offered: HoldId | None = None
        self._ends = ends

    def use(self) -> HoldId | None:
        """Return the hold once, for a send that begins now; ``None`` when it has lapsed."""
        hold, self._hold = self._hold, None
        if hold is None:
            return None
        if has_lapsed(self._ends, self._services.clock.now()):
            self._note_end("lapsed")
            return None
        self._offered = hold
        return hold

    def free_offered(self) -> None:
        """Free the hold, because the call that named it did not run."""
        hold, self._offered = self._offered, None
        self._free(hold, None)

    def drop(self, connection: Connection | None = None) -> None:
        """Free the hold if no call has named it.

        :param connection: an open connection to the engine that nothing else uses.
        """
        hold, self._hold = self._hold, None
        self._free(hold, connection)

    def _free(self, hold: HoldId | None, connection: Connection | None) -> None:
        is_lapsed = self._services.clock.now() >= self._ends
        if hold is None or is_lapsed or not self._services.view.may_free_hold(self._member):
            if connection is not None:
                connection.abort()
            if hold is not None:
                self._note_end("lapsed" if is_lapsed else "left")
            return
        if connection is not None:
            connection.is_kept = False
        self._services.free_hold(self._member, hold, connection)
        self._note_end("dropped")

    def _note_end(self, result: str) -> None:
        self._services.stats.count(HOLDS, self._member.service, result)
        left = self._ends - self._services.clock.now()
        self._call_log.write(
            "hold_unused",
            "hold at decode engine ends unused",
            member=self._member.id,
            result=result,
            left_ms=to_milliseconds(left),
        )


@dataclass(frozen=True)
class HoldRequestEnd:
    """How a request for a hold ended.

    :param hold: the hold if it was taken.
    :param connection: the connection if it can carry the stream.
    """

    result: HoldResult
    hold: DecodeHold | None = None
    connection: Connection | None = None


class HoldRequest:
    """Asks a decode engine for a hold over the connection that is to carry the stream.

    :param connection: an open connection that has carried no call.
    :param on_end: called once with the end; not after :meth:`abandon`.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        member: Member,
        connection: Connection,
        tokens: int,
        lifetime: timedelta,
        on_end: Callable[[HoldRequestEnd], None],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._member = member
        self._connection = connection
        self._tokens = tokens
        self._lifetime = lifetime
        self._on_end: Callable[[HoldRequestEnd], None] | None = on_end
        self._timer = WatchTimer(services.clock)
        self._sent_at = services.clock.now()
        self._status = 0
        self._body = bytearray()
        self._is_over = False

    def start(self) -> None:
        """Send the request."""
        call = self._services.backends.encode_hold(self._member, self._tokens, self._lifetime)
        self._connection.is_kept = True
        self._timer.start(MAX_ANSWER_TIME, self._time_out)
        self._exchange = self._services.pool.call(
            self._member.address,
            call.method,
            call.target,
            call.headers,
            call.body,
            self,
            force_new=True,
            unused_connection=self._connection,
            may_send=self._may_send,
        )

    def _may_send(self) -> bool:
        is_awaited = self._services.clock.now() < self._admitted.patience_ends
        return is_awaited and self._services.view.takes_calls(self._member)

    def abandon(self) -> None:
        """Want the hold no more; it is freed when the engine grants it all the same."""
        self._on_end = None

    def head_received(self, status: int, headers: Headers) -> None:
        """Record the status and what the engine says about itself."""
        head = self._services.backends.decode_head(self._admitted.call.id, status, headers)
        record_notices(self._services, self._call_log, self._member, head)
        if head.idle_timeout is not None:
            self._services.pool.set_idle_timeout(self._member.address, head.idle_timeout)
        self._status = status

    def body_received(self, data: bytes) -> None:
        """Keep a part of the body."""
        self._body += data
        if len(self._body) > MAX_ANSWER_BYTES:
            self._exchange.abandon()
            self._end(HoldAnswer(HoldResult.UNREADABLE))

    def answer_completed(self) -> None:
        """End the request with what the engine answered."""
        self._end(self._services.backends.decode_hold(self._status, bytes(self._body)))

    def answer_failed(self, reason: CallFailure) -> None:
        """End the request without an answer."""
        is_withdrawn = reason is CallFailure.WITHDRAWN
        self._end(HoldAnswer(HoldResult.WITHDRAWN if is_withdrawn else HoldResult.NO_ANSWER))

    def _time_out(self) -> None:
        if self._timer.is_late:
            # this process did not run, so what has come is read first
            self._timer.start(LATE_READ_TIME, self._time_out)
            return
        self._exchange.abandon()
        self._end(HoldAnswer(HoldResult.NO_ANSWER))

    def _end(self, answer: HoldAnswer) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._timer.cancel()
        self._record(answer.result)
        hold = None
        if answer.hold is not None:
            ends = self._sent_at + self._lifetime
            hold = DecodeHold(self._services, self._call_log, self._member, answer.hold, ends)
        connection = self._connection if hold is not None and self._connection.is_open else None
        if connection is None:
            self._connection.abort()
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(HoldRequestEnd(answer.result, hold, connection))
        elif hold is not None:
            hold.drop(connection)

    def _record(self, result: HoldResult) -> None:
        """Record what the result says about the engine."""
        view, now, member = self._services.view, self._services.clock.now(), self._member.id
        self._services.stats.count(HOLDS, self._member.service, result.value)
        self._call_log.write(
            "hold",
            "request for a hold at decode engine ended",
            member=member,
            result=result.value,
            tokens=self._tokens,
            lifetime_ms=to_milliseconds(self._lifetime),
            took_ms=to_milliseconds(now - self._sent_at),
            **view.describe_reservations(member),
        )
        if result is HoldResult.TAKEN:
            view.hold_refusals.record_grant(member)
        elif result is HoldResult.WRONG_SERVER:
            view.health.note_replaced(self._member, now)
        elif result is HoldResult.REFUSED:
            view.hold_refusals.record_refusal(member, self._tokens, now, view.draw_spread())
        elif result is HoldResult.NO_ANSWER:
            # of any size, because the search would find the same engine at once
            view.hold_refusals.record_refusal(member, 0, now, view.draw_spread())
            view.health.pause_after_failure(member, now)
