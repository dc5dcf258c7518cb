"""The rates of all client accounts as far as this host may spend them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

import msgspec

from lavenderrun.decisions._account_limit import AccountLimit
from lavenderrun.decisions._rate_slice_states import Gained
from lavenderrun.decisions._rate_slice_views import RateSliceTerms, find_group, find_group_of
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

ASK_TIMEOUT = timedelta(milliseconds=300)
NO_TIME = timedelta(0)


class ChargeFailure(Enum):
    """Why a charge was not taken."""

    NOT_NOW = "not_now"
    BEYOND_BURST = "beyond_burst"
    UNKNOWN_ACCOUNT = "unknown_account"


@dataclass(frozen=True)
class RefundableCharge(Charge):
    """A charge with what its refund needs.

    :param limit: where it was taken; an account that was removed since takes no refund.
    """

    number: int
    limit: AccountLimit


class Asked(msgspec.Struct, frozen=True):
    """A loan request that has no answer yet."""

    number: int
    sent: datetime


class RateLimiter:
    """Charges accounts from this host's slots and loans.

    Every method takes the instant by this host's clock and first drops what lapsed before it, so
    that a host that was paused spends nothing on the strength of an old lease.

    :param numbers: first number of a loan request; differs between lives of a host.
    """

    def __init__(self, keeper: RateSliceKeeper, terms: RateSliceTerms, numbers: int = 0) -> None:
        self.slice_keeper = keeper
        self._terms = terms
        self._limits: dict[AccountId, AccountLimit] = {}
        self._known: set[AccountId] = set()
        self._slots_of: dict[int, set[RateSliceId]] = {
            group: set() for group in range(terms.groups)
        }
        self._earned_from: dict[RateSliceId, datetime | None] = {}
        self._end: datetime | None = None
        self._asked: dict[tuple[HostId, AccountId], Asked] = {}
        self._number = numbers

    def apply_rates(self, rates: Mapping[AccountId, Rate], now: datetime) -> None:
        """Set the rates of all accounts; others are unknown from now on."""
        self.sync(now)
        self._known = set(rates)
        for account, rate in rates.items():
            limit = self._limits.get(account)
            if limit is None:
                self._add_account(account, rate, now)
            elif limit.rate != rate:
                limit.settle(now)
                limit.change_rate(rate)

    def holds_slices(self, account: AccountId) -> bool:
        """Tell whether this host holds slots of the account's group."""
        return bool(self._slots_of[self._group_of(account)])

    def charge(
        self, account: AccountId, requests: float, tokens: float, now: datetime
    ) -> RefundableCharge | ChargeFailure:
        """Take requests and tokens when this host has them at this instant."""
        if account not in self._known:
            return ChargeFailure.UNKNOWN_ACCOUNT
        limit = self._settle(account, now)
        if requests > limit.rate.request_burst or tokens > limit.rate.token_burst:
            return ChargeFailure.BEYOND_BURST
        if not limit.has(requests, tokens):
            return ChargeFailure.NOT_NOW
        limit.requests.take(requests)
        number = limit.tokens.take(tokens)
        return RefundableCharge(account, requests, tokens, number, limit)

    def refund(self, charge: RefundableCharge, tokens: float, now: datetime) -> float:
        """Put back unused tokens of a charge and return how many counted."""
        limit = self._settle(charge.account, now)
        if limit is not charge.limit or charge.account not in self._known:
            return 0.0
        return limit.tokens.refund(charge.number, min(tokens, charge.tokens))

    def note_demand(self, account: AccountId, tokens: float, now: datetime) -> None:
        """Count tokens that callers of this host ask for."""
        if account in self._known:
            self._limits[account].note_demand(tokens, now)

    def find_wait(
        self, account: AccountId, requests: float, tokens: float, now: datetime
    ) -> timedelta:
        """Return how long the whole fleet's rate needs at least to earn what is missing here."""
        limit = self._settle(account, now)
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
        """Return when this host alone will have the amounts, ``None`` for never."""
        limit = self._settle(account, now)
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
        """Return a loan request for what is missing here, ``None`` while one is on its way."""
        before = self._asked.get((lender, account))
        if before is not None and now - before.sent < ASK_TIMEOUT:
            return None
        limit = self._settle(account, now)
        self._number += 1
        self._asked[lender, account] = Asked(self._number, now)
        return LoanRequest(
            self._number,
            account,
            max(0.0, requests - limit.requests.level),
            max(0.0, tokens - limit.tokens.level),
            limit.find_demand(now),
            waited,
        )

    def lend(
        self, borrower: HostId, asked: LoanRequest, now: datetime, waited: timedelta = NO_TIME
    ) -> Loan:
        """Answer another host's loan request.

        :param waited: how long this host's oldest request for the account has waited.
        """
        nothing = Loan(asked.number, asked.account, 0.0, 0.0, 0.0, NO_TIME)
        if asked.account not in self._limits or not self._terms.lending:
            return nothing
        limit = self._settle(asked.account, now)
        end = self.slice_keeper.find_end(self._slots_of[self._group_of(asked.account)])
        if end is None:
            return nothing
        return limit.lend(borrower, asked, now, min(end, now + self._terms.loan_lease), waited)

    def accept_loan(self, lender: HostId, loan: Loan, now: datetime) -> bool:
        """Take a loan that this host asked for; any other is dropped.

        :returns: whether it brought anything.
        """
        asked = self._asked.get((lender, loan.account))
        if asked is None or asked.number != loan.number:
            return False
        del self._asked[lender, loan.account]
        until = asked.sent + loan.duration
        if until <= now or loan.account not in self._known:
            return False
        self._settle(loan.account, now).borrow(lender, loan, until)
        return loan.requests > 0 or loan.tokens > 0

    def accept_loan_return(self, borrower: HostId, back: LoanReturn, now: datetime) -> None:
        """Take the early end of a loan from this host."""
        if back.account in self._limits:
            self._settle(back.account, now).take_back(borrower, back)

    def plan_loans(self, now: datetime) -> tuple[dict[HostId, list[LoanRequest]], list[EndedLoan]]:
        """Extend the loans that are still needed and end the others before they lapse."""
        extended: dict[HostId, list[LoanRequest]] = {}
        ended: list[EndedLoan] = []
        for account, limit in self._limits.items():
            if not limit.borrowed:
                continue
            self._settle(account, now)
            for lender in limit.find_ending(now):
                if limit.needs_loans(now):
                    asked = self.request_loan(lender, account, 0.0, 0.0, now)
                    if asked is not None:
                        extended.setdefault(lender, []).append(asked)
                elif (lender, account) not in self._asked:
                    ended.append(EndedLoan(lender, limit.give_back_loan(lender, account)))
        return extended, ended

    # slots

    def sync(self, now: datetime, gained: Gained | None = None) -> None:
        """Bring all shares in line with the slots that this host holds.

        :param gained: a slot that the last confirmation brought.
        """
        for at, slot in self.slice_keeper.drop_lapsed(now):
            self._drop(slot, at)
        held = set(self.slice_keeper.held)
        for slot in set().union(*self._slots_of.values()) - held:
            self._drop(slot, now)
        for slot in held:
            group = find_group(slot)
            if slot not in self._slots_of[group]:
                self._slots_of[group].add(slot)
                earned_from = gained.earned_from if gained and gained.slot == slot else now
                self._earned_from[slot] = earned_from
                self._add_slot(group, earned_from, now)
        self._end = self.slice_keeper.find_end(held)

    def _add_account(self, account: AccountId, rate: Rate, now: datetime) -> None:
        limit = self._limits[account] = AccountLimit(rate, now)
        limit.change_own(self._find_own(account))
        # an account that is new here was not charged from these slots while they were held
        for slot in self._slots_of[self._group_of(account)]:
            limit.credit(1 / self._terms.slices, _find_idle(self._earned_from[slot], now))

    def _add_slot(self, group: int, earned_from: datetime | None, now: datetime) -> None:
        idle = _find_idle(earned_from, now)
        for account, limit in self._limits.items():
            if self._group_of(account) == group:
                limit.settle(now)
                limit.change_own(self._find_own(account))
                limit.credit(1 / self._terms.slices, idle)

    def _drop(self, slot: RateSliceId, at: datetime) -> None:
        group = find_group(slot)
        self._slots_of[group].discard(slot)
        for account, limit in self._limits.items():
            if self._group_of(account) == group:
                limit.settle(at)
                limit.change_own(self._find_own(account))

    def _group_of(self, account: AccountId) -> int:
        return find_group_of(account, self._terms)

    def _settle(self, account: AccountId, now: datetime) -> AccountLimit:
        if self._end is not None and self._end <= now:
            self.sync(now)
        limit = self._limits[account]
        limit.settle(now)
        return limit

    def _find_own(self, account: AccountId) -> float:
        return len(self._slots_of[self._group_of(account)]) / self._terms.slices


class EndedLoan(msgspec.Struct, frozen=True):
    """The early end of a loan and the lender that it goes to."""

    lender: HostId
    message: LoanReturn


def _find_idle(earned_from: datetime | None, now: datetime) -> timedelta | None:
    return None if earned_from is None else now - earned_from
