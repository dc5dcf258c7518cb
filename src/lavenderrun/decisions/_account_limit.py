"""One account on this host: its two buckets and its loans from and to other hosts.

A lender subtracts before it sends, and keeps what it lent out of use until the loan has lapsed on
its own clock; so a lost message loses tokens for a while and never makes any.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from math import exp

from lavenderrun.decisions._buckets import Bucket
from lavenderrun.types import AccountId, HostId, Loan, LoanRequest, LoanReturn, Rate

DEMAND_PERIOD = timedelta(seconds=2)
DRIFT = timedelta(milliseconds=50)
SHORTEST_LOAN = timedelta(milliseconds=200)
EXTEND_WITHIN = timedelta(milliseconds=700)
MOST_LENT = 0.9
RAMP = 2.0
LITTLE = 1e-9


@dataclass
class Part:
    """A part of the account's rate that is lent or borrowed.

    :param number: of the request that it answers.
    :param until: it ends by this host's clock.
    """

    number: int
    fraction: float
    until: datetime


class AccountLimit:
    """What this host may spend of an account's rate.

    :param own: share by the slots that this host holds.
    """

    def __init__(self, rate: Rate, now: datetime) -> None:
        self.rate = rate
        self.requests = Bucket(rate.requests_per_second, rate.request_burst, now)
        self.tokens = Bucket(rate.tokens_per_second, rate.token_burst, now)
        self.own = 0.0
        self.lent: dict[HostId, Part] = {}
        self.borrowed: dict[HostId, Part] = {}
        self._next_end: datetime | None = None
        self._demand = 0.0
        self._demand_at = now

    def settle(self, now: datetime) -> None:
        """Bring levels and loans up to *now*."""
        while self._next_end is not None and self._next_end <= now:
            self._end_parts(self._next_end)
        self.requests.fill(now)
        self.tokens.fill(now)

    def change_own(self, own: float) -> None:
        """Set the share by slots. Settle first."""
        self.own = own
        self._change_share()

    def change_rate(self, rate: Rate) -> None:
        """Set the account's rate. Settle first."""
        self.rate = rate
        self.requests.change_rate(rate.requests_per_second, rate.request_burst)
        self.tokens.change_rate(rate.tokens_per_second, rate.token_burst)

    def credit(self, fraction: float, idle: timedelta | None) -> None:
        """Add what a slot earned while nobody spent it; ``None`` for always."""
        for bucket in (self.requests, self.tokens):
            full = bucket.burst * fraction
            earned = full if idle is None else bucket.rate * fraction * idle.total_seconds()
            bucket.add(max(0.0, min(full, earned)))

    def has(self, requests: float, tokens: float) -> bool:
        """Tell whether a charge is covered. Settle first."""
        # rounding in the last digits must not hold a request back
        return (
            self.requests.level + LITTLE >= requests
            and self.tokens.level + LITTLE * self.tokens.burst >= tokens
        )

    def note_demand(self, tokens: float, now: datetime) -> None:
        """Count tokens that callers of this host ask for."""
        self._demand = self.find_demand(now) + tokens / DEMAND_PERIOD.total_seconds()
        self._demand_at = now

    def find_demand(self, now: datetime) -> float:
        """Return the demand in tokens a second, averaged over the last seconds."""
        return self._demand * exp((self._demand_at - now) / DEMAND_PERIOD)

    # lending

    def lend(
        self, borrower: HostId, asked: LoanRequest, now: datetime, end: datetime, waited: timedelta
    ) -> Loan:
        """Give a part of this host's share, subtracted here at once. Settle first.

        :param end: when the slots that the share comes from lapse.
        :param waited: how long a request of this host has waited; the older one goes first.
        """
        before = self.lent.get(borrower)
        had = before.fraction if before else 0.0
        lasts = end - now - DRIFT
        if waited > asked.waited or lasts < SHORTEST_LOAN:
            left = before.until - now - DRIFT if before else timedelta(0)
            if before:
                before.number = asked.number
            return Loan(asked.number, asked.account, had, 0.0, 0.0, max(left, timedelta(0)))
        fraction = self._choose_fraction(asked, had, now, spare=not waited)
        requests = self._choose_amount(self.requests, asked.requests, fraction)
        tokens = self._choose_amount(self.tokens, asked.tokens, fraction)
        self.requests.move_out(fraction, requests)
        self.tokens.move_out(fraction, tokens)
        until = max(now + lasts + DRIFT, before.until if before else now)
        self.lent[borrower] = Part(asked.number, had + fraction, until)
        self._plan_end()
        return Loan(asked.number, asked.account, had + fraction, requests, tokens, lasts)

    def take_back(self, borrower: HostId, back: LoanReturn) -> None:
        """Take a loan's early end; one that the lender no longer knows is ignored. Settle first."""
        part = self.lent.get(borrower)
        if part is None or part.number != back.number:
            return
        del self.lent[borrower]
        self._change_share()
        self.requests.add(back.requests)
        self.tokens.add(back.tokens)

    # borrowing

    def borrow(self, lender: HostId, loan: Loan, until: datetime) -> None:
        """Add a loan that the lender has subtracted. Settle first."""
        self.borrowed[lender] = Part(loan.number, loan.fraction, until)
        self._change_share()
        self.requests.add(loan.requests)
        self.tokens.add(loan.tokens)

    def find_ending(self, now: datetime) -> list[HostId]:
        """Return the lenders whose loans end soon."""
        soon = now + EXTEND_WITHIN
        return [lender for lender, part in self.borrowed.items() if part.until <= soon]

    def needs_loans(self, now: datetime) -> bool:
        """Tell whether the demand here exceeds the host's own share."""
        return self.find_demand(now) > self.tokens.rate * self.own * MOST_LENT

    def give_back_loan(self, lender: HostId, account: AccountId) -> LoanReturn:
        """End a loan; what is handed back has been subtracted here. Settle first."""
        part = self.borrowed.pop(lender)
        whole = self.tokens.share
        portion = min(1.0, part.fraction / whole) if whole > 0 else 0.0
        requests, tokens = self.requests.level * portion, self.tokens.level * portion
        self.requests.level -= requests
        self.tokens.level -= tokens
        self._change_share()
        return LoanReturn(part.number, account, requests, tokens)

    def _choose_fraction(
        self, asked: LoanRequest, had: float, now: datetime, *, spare: bool
    ) -> float:
        free = max(0.0, self.own - self._sum(self.lent))
        both = asked.demand + self.find_demand(now)
        weight = min(MOST_LENT, asked.demand / both) if both > 0 else 0.5
        least = max(
            min(asked.requests, self.requests.level) / self.requests.burst,
            min(asked.tokens, self.tokens.level) / self.tokens.burst,
        )
        even = (free + had) * weight - had if spare else 0.0
        # a share grows with each request, so that one of many borrowers does not get all at once
        return min(free, max(least, min(even, had + RAMP * least), 0.0))

    def _choose_amount(self, bucket: Bucket, asked: float, fraction: float) -> float:
        if fraction <= 0 or bucket.share <= 0:
            return 0.0
        portion = bucket.level * fraction / bucket.share
        wanted = min(bucket.level, max(asked, portion))
        return max(0.0, min(wanted, fraction * bucket.burst))

    def _change_share(self) -> None:
        share = max(0.0, self.own - self._sum(self.lent) + self._sum(self.borrowed))
        self.requests.change_share(share)
        self.tokens.change_share(share)
        self._plan_end()

    def _plan_end(self) -> None:
        ends = [part.until for part in (*self.lent.values(), *self.borrowed.values())]
        self._next_end = min(ends, default=None)

    def _end_parts(self, at: datetime) -> None:
        self.requests.fill(at)
        self.tokens.fill(at)
        self.lent = {host: part for host, part in self.lent.items() if part.until > at}
        self.borrowed = {host: part for host, part in self.borrowed.items() if part.until > at}
        self._change_share()

    def _sum(self, parts: dict[HostId, Part]) -> float:
        return sum(part.fraction for part in parts.values())
