"""One attempt: a call is sent to one backend server and its answer is followed."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import Any, Final, Protocol

from lavenderrun.dispatch import AttemptOutcome
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._pool import Exchange
from lavenderrun.gateway._server_notices import record_notices
from lavenderrun.gateway._stats import ATTEMPTS
from lavenderrun.gateway._suspects import LostCall
from lavenderrun.types import (
    AnswerHead,
    AnswerKind,
    BackendRole,
    CallContext,
    CallFailure,
    GatewayCall,
    Headers,
    Member,
    PartId,
)

CRASH_FAILURES: Final = frozenset({CallFailure.RESET, CallFailure.CLOSED, CallFailure.SILENT})
"""Failures of a sent call that a crash of its server may cause."""

FRAMING: Final = frozenset({"content-length", "transfer-encoding"})
"""Headers without which a body ends with its connection."""

TAKEN: Final = frozenset({AnswerKind.SERVED, AnswerKind.FAILED})
"""Answers of a server that took the call, whatever came of it."""


class AttemptListener(Protocol):
    """Handles the events of an attempt; none follows ``attempt_ended``."""

    def head_received(self, attempt: Attempt) -> None:
        """Handle the head of the answer, which ``attempt.head`` holds."""

    def body_received(self, attempt: Attempt, data: bytes) -> None:
        """Handle a part of the answer's body."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """Handle the end; ``attempt.failure`` is the reason when the answer is incomplete."""


