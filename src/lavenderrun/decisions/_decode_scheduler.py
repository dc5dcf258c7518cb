"""The seat book of a decode agent: the authority on its engine's seats and KV pieces.

A seat is a lease. It ends with the request, when its entry stays away longer than the grace
period, or at its deadline; whatever order messages arrive in, an attempt that is over never takes
a seat again. The book does no I/O: it takes what happened and returns what is to be done.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from datetime import datetime, timedelta

from lavenderrun.decisions._decode_slot_usage import DecodeSlotUsage
from lavenderrun.decisions._decode_slots import (
    ZERO,
    CancelDecode,
    DecodeAction,
    DecodeSlotLease,
    DecodeSlotRequest,
    DecodeState,
    ForgetAttempt,
    PromiseSlot,
    RefuseDecode,
    StartDecode,
)
from lavenderrun.decisions._estimates import DECODE_STEP_SECONDS, MovingAverage
from lavenderrun.decisions._output_lengths import OutputLengths
from lavenderrun.decisions._promises import PromisePolicy
from lavenderrun.decisions._queue import JobKey, QueuePolicy
from lavenderrun.decisions._tombstones import Tombstones
from lavenderrun.types import AccountId, HostId, LoadReport, Refusal, RouteName

PROMISE_GRACE = timedelta(seconds=2)
READY_GRACE = timedelta(seconds=1)
ENTRY_GRACE = timedelta(seconds=3)
MAX_AHEAD = timedelta(milliseconds=250)
"""Longest lead that a promise looks ahead; more only lengthens the queues at prefill agents."""
MAX_PROMISED = 5
"""Most promises without a start; more would wait at prefill, where none can pass another."""
KEPT_SEATS = 4
"""Seats that an account over its share leaves to the others."""
RECHECK = timedelta(milliseconds=20)


class DecodeScheduler:
    """Seats and pieces of one decode engine, and the line of those who wait for one.

    :param seats: requests that the engine runs at once.
    :param kv_blocks: pieces of KV cache.
    :param queue: makes the line; its argument is the number of seats.
    :param may_promise: when a seat that is not free may be promised.
    """

    def __init__(
        self,
        seats: int,
        kv_blocks: int,
        queue: Callable[[float], QueuePolicy],
        may_promise: PromisePolicy,
    ) -> None:
        self.seats = seats
        self.kv_blocks = kv_blocks
        self.free_kv_blocks = kv_blocks
        self.lengths = OutputLengths()
        self.step = MovingAverage(DECODE_STEP_SECONDS)
        self._queue = queue(float(seats))
        self._may_promise = may_promise
        self._waiting: dict[JobKey, DecodeSlotLease] = {}
        self._taken: dict[JobKey, DecodeSlotLease] = {}
        self._ended = Tombstones()
        self._occupancy = DecodeSlotUsage(seats)

    def estimate_cost(self, route: RouteName, max_tokens: int, lead: timedelta) -> float:
        """Return the seat seconds that a request is expected to hold."""
        return (
            lead.total_seconds() + self.lengths.estimate_length(route, max_tokens) * self.step.value
        )

    def find_state(self, key: JobKey) -> DecodeState | None:
        """Return the state of an attempt that is not over."""
        seat = self._find(key)
        return None if seat is None else seat.state

    def holder(self, key: JobKey) -> HostId | None:
        """Return the entry that an attempt belongs to."""
        seat = self._find(key)
        return None if seat is None else seat.holder

    def list_attempts(self) -> list[JobKey]:
        """Return the attempts that hold a seat or wait for one."""
        return [*self._waiting, *self._taken]

    def load(self) -> LoadReport:
        """Return the load to report."""
        backlog = timedelta(seconds=self._queue.on_time_work / self.seats)
        return LoadReport(
            self.seats, len(self._taken), len(self._waiting), backlog, self.free_kv_blocks
        )

    def reserve(self, request: DecodeSlotRequest, now: datetime) -> list[DecodeAction]:
        """Take a request for a seat; a repeated one is answered again."""
        key = request.job.key
        seat = self._find(key)
        if seat is not None:
            self.rebind(key, request.holder)
            if seat.state is DecodeState.PROMISED:
                return [PromiseSlot(key, request.holder, ZERO)]
            return []
        if key in self._ended:
            return [RefuseDecode(key, request.holder, Refusal.CANCELLED)]
        wait = self._estimate_wait(request)
        fits = request.kv_blocks <= self.kv_blocks
        if not fits or wait > request.job.deadline - now:
            self._ended.add(key, now, started=False)
            return [RefuseDecode(key, request.holder, Refusal.NO_ROOM, wait if fits else ZERO)]
        self._waiting[key] = DecodeSlotLease(request)
        self._occupancy.note(request.job.account, request.job.weight, now)
        self._queue.push(request.job, now)
        return self._assign(now)

    def start(self, key: JobKey, now: datetime) -> list[DecodeAction]:
        """Take the news that the prefill's export is there; unknown attempts stay unknown."""
        seat = self._taken.get(key)
        if seat is None or seat.state is not DecodeState.PROMISED:
            return []
        seat.state = DecodeState.READY
        seat.expires = now + READY_GRACE
        return self._assign(now)

    def progress(self, key: JobKey, tokens: int) -> None:
        """Note how many tokens a running decode has made."""
        seat = self._taken.get(key)
        if seat is not None and tokens > seat.tokens:
            self.lengths.note_progress(seat.request.route, seat.tokens, tokens)
            seat.tokens = tokens

    def end(self, key: JobKey, now: datetime, *, whole: bool) -> list[DecodeAction]:
        """Free the seat of a decode that the engine has ended.

        :param whole: the answer was complete, so its length is learned.
        """
        seat = self._taken.get(key)
        if seat is None or seat.begun is None:
            return []
        if seat.tokens > 1:
            self.step.add((now - seat.begun).total_seconds() / seat.tokens)
        if whole:
            self.lengths.note_end(seat.request.route, seat.tokens)
        self._free(seat, now)
        return self._assign(now)

    def cancel(self, key: JobKey, now: datetime) -> list[DecodeAction]:
        """End an attempt, known or not yet known."""
        seat = self._find(key)
        if seat is None:
            self._ended.add(key, now, started=False)
            return []
        return [*self._end_early(seat, now), *self._assign(now)]

    def revoke(self, key: JobKey, now: datetime) -> tuple[bool, list[DecodeAction]]:
        """Make sure that *key* never starts; tell whether it has."""
        seat = self._find(key)
        if seat is not None and seat.begun is not None:
            return True, []
        started = self._ended.was_started(key)
        return started, self.cancel(key, now)

    def note_lost_entry(self, holder: HostId, now: datetime) -> list[DecodeAction]:
        """Note that the link to an entry is lost; only running decodes outlast it, for a while."""
        actions: list[DecodeAction] = []
        for seat in [*self._waiting.values(), *self._taken.values()]:
            if seat.holder != holder:
                continue
            if seat.begun is None:
                actions += self._end_early(seat, now)
            else:
                seat.orphaned = now + ENTRY_GRACE
        return [*actions, *self._assign(now)]

    def rebind(self, key: JobKey, holder: HostId) -> bool:
        """Bind an attempt to the entry that speaks of it; tell whether it is known."""
        seat = self._find(key)
        if seat is None:
            return False
        seat.holder = holder
        seat.orphaned = None
        return True

    def tick(self, now: datetime) -> list[DecodeAction]:
        """End what has run out and assign what has become free."""
        actions: list[DecodeAction] = []
        for job in self._queue.expire(now):
            seat = self._waiting.pop(job.key)
            self._ended.add(job.key, now, started=False)
            actions.append(RefuseDecode(job.key, seat.holder, Refusal.NO_ROOM))
        for seat in list(self._taken.values()):
            ends_at = seat.ends_at()
            if ends_at is not None and ends_at <= now:
                if seat.begun is None:
                    key = seat.request.job.key
                    actions.append(RefuseDecode(key, seat.holder, Refusal.DEADLINE))
                actions += self._end_early(seat, now)
        return [*actions, *self._assign(now)]

    def next_tick(self, now: datetime) -> datetime | None:
        """Return when :meth:`tick` is due next."""
        instants = [seat.ends_at() for seat in self._taken.values()]
        instants.append(self._queue.next_deadline())
        if self._waiting:
            instants.append(now + RECHECK)
        return min((at for at in instants if at is not None), default=None)

    def _find(self, key: JobKey) -> DecodeSlotLease | None:
        return self._taken.get(key) or self._waiting.get(key)

    def _estimate_wait(self, request: DecodeSlotRequest) -> timedelta:
        if not self._waiting and len(self._taken) < self.seats:
            return ZERO
        return timedelta(seconds=self._queue.work_ahead(request.job) / self.seats)

    def _end_early(self, seat: DecodeSlotLease, now: datetime) -> list[DecodeAction]:
        key = seat.request.job.key
        if seat.begun is not None:
            if seat.state is DecodeState.STOPPING:
                return []
            seat.state = DecodeState.STOPPING
            return [CancelDecode(key)]
        if seat.state is DecodeState.WAITING:
            self._queue.remove(key)
            del self._waiting[key]
            self._ended.add(key, now, started=False)
            return [ForgetAttempt(key)]
        self._free(seat, now)
        return [ForgetAttempt(key)]

    def _free(self, seat: DecodeSlotLease, now: datetime) -> None:
        key = seat.request.job.key
        del self._taken[key]
        self.free_kv_blocks += seat.request.kv_blocks
        self._occupancy.free(seat.request.job.account)
        self._ended.add(key, now, started=seat.begun is not None)

    def _assign(self, now: datetime) -> list[DecodeAction]:
        """Give free seats to those who are ready, then promise to those who wait."""
        actions: list[DecodeAction] = []
        free = self.seats - sum(seat.begun is not None for seat in self._taken.values())
        ready = [seat for seat in self._taken.values() if seat.state is DecodeState.READY]
        # the oldest export is the first to end
        ready.sort(key=lambda seat: seat.expires or now)
        for seat in ready[: max(0, free)]:
            seat.state = DecodeState.RUNNING
            seat.begun, seat.expires = now, None
            actions.append(StartDecode(seat.request.job.key))
        while True:
            excluded = self._find_barred(now)
            waiting = self._next_promised(now, excluded)
            if waiting is None:
                return actions
            self._queue.pop(now, excluded)
            actions.append(self._promise(waiting, now))

    def _next_promised(
        self, now: datetime, excluded: frozenset[AccountId]
    ) -> DecodeSlotLease | None:
        job = self._queue.peek(now, excluded)
        if job is None or job.account in excluded:
            return None
        seat = self._waiting[job.key]
        if seat.request.kv_blocks > self.free_kv_blocks or not self._may_join(seat):
            return None
        wanted = len(self._taken) - self.seats + 1
        promised = sum(other.state is DecodeState.PROMISED for other in self._taken.values())
        if promised >= MAX_PROMISED:
            return None
        lead = min(seat.request.lead, MAX_AHEAD).total_seconds()
        if wanted > 0 and not self._may_promise(wanted, self._chances, lead):
            return None
        return seat

    def _find_barred(self, now: datetime) -> frozenset[AccountId]:
        """Return the accounts that may not have one of the last seats."""
        if len(self._taken) < self.seats - KEPT_SEATS:
            return frozenset()
        over = self._occupancy.find_over_share(now)
        return frozenset(account for account in over if self._queue.has_late_jobs(account))

    def _promise(self, seat: DecodeSlotLease, now: datetime) -> DecodeAction:
        request = seat.request
        key = request.job.key
        del self._waiting[key]
        ready_in = self._expect_free(len(self._taken) - self.seats + 1)
        self._taken[key] = seat
        self.free_kv_blocks -= request.kv_blocks
        self._occupancy.take(request.job.account)
        seat.state = DecodeState.PROMISED
        seat.expires = now + 2 * request.lead + PROMISE_GRACE
        return PromiseSlot(key, seat.holder, ready_in)

    def _expect_free(self, wanted: int) -> timedelta:
        """Return when the *wanted*-th seat is expected to come free."""
        seconds = 0.0
        while wanted > 0 and seconds < READY_GRACE.total_seconds():
            if sum(self._chances(seconds)) >= wanted:
                break
            seconds += RECHECK.total_seconds()
        return timedelta(seconds=seconds)

    def _may_join(self, seat: DecodeSlotLease) -> bool:
        """Tell whether suspects, this one or those that run, allow it to join them."""
        own = seat.request.cohort
        others = [other.request.cohort for other in self._taken.values()]
        if not own:
            return not any(others)
        return all(others) and len(others) < min([own, *others])

    def _chances(self, seconds: float) -> Sequence[float]:
        further = seconds / self.step.value
        return [self._ends_within(seat, further) for seat in self._running()]

    def _ends_within(self, seat: DecodeSlotLease, further: float) -> float:
        if seat.state is DecodeState.STOPPING:
            return 1.0
        request = seat.request
        return self.lengths.estimate_end_probability(
            request.route, request.max_tokens, seat.tokens, further
        )

    def _running(self) -> Iterable[DecodeSlotLease]:
        return (seat for seat in self._taken.values() if seat.begun is not None)
