"""Scheduler of a decode agent, which alone assigns the decode slots and KV blocks of its engine.

An attempt holds a decode slot by a lease. The lease ends with the request, at its deadline, or
when the link to its entry stays lost for longer than the grace period. In whatever order messages
arrive, an attempt that has ended never gets a slot again. The scheduler does no I/O: its methods
take events and return the actions to carry out.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from datetime import datetime, timedelta

from lavenderrun.decisions._decode_slot_usage import DecodeSlotUsage
from lavenderrun.decisions._decode_slots import (
    ALONE,
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
from lavenderrun.decisions._estimates import DECODE_STEP_SECONDS
from lavenderrun.decisions._output_lengths import OutputLengths
from lavenderrun.decisions._promises import PromisePolicy
from lavenderrun.decisions._queue import JobKey, QueuePolicy
from lavenderrun.decisions._tombstones import Tombstones
from lavenderrun.estimates import MovingAverage
from lavenderrun.types import AccountId, HostId, LoadReport, Refusal, RouteName

PROMISE_GRACE = timedelta(seconds=2)
"""Time for the start message beyond twice the expected time of prefill and transfer."""
READY_GRACE = timedelta(seconds=1)
"""How long an attempt whose export is ready may wait for its slot."""
ENTRY_GRACE = timedelta(seconds=3)
"""How long a running decode continues after the link to its entry is lost."""
MAX_PROMISE_LEAD = timedelta(milliseconds=250)
"""Longest lead time that a promise assumes; more only lengthens the queues at prefill agents."""
MAX_PROMISED = 5
"""Most promises without a start message; more would wait at prefill agents in a fixed order."""
RESERVED_SLOTS = 4
"""Last free slots that an account over its share may not take while it has late jobs."""
RECHECK_INTERVAL = timedelta(milliseconds=20)
MAX_SUSPECT_WAIT = timedelta(seconds=2)
"""Wait after which a suspect is next; until it starts, no other request joins those that run.
It counts from the end of the suspect before it, so that other requests have their turn."""


class DecodeScheduler:
    """Decode slots and KV blocks of one engine, and the queue of attempts that wait for a slot.

    :param slots: requests that the engine runs at once.
    :param kv_blocks: KV blocks of the engine.
    :param queue: builds the queue; its argument is the number of slots.
    :param may_promise: decides whether a slot that is still in use may be promised.
    """

    def __init__(
        self,
        slots: int,
        kv_blocks: int,
        queue: Callable[[float], QueuePolicy],
        may_promise: PromisePolicy,
    ) -> None:
        self.slots = slots
        self.kv_blocks = kv_blocks
        self.free_kv_blocks = kv_blocks
        self.lengths = OutputLengths()
        self.step_seconds = MovingAverage(DECODE_STEP_SECONDS)
        self._queue = queue(float(slots))
        self._may_promise = may_promise
        self._waiting: dict[JobKey, DecodeSlotLease] = {}
        self._waiting_suspects: dict[JobKey, DecodeSlotLease] = {}
        self._suspects_ended: datetime | None = None
        self._taken: dict[JobKey, DecodeSlotLease] = {}
        self._ended = Tombstones()
        self._usage = DecodeSlotUsage(slots)

    def estimate_cost(self, route: RouteName, max_tokens: int, lead: timedelta) -> float:
        """Return the slot seconds that a request is expected to use, its lead time included."""
        return (
            lead.total_seconds()
            + self.lengths.estimate_length(route, max_tokens) * self.step_seconds.value
        )

    def find_state(self, key: JobKey) -> DecodeState | None:
        """Return the state of an attempt, ``None`` when it has ended or is unknown."""
        lease = self._find(key)
        return None if lease is None else lease.state

    def holder(self, key: JobKey) -> HostId | None:
        """Return the entry of an attempt, ``None`` when the attempt has ended or is unknown."""
        lease = self._find(key)
        return None if lease is None else lease.holder

    def list_attempts(self) -> list[JobKey]:
        """Return the attempts that hold a decode slot or wait for one."""
        return [*self._waiting, *self._taken]

    def load(self) -> LoadReport:
        """Return the load report of the engine."""
        backlog = timedelta(seconds=self._queue.on_time_work / self.slots)
        return LoadReport(
            self.slots, len(self._taken), len(self._waiting), backlog, self.free_kv_blocks
        )

    def reserve(self, request: DecodeSlotRequest, now: datetime) -> list[DecodeAction]:
        """Queue or refuse a request for a decode slot; a repeated one gets its promise again."""
        key = request.job.key
        lease = self._find(key)
        if lease is not None:
            self.rebind(key, request.holder)
            if lease.state is DecodeState.PROMISED:
                return [PromiseSlot(key, request.holder, ZERO)]
            return []
        if key in self._ended:
            return [RefuseDecode(key, request.holder, Refusal.CANCELLED)]
        wait = self._estimate_wait(request)
        fits = request.kv_blocks <= self.kv_blocks
        if not fits or wait > request.job.deadline - now:
            self._ended.add(key, now, started=False)
            return [RefuseDecode(key, request.holder, Refusal.NO_ROOM, wait if fits else ZERO)]
        lease = self._waiting[key] = DecodeSlotLease(request, now)
        if request.cohort:
            self._waiting_suspects[key] = lease
        self._usage.note(request.job.account, request.job.weight, now)
        self._queue.push(request.job, now)
        return self._assign(now)

    def start(self, key: JobKey, now: datetime) -> list[DecodeAction]:
        """Mark a promised attempt as ready, now that its export is; ignore any other attempt."""
        lease = self._taken.get(key)
        if lease is None or lease.state is not DecodeState.PROMISED:
            return []
        lease.state = DecodeState.READY
        lease.expires = now + READY_GRACE
        return self._assign(now)

    def progress(self, key: JobKey, tokens: int) -> None:
        """Record how many tokens a running decode has produced."""
        lease = self._taken.get(key)
        if lease is not None and tokens > lease.tokens:
            self.lengths.note_progress(lease.request.route, lease.tokens, tokens)
            lease.tokens = tokens
            if lease.cohort != ALONE:
                # it crashes no server before its first token, of which it was suspected
                lease.cohort = 0

    def end(self, key: JobKey, now: datetime, *, whole: bool) -> list[DecodeAction]:
        """Free the slot of a decode that has ended on the engine.

        :param whole: the answer is complete, so its length counts for estimates.
        """
        lease = self._taken.get(key)
        if lease is None or lease.started_at is None:
            return []
        if lease.tokens > 1:
            self.step_seconds.add((now - lease.started_at).total_seconds() / lease.tokens)
        if whole:
            self.lengths.note_end(lease.request.route, lease.tokens)
        self._free(lease, now)
        return self._assign(now)

    def cancel(self, key: JobKey, now: datetime) -> list[DecodeAction]:
        """End an attempt; one that is not yet known is refused when its request arrives."""
        lease = self._find(key)
        if lease is None:
            self._ended.add(key, now, started=False)
            return []
        return [*self._end_attempt(lease, now), *self._assign(now)]

    def revoke(self, key: JobKey, now: datetime) -> tuple[bool, list[DecodeAction]]:
        """Make sure that *key* never starts; return whether it has started, and the actions."""
        lease = self._find(key)
        if lease is not None and lease.started_at is not None:
            return True, []
        started = self._ended.was_started(key)
        return started, self.cancel(key, now)

    def note_lost_entry(self, holder: HostId, now: datetime) -> list[DecodeAction]:
        """End the attempts of an entry whose link is lost; running decodes get a grace period."""
        actions: list[DecodeAction] = []
        for lease in [*self._waiting.values(), *self._taken.values()]:
            if lease.holder != holder:
                continue
            if lease.started_at is None:
                actions += self._end_attempt(lease, now)
            else:
                lease.orphaned = now + ENTRY_GRACE
        return [*actions, *self._assign(now)]

    def rebind(self, key: JobKey, holder: HostId) -> bool:
        """Bind an attempt to the entry *holder*; return whether the attempt is known."""
        lease = self._find(key)
        if lease is None:
            return False
        lease.holder = holder
        lease.orphaned = None
        return True

    def tick(self, now: datetime) -> list[DecodeAction]:
        """End waits and leases whose time is up and assign the slots that are free."""
        actions: list[DecodeAction] = []
        for job in self._queue.expire(now):
            lease = self._drop_waiting(job.key)
            self._ended.add(job.key, now, started=False)
            actions.append(RefuseDecode(job.key, lease.holder, Refusal.NO_ROOM))
        for lease in list(self._taken.values()):
            end = lease.find_end()
            if end is not None and end <= now:
                if lease.started_at is None:
                    key = lease.request.job.key
                    actions.append(RefuseDecode(key, lease.holder, Refusal.DEADLINE))
                actions += self._end_attempt(lease, now)
        return [*actions, *self._assign(now)]

    def next_tick(self, now: datetime) -> datetime | None:
        """Return when :meth:`tick` must be called next, ``None`` for not at all."""
        instants = [lease.find_end() for lease in self._taken.values()]
        instants.append(self._queue.next_deadline())
        if self._waiting:
            instants.append(now + RECHECK_INTERVAL)
        return min((at for at in instants if at is not None), default=None)

    def _find(self, key: JobKey) -> DecodeSlotLease | None:
        return self._taken.get(key) or self._waiting.get(key)

    def _estimate_wait(self, request: DecodeSlotRequest) -> timedelta:
        if not self._waiting and len(self._taken) < self.slots:
            return ZERO
        return timedelta(seconds=self._queue.work_ahead(request.job) / self.slots)

    def _end_attempt(self, lease: DecodeSlotLease, now: datetime) -> list[DecodeAction]:
        key = lease.request.job.key
        if lease.started_at is not None:
            if lease.state is DecodeState.STOPPING:
                return []
            lease.state = DecodeState.STOPPING
            return [CancelDecode(key)]
        if lease.state is DecodeState.WAITING:
            self._queue.remove(key)
            self._drop_waiting(key)
            self._ended.add(key, now, started=False)
            return [ForgetAttempt(key)]
        self._free(lease, now)
        return [ForgetAttempt(key)]

    def _drop_waiting(self, key: JobKey) -> DecodeSlotLease:
        self._waiting_suspects.pop(key, None)
        return self._waiting.pop(key)

    def _free(self, lease: DecodeSlotLease, now: datetime) -> None:
        key = lease.request.job.key
        if lease.request.cohort:
            self._suspects_ended = now
        del self._taken[key]
        self.free_kv_blocks += lease.request.kv_blocks
        self._usage.free(lease.request.job.account)
        self._ended.add(key, now, started=lease.started_at is not None)

    def _assign(self, now: datetime) -> list[DecodeAction]:
        """Start ready attempts on free slots, then promise slots to waiting attempts."""
        actions: list[DecodeAction] = []
        free = self.slots - sum(lease.started_at is not None for lease in self._taken.values())
        ready = [lease for lease in self._taken.values() if lease.state is DecodeState.READY]
        # the export that was ready first expires first
        ready.sort(key=lambda lease: lease.expires or now)
        for lease in ready[: max(0, free)]:
            lease.state = DecodeState.RUNNING
            lease.started_at, lease.expires = now, None
            actions.append(StartDecode(lease.request.job.key))
        while True:
            excluded = self._find_excluded(now)
            waiting = self._find_promisable(now, excluded)
            if waiting is None:
                return actions
            if waiting is self._find_overdue_suspect(now):
                self._queue.remove(waiting.request.job.key)
            else:
                self._queue.pop(now, excluded)
            actions.append(self._promise(waiting, now))

    def _find_promisable(
        self, now: datetime, excluded: frozenset[AccountId]
    ) -> DecodeSlotLease | None:
        lease = self._find_overdue_suspect(now) or self._find_next(now, excluded)
        if lease is None:
            return None
        if lease.request.kv_blocks > self.free_kv_blocks or not self._allows_suspects(lease):
            return None
        wanted = len(self._taken) - self.slots + 1
        promised = sum(other.state is DecodeState.PROMISED for other in self._taken.values())
        if promised >= MAX_PROMISED:
            return None
        lead = min(lease.request.lead, MAX_PROMISE_LEAD).total_seconds()
        if wanted > 0 and not self._may_promise(wanted, self._estimate_end_probabilities, lead):
            return None
        return lease

    def _find_next(self, now: datetime, excluded: frozenset[AccountId]) -> DecodeSlotLease | None:
        job = self._queue.peek(now, excluded)
        if job is None or job.account in excluded:
            return None
        return self._waiting[job.key]

    def _find_overdue_suspect(self, now: datetime) -> DecodeSlotLease | None:
        """Return the suspect that has waited longest, if that is longer than the bound.

        A steady load of other requests would otherwise keep suspects out until their deadline;
        they get as long between two suspects.
        """
        lease = next(iter(self._waiting_suspects.values()), None)
        if lease is None:
            return None
        since = max(lease.waits_since, self._suspects_ended or lease.waits_since)
        return lease if now - since >= MAX_SUSPECT_WAIT else None

    def _find_excluded(self, now: datetime) -> frozenset[AccountId]:
        """Return the accounts that may not take one of the last free slots."""
        if len(self._taken) < self.slots - RESERVED_SLOTS:
            return frozenset()
        over = self._usage.find_over_share(now)
        return frozenset(account for account in over if self._queue.has_late_jobs(account))

    def _promise(self, lease: DecodeSlotLease, now: datetime) -> DecodeAction:
        request = lease.request
        key = request.job.key
        self._drop_waiting(key)
        ready_in = self._estimate_free_in(len(self._taken) - self.slots + 1)
        self._taken[key] = lease
        self.free_kv_blocks -= request.kv_blocks
        self._usage.take(request.job.account)
        lease.state = DecodeState.PROMISED
        lease.expires = now + 2 * request.lead + PROMISE_GRACE
        return PromiseSlot(key, lease.holder, ready_in)

    def _estimate_free_in(self, wanted: int) -> timedelta:
        """Return the time until the *wanted*-th slot is expected to be free."""
        seconds = 0.0
        while wanted > 0 and seconds < READY_GRACE.total_seconds():
            if sum(self._estimate_end_probabilities(seconds)) >= wanted:
                break
            seconds += RECHECK_INTERVAL.total_seconds()
        return timedelta(seconds=seconds)

    def _allows_suspects(self, lease: DecodeSlotLease) -> bool:
        """Return whether an attempt may join under its own limit on suspects and the others'."""
        own = lease.request.cohort
        suspects = [other.cohort for other in self._taken.values() if other.cohort]
        if own == ALONE:
            return not self._taken
        return ALONE not in suspects and (not own or len(suspects) < min([own, *suspects]))

    def _estimate_end_probabilities(self, seconds: float) -> Sequence[float]:
        more_tokens = seconds / self.step_seconds.value
        return [
            self._estimate_end_probability(lease, more_tokens) for lease in self._find_running()
        ]

    def _estimate_end_probability(self, lease: DecodeSlotLease, more_tokens: float) -> float:
        if lease.state is DecodeState.STOPPING:
            return 1.0
        request = lease.request
        return self.lengths.estimate_end_probability(
            request.route, request.max_tokens, lease.tokens, more_tokens
        )

    def _find_running(self) -> Iterable[DecodeSlotLease]:
        return (lease for lease in self._taken.values() if lease.started_at is not None)