class Attempt:
    """Sends a call to a backend server and follows its answer.

    :param has_events: the answer proper is a stream of events.
    :param suspect_parts: parts of the prompt that may crash the server when it begins to answer.
    :ivar head: the answer's head, ``None`` before it.
    :ivar failure: why the answer is incomplete, ``None`` without a failure.
    :ivar has_hold: whether the server reserves capacity for the call.
    :ivar has_progressed: whether a part of the answer proper has arrived.
    """

    def __init__(
        self,
        services: CallServices,
        call: GatewayCall,
        member: Member,
        listener: AttemptListener,
        call_log: CallLog,
        *,
        has_events: bool = False,
        suspect_parts: Sequence[PartId] = (),
    ) -> None:
        self._services = services
        self._call = call
        self._listener: AttemptListener | None = listener
        self._call_log = call_log
        self._suspect_parts = suspect_parts
        self._has_events = has_events
        self._ends_with_connection = False
        self._fingerprint = call_log.fingerprint
        self._began_at = services.clock.now()
        self._exchange: Exchange | None = None
        self._needs_signature = True
        self._bound: dict[str, Any] = {}
        self._is_trial = False
        self._is_pending = False
        self.member = member
        self.head: AnswerHead | None = None
        self.length: int | None = None
        self.failure: CallFailure | None = None
        self.has_hold = False
        self.has_progressed = False

    @property
    def sent(self) -> bool:
        """Whether a byte of the call may have reached the server."""
        return self._exchange is not None and self._exchange.sent

    @property
    def outcome(self) -> AttemptOutcome:
        """How the attempt ended, for ``decide_after_attempt``."""
        if self.head is None:
            return AttemptOutcome(self.sent, None, self.failure)
        return AttemptOutcome(self.sent, self.head.kind, self.failure, self.head.denies_run)

    def send(
        self, context: CallContext, *, force_new: bool, unused_connection: Connection | None = None
    ) -> None:
        """Send the call.

        :param force_new: use a new connection, because a reused one may be closing or dead.
        :param unused_connection: an open connection that has carried no call.
        """
        self._needs_signature = not context.prefill_only
        self.has_hold = context.hold is not None
        request = self._services.backends.encode_call(self._call, context)
        self._services.view.health.record_start(self.member.id, self._began_at)
        self._is_trial = self._services.view.rests.start_trial(self.member, self._began_at)
        self._is_pending = True
        self._services.view.cold.add_pending(self.member.id)
        patience_ends = self._services.clock.now() + context.patience
        self._exchange = self._services.pool.call(
            self.member.address,
            request.method,
            request.target,
            request.headers,
            request.body,
            self,
            force_new=force_new,
            unused_connection=unused_connection,
            may_send=lambda: self._may_send(patience_ends),
        )

    def _may_send(self, patience_ends: datetime) -> bool:
        """Tell whether the call is still to be written to the server, and count it if it is.

        The timer of a deadline runs late when the loop does, so the clock is read again here.
        """
        self._end_pending()
        view = self._services.view
        is_awaited = self._services.clock.now() < patience_ends
        if not is_awaited or not view.takes_calls(self.member):
            return False
        if view.cold.take_share(self.member):
            return True
        self._call_log.write(
            "withheld", "cold server gets no call now", **view.cold.describe(self.member)
        )
        return False

    def _end_pending(self) -> None:
        if self._is_pending:
            self._is_pending = False
            self._services.view.cold.remove_pending(self.member.id)

    def abandon(self) -> None:
        """Close the connection, so that the server drops the call; no event follows."""
        if self._listener is None:
            return
        self._listener = None
        self._services.view.health.record_no_result(self.member.id)
        if self._exchange is not None:
            self._exchange.abandon()
        self._record_result("abandoned")

    def hand_over(self, listener: AttemptListener) -> None:
        """Let *listener* handle what follows."""
        if self._listener is not None:
            self._listener = listener

    def give_up_silent(self, *, is_server_silent: bool) -> None:
        """Close the connection, because another server has taken the call on; no event follows.

        :param is_server_silent: the server is silent to other calls too.
        """
        if self._listener is None:
            return
        self._listener = None
        self.failure = CallFailure.SILENT
        if self._exchange is not None:
            self._exchange.abandon()
        self._record_lost_answer(CallFailure.SILENT)
        health = self._services.view.health
        if is_server_silent:
            health.record_silence(self.member.id, self._services.clock.now())
        else:
            health.record_failure(self.member.id)
        self._record_result(CallFailure.SILENT.value)

    def time_out(self) -> None:
        """End an attempt whose server is silent with ``CallFailure.SILENT``."""
        self._break_off(CallFailure.SILENT)

    def reject_oversized(self, bound: str, limit: int) -> None:
        """End an attempt whose answer is larger than the server may send.

        :param bound: which part of the answer is too large.
        :param limit: largest size of that part in bytes.
        """
        if self._listener is not None:
            self._bound = {"bound": bound, "limit": limit}
        self._break_off(CallFailure.OVERSIZED)

    def reject_foreign(self) -> None:
        """End an attempt whose answer is not one to this call."""
        self._break_off(CallFailure.FOREIGN_ANSWER)

    def _break_off(self, reason: CallFailure) -> None:
        if self._listener is None:
            return
        if self._exchange is not None:
            self._exchange.abandon()
        self.answer_failed(reason)

    def note_progress(self) -> None:
        """Record that a part of the answer proper has arrived, not only its head."""
        if not self.has_progressed:
            self.has_progressed = True
            self._services.suspects.record_progress(self._call.shared_parts)

    def pause(self) -> None:
        """Stop reading the answer."""
        if self._exchange is not None:
            self._exchange.pause()

    def resume(self) -> None:
        """Resume reading the answer."""
        if self._exchange is not None:
            self._exchange.resume()

    def head_received(self, status: int, headers: Headers) -> None:
        """Decode the head, record the server's load and idle timeout, and tell the listener."""
        head = self._services.backends.decode_head(self._call.id, status, headers)
        self._ends_with_connection = not FRAMING & {name.lower() for name, _ in headers}
        self.length = _find_length(headers)
        if not head.names_call and self._exchange is not None and self._exchange.is_reused:
            # it may be an earlier answer, written once more
            self.reject_foreign()
            return
        record_notices(self._services, self._call_log, self.member, head)
        if head.rest is None and head.kind in TAKEN:
            self._end_trial(accepted=True)
        unsigned = head.kind is AnswerKind.SERVED and self._needs_signature and not head.signed
        if head.kind is AnswerKind.FOREIGN or unsigned:
            self.reject_foreign()
            return
        self.head = head
        if head.kind is AnswerKind.SERVED:
            self._services.suspects.record_alive(self.member, self._began_at)
        now = self._services.clock.now()
        if head.load is not None:
            self._services.view.occupancy.observe_load(self.member.id, head.load, now)
            if self.member.role is BackendRole.PLAIN:
                self._services.view.observe_plain_load(self.member, head.load)
        if head.idle_timeout is not None:
            self._services.pool.set_idle_timeout(self.member.address, head.idle_timeout)
        if self._listener is not None:
            self._listener.head_received(self)

    def _end_trial(self, *, accepted: bool) -> None:
        if self._is_trial:
            self._is_trial = False
            self._services.view.rests.end_trial(self.member, accepted=accepted)

    def body_received(self, data: bytes) -> None:
        """Pass a part of the body on to the listener."""
        if self._listener is not None:
            self._listener.body_received(self, data)

    def answer_completed(self) -> None:
        """Record the complete answer in the server's health and end the attempt."""
        answer_kind = self.head.kind if self.head else AnswerKind.FAILED
        if answer_kind is AnswerKind.SERVED and self._is_cut_before_events():
            self.answer_failed(CallFailure.CLOSED)
            return
        health = self._services.view.health
        if answer_kind is AnswerKind.SERVED:
            now = self._services.clock.now()
            # a computed prompt has not run, so it says nothing about what runs after it
            if self._needs_signature:
                self.note_progress()
                self._services.suspects.calls.clear_call(self._fingerprint, now)
            took = now - self._began_at
            health.record_success(self.member.id, took)
            self._observe_time(took)
        elif answer_kind is AnswerKind.FAILED:
            health.record_failure(self.member.id)
        elif answer_kind is AnswerKind.WRONG_SERVER:
            health.record_no_result(self.member.id)
            health.note_replaced(self.member, self._services.clock.now())
        else:
            health.record_no_result(self.member.id)
        self._end(answer_kind.value)

    def _observe_time(self, took: timedelta) -> None:
        """Record the time of a plain call; in a queue it would measure the load, not the server."""
        load = None if self.head is None else self.head.load
        if self.member.role is BackendRole.PLAIN and load is not None and not load.waiting:
            self._services.view.plain_loads.observe_time(self.member.id, took)

    def _is_cut_before_events(self) -> bool:
        return self._has_events and self._ends_with_connection and not self.has_progressed

    def answer_failed(self, reason: CallFailure) -> None:
        """Record the failure in the server's health and end the attempt."""
        self.failure = reason
        if self.sent and reason in CRASH_FAILURES:
            self._record_lost_answer(reason)
        health = self._services.view.health
        if reason is CallFailure.UNREACHABLE:
            health.pause_after_failure(self.member.id, self._services.clock.now())
        elif reason is CallFailure.SILENT:
            health.record_silence(self.member.id, self._services.clock.now())
        elif reason is CallFailure.WITHDRAWN:
            health.record_no_result(self.member.id)
        else:
            # if the server is down, the next connection attempt finds that out
            health.record_failure(self.member.id)
        self._end(reason.value)

    def _record_lost_answer(self, reason: CallFailure) -> None:
        lost = LostCall(
            self._call.id,
            self._fingerprint,
            self._suspect_parts,
            self._began_at,
            self._services.clock.now(),
            is_silent=reason is CallFailure.SILENT,
            has_begun=self.has_progressed,
        )
        self._services.suspects.record_lost_answer(self.member, lost)

    def _end(self, result: str) -> None:
        listener, self._listener = self._listener, None
        self._record_result(result)
        if listener is not None:
            listener.attempt_ended(self)

    def _record_result(self, result: str) -> None:
        self._end_pending()
        self._end_trial(accepted=False)
        self._services.stats.count(ATTEMPTS, self.member.service, result)
        took = self._services.clock.now() - self._began_at
        self._call_log.log_attempt(self, result, took, **self._bound)


def _find_length(headers: Headers) -> int | None:
    """Return the length of the body, ``None`` when the head does not say."""
    found = [value for name, value in headers if name.lower() == "content-length"]
    return int(found[0]) if found and found[0].isdecimal() else None
