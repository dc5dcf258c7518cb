"""Rate limiter for all client accounts on this host."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

import msgspec

from lavenderrun.decisions._account_limit import AccountLimit
from lavenderrun.decisions._rate_slice_states import GainedRateSlice
from lavenderrun.decisions._rate_slice_views import (
    RateSliceTerms,
    find_account_group,
    find_slice_group,
)
from lavenderrun.decisions._rate_slices import RateSliceKeeper
from lavenderrun.types import (
    AccountId,
    Charge,
    HostId,
    Loan,
    LoanRequest,
    LoanReturn,
    Rate,
    RateSliceId,
)

LOAN_REQUEST_TIMEOUT = timedelta(milliseconds=300)
NO_TIME = timedelta(0)


class ChargeFailure(Enum):
    """Why an account could not be charged."""

    NOT_NOW = "not_now"
    BEYOND_BURST = "beyond_burst"
    UNKNOWN_ACCOUNT = "unknown_account"


@dataclass(frozen=True)
class RefundableCharge(Charge):
    """A charge with the state that its refund needs.

    :param number: of the charge in the token bucket.
    :param limit: the charged limit; there is no refund once the account was removed or replaced.
    """

    number: int
    limit: AccountLimit


class PendingLoanRequest(msgspec.Struct, frozen=True):
    """A loan request without an answer so far."""

    number: int
    sent: datetime


class RateLimiter:
    """Charges accounts from the rate slices that this host holds and from its loans.

    Every method takes the current time by this host's clock and first drops what expired, so that
    a host that was paused spends nothing under an expired lease.

    :param first_number: start of the numbers of loan requests; differs after a restart.
    """

    def __init__(
        self, keeper: RateSliceKeeper, terms: RateSliceTerms, first_number: int = 0
    ) -> None:
        self.slice_keeper = keeper
        self._terms = terms
        self._limits: dict[AccountId, AccountLimit] = {}
        self._known: set[AccountId] = set()
        self._slices_by_group: dict[int, set[RateSliceId]] = {
            group: set() for group in range(terms.groups)
        }
        self._unspent_since: dict[RateSliceId, datetime | None] = {}
        self._next_expiry: datetime | None = None
        self._pending_requests: dict[tuple[HostId, AccountId], PendingLoanRequest] = {}
        self._number = first_number

    def apply_rates(self, rates: Mapping[AccountId, Rate], now: datetime) -> None:
        """Set the rates of all accounts; charges to any other account fail from now on."""
        self.sync(now)
        self._known = set(rates)
        for account, rate in rates.items():
            limit = self._limits.get(account)
            if limit is None:
                self._add_account(account, rate, now)
            elif limit.rate != rate:
                limit.advance(now)
                limit.change_rate(rate)

    def holds_slices(self, account: AccountId) -> bool:
        """Tell whether this host holds rate slices of the account's group."""
        return bool(self._slices_by_group[self._group_of(account)])

    def charge(
        self, account: AccountId, requests: float, tokens: float, now: datetime
    ) -> RefundableCharge | ChargeFailure:
        """Charge an account if this host can cover it now.

        :param requests: number of requests.
        :param tokens: number of tokens.
        """
        if account not in self._known:
            return ChargeFailure.UNKNOWN_ACCOUNT
        limit = self._advance(account, now)
        if requests > limit.rate.request_burst or tokens > limit.rate.token_burst:
            return ChargeFailure.BEYOND_BURST
        if not limit.covers(requests, tokens):
            return ChargeFailure.NOT_NOW
        limit.requests.take(requests)
        number = limit.tokens.take(tokens)
        return RefundableCharge(account, requests, tokens, number, limit)

    def covers(self, account: AccountId, requests: float, tokens: float, now: datetime) -> bool:
        """Tell whether this host could charge the amounts now."""
        return account in self._known and self._advance(account, now).covers(requests, tokens)

    def refund(self, charge: RefundableCharge, tokens: float, now: datetime) -> float:
        """Put back unused tokens of a charge and return how many were credited."""
        limit = self._advance(charge.account, now)
        if limit is not charge.limit or charge.account not in self._known:
            return 0.0
        return limit.tokens.refund(charge.number, min(tokens, charge.tokens))

    def note_demand(self, account: AccountId, tokens: float, now: datetime) -> None:
        """Add tokens that callers of this host request to the measured demand."""
        if account in self._known:
            self._limits[account].note_demand(tokens, now)

    def find_wait(
        self, account: AccountId, requests: float, tokens: float, now: datetime
    ) -> timedelta:
        """Return the least time in which the account's whole rate earns what is missing here."""
        limit = self._advance(account, now)
        missing_requests = max(0.0, requests - limit.requests.level)
        missing_tokens = max(0.0, tokens - limit.tokens.level)
        rate = limit.rate
        seconds = max(
            missing_requests / rate.requests_per_second, missing_tokens / rate.tokens_per_second
        )
        return timedelta(seconds=seconds)

    def find_local_wait(
        self, account: AccountId, requests: float, tokens: float, now: datetime
    ) -> timedelta | None:
        """Return after how long this host's own share covers the amounts, ``None`` for never."""
        limit = self._advance(account, now)
        waits = []
        for bucket, amount in ((limit.requests, requests), (limit.tokens, tokens)):
            if amount > bucket.burst * bucket.share:
                return None
            earning = bucket.rate * bucket.share
            waits.append(max(0.0, amount - bucket.level) / earning if earning > 0 else 0.0)
        return timedelta(seconds=max(waits))

    # loans

    def request_loan(
        self,
        lender: HostId,
        account: AccountId,
        requests: float,
        tokens: float,
        now: datetime,
        waited: timedelta = NO_TIME,
    ) -> LoanRequest | None:
        """Return a loan request for what is missing here, ``None`` while an earlier one is pending.

        :param waited: how long this host's oldest request for the account has waited.
        """
        before = self._pending_requests.get((lender, account))
        if before is not None and now - before.sent < LOAN_REQUEST_TIMEOUT:
            return None
        limit = self._advance(account, now)
        self._number += 1
        self._pending_requests[lender, account] = PendingLoanRequest(self._number, now)
        return LoanRequest(
            self._number,
            account,
            max(0.0, requests - limit.requests.level),
            max(0.0, tokens - limit.tokens.level),
            limit.find_demand(now),
            waited,
        )

    def lend(
        self, borrower: HostId, request: LoanRequest, now: datetime, waited: timedelta = NO_TIME
    ) -> Loan:
        """Answer another host's loan request.

        :param waited: how long this host's oldest request for the account has waited.
        """
        nothing = Loan(request.number, request.account, 0.0, 0.0, 0.0, NO_TIME)
        if request.account not in self._limits or not self._terms.lending:
            return nothing
        limit = self._advance(request.account, now)
        end = self.slice_keeper.find_expiry(self._slices_by_group[self._group_of(request.account)])
        if end is None:
            return nothing
        return limit.lend(borrower, request, now, min(end, now + self._terms.loan_lease), waited)

    def accept_loan(self, lender: HostId, loan: Loan, now: datetime) -> bool:
        """Add a loan that this host requested; any other is dropped.

        :returns: whether it added requests or tokens.
        """
        request = self._pending_requests.get((lender, loan.account))
        if request is None or request.number != loan.number:
            return False
        del self._pending_requests[lender, loan.account]
        until = request.sent + loan.duration
        if until <= now or loan.account not in self._known:
            return False
        self._advance(loan.account, now).borrow(lender, loan, until)
        return loan.requests > 0 or loan.tokens > 0

    def accept_loan_return(self, borrower: HostId, returned: LoanReturn, now: datetime) -> None:
        """Take back a loan that its borrower returns early."""
        if returned.account in self._limits:
            self._advance(returned.account, now).accept_return(borrower, returned)

    def plan_loans(self, now: datetime) -> tuple[dict[HostId, list[LoanRequest]], list[EndedLoan]]:
        """Extend the expiring loans that are still needed and end the others.

        :returns: loan requests by lender, and the loans that end.
        """
        extended: dict[HostId, list[LoanRequest]] = {}
        ended: list[EndedLoan] = []
        for account, limit in self._limits.items():
            if not limit.borrowed:
                continue
            self._advance(account, now)
            for lender in limit.find_expiring_loans(now):
                if limit.needs_loans(now):
                    request = self.request_loan(lender, account, 0.0, 0.0, now)
                    if request is not None:
                        extended.setdefault(lender, []).append(request)
                elif (lender, account) not in self._pending_requests:
                    ended.append(EndedLoan(lender, limit.end_loan(lender, account)))
        return extended, ended

    # rate slices

    def sync(self, now: datetime, gained: GainedRateSlice | None = None) -> None:
        """Update all shares to the rate slices that this host holds.

        :param gained: the rate slice gained by the latest confirmed write.
        """
        for at, slice_id in self.slice_keeper.suspend_expired(now):
            self._drop_slice(slice_id, at)
        held = set(self.slice_keeper.held)
        for slice_id in set().union(*self._slices_by_group.values()) - held:
            self._drop_slice(slice_id, now)
        for slice_id in held:
            group = find_slice_group(slice_id)
            if slice_id not in self._slices_by_group[group]:
                self._slices_by_group[group].add(slice_id)
                unspent_since = (
                    gained.unspent_since if gained and gained.slice_id == slice_id else now
                )
                self._unspent_since[slice_id] = unspent_since
                self._add_slice(group, unspent_since, now)
        self._next_expiry = self.slice_keeper.find_expiry(held)

    def _add_account(self, account: AccountId, rate: Rate, now: datetime) -> None:
        limit = self._limits[account] = AccountLimit(rate, now)
        limit.set_own_share(self._find_own_share(account))
        # a new account was not charged from these slices while this host held them
        for slice_id in self._slices_by_group[self._group_of(account)]:
            limit.credit(1 / self._terms.slices, _find_idle(self._unspent_since[slice_id], now))

    def _add_slice(self, group: int, unspent_since: datetime | None, now: datetime) -> None:
        idle = _find_idle(unspent_since, now)
        for account, limit in self._limits.items():
            if self._group_of(account) == group:
                limit.advance(now)
                limit.set_own_share(self._find_own_share(account))
                limit.credit(1 / self._terms.slices, idle)

    def _drop_slice(self, slice_id: RateSliceId, at: datetime) -> None:
        group = find_slice_group(slice_id)
        self._slices_by_group[group].discard(slice_id)
        for account, limit in self._limits.items():
            if self._group_of(account) == group:
                limit.advance(at)
                limit.set_own_share(self._find_own_share(account))

    def _group_of(self, account: AccountId) -> int:
        return find_account_group(account, self._terms)

    def _advance(self, account: AccountId, now: datetime) -> AccountLimit:
        if self._next_expiry is not None and self._next_expiry <= now:
            self.sync(now)
        limit = self._limits[account]
        limit.advance(now)
        return limit

    def _find_own_share(self, account: AccountId) -> float:
        return len(self._slices_by_group[self._group_of(account)]) / self._terms.slices


class EndedLoan(msgspec.Struct, frozen=True):
    """A loan that this host ends early, with the message for its lender."""

    lender: HostId
    message: LoanReturn


def _find_idle(unspent_since: datetime | None, now: datetime) -> timedelta | None:
    return None if unspent_since is None else now - unspent_since
