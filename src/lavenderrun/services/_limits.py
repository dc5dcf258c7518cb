"""Service ``limits``: rate and burst of each client account, summed over all hosts."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import ClassVar

import msgspec
from eliot import log_message
from twisted.internet.defer import Deferred, succeed

from lavenderrun.decisions import (
    LIMIT_POLICIES,
    FleetLimits,
    HeldCharge,
    Peer,
    Shortfall,
    SlotKeeper,
    SlotTerms,
    make_slots,
)
from lavenderrun.kernel import SERVICES, Clock, Kernel, Timer
from lavenderrun.services._charge_queue import ChargeQueue, Waiting
from lavenderrun.services._emitter import Emitter
from lavenderrun.services._policies import Policies
from lavenderrun.services._slot_store import SlotStore, find_peers
from lavenderrun.types import (
    AccountId,
    Charge,
    Document,
    DocumentSource,
    Hello,
    HostId,
    Link,
    Links,
    Loan,
    LoanRequest,
    LoanReturn,
    Outcome,
    Refusal,
    Refused,
    Step,
    Store,
    TokensGranted,
    TokensReturned,
    Vouch,
    Vouched,
)

TICK = timedelta(milliseconds=250)
ASK_FIRST = timedelta(milliseconds=40)
ASK_MOST = timedelta(milliseconds=500)
LENDERS_AT_ONCE = 3
VOUCHES_KEPT = 8
NUMBER_BITS = 40


class SentVouch(msgspec.Struct, frozen=True):
    """A vouch that a standby has not answered."""

    peer: Peer
    sent: datetime


class LimitsService:
    """Charges accounts; see ``Limits``."""

    needs: ClassVar[tuple[str, ...]] = ("store", "links", "document", "record")

    def __init__(self, kernel: Kernel, terms: SlotTerms) -> None:
        self._kernel = kernel
        self._clock: Clock = kernel.clock
        self._terms = terms
        self._links = kernel.find("links", Links)
        self._events = Emitter.of(kernel)
        hello: Hello = kernel.settings.hello()
        keeper = SlotKeeper(
            Peer(hello.host, hello.boot), make_slots(terms), terms, self._clock.now()
        )
        self.fleet = FleetLimits(keeper, terms, kernel.chance.getrandbits(NUMBER_BITS))
        store = kernel.find("store", Store)
        self._slots = SlotStore(self._clock, store, self.fleet, terms, self._serve_all)
        self._queues: dict[AccountId, ChargeQueue] = {}
        self._vouches: dict[int, SentVouch] = {}
        self._vouch_number = 0
        self._vouch_at = self._clock.now()
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to claim slots and to take charges."""
        links = self._links
        links.subscribe(Vouch, self._take_vouch)
        links.subscribe(Vouched, self._take_vouched)
        links.subscribe(LoanRequest, self._take_request)
        links.subscribe(Loan, self._take_loan)
        links.subscribe(LoanReturn, self._take_return)
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
        self.fleet.sync(now)
        writes = self.fleet.keeper.plan_release(now)
        self.fleet.sync(now)
        return self._slots.write(writes).addCallback(lambda _: None)

    def charge(
        self, account: AccountId, requests: float, tokens: float, patience: timedelta
    ) -> Deferred[Charge | Refused]:
        """Take from the account's rate; see ``Limits``."""
        now = self._clock.now()
        self.fleet.note_demand(account, tokens, now)
        queue = self._queues.get(account)
        if queue is None:
            result = self._try(account, requests, tokens, now)
            if result is not None:
                return succeed(result)
            queue = self._queues[account] = ChargeQueue()
        wait = self.fleet.find_wait(account, queue.requests + requests, queue.tokens + tokens, now)
        waiting = Waiting(account, requests, tokens, now, now + patience)
        if wait > patience:
            self._refuse(waiting, Refusal.OVER_RATE, wait)
            self._drop_if_empty(account)
            return waiting.answer
        queue.add(waiting)
        waiting.timer = self._clock.call_later(patience, self._expire, waiting)
        self._pursue(account)
        return waiting.answer

    def give_back(self, charge: Charge, tokens: float) -> None:
        """Return unused tokens; see ``Limits``."""
        if not isinstance(charge, HeldCharge) or tokens <= 0:
            return
        counted = self.fleet.refund(charge, tokens, self._clock.now())
        if counted > 0:
            self._events.emit(TokensReturned(charge.account, 0.0, counted))
            self._serve(charge.account)

    def can_charge(self, account: AccountId) -> bool:
        """Tell whether this host holds, or knows who holds, a part of the account's rate."""
        return self.fleet.is_held(account)

    def count_waiting(self) -> dict[AccountId, int]:
        """Return how many requests wait for their account's rate."""
        return {account: int(queue.requests) for account, queue in self._queues.items()}

    # charging

    def _try(
        self, account: AccountId, requests: float, tokens: float, now: datetime
    ) -> Charge | Refused | None:
        result = self.fleet.charge(account, requests, tokens, now)
        if isinstance(result, HeldCharge):
            self._events.emit(TokensGranted(account, requests, tokens))
            return result
        if result is Shortfall.BEYOND_BURST:
            detail = "it asks for more than the account's burst"
            return Refused(Refusal.OVER_RATE, Outcome.NOT_RUN, Step.LIMIT, detail=detail)
        if result is Shortfall.UNKNOWN_ACCOUNT:
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
            self._ask(account, head, queue, now)
        local = self.fleet.find_local_wait(account, head.requests, head.tokens, now)
        pause = queue.find_pause(now)
        queue.plan(self._clock, min(pause, local) if local else pause, self._pursue)

    def _ask(self, account: AccountId, head: Waiting, queue: ChargeQueue, now: datetime) -> None:
        for link in self._find_lenders(account):
            # the whole queue's need, so that a burst takes few messages
            request = self.fleet.ask(
                link.peer.host, account, queue.requests, queue.tokens, now, now - head.since
            )
            if request is not None:
                link.send(request)

    def _find_lenders(self, account: AccountId) -> list[Link]:
        if not self._terms.lending:
            return []
        hosts = sorted(self.fleet.find_lenders(account))
        links = [link for link in map(self._links.find, hosts) if link is not None]
        if len(links) <= LENDERS_AT_ONCE:
            return links
        return self._kernel.chance.sample(links, LENDERS_AT_ONCE)

    def _expire(self, waiting: Waiting) -> None:
        queue = self._queues.get(waiting.account)
        if queue is None or not queue.remove(waiting):
            return
        now = self._clock.now()
        wait = self.fleet.find_wait(waiting.account, waiting.requests, waiting.tokens, now)
        self._refuse(waiting, Refusal.OVER_RATE, wait)
        self._drop_if_empty(waiting.account)

    def _refuse(self, waiting: Waiting, refusal: Refusal, retry_after: timedelta) -> None:
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
        self.fleet.sync(now)
        peers = find_peers(self._links)
        self._slots.refresh(len(peers) + 1)
        keeper = self.fleet.keeper
        writes = keeper.plan(peers, now)
        writes += keeper.plan_release(now, keeper.find_surplus(len(peers), now))
        self.fleet.sync(now)
        if writes:
            self._slots.write(writes)
        if now >= self._vouch_at:
            self._vouch_at = now + self._terms.vouch_every
            self._ask_to_vouch(now)
        self._tend_loans(now)

    def _ask_to_vouch(self, now: datetime) -> None:
        for peer, slots in self.fleet.keeper.find_vouchers().items():
            link = self._links.find(peer.host)
            if link is None or link.peer.boot != peer.boot:
                continue
            self._vouch_number += 1
            self._vouches[self._vouch_number] = SentVouch(peer, now)
            link.send(Vouch(self._vouch_number, slots))
        while len(self._vouches) > VOUCHES_KEPT + 2 * self._terms.slots:
            del self._vouches[next(iter(self._vouches))]

    def _tend_loans(self, now: datetime) -> None:
        extended, ended = self.fleet.plan_loans(now)
        for lender, requests in extended.items():
            for request in requests:
                self._send(lender, request)
        for back in ended:
            self._send(back.lender, back.back)

    def _send(self, host: HostId, message: LoanRequest | LoanReturn) -> None:
        link = self._links.find(host)
        if link is not None:
            link.send(message)

    # messages and the document

    def _take_document(self, document: Document) -> None:
        rates = {account.id: account.rate for account in document.accounts}
        self.fleet.apply_rates(rates, self._clock.now())
        for account in [account for account in self._queues if account not in rates]:
            for waiting in self._queues[account].drain():
                self._refuse(waiting, Refusal.UNKNOWN_KEY, timedelta(0))
            self._drop_if_empty(account)
        self._serve_all()

    def _take_vouch(self, link: Link, message: Vouch) -> None:
        now = self._clock.now()
        self.fleet.sync(now)
        promised = self.fleet.keeper.vouch(message.slots, now)
        link.send(Vouched(message.number, promised))

    def _take_vouched(self, link: Link, message: Vouched) -> None:
        sent = self._vouches.pop(message.number, None)
        peer = Peer(link.peer.host, link.peer.boot)
        if sent is None or sent.peer != peer:
            return
        now = self._clock.now()
        self.fleet.sync(now)
        self.fleet.keeper.take_vouch(peer, message.slots, sent.sent)
        self.fleet.keeper.resume(now)
        self.fleet.sync(now)

    def _take_request(self, link: Link, message: LoanRequest) -> None:
        now = self._clock.now()
        queue = self._queues.get(message.account)
        head = queue.head() if queue is not None else None
        waited = now - head.since if head is not None else timedelta(0)
        link.send(self.fleet.lend(link.peer.host, message, now, waited))

    def _take_loan(self, link: Link, message: Loan) -> None:
        fruitful = self.fleet.take_loan(link.peer.host, message, self._clock.now())
        queue = self._queues.get(message.account)
        if fruitful and queue is not None:
            queue.fruitful = True
            self._pursue(message.account)

    def _take_return(self, link: Link, message: LoanReturn) -> None:
        self.fleet.take_back(link.peer.host, message, self._clock.now())
        self._serve(message.account)


@SERVICES.register("limits")
def make_limits(kernel: Kernel) -> LimitsService:
    """Make the service with the policy that the settings name."""
    terms = LIMIT_POLICIES.find(Policies.of(kernel).limits)
    log_message("limits:policy", text="limits: policy is set", slots=terms.slots)
    return LimitsService(kernel, terms)
