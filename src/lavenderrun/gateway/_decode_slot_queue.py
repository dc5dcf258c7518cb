"""Service ``seats``: the queue of calls that wait for a decode slot."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import replace
from datetime import datetime, timedelta
from typing import ClassVar, Final

from lavenderrun.dispatch import (
    NO_DEMAND,
    CallRequirements,
    Demand,
    QueuedCall,
    WaitForecast,
    can_start,
    find_rank,
    make_sort_key,
    misses_objective,
    needs_own_engine,
)
from lavenderrun.gateway._log import log, to_milliseconds
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import QUEUED, WAIT_FORECASTS, Stats
from lavenderrun.gateway._view import FleetView
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import BackendId, Member, ServiceGroup

QUEUE_CHECK_INTERVAL: Final = timedelta(milliseconds=50)
"""Time between checks of the queue; freed slots cause further checks, but a slot that a peer report
frees does not."""


class DecodeSlotReservation:
    """A decode slot and memory reserved at a decode engine; freed once.

    Until the stream is sent it counts as a call that is placed there.
    """

    def __init__(
        self,
        slot_queue: DecodeSlotQueueService,
        member: Member,
        tokens: int,
        reserved_at: datetime,
    ) -> None:
        self._slot_queue = slot_queue
        self.member = member
        self.reserved_at = reserved_at
        self._tokens = tokens
        self._is_held = True
        self._is_pending = True
        slot_queue.add_pending(member.id)

    def end_pending(self) -> None:
        """Record that the stream is sent now, or will not be; a second call does nothing."""
        if self._is_pending:
            self._is_pending = False
            self._slot_queue.remove_pending(self.member.id)

    def free(self) -> None:
        """Free the slot and the memory; a second call does nothing."""
        self.end_pending()
        if self._is_held:
            self._is_held = False
            self._slot_queue.free_reservation(self.member.id, self._tokens)


class DecodeSlotWaiter:
    """A call that waits for a decode slot.

    :param on_result: called with the reservation, or with ``None`` when the wait was too long.
    :ivar rejection: the forecast by which the call was rejected, ``None`` for any other reason.
    :ivar on_error: called with an unexpected error, which ends the wait; raised without it.
    """

    def __init__(
        self,
        service: ServiceGroup,
        requirements: CallRequirements,
        queued_call: QueuedCall,
        on_result: Callable[[DecodeSlotReservation | None], None],
    ) -> None:
        self.service = service
        self.requirements = requirements
        self.queued_call = queued_call
        self.on_result = on_result
        self.on_error: Callable[[Exception], None] | None = None
        self.rejection: WaitForecast | None = None
        self.was_late: bool | None = None

    @property
    def demand(self) -> Demand:
        """What the call needs."""
        return Demand(1, self.requirements.tokens)


class DecodeSlotQueueService:
    """Reserves decode slots for waiting calls in the order of ``make_sort_key``."""

    needs: ClassVar[tuple[str, ...]] = ("view",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._view = kernel.find("view", FleetView)
        self._queue: list[DecodeSlotWaiter] = []
        # engines whose freed memory is kept for large calls
        self._kept: dict[DecodeSlotWaiter, DecodeSlotReservation] = {}
        self._timer: Timer | None = None
        self._forecasts: Counter[tuple[str, ...]] = Counter()
        stats = kernel.find("stats", Stats)
        # read at each scrape, so that the page shows that there was none yet
        stats.register_reader(
            WAIT_FORECASTS, lambda: {k: float(n) for k, n in self._forecasts.items()}
        )
        stats.register_reader(QUEUED, lambda: {(): float(len(self._queue))})

    def start(self) -> None:
        """Do nothing, because the queue is checked when calls wait."""

    def stop(self) -> None:
        """Stop checking the queue."""
        if self._timer is not None:
            self._timer.cancel()

    def enqueue(self, waiter: DecodeSlotWaiter) -> None:
        """Reserve a decode slot for the call as soon as there is one."""
        self._queue.append(waiter)
        self._check_queue()
        # a rejected call takes no slot that calls of a lower rank could have
        if not waiter.requirements.tried and waiter.rejection is None:
            rank, tokens = waiter.queued_call.rank, waiter.requirements.tokens
            self._view.note_arrival(waiter.service, rank, tokens)

    def reserve_now(
        self, service: ServiceGroup, requirements: CallRequirements
    ) -> DecodeSlotReservation | None:
        """Reserve a decode slot without waiting, ``None`` when there is none."""
        member = self._view.place(service, "decode", requirements)
        if member is None:
            return None
        self._view.reserve(member.id, requirements.tokens)
        return DecodeSlotReservation(self, member, requirements.tokens, self._clock.now())

    def withdraw(self, waiter: DecodeSlotWaiter) -> None:
        """Remove a call from the queue."""
        if waiter in self._queue:
            self._remove(waiter)
            self._note_waiting()

    def add_pending(self, member: BackendId) -> None:
        """Record a stream that is placed at an engine and will be sent soon."""
        self._view.cold.add_pending(member)

    def remove_pending(self, member: BackendId) -> None:
        """Record that a stream that was placed at an engine is sent now, or will not be."""
        self._view.cold.remove_pending(member)

    def free_reservation(self, member: BackendId, tokens: int) -> None:
        """Free a reservation and check soon which waiting call may have its slot."""
        self._view.free(member, tokens)
        if self._queue:
            self._clock.call_later(timedelta(0), self._check_queue)

    def _check_queue(self) -> None:
        now = self._clock.now()
        ranks = self._list_ranks(now)
        passed_over: dict[ServiceGroup, frozenset[BackendId]] = {}
        for waiter in sorted(
            self._queue,
            key=lambda waiter: make_sort_key(waiter.queued_call, now, ranks[waiter.service]),
        ):
            if waiter not in self._queue:
                continue
            try:
                self._check_waiter(waiter, now, ranks[waiter.service], passed_over)
            except Exception as error:
                self.withdraw(waiter)
                if waiter.on_error is None:
                    raise
                waiter.on_error(error)
        self._note_waiting()
        self._schedule_check()

    def _list_ranks(self, now: datetime) -> dict[ServiceGroup, frozenset[int]]:
        """Return the ranks of which calls wait at any host, by service with calls here."""
        self._view.waiting.drop_stale_reports(now)
        ranks: dict[ServiceGroup, frozenset[int]] = {}
        for waiter in self._queue:
            service = waiter.service
            known = ranks.get(service) or frozenset(self._view.waiting.list_peer_ranks(service))
            ranks[service] = known | {waiter.queued_call.rank}
        return ranks

    def _note_waiting(self) -> None:
        """Tell the view which calls wait, by the ranks by which they are ordered now."""
        now = self._clock.now()
        ranks = self._list_ranks(now)
        waiting: dict[ServiceGroup, dict[int, Demand]] = {}
        for waiter in self._queue:
            # resumed streams, whose rank is negative, count with the highest rank of new ones
            rank = max(0, find_rank(waiter.queued_call, now, ranks[waiter.service]))
            sums = waiting.setdefault(waiter.service, {})
            sums[rank] = sums.get(rank, NO_DEMAND) + waiter.demand
        self._view.note_waiting(waiting)

    def _check_waiter(
        self,
        waiter: DecodeSlotWaiter,
        now: datetime,
        ranks: frozenset[int],
        passed_over: dict[ServiceGroup, frozenset[BackendId]],
    ) -> None:
        """Reserve a slot that no call ahead waits for.

        :param ranks: ranks of the calls that wait at any host.
        :param passed_over: engines that no call ahead may take, of each service with such calls.
        """
        if self._is_hopeless(waiter, now):
            self._remove(waiter)
            waiter.on_result(None)
            return
        tried, allowed = frozenset(waiter.requirements.tried), passed_over.get(waiter.service)
        rank = find_rank(waiter.queued_call, now, ranks)
        member = self._place(waiter, rank, now, allowed)
        if member is not None:
            self._queue.remove(waiter)
            self._view.reserve(member.id, waiter.requirements.tokens)
            waiter.on_result(DecodeSlotReservation(self, member, waiter.requirements.tokens, now))
            return
        self._forecast(waiter, rank, now, ranks)
        if waiter.rejection is not None:
            self._remove(waiter)
            waiter.on_result(None)
            return
        self._keep_engine(waiter, rank, now, ranks)
        passed_over[waiter.service] = tried if allowed is None else allowed & tried

    def _place(
        self,
        waiter: DecodeSlotWaiter,
        rank: int,
        now: datetime,
        allowed: frozenset[BackendId] | None,
    ) -> Member | None:
        """Return the engine that the call may have now, ``None`` without one.

        What is kept for the call is free for it, and is kept on if it is not enough.

        :param allowed: engines that no call ahead waits for, ``None`` for any.
        """
        kept = self._kept.pop(waiter, None)
        if kept is not None:
            self._view.occupancy.free(kept.member.id, waiter.requirements.tokens)
            allowed = None if allowed is None else allowed | {kept.member.id}
        if allowed is not None and not allowed - frozenset(waiter.requirements.tried):
            return None
        requirements = replace(
            waiter.requirements,
            allowed=allowed,
            late=misses_objective(waiter.queued_call, now),
            ahead=self._view.find_demand_ahead(waiter.service, rank),
        )
        member = self._view.place(waiter.service, "decode", requirements)
        if member is None and kept is not None and self._view.takes_calls(kept.member):
            self._view.occupancy.reserve(kept.member.id, waiter.requirements.tokens)
            self._kept[waiter] = kept
        return member

    def _keep_engine(
        self, waiter: DecodeSlotWaiter, rank: int, now: datetime, ranks: frozenset[int]
    ) -> None:
        """Keep what an engine frees for a large call that has waited longest in its rank.

        It is reserved as if the call ran there, so that other hosts place nothing there either.
        """
        service, tokens = waiter.service, waiter.requirements.tokens
        if not self._view.forecasts_waits or any(kept.service == service for kept in self._kept):
            return
        mean_tokens = self._view.find_mean_tokens(service)
        if not needs_own_engine(waiter.queued_call, tokens, mean_tokens, now):
            return
        if any(
            other.service == service
            and other.queued_call.arrived < waiter.queued_call.arrived
            and find_rank(other.queued_call, now, ranks) == rank
            for other in self._queue
        ):
            return
        member = self._view.place(service, "large_decode", waiter.requirements)
        if member is not None:
            self._view.reserve(member.id, tokens)
            self._kept[waiter] = DecodeSlotReservation(self, member, tokens, now)
            log(
                "seats:kept",
                "seats: freed memory of an engine is kept for a large call",
                member=member.id,
                tokens=tokens,
                mean_tokens=round(mean_tokens),
                reserved=self._view.occupancy.sum_reserved_tokens(member.id),
                waited_ms=to_milliseconds(now - waiter.queued_call.arrived),
                **self._view.describe_peers(),
            )

    def _remove(self, waiter: DecodeSlotWaiter) -> None:
        """Remove a call from the queue and free what is kept for it."""
        self._queue.remove(waiter)
        kept = self._kept.pop(waiter, None)
        if kept is not None:
            kept.free()

    def _forecast(
        self, waiter: DecodeSlotWaiter, rank: int, now: datetime, ranks: frozenset[int]
    ) -> None:
        """Reject a new call that is not expected to get a slot in time.

        This is decided when it begins to wait, and when it can no longer meet its objective, since
        other calls pass it from then on.
        """
        if not self._view.forecasts_waits:
            return
        call, is_late = waiter.queued_call, misses_objective(waiter.queued_call, now)
        if waiter.requirements.tried or waiter.was_late is is_late:
            return
        waiter.was_late = is_late
        key = make_sort_key(call, now, ranks)
        ahead = [
            other.demand
            for other in self._queue
            if other.service == waiter.service
            and other is not waiter
            and make_sort_key(other.queued_call, now, ranks) <= key
        ]
        tokens = waiter.requirements.tokens
        forecast = self._view.forecast_wait(
            waiter.service, rank, tokens, sum(ahead, start=NO_DEMAND)
        )
        is_rejected = forecast.is_hopeless(call, now)
        waiter.rejection = forecast if is_rejected else None
        result = "rejected" if is_rejected else "late" if is_late else "waits"
        self._forecasts[waiter.service, str(call.rank), result] += 1

    def _is_hopeless(self, waiter: DecodeSlotWaiter, now: datetime) -> bool:
        if not can_start(waiter.queued_call, now + self._view.find_wait(waiter.service)):
            return True
        if self._view.is_evacuated(waiter.service):
            return True
        tried = waiter.requirements.tried
        # without servers at all their rows may be late; tried ones are never called again
        return bool(tried) and not self._view.has_decode_engine(waiter.service, tried)

    def _schedule_check(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._queue:
            self._timer = self._clock.call_later(QUEUE_CHECK_INTERVAL, self._check_queue)


@GATEWAY_SERVICES.register("seats")
def make_seats(kernel: Kernel) -> DecodeSlotQueueService:
    """Return the service ``seats``."""
    return DecodeSlotQueueService(kernel)
