"""A call whose answer is passed on only when it is whole."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Final

from lavenderrun.dispatch import (
    AttemptDecision,
    CallRequirements,
    HolderKind,
    decide_after_attempt,
)
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._call_hedge import CallHedge
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._memory import Holding
from lavenderrun.gateway._running_call import MIN_SEND_TIME, RunningCallBase
from lavenderrun.gateway._waiting_calls import QueuedPlainCall
from lavenderrun.kernel import Timer
from lavenderrun.types import AccountId, BackendId, Member, Refusal, Step

NO_SERVER_PAUSE: Final = timedelta(milliseconds=40)
"""Pause before the next search for a server when none takes calls: short against the objective of
any call."""

NO_SERVER_SPREAD_SHARE: Final = 0.5
"""Random part added to the pause, as a share of it, so that the calls that wait do not all find a
server at once."""

NO_SERVER_WAIT_SHARE: Final = 0.5
"""Share of the objective for which a call waits for a server that takes calls."""


MAX_ANSWER_BYTES: Final = 8 << 20
"""Largest answer that is held until it is whole; a few of them fit into a small host's memory."""


@dataclass
class _CollectedAnswer:
    holding: Holding
    body: bytearray = field(default_factory=bytearray)

    def drop(self) -> None:
        """Forget what was collected."""
        self.body.clear()
        self.holding.end()


