"""Rate limit of one account on this host: two token buckets and loans from and to other hosts.

A lender subtracts a loan before it sends it and does not use the lent share until the loan has
expired on its own clock. A lost message can therefore lose tokens for a while but never create
any.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from math import exp

from lavenderrun.decisions._buckets import Bucket
from lavenderrun.types import AccountId, HostId, Loan, LoanRequest, LoanReturn, Rate

DEMAND_PERIOD = timedelta(seconds=2)
CLOCK_DRIFT_MARGIN = timedelta(milliseconds=50)
MIN_LOAN = timedelta(milliseconds=200)
EXTEND_WITHIN = timedelta(milliseconds=700)
MAX_LENT_FRACTION = 0.9
MAX_GROWTH_FACTOR = 2.0
ROUNDING_TOLERANCE = 1e-9


@dataclass
class LoanedShare:
    """A share of the account's rate that is lent or borrowed.

    :param number: number of the loan request that it answers.
    :param fraction: of the account's rate, from 0 to 1.
    :param until: when it ends by this host's clock.
    """

    number: int
    fraction: float
    until: datetime


class AccountLimit:
    """Spends this host's share of one account's rate.

    :ivar own_share: fraction of the rate from the rate slices that this host holds.
    """

    def __init__(self, rate: Rate, now: datetime) -> None:
        self.rate = rate
        self.requests = Bucket(rate.requests_per_second, rate.request_burst, now)
        self.tokens = Bucket(rate.tokens_per_second, rate.token_burst, now)
        self.own_share = 0.0
        self.lent: dict[HostId, LoanedShare] = {}
        self.borrowed: dict[HostId, LoanedShare] = {}
        self._next_end: datetime | None = None
        self._demand = 0.0
        self._demand_at = now

    def advance(self, now: datetime) -> None:
        """End expired loans and fill the buckets up to *now*."""
        while self._next_end is not None and self._next_end <= now:
            self._end_loans(self._next_end)
        self.requests.fill(now)
        self.tokens.fill(now)

    def set_own_share(self, own_share: float) -> None:
        """Set the share from held rate slices; call :meth:`advance` first."""
        self.own_share = own_share
        self._update_share()

    def change_rate(self, rate: Rate) -> None:
        """Set the account's rate; call :meth:`advance` first."""
        self.rate = rate
        self.requests.change_rate(rate.requests_per_second, rate.request_burst)
        self.tokens.change_rate(rate.tokens_per_second, rate.token_burst)

    def credit(self, fraction: float, idle: timedelta | None) -> None:
        """Add what a rate slice earned while no host spent it.

        :param fraction: the slice's fraction of the rate.
        :param idle: how long no host spent it, ``None`` when no host ever did.
        """
        for bucket in (self.requests, self.tokens):
            full = bucket.burst * fraction
            earned = full if idle is None else bucket.rate * fraction * idle.total_seconds()
            bucket.add(max(0.0, min(full, earned)))

    def covers(self, requests: float, tokens: float) -> bool:
        """Tell whether the buckets cover a charge; call :meth:`advance` first."""
        # a rounding error must not delay a request
        return (
            self.requests.level + ROUNDING_TOLERANCE >= requests
            and self.tokens.level + ROUNDING_TOLERANCE * self.tokens.burst >= tokens
        )

    def note_demand(self, tokens: float, now: datetime) -> None:
        """Add tokens that callers of this host request to the measured demand."""
        self._demand = self.find_demand(now) + tokens / DEMAND_PERIOD.total_seconds()
        self._demand_at = now

    def find_demand(self, now: datetime) -> float:
        """Return the demand in tokens per second, decayed over :data:`DEMAND_PERIOD`."""
        return self._demand * exp((self._demand_at - now) / DEMAND_PERIOD)

    # lending

    def lend(
        self,
        borrower: HostId,
        request: LoanRequest,
        now: datetime,
        end: datetime,
        waited: timedelta,
    ) -> Loan:
        """Lend a part of this host's share and subtract it here; call :meth:`advance` first.

        :param end: when the loan ends at the latest.
        :param waited: how long this host's oldest request has waited; nothing more is lent when
            that is longer than the borrower's has.
        """
        before = self.lent.get(borrower)
        previous_fraction = before.fraction if before else 0.0
        duration = end - now - CLOCK_DRIFT_MARGIN
        if waited > request.waited or duration < MIN_LOAN:
            left = before.until - now - CLOCK_DRIFT_MARGIN if before else timedelta(0)
            if before:
                before.number = request.number
            return Loan(
                request.number,
                request.account,
                previous_fraction,
                0.0,
                0.0,
                max(left, timedelta(0)),
            )
        fraction = self._choose_fraction(request, previous_fraction, now, spare=not waited)
        requests = self._choose_amount(self.requests, request.requests, fraction)
        tokens = self._choose_amount(self.tokens, request.tokens, fraction)
        self.requests.move_out(fraction, requests)
        self.tokens.move_out(fraction, tokens)
        until = max(now + duration + CLOCK_DRIFT_MARGIN, before.until if before else now)
        self.lent[borrower] = LoanedShare(request.number, previous_fraction + fraction, until)
        self._update_next_end()
        return Loan(
            request.number,
            request.account,
            previous_fraction + fraction,
            requests,
            tokens,
            duration,
        )

    def accept_return(self, borrower: HostId, returned: LoanReturn) -> None:
        """End a loan that the borrower returns early; call :meth:`advance` first.

        A return whose loan is no longer known here is ignored.
        """
        loaned = self.lent.get(borrower)
        if loaned is None or loaned.number != returned.number:
            return
        del self.lent[borrower]
        self._update_share()
        self.requests.add(returned.requests)
        self.tokens.add(returned.tokens)

    # borrowing

    def borrow(self, lender: HostId, loan: Loan, until: datetime) -> None:
        """Add a loan that the lender has subtracted; call :meth:`advance` first."""
        self.borrowed[lender] = LoanedShare(loan.number, loan.fraction, until)
        self._update_share()
        self.requests.add(loan.requests)
        self.tokens.add(loan.tokens)

    def find_expiring_loans(self, now: datetime) -> list[HostId]:
        """Return the lenders whose loans end within :data:`EXTEND_WITHIN`."""
        soon = now + EXTEND_WITHIN
        return [lender for lender, loaned in self.borrowed.items() if loaned.until <= soon]

    def needs_loans(self, now: datetime) -> bool:
        """Tell whether the demand here exceeds most of the host's own share."""
        return self.find_demand(now) > self.tokens.rate * self.own_share * MAX_LENT_FRACTION

    def end_loan(self, lender: HostId, account: AccountId) -> LoanReturn:
        """End a borrowed loan and subtract what is returned; call :meth:`advance` first."""
        loaned = self.borrowed.pop(lender)
        whole = self.tokens.share
        portion = min(1.0, loaned.fraction / whole) if whole > 0 else 0.0
        requests, tokens = self.requests.level * portion, self.tokens.level * portion
        self.requests.level -= requests
        self.tokens.level -= tokens
        self._update_share()
        return LoanReturn(loaned.number, account, requests, tokens)

    def _choose_fraction(
        self, request: LoanRequest, previous_fraction: float, now: datetime, *, spare: bool
    ) -> float:
        free = max(0.0, self.own_share - self._sum_fractions(self.lent))
        total_demand = request.demand + self.find_demand(now)
        weight = min(MAX_LENT_FRACTION, request.demand / total_demand) if total_demand > 0 else 0.5
        minimum = max(
            min(request.requests, self.requests.level) / self.requests.burst,
            min(request.tokens, self.tokens.level) / self.tokens.burst,
        )
        fair_fraction = (free + previous_fraction) * weight - previous_fraction if spare else 0.0
        # a loan grows step by step with repeated requests, so that one borrower doesn't take it all
        return min(
            free,
            max(minimum, min(fair_fraction, previous_fraction + MAX_GROWTH_FACTOR * minimum), 0.0),
        )

    def _choose_amount(self, bucket: Bucket, amount: float, fraction: float) -> float:
        if fraction <= 0 or bucket.share <= 0:
            return 0.0
        portion = bucket.level * fraction / bucket.share
        wanted = min(bucket.level, max(amount, portion))
        return max(0.0, min(wanted, fraction * bucket.burst))

    def _update_share(self) -> None:
        share = max(
            0.0,
            self.own_share - self._sum_fractions(self.lent) + self._sum_fractions(self.borrowed),
        )
        self.requests.change_share(share)
        self.tokens.change_share(share)
        self._update_next_end()

    def _update_next_end(self) -> None:
        ends = [loaned.until for loaned in (*self.lent.values(), *self.borrowed.values())]
        self._next_end = min(ends, default=None)

    def _end_loans(self, at: datetime) -> None:
        self.requests.fill(at)
        self.tokens.fill(at)
        self.lent = {host: loaned for host, loaned in self.lent.items() if loaned.until > at}
        self.borrowed = {
            host: loaned for host, loaned in self.borrowed.items() if loaned.until > at
        }
        self._update_share()

    def _sum_fractions(self, loaned_shares: dict[HostId, LoanedShare]) -> float:
        return sum(loaned.fraction for loaned in loaned_shares.values())
