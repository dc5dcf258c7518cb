"""What calls of both deliveries have in common: deadline, charge, refusals and the end."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch import Access
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._stats import CALLS, FIRST_ANSWER, REFUSALS, RESENDS, WHOLE_ANSWER
from lavenderrun.kernel import Timer
from lavenderrun.types import (
    CallContext,
    CallSink,
    GatewayCall,
    HeldCache,
    Member,
    Outcome,
    Refusal,
    Refused,
    ServiceGroup,
    Step,
)

RETRY_SOON: Final = timedelta(milliseconds=300)
"""When a caller may ask again after a refusal for want of a server: a few calls' time."""

RETRY_SEAT: Final = timedelta(seconds=2)
"""The same for want of a seat: about the time in which a third of the seats turn over."""

LEAST_TIME: Final = timedelta(milliseconds=30)
"""Less time than any call needs; with less no send is tried."""


@dataclass(frozen=True)
class AdmittedCall:
    """A call that may run.

    :param charge: units taken from the account's quota.
    :param deadline: when the final answer is due.
    :param patience_ends: when the caller leaves.
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
        parts: CallServices,
        admitted: AdmittedCall,
        sink: CallSink,
        story: CallLog,
        ended: Callable[[RunningCallBase], None],
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._sink = sink
        self._story = story
        self._ended = ended
        self._over = False
        self._tried: list[Member] = []
        left = admitted.deadline - parts.clock.now()
        self._timers: list[Timer] = [parts.clock.call_later(left, self._reach_deadline)]

    @abstractmethod
    def start(self) -> None:
        """Begin to work on the call."""

    @abstractmethod
    def _release(self) -> None:
        """Drop everything that the call holds."""

    @abstractmethod
    def _may_have_run(self) -> bool:
        """Tell whether a backend server may have begun the call."""

    def cancel(self) -> None:
        """The caller is gone; see ``RunningCall``."""
        if not self._over:
            self._story.tell("cancelled", "caller is gone")
            self._finish("cancelled")

    @abstractmethod
    def pause(self) -> None:
        """Stop reading from backend servers; see ``RunningCall``."""

    @abstractmethod
    def resume(self) -> None:
        """Read on; see ``RunningCall``."""

    @property
    def _attempts_left(self) -> int:
        return self._admitted.access.route.attempts - len(self._tried)

    def _time_left(self) -> timedelta:
        return self._admitted.deadline - self._parts.clock.now()

    def _take_resend(self) -> bool:
        service = self._admitted.service
        taken = self._parts.view.resends.take(service, self._parts.clock.now())
        self._parts.stats.count(RESENDS, service, "taken" if taken else "denied")
        return taken

    def _dispatch(
        self,
        member: Member,
        *,
        cache: HeldCache | None = None,
        prefill_only: bool = False,
        resume_after: str | None = None,
    ) -> CallContext:
        account, route = self._admitted.access.account, self._admitted.access.route
        own_rank = account.rank if account is not None else None
        return CallContext(
            member.id,
            max(timedelta(0), self._admitted.patience_ends - self._parts.clock.now()),
            account.id if account is not None else None,
            route.rank if own_rank is None else own_rank,
            cache,
            prefill_only,
            resume_after,
        )

    def _plan(self, wait: timedelta, call: Callable[[], None]) -> Timer:
        timer = self._parts.clock.call_later(wait, call)
        self._timers.append(timer)
        return timer

    def _reach_deadline(self) -> None:
        if self._over:
            return
        if self._may_have_run():
            self._refuse(Refusal.OUTCOME_UNKNOWN, Step.CALL, "deadline reached")
        else:
            self._refuse(Refusal.DEADLINE, Step.SEAT, "deadline reached")

    def _refuse(
        self, refusal: Refusal, step: Step, detail: str, retry_after: timedelta | None = None
    ) -> None:
        """Give the final refusal; what may have run is never called not run."""
        outcome = Outcome.UNKNOWN if self._may_have_run() else Outcome.NOT_RUN
        peer = self._tried[-1].id if self._tried else ""
        refused = Refused(refusal, outcome, step, peer, retry_after, detail)
        if outcome is Outcome.NOT_RUN:
            self._give_back()
        self._story.tell_refused(refused)
        self._parts.stats.count(REFUSALS, refusal.value, step.value, outcome.value)
        self._release()
        self._sink.refuse(refused)
        self._finish(outcome.value)

    def _refuse_for_room(self, detail: str, retry_after: timedelta = RETRY_SOON) -> None:
        self._refuse(Refusal.NO_ROOM, Step.SEAT, detail, retry_after)

    def _give_back(self) -> None:
        account = self._admitted.access.account
        if account is not None and self._admitted.charge:
            self._parts.view.quotas.refund(account.id, self._admitted.charge)

    def _note_first_answer(self) -> None:
        took = self._parts.clock.now() - self._admitted.arrived
        delivery = self._admitted.access.route.delivery.value
        self._parts.stats.observe(FIRST_ANSWER, took, delivery)

    def _finish(self, outcome: str) -> None:
        if self._over:
            return
        self._over = True
        for timer in self._timers:
            timer.cancel()
        self._release()
        took = self._parts.clock.now() - self._admitted.arrived
        delivery = self._admitted.access.route.delivery.value
        self._parts.stats.count(CALLS, self._admitted.service, delivery, outcome)
        self._parts.stats.observe(WHOLE_ANSWER, took, delivery)
        self._ended(self)
