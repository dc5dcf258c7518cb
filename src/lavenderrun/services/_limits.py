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

TICK_INTERVAL = timedelta(milliseconds=250)
FIRST_LOAN_PAUSE = timedelta(milliseconds=40)
MAX_LOAN_PAUSE = timedelta(milliseconds=500)
LOAN_NUMBER_BITS = 40
SEED_BITS = 64


class LimitsService:
    """Implements ``Limits`` with this host's rate slices, loans and queues of charges."""

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
        # a separate generator, so that loans don't change the random numbers of other services
        random_source = Random(kernel.random_source.getrandbits(SEED_BITS))
        self.limiter = RateLimiter(keeper, terms, random_source.getrandbits(LOAN_NUMBER_BITS))
        store = kernel.find("store", Store)
        self._slice_store = RateSliceStore(self._clock, store, self.limiter, terms, self._serve_all)
        self._queues: dict[AccountId, ChargeQueue] = {}
        self._loans = LoanExchange(
            self._clock,
            self._links,
            self.limiter,
            terms,
            random_source,
            find_waiting_time=self._find_waiting_time,
            on_tokens_received=self._handle_tokens_received,
        )
        self._standby_leases = StandbyLeaseExchange(self._clock, self._links, self.limiter, terms)
        self._timer: Timer | None = None

    def start(self) -> None:
        """Subscribe to messages and the document, and start to claim rate slices."""
        self._standby_leases.start()
        self._loans.start()
        self._kernel.find("document", DocumentSource).watch(self._apply_document)
        self._tick()

    def stop(self) -> Deferred[None]:
        """Refuse the charges that wait and release all rate slices."""
        if self._timer is not None:
            self._timer.cancel()
        for queue in list(self._queues.values()):
            for queued in queue.drain():
                self._refuse(queued, Refusal.LEAVING, timedelta(0))
        now = self._clock.now()
        self.limiter.sync(now)
        writes = self.limiter.slice_keeper.plan_release(now)
        self.limiter.sync(now)
        return self._slice_store.write(writes).addCallback(lambda _: None)

    def charge(
        self, account: AccountId, requests: float, tokens: float, patience: timedelta
    ) -> Deferred[Charge | Refused]:
        """Charge the account's rate, or queue the charge until the rate allows it.

        :param patience: longest wait; a charge that would take longer is refused at once.
        """
        now = self._clock.now()
        self.limiter.note_demand(account, tokens, now)
        queue = self._queues.get(account)
        if queue is None:
            result = self._try_charge(account, requests, tokens, now)
            if result is not None:
                return succeed(result)
            queue = self._queues[account] = ChargeQueue()
        elif not tokens and self.limiter.covers(account, queue.requests + requests, 0.0, now):
            result = self._try_charge(account, requests, tokens, now)
            if result is not None:
                return succeed(result)
        # a charge without tokens does not wait for those of the charges before it
        needed_tokens = queue.tokens + tokens if tokens else 0.0
        wait = self.limiter.find_wait(account, queue.requests + requests, needed_tokens, now)
        queued = QueuedCharge(account, requests, tokens, now, now + patience)
        if wait > patience:
            self._refuse(queued, Refusal.OVER_RATE, wait)
            self._drop_if_empty(account)
            return queued.answer
        queue.add(queued)
        queued.timer = self._clock.call_later(patience, self._expire, queued)
        self._serve_or_borrow(account)
        return queued.answer

    def refund(self, charge: Charge, tokens: float) -> None:
        """Return *tokens* of a charge that were not used to the account's rate."""
        if not isinstance(charge, RefundableCharge) or tokens <= 0:
            return
        counted = self.limiter.refund(charge, tokens, self._clock.now())
        if counted > 0:
            self._events.emit(TokensReturned(charge.account, 0.0, counted))
            self._serve(charge.account)

    def can_charge(self, account: AccountId) -> bool:
        """Tell whether this host or another that it knows holds rate slices of the account."""
        return self.limiter.holds_slices(account) or self._loans.knows_holder(account)

    def count_waiting(self) -> dict[AccountId, int]:
        """Return the number of requests that wait, by account."""
        return {account: int(queue.requests) for account, queue in self._queues.items()}

    # charging

    def _try_charge(
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
        """Grant the charges that wait, in order, while this host has what they need."""
        queue = self._queues.get(account)
        if queue is None:
            return
        now = self._clock.now()
        while (head := queue.head()) is not None:
            # after a pause of the host timers are late: grant no charge past its deadline
            if head.deadline <= now:
                self._expire(head)
                continue
            result = self._try_charge(account, head.requests, head.tokens, now)
            if result is None:
                self._serve_without_tokens(queue, now)
                break
            queue.remove(head)
            head.finish(result)
        self._drop_if_empty(account)

    def _serve_without_tokens(self, queue: ChargeQueue, now: datetime) -> None:
        """Grant charges without tokens for which the requests suffice with all before them."""
        requests = 0.0
        for queued in queue.list_waiting():
            requests += queued.requests
            is_due = queued.deadline > now and not queued.tokens
            if not is_due or not self.limiter.covers(queued.account, requests, 0.0, now):
                continue
            result = self._try_charge(queued.account, queued.requests, 0.0, now)
            if result is not None and queue.remove(queued):
                requests -= queued.requests
                queued.finish(result)

    def _serve_or_borrow(self, account: AccountId) -> None:
        """Grant what this host can, request loans for the rest, and schedule the next try."""
        self._serve(account)
        queue = self._queues.get(account)
        head = queue.head() if queue is not None else None
        if queue is None or head is None:
            return
        now = self._clock.now()
        if queue.is_request_due(now):
            queue.schedule_next_request(now, FIRST_LOAN_PAUSE, MAX_LOAN_PAUSE)
            # one request for the whole queue, so that a burst takes few messages
            self._loans.request_loans(account, queue.requests, queue.tokens, queue.rounds)
        local = self.limiter.find_local_wait(account, head.requests, head.tokens, now)
        pause = queue.find_time_to_request(now)
        queue.schedule_retry(
            self._clock, min(pause, local) if local else pause, self._serve_or_borrow
        )

    def _expire(self, queued: QueuedCharge) -> None:
        queue = self._queues.get(queued.account)
        if queue is None or not queue.remove(queued):
            return
        now = self._clock.now()
        wait = self.limiter.find_wait(queued.account, queued.requests, queued.tokens, now)
        self._refuse(queued, Refusal.OVER_RATE, wait)
        self._drop_if_empty(queued.account)

    def _refuse(self, queued: QueuedCharge, refusal: Refusal, retry_after: timedelta) -> None:
        queued.finish(Refused(refusal, Outcome.NOT_RUN, Step.LIMIT, retry_after=retry_after))

    def _drop_if_empty(self, account: AccountId) -> None:
        queue = self._queues.get(account)
        if queue is not None and queue.head() is None:
            queue.cancel_retry()
            del self._queues[account]

    # periodic work

    def _tick(self) -> None:
        self._timer = self._clock.call_later(TICK_INTERVAL, self._tick)
        now = self._clock.now()
        self.limiter.sync(now)
        peers = find_peers(self._links)
        self._slice_store.refresh(len(peers) + 1)
        keeper = self.limiter.slice_keeper
        writes = keeper.plan_write(peers, now)
        writes += keeper.plan_release(now, keeper.find_surplus(len(peers), now))
        self.limiter.sync(now)
        if writes:
            self._slice_store.write(writes)
        self._standby_leases.send_requests(now)
        self._loans.maintain(now)

    # the document

    def _apply_document(self, document: Document) -> None:
        rates = {account.id: account.rate for account in document.accounts}
        self.limiter.apply_rates(rates, self._clock.now())
        for account in [account for account in self._queues if account not in rates]:
            for queued in self._queues[account].drain():
                self._refuse(queued, Refusal.UNKNOWN_KEY, timedelta(0))
            self._drop_if_empty(account)
        self._serve_all()

    # callbacks of the loan exchange

    def _find_waiting_time(self, account: AccountId) -> timedelta:
        queue = self._queues.get(account)
        head = queue.head() if queue is not None else None
        return self._clock.now() - head.since if head is not None else timedelta(0)

    def _handle_tokens_received(self, account: AccountId, by_loan: bool) -> None:
        queue = self._queues.get(account)
        if queue is None:
            return
        if by_loan:
            queue.got_loan = True
            self._serve_or_borrow(account)
        else:
            self._serve(account)


@SERVICES.register("limits")
def make_limits(kernel: Kernel) -> LimitsService:
    """Make the service with the policy that the settings name."""
    terms = LIMIT_POLICIES.find(PolicyNames.from_kernel(kernel).limits)
    log_message("limits:policy", text="limits: rate limit policy is set", slots=terms.slices)
    return LimitsService(kernel, terms)
