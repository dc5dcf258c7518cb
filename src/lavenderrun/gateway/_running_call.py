"""What whole and streamed calls have in common: deadline, charge, refusals and the end."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from functools import partial
from typing import Final

from lavenderrun.dispatch import MIN_SERVICE_TIME, Access, GracePeriod
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._stats import (
    CALLS,
    DEPARTURE_ENDS,
    FIRST_ANSWER,
    REFUSALS,
    RESENDS,
    WHOLE_ANSWER,
)
from lavenderrun.http_server import describe_error
from lavenderrun.kernel import Timer
from lavenderrun.types import (
    CallContext,
    CallSink,
    CancelReason,
    GatewayCall,
    HeldCache,
    HoldId,
    Member,
    Outcome,
    Refusal,
    Refused,
    ServiceGroup,
    Step,
)

RETRY_AFTER_NO_SERVER: Final = timedelta(milliseconds=300)
"""Wait advised to a caller when no server takes its call: the duration of a few calls."""

RETRY_AFTER_NO_SLOT: Final = timedelta(seconds=2)
"""Wait advised without a free decode slot: about the time in which a third of the slots free up."""

LEAVING_RETRY_AFTER: Final = timedelta(milliseconds=50)
"""Wait advised to a caller while this host stops: another host can serve it at once."""

MIN_SEND_TIME: Final = MIN_SERVICE_TIME


@dataclass(frozen=True)
class AdmittedCall:
    """A call that may run.

    :param charge: units charged to the account's quota.
    :param deadline: time at which the final answer is due.
    :param patience_ends: time at which the caller gives up.
    """

    call: GatewayCall
    access: Access
    service: ServiceGroup
    charge: float
    arrived: datetime
    deadline: datetime
    patience_ends: datetime


class RunningCallBase(ABC):
    """A call between its admission and its end."""

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        sink: CallSink,
        call_log: CallLog,
        on_end: Callable[[RunningCallBase], None],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._sink = sink
        self._call_log = call_log
        self._on_end = on_end
        self._is_over = False
        self._has_progressed = False
        self._tried_servers: list[Member] = []
        left = admitted.deadline - services.clock.now()
        self._timers: list[Timer] = [services.clock.call_later(left, self._reach_deadline)]

    @abstractmethod
    def start(self) -> None:
        """Begin to work on the call."""

    @abstractmethod
    def _release(self) -> None:
        """Release everything that the call holds."""

    @abstractmethod
    def _may_have_run(self) -> bool:
        """Tell whether a backend server may have begun the call."""

    def cancel(self, reason: CancelReason = CancelReason.CALLER_GONE) -> None:
        """End the call; one whose caller is there is answered with its true outcome."""
        if self._is_over:
            return
        if reason is CancelReason.DEPARTURE:
            self._end_at_departure()
            return
        self._call_log.write("cancelled", "caller is gone", reason=reason.value)
        self._finish("cancelled")

    def _end_at_departure(self) -> None:
        reason = CancelReason.DEPARTURE.value
        if self._is_begun():
            self._count_departure("cut")
            self.cut(reason)
        elif self._may_have_run():
            self._count_departure(Outcome.UNKNOWN.value)
            self._refuse(Refusal.LEAVING, Step.CALL, reason)
        else:
            self._count_departure(Outcome.NOT_RUN.value)
            self._refuse(Refusal.LEAVING, Step.SEAT, reason, LEAVING_RETRY_AFTER)

    def _count_departure(self, outcome: str) -> None:
        delivery = self._admitted.access.route.delivery.value
        self._services.stats.count(DEPARTURE_ENDS, self._admitted.service, delivery, outcome)

    def _is_begun(self) -> bool:
        """Tell whether a part of the answer has been passed on."""
        return False

    def cut(self, detail: str) -> None:
        """Break off an answer that has begun, so that it can't look complete."""
        self._call_log.write("cut", "answer cut off", detail=detail, **self._describe_progress())
        self._release()
        self._sink.abort()
        self._finish("cut")

    def _describe_progress(self) -> dict[str, str | None]:
        """Return the fields of a log line that say how far the answer has come."""
        return {}

    def refuse_if_late(self, elapsed: timedelta, grace: GracePeriod) -> None:
        """Refuse a call that waits if it can't end in the grace period any more.

        :param elapsed: time since this host was ordered to stop.
        """
        if self._is_over or not self._is_waiting():
            return
        route = self._admitted.access.route
        duration = self._services.durations.estimate(route, self._admitted.call.size)
        if not grace.can_end(elapsed, duration, self._time_left()):
            self._end_at_departure()

    def is_allowed(self) -> bool:
        """Tell whether the call may be sent by the newest configuration known.

        A call that may have run goes on although its route or key is gone.
        """
        return self._may_have_run() or self._find_withdrawal() is None

    def _find_withdrawal(self) -> Refusal | None:
        return self._services.find_withdrawal(self._admitted.call)

    def _refuse_if_withdrawn(self) -> bool:
        """Refuse a call that has waited while its route or key was withdrawn; return whether."""
        withdrawal = None if self._may_have_run() else self._find_withdrawal()
        if withdrawal is None:
            return False
        self._refuse(withdrawal, Step.ADMISSION, "withdrawn by a newer configuration")
        return True

    def _is_waiting(self) -> bool:
        """Tell whether nothing has begun on the call, at this host or at a backend server."""
        return not self._may_have_run()

    def fail(self, error: Exception) -> None:
        """End the call after an unexpected error in its handling, and release what it holds."""
        self._call_log.write("failed", "unexpected error", error=describe_error(error))
        if self._is_over:
            return
        # a server that was tried may have run the call, whatever is known of its answer
        outcome = Outcome.UNKNOWN if self._tried_servers else Outcome.NOT_RUN
        refused = Refused(Refusal.INTERNAL, outcome, Step.CALL, detail="unexpected error")
        steps: list[Callable[[], None]] = [
            self._release,
            partial(self._call_log.log_refusal, refused),
            partial(
                self._services.stats.count,
                REFUSALS,
                refused.refusal.value,
                refused.step.value,
                outcome.value,
            ),
            partial(self._sink.refuse, refused),
            partial(self._finish, outcome.value),
        ]
        if outcome is Outcome.NOT_RUN:
            steps.insert(0, self._refund)
        for step in steps:
            try:
                step()
            except Exception as further:
                self._call_log.write("failed", "unexpected error", error=describe_error(further))

    def reject_if_crashing(self) -> None:
        """End the call if its prompt crashes servers and it has not begun to be answered."""
        if self._is_over or self._has_progressed:
            return
        part = self._services.suspects.find_crashing_part(self._admitted.call.shared_parts)
        if part is None:
            return
        self._call_log.write("withdrawn", "a part of the prompt crashes servers", part=part)
        release = self._services.suspects.parts.find_release(part, self._services.clock.now())
        self._reject_crashing(release)

    def _reject_crashing(self, release: timedelta) -> None:
        self._refuse(
            Refusal.QUARANTINED, Step.SEAT, "a part of the prompt crashes servers", release
        )

    @abstractmethod
    def pause(self) -> None:
        """Stop reading from backend servers, because the caller does not read."""

    @abstractmethod
    def resume(self) -> None:
        """Resume reading from backend servers."""

    @property
    def _attempts_left(self) -> int:
        return self._admitted.access.route.attempts - len(self._tried_servers)

    def _time_left(self) -> timedelta:
        return self._admitted.deadline - self._services.clock.now()

    def _take_resend(self) -> bool:
        service = self._admitted.service
        taken = self._services.view.resends.take(service, self._services.clock.now())
        self._services.stats.count(RESENDS, service, "taken" if taken else "denied")
        return taken

    def _make_context(
        self,
        member: Member,
        *,
        cache: HeldCache | None = None,
        prefill_only: bool = False,
        resume_after: str | None = None,
        hold: HoldId | None = None,
    ) -> CallContext:
        account = self._admitted.access.account
        return CallContext(
            member.id,
            max(timedelta(0), self._admitted.patience_ends - self._services.clock.now()),
            account.id if account is not None else None,
            self._admitted.access.backend_rank,
            cache,
            prefill_only,
            resume_after,
            hold,
        )

    def _schedule(self, wait: timedelta, call: Callable[[], None]) -> Timer:
        timer = self._services.clock.call_later(wait, call)
        self._timers.append(timer)
        return timer

    def _reach_deadline(self) -> None:
        if self._is_over:
            return
        if self._may_have_run():
            self._observe_duration()
            self._refuse(Refusal.OUTCOME_UNKNOWN, Step.CALL, "deadline reached")
        else:
            retry_after = self._services.view.advise_return(self._admitted.service)
            retry_after = max(RETRY_AFTER_NO_SERVER, retry_after)
            self._refuse(Refusal.DEADLINE, Step.SEAT, "deadline reached", retry_after)

    def _refuse(
        self, refusal: Refusal, step: Step, detail: str, retry_after: timedelta | None = None
    ) -> None:
        """Send the final refusal; a call that may have run is never reported as not run."""
        outcome = Outcome.UNKNOWN if self._may_have_run() else Outcome.NOT_RUN
        peer = self._tried_servers[-1].id if self._tried_servers else ""
        refused = Refused(refusal, outcome, step, peer, retry_after, detail)
        if outcome is Outcome.NOT_RUN:
            self._refund()
        self._call_log.log_refusal(refused)
        self._services.stats.count(REFUSALS, refusal.value, step.value, outcome.value)
        self._release()
        self._sink.refuse(refused)
        self._finish(outcome.value)

    def _refuse_without_capacity(
        self,
        detail: str,
        retry_after: timedelta = RETRY_AFTER_NO_SERVER,
        max_retry_after: timedelta = timedelta.max,
    ) -> None:
        notices = self._services.view.describe_notices(self._admitted.service)
        if notices:
            self._call_log.write("notices", "backend servers want no calls", notices=notices)
        rest = self._services.view.advise_return(self._admitted.service)
        self._refuse(
            Refusal.NO_ROOM, Step.SEAT, detail, min(max_retry_after, max(retry_after, rest))
        )

    def _refund(self) -> None:
        account = self._admitted.access.account
        if account is not None and self._admitted.charge:
            self._services.view.quotas.refund(account.id, self._admitted.charge)

    def _observe_first_answer(self) -> None:
        took = self._services.clock.now() - self._admitted.arrived
        delivery = self._admitted.access.route.delivery.value
        self._services.stats.observe(FIRST_ANSWER, took, delivery)

    def _observe_duration(self) -> None:
        took = self._services.clock.now() - self._admitted.arrived
        route = self._admitted.access.route
        size, first_event = self._admitted.call.size, self._find_first_event()
        self._services.durations.observe(route, size, took, first_event)

    def _log_misleading(self, attempt: Attempt) -> None:
        """Log that an answer is replaced, because its status denies that the call has run."""
        if attempt.head is not None:
            self._call_log.write(
                "replaced",
                "failure replaced, its status denies that the call has run",
                member=attempt.member.id,
                status=attempt.head.status,
            )

    def _find_first_event(self) -> timedelta | None:
        """Return the time to the first event, ``None`` without one."""
        return None

    def _finish(self, outcome: str) -> None:
        if self._is_over:
            return
        if outcome == "answered":
            self._observe_duration()
        self._is_over = True
        for timer in self._timers:
            timer.cancel()
        try:
            self._release()
        finally:
            took = self._services.clock.now() - self._admitted.arrived
            delivery = self._admitted.access.route.delivery.value
            self._services.stats.count(CALLS, self._admitted.service, delivery, outcome)
            self._services.stats.observe(WHOLE_ANSWER, took, delivery)
            self._on_end(self)
