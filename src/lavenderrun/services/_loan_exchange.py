"""Loans of parts of accounts' rates between this host and others."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from random import Random

from lavenderrun.decisions import RateLimiter, RateSliceTerms, SliceHolders
from lavenderrun.kernel import Clock
from lavenderrun.types import (
    AccountId,
    HeldRateSlices,
    HostId,
    HostRole,
    Link,
    Links,
    Loan,
    LoanRequest,
    LoanReturn,
    RateSliceId,
)

ASK_ALL_LENDERS_UP_TO = 2
MAX_LENDERS = 3


class LoanExchange:
    """Requests and gives loans, and announces to other hosts which rate slices this host holds.

    :param find_waiting_time: returns how long this host's oldest request for an account has waited.
    :param on_tokens_received: called when an account has received tokens; ``True`` when by a loan,
        ``False`` when a borrower returned them.
    """

    def __init__(
        self,
        clock: Clock,
        links: Links,
        limiter: RateLimiter,
        terms: RateSliceTerms,
        random_source: Random,
        find_waiting_time: Callable[[AccountId], timedelta],
        on_tokens_received: Callable[[AccountId, bool], None],
    ) -> None:
        self._clock = clock
        self._links = links
        self._limiter = limiter
        self._terms = terms
        self._random = random_source
        self._find_waiting_time = find_waiting_time
        self._on_tokens_received = on_tokens_received
        self._holders = SliceHolders(terms)
        self._announced: set[RateSliceId] = set()

    def start(self) -> None:
        """Subscribe to messages about loans and to links that open or close."""
        links = self._links
        links.subscribe(HeldRateSlices, self._handle_slices)
        links.watch(self._announce_slices, self._forget_slices)
        links.subscribe(LoanRequest, self._handle_request)
        links.subscribe(Loan, self._handle_loan)
        links.subscribe(LoanReturn, self._handle_return)

    def knows_holder(self, account: AccountId) -> bool:
        """Tell whether another host is known to hold rate slices of the account's group."""
        return bool(self._holders.find(account))

    def request_loans(
        self, account: AccountId, requests: float, tokens: float, rounds: int
    ) -> None:
        """Ask other hosts for the part of these amounts that this host lacks.

        :param rounds: rounds of requests since the last loan; each round asks more hosts.
        """
        now = self._clock.now()
        waited = self._find_waiting_time(account)
        for link in self._find_lenders(account, rounds):
            request = self._limiter.request_loan(
                link.peer.host, account, requests, tokens, now, waited
            )
            if request is not None:
                link.send(request)

    def maintain(self, now: datetime) -> None:
        """Extend or end loans, and announce the held rate slices when they have changed."""
        extended, ended = self._limiter.plan_loans(now)
        for lender, requests in extended.items():
            for request in requests:
                self._send(lender, request)
        for ended_loan in ended:
            self._send(ended_loan.lender, ended_loan.message)
        held = set(self._limiter.slice_keeper.held)
        if held != self._announced:
            self._announced = held
            for link in self._links.list_live():
                self._announce_slices(link)

    def _find_lenders(self, account: AccountId, rounds: int) -> list[Link]:
        """Return links to holders: all when there are few, else a random choice of some.

        :param rounds: the choice grows with each round.
        """
        if not self._terms.lending:
            return []
        links = [self._links.find(host) for host in self._holders.find(account)]
        live = [link for link in links if link is not None]
        count = (
            ASK_ALL_LENDERS_UP_TO
            if len(live) <= ASK_ALL_LENDERS_UP_TO
            else min(rounds, MAX_LENDERS)
        )
        return live if len(live) <= count else self._random.sample(live, count)

    def _send(self, host: HostId, message: LoanRequest | LoanReturn) -> None:
        link = self._links.find(host)
        if link is not None:
            link.send(message)

    def _announce_slices(self, link: Link) -> None:
        if link.peer.role is HostRole.ENTRY:
            link.send(HeldRateSlices(sorted(self._limiter.slice_keeper.held)))

    def _forget_slices(self, link: Link) -> None:
        self._holders.note(link.peer.host, ())

    def _handle_slices(self, link: Link, message: HeldRateSlices) -> None:
        self._holders.note(link.peer.host, message.slices)

    def _handle_request(self, link: Link, message: LoanRequest) -> None:
        now = self._clock.now()
        waited = self._find_waiting_time(message.account)
        link.send(self._limiter.lend(link.peer.host, message, now, waited))

    def _handle_loan(self, link: Link, message: Loan) -> None:
        if self._limiter.accept_loan(link.peer.host, message, self._clock.now()):
            self._on_tokens_received(message.account, True)

    def _handle_return(self, link: Link, message: LoanReturn) -> None:
        self._limiter.accept_loan_return(link.peer.host, message, self._clock.now())
        self._on_tokens_received(message.account, False)
