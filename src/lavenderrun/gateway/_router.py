"""Service ``router``: admits calls of callers and runs them."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final

from lavenderrun.dispatch import Access, GracePeriod, authorize_call, make_fingerprint
from lavenderrun.gateway._boundary import CallBoundary, GuardedCall
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._decode_slot_queue import DecodeSlotQueueService
from lavenderrun.gateway._log import MAX_LOGGED_IDS, to_milliseconds
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._memory import MemoryService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import BackendDialect
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._running_call import (
    LEAVING_RETRY_AFTER,
    AdmittedCall,
    RunningCallBase,
)
from lavenderrun.gateway._stats import CALLS, REFUSALS, Stats
from lavenderrun.gateway._stream_call import StreamCall
from lavenderrun.gateway._suspects import SuspectsService
from lavenderrun.gateway._suspension import SuspensionService
from lavenderrun.gateway._view import FleetView
from lavenderrun.gateway._whole_call import WholeCall
from lavenderrun.http_server import describe_error
from lavenderrun.kernel import Kernel
from lavenderrun.types import (
    CallRoute,
    CallSink,
    CancelReason,
    ClientAccount,
    Delivery,
    GatewayCall,
    Outcome,
    QuotaUnit,
    Refusal,
    Refused,
    RunningCall,
    ServiceGroup,
    Step,
)

NOT_READY_RETRY_AFTER: Final = timedelta(milliseconds=300)
"""Wait advised to a caller while this host cannot tell whether its call is allowed."""

CONFIRMATION_TIME: Final = timedelta(seconds=1)
"""Time that a call is expected to take whose route the store has yet to confirm."""


@dataclass(frozen=True)
class _Departure:
    """A planned stop that has begun; see :meth:`GatewayRouter.leave` for the parameters."""

    find_grace: Callable[[], GracePeriod]
    read_elapsed: Callable[[], timedelta]


MAX_CONFIRMATION_WAIT: Final = timedelta(milliseconds=1500)
"""Longest wait for the store to confirm that a call is not allowed."""

CONFIRMATION_SHARE: Final = 0.5
"""Share of the time that the caller waits within which the store has to confirm."""


class _PendingConfirmation:
    """A call that waits for the store to confirm that it is not allowed.

    :param refuse: refuses the call because this host stops.
    """

    def __init__(self, refuse: Callable[[], RunningCall]) -> None:
        self._refuse = refuse
        self.running: RunningCall | None = None
        self.is_over = False

    def cancel(self, reason: CancelReason = CancelReason.CALLER_GONE) -> None:
        """End the call; one whose caller is there is refused as not run."""
        if self.running is not None:
            self.running.cancel(reason)
        elif not self.is_over:
            self.is_over = True
            if reason is CancelReason.DEPARTURE:
                self._refuse()

    def pause(self) -> None:
        """Stop reading from backend servers, if the call runs already."""
        if self.running is not None:
            self.running.pause()

    def resume(self) -> None:
        """Resume reading from backend servers, if the call runs already."""
        if self.running is not None:
            self.running.resume()


class _RefusedCall:
    """A call that was refused at once; nothing runs."""

    def cancel(self, reason: CancelReason = CancelReason.CALLER_GONE) -> None:
        """Do nothing, because nothing runs."""

    def pause(self) -> None:
        """Do nothing, because nothing is read."""

    def resume(self) -> None:
        """Do nothing, because nothing was paused."""


class GatewayRouter:
    """Finds the account and the route of a call, charges the quota and runs the call."""

    needs: ClassVar[tuple[str, ...]] = (
        "configuration",
        "members",
        "memory",
        "view",
        "seats",
        "suspects",
        "wakes",
    )

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._random = kernel.random_source
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._members = kernel.find("members", MembersService)
        self._stats = kernel.find("stats", Stats)
        self._suspects = kernel.find("suspects", SuspectsService)
        self._services = CallServices(
            kernel.clock,
            kernel.find("pool", ConnectionPool),
            kernel.find("view", FleetView),
            kernel.find("seats", DecodeSlotQueueService),
            kernel.find("backend_dialect", BackendDialect),
            self._stats,
            self._suspects,
            kernel.find("wakes", SuspensionService),
            kernel.random_source,
            kernel.find("memory", MemoryService),
            find_withdrawal=self._find_withdrawal,
        )
        # in order of their arrival, so that the same calls are cancelled in the same order
        self._running: dict[RunningCallBase, None] = {}
        self._pending: dict[_PendingConfirmation, None] = {}
        self._departure: _Departure | None = None
        self._is_closed = False

    @property
    def is_ready(self) -> bool:
        """Whether calls can be served: configuration and backend servers are known."""
        is_known = self._configuration.current is not None and self._members.is_known
        return is_known and self._departure is None

    @property
    def is_leaving(self) -> bool:
        """Whether this host was ordered to stop."""
        return self._departure is not None

    @property
    def running_count(self) -> int:
        """Number of calls that run or wait for the store's confirmation."""
        pending_count = sum(not pending.is_over for pending in self._pending)
        return len(self._running) + pending_count

    def start(self) -> None:
        """Start to watch for prompts that crash servers and for suspensions of this host."""
        self._suspects.watch(self._reject_crashing)
        self._services.suspension.watch(self._note_suspension)

    def stop(self) -> None:
        """Answer the calls that still run."""
        self.answer_remaining()

    def leave(
        self, find_grace: Callable[[], GracePeriod], read_elapsed: Callable[[], timedelta]
    ) -> None:
        """Admit only calls that can end in the grace period; running calls continue.

        :param find_grace: returns the grace period, which may change.
        :param read_elapsed: returns the time since the order to stop.
        """
        self._departure = _Departure(find_grace, read_elapsed)

    def refuse_late(self) -> None:
        """Refuse calls that wait and can't end in the grace period any more."""
        if self._departure is None:
            return
        grace, elapsed = self._departure.find_grace(), self._departure.read_elapsed()
        if not grace.can_end(elapsed, CONFIRMATION_TIME, CONFIRMATION_TIME):
            self._refuse_pending()
        self._for_each_call(lambda running: running.refuse_if_late(elapsed, grace))

    def answer_remaining(self) -> None:
        """Admit no more calls and answer those that have not ended with their true outcome."""
        self._is_closed = True
        self._refuse_pending()
        self._for_each_call(lambda running: running.cancel(CancelReason.DEPARTURE))

    def _refuse_pending(self) -> None:
        for pending in list(self._pending):
            pending.cancel(CancelReason.DEPARTURE)
        self._pending.clear()

    def submit(self, call: GatewayCall, sink: CallSink) -> RunningCall:
        """Admit *call*, or refuse it, and give its answer to *sink*."""
        try:
            return self._submit(call, sink)
        except Exception as error:
            return self._refuse_failed(call, sink, error)

    def _submit(self, call: GatewayCall, sink: CallSink) -> RunningCall:
        if self._is_closed:
            return self._refuse_leaving(call, sink)
        arrived = self._clock.now()
        access = self._authorize(call)
        if isinstance(access, Access):
            return self._admit(call, access, sink, arrived)
        if access is Refusal.NOT_READY:
            return self._refuse(call, sink, access, Step.ADMISSION, NOT_READY_RETRY_AFTER)
        return self._confirm(call, sink, arrived)

    def _confirm(self, call: GatewayCall, sink: CallSink, arrived: datetime) -> RunningCall:
        """Let the store confirm that a call is not allowed, and decide anew."""
        pending = _PendingConfirmation(lambda: self._refuse_leaving(call, sink))
        self._pending[pending] = None

        def decide(confirmed: bool) -> None:
            self._pending.pop(pending, None)
            if pending.is_over:
                return
            pending.is_over = True
            timer.cancel()
            try:
                pending.running = self._decide_after_refresh(
                    call, sink, arrived, confirmed=confirmed
                )
            except Exception as error:
                pending.running = self._refuse_failed(call, sink, error)

        wait = MAX_CONFIRMATION_WAIT
        if call.patience is not None:
            wait = min(wait, call.patience * CONFIRMATION_SHARE)
        timer = self._clock.call_later(wait, decide, False)
        try:
            self._configuration.refresh().addCallback(decide)
        except Exception:
            # the caller of this method answers, so nothing else may
            pending.is_over = True
            self._pending.pop(pending, None)
            timer.cancel()
            raise
        return pending

    def _authorize(self, call: GatewayCall) -> Access | Refusal:
        configuration = self._configuration.current
        if configuration is None:
            return Refusal.NOT_READY
        routes = self._configuration.routes
        return authorize_call(configuration, routes, call.host, call.path, call.key)

    def _find_withdrawal(self, call: GatewayCall) -> Refusal | None:
        access = self._authorize(call)
        return None if isinstance(access, Access) else access

    def _decide_after_refresh(
        self, call: GatewayCall, sink: CallSink, arrived: datetime, *, confirmed: bool
    ) -> RunningCall:
        access = self._authorize(call)
        if isinstance(access, Access):
            return self._admit(call, access, sink, arrived)
        if not confirmed:
            return self._refuse(
                call, sink, Refusal.NOT_READY, Step.ADMISSION, NOT_READY_RETRY_AFTER
            )
        return self._refuse(call, sink, access, Step.ADMISSION, None)

    def _admit(
        self, call: GatewayCall, access: Access, sink: CallSink, arrived: datetime
    ) -> RunningCall:
        patience = access.route.timeout if call.patience is None else call.patience
        deadline = arrived + min(patience, access.route.timeout)
        if self._departure is not None:
            elapsed = self._departure.read_elapsed()
            duration = self._services.durations.estimate(access.route, call.size)
            if not self._departure.find_grace().may_admit(elapsed, duration, deadline - arrived):
                return self._refuse_leaving(
                    call,
                    sink,
                    leaving_ms=to_milliseconds(elapsed),
                    expected_ms=to_milliseconds(duration),
                )
        fingerprint = make_fingerprint(call, access.account.id if access.account else None)
        suspects = self._services.suspects
        if suspects.calls.is_quarantined(fingerprint, arrived):
            release = suspects.calls.find_release(fingerprint, arrived)
            return self._refuse(
                call,
                sink,
                Refusal.QUARANTINED,
                Step.ADMISSION,
                release,
                crashing_call=fingerprint,
            )
        part = suspects.find_crashing_part(call.shared_parts)
        if part is not None:
            release = suspects.parts.find_release(part, arrived)
            return self._refuse(call, sink, Refusal.QUARANTINED, Step.ADMISSION, release, part=part)
        route = access.route
        service = self._choose_service(route)
        if service is None:
            return self._refuse(
                call,
                sink,
                Refusal.NO_ROOM,
                Step.ADMISSION,
                NOT_READY_RETRY_AFTER,
                route=route.name,
            )
        cost = _find_cost(call, access.account)
        if cost and access.account is not None:
            wait = self._services.view.quotas.charge(access.account.id, cost, arrived)
            if wait is not None:
                log_fields = {
                    "account": access.account.id,
                    "cost": cost,
                    **self._services.view.describe_peers(),
                }
                return self._refuse(call, sink, Refusal.OVER_RATE, Step.LIMIT, wait, **log_fields)
        self._services.view.resends.count_call(service, arrived)
        admitted = AdmittedCall(
            call,
            access,
            service,
            cost,
            arrived,
            deadline,
            arrived + patience,
        )
        call_log = CallLog(call, fingerprint)
        call_log.write(
            "admitted",
            "admitted",
            route=route.name,
            service=service,
            account=access.account.id if access.account else None,
            cost=cost,
            parts=call.shared_parts[:MAX_LOGGED_IDS] or None,
            configuration=self._configuration.version,
            patience_ms=to_milliseconds(patience),
            **self._services.view.describe_members(),
        )
        call_class = StreamCall if route.delivery is Delivery.EVENTS else WholeCall
        boundary = CallBoundary()
        services = boundary.guard_services(self._services)
        running = call_class(services, admitted, sink, call_log, self._forget)
        boundary.fail = running.fail
        boundary.is_allowed = running.is_allowed
        self._running[running] = None
        boundary.guard(running.start)()
        return GuardedCall(running, boundary)

    def _reject_crashing(self) -> None:
        self._for_each_call(lambda running: running.reject_if_crashing())

    def _for_each_call(self, act: Callable[[RunningCallBase], None]) -> None:
        """Apply *act* to each running call; an unexpected error ends that call only."""
        for running in list(self._running):
            try:
                act(running)
            except Exception as error:
                running.fail(error)

    def _note_suspension(self) -> None:
        self._services.view.note_stall()

    def _forget(self, running: RunningCallBase) -> None:
        self._running.pop(running, None)

    def _choose_service(self, route: CallRoute) -> ServiceGroup | None:
        """Return a service by the route's weights, ``None`` when none has a weight."""
        choices = [choice for choice in route.services if choice.weight > 0]
        if len(choices) <= 1:
            return choices[0].service if choices else None
        weights = [choice.weight for choice in choices]
        return self._random.choices(choices, weights)[0].service

    def _refuse_failed(self, call: GatewayCall, sink: CallSink, error: Exception) -> RunningCall:
        """Refuse a call whose admission failed unexpectedly; it was not sent."""
        return self._refuse(
            call,
            sink,
            Refusal.INTERNAL,
            Step.ADMISSION,
            NOT_READY_RETRY_AFTER,
            error=describe_error(error),
        )

    def _refuse_leaving(self, call: GatewayCall, sink: CallSink, **log_fields: Any) -> RunningCall:
        return self._refuse(
            call, sink, Refusal.LEAVING, Step.ADMISSION, LEAVING_RETRY_AFTER, **log_fields
        )

    def _refuse(
        self,
        call: GatewayCall,
        sink: CallSink,
        refusal: Refusal,
        step: Step,
        retry_after: timedelta | None,
        **log_fields: Any,
    ) -> RunningCall:
        refused = Refused(refusal, Outcome.NOT_RUN, step, retry_after=retry_after)
        age = self._configuration.age
        call_log = CallLog(
            call,
            configuration=self._configuration.version,
            store_age_ms=None if age is None else to_milliseconds(age),
            **log_fields,
        )
        call_log.log_refusal(refused)
        self._stats.count(REFUSALS, refusal.value, step.value, Outcome.NOT_RUN.value)
        self._stats.count(CALLS, "", "", refusal.value)
        sink.refuse(refused)
        return _RefusedCall()


def _find_cost(call: GatewayCall, account: ClientAccount | None) -> float:
    quota = account.quota if account is not None else None
    if quota is None:
        return 0.0
    if quota.unit is QuotaUnit.REQUESTS:
        return 1.0
    if call.size is None:
        return float(quota.default_cost)
    return float(call.size.prompt + call.size.output)


@GATEWAY_SERVICES.register("router")
def make_router(kernel: Kernel) -> GatewayRouter:
    """Return the service ``router``."""
    return GatewayRouter(kernel)
