"""Service ``limits``: rate and burst of each client account, summed over all hosts."""

from __future__ import annotations

from datetime import datetime, timedelta
from random import Random
from typing import ClassVar

from eliot import log_message
from twisted.internet.defer import Deferred, succeed

from lavenderrun.decisions import (
    LIMIT_POLICIES,
    ChargeFailure,
    HostIncarnation,
    RateLimiter,
    RateSliceKeeper,
    RateSliceTerms,
    RefundableCharge,
    make_rate_slice_ids,
)
from lavenderrun.kernel import SERVICES, Clock, Kernel, Timer
from lavenderrun.services._charge_queue import ChargeQueue, QueuedCharge
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.services._loan_exchange import LoanExchange
from lavenderrun.services._policies import PolicyNames
from lavenderrun.services._rate_slice_store import RateSliceStore, find_peers
from lavenderrun.services._standby_leases import StandbyLeaseExchange
from lavenderrun.types import (
    AccountId,
    Charge,
    Document,
    DocumentSource,
    Hello,
    Links,
    Outcome,
    Refusal,
    Refused,
    Step,
    Store,
    TokensGranted,
    TokensReturned,
)

TICK = timedelta(milliseconds=250)
ASK_FIRST = timedelta(milliseconds=40)
ASK_MOST = timedelta(milliseconds=500)
NUMBER_BITS = 40
SEED_BITS = 64


