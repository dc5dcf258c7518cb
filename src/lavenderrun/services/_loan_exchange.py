"""Loans of accounts' rates between this host and others."""

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

FEW_LENDERS = 2
MOST_LENDERS = 3


class LoanExchange:
    """Asks for loans, gives them, and tells others what this host holds.

    :param waited: how long this host's oldest request for an account has waited.
    :param arrived: called when an account has got tokens, with whether a loan brought them.
    """

    def __init__(
        self,
        clock: Clock,
        links: Links,
        fleet: RateLimiter,
        terms: RateSliceTerms,
        random_source: Random,
        waited: Callable[[AccountId], timedelta],
        arrived: Callable[[AccountId, bool], None],
    ) -> None:
        self._clock = clock
        self._links = links
        self._fleet = fleet
        self._terms = terms
        self._random = random_source
        self._waited = waited
        self._arrived = arrived
        self._holders = SliceHolders(terms)
        self._told: set[RateSliceId] = set()

    def start(self) -> None:
        """Take messages."""
        links = self._links
        links.subscribe(HeldRateSlices, self._take_holdings)
        links.watch(self._tell_holdings, self._forget_holdings)
        links.subscribe(LoanRequest, self._take_request)
        links.subscribe(Loan, self._take_loan)
        links.subscribe(LoanReturn, self._take_return)

    def knows_holder(self, account: AccountId) -> bool:
        """Tell whether another host holds slots of the account's group."""
        return bool(self._holders.find(account))

    def ask(self, account: AccountId, requests: float, tokens: float, rounds: int) -> None:
        """Ask other hosts for what is missing here of these amounts.

        :param rounds: askings in a row; more hosts are asked with each.
        """
        now = self._clock.now()
        waited = self._waited(account)
        for link in self._find_lenders(account, rounds):
            asked = self._fleet.request_loan(link.peer.host, account, requests, tokens, now, waited)
            if asked is not None:
                link.send(asked)

    def tend(self, now: datetime) -> None:
        """Extend or end loans, and tell of changes in what is held."""
        extended, ended = self._fleet.plan_loans(now)
        for lender, requests in extended.items():
            for request in requests:
                self._send(lender, request)
        for back in ended:
            self._send(back.lender, back.message)
        held = set(self._fleet.slice_keeper.held)
        if held != self._told:
            self._told = held
            for link in self._links.list_live():
                self._tell_holdings(link)

    def _find_lenders(self, account: AccountId, rounds: int) -> list[Link]:
        """Return whom to ask: both of two others, else more with each round."""
        if not self._terms.lending:
            return []
        links = [self._links.find(host) for host in self._holders.find(account)]
        live = [link for link in links if link is not None]
        count = FEW_LENDERS if len(live) <= FEW_LENDERS else min(rounds, MOST_LENDERS)
        return live if len(live) <= count else self._random.sample(live, count)

    def _send(self, host: HostId, message: LoanRequest | LoanReturn) -> None:
        link = self._links.find(host)
        if link is not None:
            link.send(message)

    def _tell_holdings(self, link: Link) -> None:
        if link.peer.role is HostRole.ENTRY:
            link.send(HeldRateSlices(sorted(self._fleet.slice_keeper.held)))

    def _forget_holdings(self, link: Link) -> None:
        self._holders.note(link.peer.host, ())

    def _take_holdings(self, link: Link, message: HeldRateSlices) -> None:
        self._holders.note(link.peer.host, message.slices)

    def _take_request(self, link: Link, message: LoanRequest) -> None:
        now = self._clock.now()
        waited = self._waited(message.account)
        link.send(self._fleet.lend(link.peer.host, message, now, waited))

    def _take_loan(self, link: Link, message: Loan) -> None:
        if self._fleet.accept_loan(link.peer.host, message, self._clock.now()):
            self._arrived(message.account, True)

    def _take_return(self, link: Link, message: LoanReturn) -> None:
        self._fleet.accept_loan_return(link.peer.host, message, self._clock.now())
        self._arrived(message.account, False)
