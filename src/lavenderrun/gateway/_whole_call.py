"""A call whose answer is passed on only when it is whole."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Any, Final

from lavenderrun.dispatch import AttemptDecision, CallRequirements, decide_after_attempt
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._running_call import LEAST_TIME, RunningCallBase
from lavenderrun.types import Member, Refusal, Step

HEDGE_PART: Final = 0.6
"""Part of the objective after which a silent idempotent call is sent to a second server."""

ROOM_PAUSE: Final = timedelta(milliseconds=40)
"""Pause before servers are looked for again when none takes calls."""

ROOM_WAIT_PART: Final = 0.5
"""Part of the objective for which a call waits for a server that takes calls."""


@dataclass
class _Answer:
    body: list[bytes] = field(default_factory=list)


class WholeCall(RunningCallBase):
    """Sends a call to one server at a time, or to a second one while the first is silent."""

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._running: dict[Attempt, _Answer] = {}
        self._failed: tuple[Attempt, _Answer] | None = None
        self._unreached: list[Member] = []
        self._unknown = False

    def start(self) -> None:
        """Send the call."""
        self._send(first=True)

    def pause(self) -> None:
        """Nothing is written before the answer is whole."""

    def resume(self) -> None:
        """Nothing was paused."""

    def headed(self, attempt: Attempt) -> None:
        """See ``AttemptEvents``."""

    def received(self, attempt: Attempt, data: bytes) -> None:
        """Keep a part of the body; see ``AttemptEvents``."""
        self._running[attempt].body.append(data)

    def settled(self, attempt: Attempt) -> None:
        """Pass the answer on or decide what follows; see ``AttemptEvents``."""
        answer = self._running.pop(attempt)
        self._parts.view.occupancy.free(attempt.member.id, 0)
        if self._over:
            return
        if not attempt.sent:
            # nothing was written, so it counts neither as an attempt nor as a resend
            self._tried_unreached(attempt)
            return
        route = self._admitted.access.route
        may_resend = bool(self._attempts_left > 0 and self._time_left() > LEAST_TIME)
        verdict = decide_after_attempt(
            attempt.outcome, idempotent=route.is_idempotent, may_resend=may_resend
        )
        self._unknown = self._unknown or attempt.outcome.may_have_run
        if attempt.broke is None and attempt.outcome.may_have_run:
            self._failed = (attempt, answer)
        if verdict is AttemptDecision.PASS_ON:
            self._pass_on(attempt, answer)
        elif verdict is AttemptDecision.TRY_AGAIN and self._resend():
            return
        elif not self._running:
            self._fail(verdict)

    def _tried_unreached(self, attempt: Attempt) -> None:
        self._unreached.append(attempt.member)
        self._tried.remove(attempt.member)
        if not self._running:
            self._send(first=not self._tried)

    def _send(self, *, first: bool) -> bool:
        route = self._admitted.access.route
        if self._time_left() <= LEAST_TIME:
            if not self._running:
                self._reach_deadline()
            return False
        tried = [member.id for member in (*self._tried, *self._unreached)]
        need = CallRequirements(tried=tried, harmless=route.is_idempotent)
        member = self._parts.view.place(self._admitted.service, "plain", need)
        if member is None:
            if first and not self._running:
                self._wait_for_room()
            return False
        attempt = Attempt(self._parts, self._admitted.call, member, self, self._story)
        self._running[attempt] = _Answer()
        self._parts.view.occupancy.reserve(member.id, 0)
        self._tried.append(member)
        self._story.tell(
            "send",
            "sent to backend server",
            member=member.id,
            load=self._parts.view.occupancy.count_calls(member.id, self._parts.clock.now()),
            failures=round(self._parts.view.health.share_failed(member.id), 2),
            attempt=len(self._tried),
            left_ms=to_milliseconds(self._time_left()),
        )
        attempt.send(self._dispatch(member), fresh=not route.is_idempotent or len(self._tried) > 1)
        if route.is_idempotent and self._attempts_left > 0:
            self._plan(route.objective * HEDGE_PART, self._hedge)
        return True

    def _resend(self) -> bool:
        return self._take_resend() and self._send(first=False)

    def _hedge(self) -> None:
        is_silent = self._running and all(attempt.head is None for attempt in self._running)
        if self._over or not is_silent or self._attempts_left <= 0:
            return
        if self._resend():
            self._story.tell("hedged", "silent, sent to a second backend server")

    def _wait_for_room(self) -> None:
        waited = self._parts.clock.now() - self._admitted.arrived
        if waited > self._admitted.access.route.objective * ROOM_WAIT_PART:
            self._refuse_for_room("no backend server takes calls")
            return
        self._unreached.clear()
        self._plan(ROOM_PAUSE, self._try_room)

    def _try_room(self) -> None:
        if not self._over:
            self._send(first=True)

    def _pass_on(self, attempt: Attempt, answer: _Answer) -> None:
        head = attempt.head
        if head is None:
            self._fail(AttemptDecision.FAIL_UNKNOWN)
            return
        self._note_first_answer()
        self._story.tell(
            "answered", "answer passed on", member=attempt.member.id, status=head.status
        )
        self._sink.answer(head.status, head.headers, b"".join(answer.body))
        self._finish("answered")

    def _fail(self, verdict: AttemptDecision) -> None:
        if self._failed is not None:
            self._pass_on(*self._failed)
        elif verdict is AttemptDecision.REFUSE_NOT_RUN or not self._may_have_run():
            self._refuse_for_room("backend servers rejected the call")
        else:
            self._refuse(Refusal.BACKEND_LOST, Step.CALL, "answer lost or not whole")

    def _may_have_run(self) -> bool:
        return self._unknown or any(attempt.sent for attempt in self._running)

    def _release(self) -> None:
        for attempt in list(self._running):
            attempt.abandon()
            self._parts.view.occupancy.free(attempt.member.id, 0)
        self._running.clear()