class LimitsService:
    """Charges accounts; see ``Limits``."""

    needs: ClassVar[tuple[str, ...]] = ("store", "links", "document", "record")

    def __init__(self, kernel: Kernel, terms: RateSliceTerms) -> None:
        self._kernel = kernel
        self._clock: Clock = kernel.clock
        self._terms = terms
        self._links = kernel.find("links", Links)
        self._events = EventEmitter.from_kernel(kernel)
        hello: Hello = kernel.settings.hello()
        keeper = RateSliceKeeper(
            HostIncarnation(hello.host, hello.boot),
            make_rate_slice_ids(terms),
            terms,
            self._clock.now(),
        )
        # a source of its own, so that more loans here move no other service's draws
        random_source = Random(kernel.random_source.getrandbits(SEED_BITS))
        self.limiter = RateLimiter(keeper, terms, random_source.getrandbits(NUMBER_BITS))
        store = kernel.find("store", Store)
        self._slots = RateSliceStore(self._clock, store, self.limiter, terms, self._serve_all)
        self._queues: dict[AccountId, ChargeQueue] = {}
        self._loans = LoanExchange(
            self._clock,
            self._links,
            self.limiter,
            terms,
            random_source,
            waited=self._find_waited,
            arrived=self._take_arrival,
        )
        self._vouching = StandbyLeaseExchange(self._clock, self._links, self.limiter, terms)
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to claim slots and to take charges."""
        self._vouching.start()
        self._loans.start()
        self._kernel.find("document", DocumentSource).watch(self._take_document)
        self._tick()

    def stop(self) -> Deferred[None]:
        """Refuse what waits and give all slots up."""
        if self._timer is not None:
            self._timer.cancel()
        for queue in list(self._queues.values()):
            for waiting in queue.drain():
                self._refuse(waiting, Refusal.LEAVING, timedelta(0))
        now = self._clock.now()
        self.limiter.sync(now)
        writes = self.limiter.slice_keeper.plan_release(now)
        self.limiter.sync(now)
        return self._slots.write(writes).addCallback(lambda _: None)

    def charge(
        self, account: AccountId, requests: float, tokens: float, patience: timedelta
    ) -> Deferred[Charge | Refused]:
        """Take from the account's rate; see ``Limits``."""
        now = self._clock.now()
        self.limiter.note_demand(account, tokens, now)
        queue = self._queues.get(account)
        if queue is None:
            result = self._try(account, requests, tokens, now)
            if result is not None:
                return succeed(result)
            queue = self._queues[account] = ChargeQueue()
        wait = self.limiter.find_wait(
            account, queue.requests + requests, queue.tokens + tokens, now
        )
        waiting = QueuedCharge(account, requests, tokens, now, now + patience)
        if wait > patience:
            self._refuse(waiting, Refusal.OVER_RATE, wait)
            self._drop_if_empty(account)
            return waiting.answer
        queue.add(waiting)
        waiting.timer = self._clock.call_later(patience, self._expire, waiting)
        self._pursue(account)
        return waiting.answer

    def refund(self, charge: Charge, tokens: float) -> None:
        """Return unused tokens; see ``Limits``."""
        if not isinstance(charge, RefundableCharge) or tokens <= 0:
            return
        counted = self.limiter.refund(charge, tokens, self._clock.now())
        if counted > 0:
            self._events.emit(TokensReturned(charge.account, 0.0, counted))
            self._serve(charge.account)

    def can_charge(self, account: AccountId) -> bool:
        """Tell whether this host holds, or knows who holds, a part of the account's rate."""
        return self.limiter.holds_slices(account) or self._loans.knows_holder(account)

    def count_waiting(self) -> dict[AccountId, int]:
        """Return how many requests wait for their account's rate."""
        return {account: int(queue.requests) for account, queue in self._queues.items()}

    # charging

    def _try(
        self, account: AccountId, requests: float, tokens: float, now: datetime
    ) -> Charge | Refused | None:
        result = self.limiter.charge(account, requests, tokens, now)
        if isinstance(result, RefundableCharge):
            self._events.emit(TokensGranted(account, requests, tokens))
            return result
        if result is ChargeFailure.BEYOND_BURST:
            detail = "it asks for more than the account's burst"
            return Refused(Refusal.OVER_RATE, Outcome.NOT_RUN, Step.LIMIT, detail=detail)
        if result is ChargeFailure.UNKNOWN_ACCOUNT:
            detail = "the account has no rate on this host"
            return Refused(Refusal.NOT_READY, Outcome.NOT_RUN, Step.LIMIT, detail=detail)
        return None

    def _serve_all(self) -> None:
        for account in list(self._queues):
            self._serve(account)

    def _serve(self, account: AccountId) -> None:
        """Charge those that wait, in order, as far as this host has what they need."""
        queue = self._queues.get(account)
        if queue is None:
            return
        now = self._clock.now()
        while (head := queue.head()) is not None:
            # a host that was paused serves none whose time is over
            if head.deadline <= now:
                self._expire(head)
                continue
            result = self._try(account, head.requests, head.tokens, now)
            if result is None:
                break
            queue.remove(head)
            head.finish(result)
        self._drop_if_empty(account)

    def _pursue(self, account: AccountId) -> None:
        """Serve, or look for what is missing: here later, or at other hosts now."""
        self._serve(account)
        queue = self._queues.get(account)
        head = queue.head() if queue is not None else None
        if queue is None or head is None:
            return
        now = self._clock.now()
        if queue.is_due(now):
            queue.back_off(now, ASK_FIRST, ASK_MOST)
            # the whole queue's need, so that a burst takes few messages
            self._loans.ask(account, queue.requests, queue.tokens, queue.rounds)
        local = self.limiter.find_local_wait(account, head.requests, head.tokens, now)
        pause = queue.find_pause(now)
        queue.plan(self._clock, min(pause, local) if local else pause, self._pursue)

    def _expire(self, waiting: QueuedCharge) -> None:
        queue = self._queues.get(waiting.account)
        if queue is None or not queue.remove(waiting):
            return
        now = self._clock.now()
        wait = self.limiter.find_wait(waiting.account, waiting.requests, waiting.tokens, now)
        self._refuse(waiting, Refusal.OVER_RATE, wait)
        self._drop_if_empty(waiting.account)

    def _refuse(self, waiting: QueuedCharge, refusal: Refusal, retry_after: timedelta) -> None:
        waiting.finish(Refused(refusal, Outcome.NOT_RUN, Step.LIMIT, retry_after=retry_after))

    def _drop_if_empty(self, account: AccountId) -> None:
        queue = self._queues.get(account)
        if queue is not None and queue.head() is None:
            queue.end()
            del self._queues[account]

    # the tick

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK, self._tick)
        now = self._clock.now()
        self.limiter.sync(now)
        peers = find_peers(self._links)
        self._slots.refresh(len(peers) + 1)
        keeper = self.limiter.slice_keeper
        writes = keeper.plan_write(peers, now)
        writes += keeper.plan_release(now, keeper.find_surplus(len(peers), now))
        self.limiter.sync(now)
        if writes:
            self._slots.write(writes)
        self._vouching.ask(now)
        self._loans.tend(now)

    # the document

    def _take_document(self, document: Document) -> None:
        rates = {account.id: account.rate for account in document.accounts}
        self.limiter.apply_rates(rates, self._clock.now())
        for account in [account for account in self._queues if account not in rates]:
            for waiting in self._queues[account].drain():
                self._refuse(waiting, Refusal.UNKNOWN_KEY, timedelta(0))
            self._drop_if_empty(account)
        self._serve_all()

    # what loans need and bring

    def _find_waited(self, account: AccountId) -> timedelta:
        queue = self._queues.get(account)
        head = queue.head() if queue is not None else None
        return self._clock.now() - head.since if head is not None else timedelta(0)

    def _take_arrival(self, account: AccountId, by_loan: bool) -> None:
        queue = self._queues.get(account)
        if queue is None:
            return
        if by_loan:
            queue.fruitful = True
            self._pursue(account)
        else:
            self._serve(account)


@SERVICES.register("limits")
def make_limits(kernel: Kernel) -> LimitsService:
    """Make the service with the policy that the settings name."""
    terms = LIMIT_POLICIES.find(PolicyNames.from_kernel(kernel).limits)
    log_message("limits:policy", text="limits: policy is set", slots=terms.slices)
    return LimitsService(kernel, terms)