class WholeCall(RunningCallBase):
    """Runs a call at one server at a time, or at two while the first is silent."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._running_attempts: dict[Attempt, _CollectedAnswer] = {}
        self._whole_answer: tuple[Attempt, _CollectedAnswer] | None = None
        self._unreached_servers: list[Member] = []
        self._may_wait = False
        self._queued: QueuedPlainCall | None = None
        self._poll_timer: Timer | None = None
        self._is_outcome_unknown = False
        self._loss = "answer lost or not whole"
        self._hedge = CallHedge(
            self._services,
            self._admitted,
            self._call_log,
            self._is_unanswered,
            lambda others: self._find_server(others) is not None,
            self._send_to_second,
        )

    def start(self) -> None:
        """Send the call, after those that wait already."""
        if self._services.waiting.has_waiting(self._admitted.service):
            self._wait_for_server()
            self._services.waiting.wake_next(self._admitted.service)
        else:
            self._send(first=True)

    def pause(self) -> None:
        """Do nothing, because nothing is written before the answer is whole."""

    def resume(self) -> None:
        """Do nothing, because nothing was paused."""

    def head_received(self, attempt: Attempt) -> None:
        """Record a sign of the server; the head is passed on with the whole answer."""
        self._hedge.note_sign(attempt.member)
        if attempt.length is None or self._admitted.call.method == "HEAD":
            return
        self._running_attempts[attempt].holding.expect(attempt.length)
        if attempt.length > MAX_ANSWER_BYTES:
            attempt.reject_oversized("answer", MAX_ANSWER_BYTES)

    def body_received(self, attempt: Attempt, data: bytes) -> None:
        """Keep a part of the body; read on when there is room for all of it."""
        self._hedge.note_sign(attempt.member)
        answer = self._running_attempts[attempt]
        answer.body += data
        if len(answer.body) > MAX_ANSWER_BYTES:
            attempt.reject_oversized("answer", MAX_ANSWER_BYTES)
        elif not answer.holding.add(len(data)):
            attempt.pause()
            answer.holding.wait_for_room()

    def attempt_ended(self, attempt: Attempt) -> None:
        """Pass the answer on, send the call again or refuse it."""
        answer = self._running_attempts.pop(attempt)
        self._free_server(attempt)
        route, outcome = self._admitted.access.route, attempt.outcome
        is_misleading = outcome.is_misleading(idempotent=route.is_idempotent)
        is_whole = outcome.failure is None and outcome.may_have_run
        if not self._is_over and is_whole and not is_misleading:
            self._keep_answer(attempt, answer)
        else:
            answer.drop()
        if self._is_over:
            return
        if not attempt.sent:
            # nothing was written, so it counts neither as an attempt nor as a resend
            self._handle_unreached(attempt)
            return
        may_resend = bool(self._attempts_left > 0 and self._time_left() > MIN_SEND_TIME)
        decision = decide_after_attempt(
            outcome, idempotent=route.is_idempotent, may_resend=may_resend
        )
        self._is_outcome_unknown = self._is_outcome_unknown or outcome.may_have_run
        if is_misleading:
            self._loss = "backend server failed"
            self._log_misleading(attempt)
        if decision is AttemptDecision.PASS_ON:
            self._pass_on(attempt, answer)
        elif decision is AttemptDecision.TRY_AGAIN and self._resend():
            return
        elif not self._running_attempts:
            self._fail(decision)

    def _keep_answer(self, attempt: Attempt, answer: _CollectedAnswer) -> None:
        if self._whole_answer is not None:
            self._whole_answer[1].drop()
        self._whole_answer = (attempt, answer)

    def _handle_unreached(self, attempt: Attempt) -> None:
        self._unreached_servers.append(attempt.member)
        self._tried_servers.remove(attempt.member)
        if self._running_attempts or self._send(first=not self._tried_servers):
            return
        if self._tried_servers and not self._is_over:
            # an earlier attempt ended without an answer that could be passed on
            self._fail(AttemptDecision.FAIL_UNKNOWN)

    def _send(self, *, first: bool) -> bool:
        """Send the call to a server; return whether it was sent or ended."""
        if self._time_left() <= MIN_SEND_TIME:
            if not self._running_attempts:
                self._reach_deadline()
            return False
        member = self._find_server()
        if member is None:
            if first and not self._running_attempts:
                self._wait_for_server()
            return False
        if not self._refuse_if_withdrawn():
            self._send_to(member)
        return True

    def _find_server(self, silent: Collection[BackendId] = ()) -> Member | None:
        """Return a server that was not tried, and none of *silent*."""
        tried = [member.id for member in (*self._tried_servers, *self._unreached_servers)]
        requirements = CallRequirements(
            tried=[*tried, *silent],
            may_probe=self._admitted.access.route.is_idempotent,
            may_wait=self._may_wait,
        )
        return self._services.view.place(self._admitted.service, "plain", requirements)

    def _send_to(self, member: Member) -> None:
        route = self._admitted.access.route
        self._may_wait = False
        call = self._admitted.call
        attempt = Attempt(
            self._services, call, member, self, self._call_log, suspect_parts=call.shared_parts
        )
        holding = self._services.memory.hold(HolderKind.ANSWER, member.id, MAX_ANSWER_BYTES)
        holding.on_room = attempt.resume
        self._running_attempts[attempt] = _CollectedAnswer(holding)
        self._services.view.occupancy.reserve(member.id, 0)
        self._hedge.begin(member)
        self._services.waiting.begin(self._admitted.service, self._account)
        self._tried_servers.append(member)
        self._call_log.write(
            "send",
            "sent to backend server",
            member=member.id,
            load=self._services.view.occupancy.estimate_calls(
                member.id, self._services.clock.now()
            ),
            **self._services.view.describe_plain_load(member),
            failures=round(self._services.view.health.get_failure_rate(member.id), 2),
            attempt=len(self._tried_servers),
            left_ms=to_milliseconds(self._time_left()),
            **self._services.view.describe_members(),
        )
        attempt.send(
            self._make_context(member),
            force_new=not route.is_idempotent or len(self._tried_servers) > 1,
        )
        if route.is_idempotent and self._attempts_left > 0:
            self._hedge.watch()

    def _resend(self) -> bool:
        return self._take_resend() and self._send(first=False)

    def _is_unanswered(self) -> bool:
        """Tell whether the call is silent and may be sent to a second server."""
        is_silent = self._running_attempts and all(
            attempt.head is None for attempt in self._running_attempts
        )
        has_time = self._time_left() > MIN_SEND_TIME
        return bool(not self._is_over and is_silent and self._attempts_left > 0 and has_time)

    def _send_to_second(self, silent: Collection[BackendId]) -> bool:
        member = self._find_server(silent)
        if member is None:
            return False
        if self._take_resend():
            self._send_to(member)
            self._call_log.write("hedged", "no answer yet, sent to a second backend server")
        return True

    def _wait_for_server(self) -> None:
        view, service = self._services.view, self._admitted.service
        now = self._services.clock.now()
        longest = self._admitted.access.route.objective * NO_SERVER_WAIT_SHARE
        ends = min(self._admitted.arrived + longest, self._admitted.deadline - MIN_SEND_TIME)
        if now + view.find_wait(service) > ends or view.is_evacuated(service):
            reason = view.explain_no_server(service, "takes calls")
            self._refuse_without_capacity(f"no backend server {reason}")
            return
        self._unreached_servers.clear()
        if self._queued is None:
            arrived, deadline = self._admitted.arrived, self._admitted.deadline
            self._queued = QueuedPlainCall(self._account, arrived, deadline, self._wake)
            self._services.waiting.add(service, self._queued)
        spread = NO_SERVER_SPREAD_SHARE * self._services.view.draw_spread()
        pause = NO_SERVER_PAUSE * (1 + spread)
        # the last search takes a server even if it is busy
        self._may_wait = now + pause * 2 <= ends
        self._poll_timer = self._schedule(pause, self._poll_servers)

    def _poll_servers(self) -> None:
        if self._is_over or self._queued is None:
            return
        self._services.waiting.wake_next(self._admitted.service)
        if self._queued.is_woken:
            return
        if self._may_wait:
            self._wait_for_server()
        else:
            # the last search, after the call that is next
            self._wake()

    def _wake(self) -> None:
        self._schedule(timedelta(0), self._search_after_wait)

    def _search_after_wait(self) -> None:
        if self._is_over or self._queued is None:
            return
        if self._poll_timer is not None:
            self._poll_timer.cancel()
        self._stop_waiting()
        if self._send(first=True):
            self._services.waiting.wake_next(self._admitted.service)

    def _stop_waiting(self) -> None:
        queued, self._queued = self._queued, None
        if queued is not None:
            self._services.waiting.remove(self._admitted.service, queued)

    def _pass_on(self, attempt: Attempt, answer: _CollectedAnswer) -> None:
        head = attempt.head
        if head is None:
            self._fail(AttemptDecision.FAIL_UNKNOWN)
            return
        self._observe_first_answer()
        self._call_log.write(
            "answered", "answer passed on", member=attempt.member.id, status=head.status
        )
        body = bytes(answer.body)
        answer.body.clear()
        # the sink holds the body before it is given back here
        self._sink.answer(head.status, head.headers, body)
        self._finish("answered")

    def _fail(self, decision: AttemptDecision) -> None:
        if self._whole_answer is not None:
            self._pass_on(*self._whole_answer)
        elif decision is AttemptDecision.REFUSE_NOT_RUN or not self._may_have_run():
            self._refuse_without_capacity("backend servers rejected the call")
        else:
            self._refuse(Refusal.BACKEND_LOST, Step.CALL, self._loss)

    def _may_have_run(self) -> bool:
        return self._is_outcome_unknown or any(attempt.sent for attempt in self._running_attempts)

    @property
    def _account(self) -> AccountId | None:
        account = self._admitted.access.account
        return None if account is None else account.id

    def _free_server(self, attempt: Attempt) -> None:
        self._services.view.occupancy.free(attempt.member.id, 0)
        self._hedge.end(attempt.member)
        self._services.waiting.end(self._admitted.service, self._account)

    def _release(self) -> None:
        self._hedge.release()
        self._stop_waiting()
        while self._running_attempts:
            attempt, answer = self._running_attempts.popitem()
            attempt.abandon()
            answer.drop()
            self._free_server(attempt)
        if self._whole_answer is not None:
            self._whole_answer[1].drop()
