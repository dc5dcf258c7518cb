"""Messages between hosts about the rates of client accounts."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from lavenderrun.types._ids import AccountId
from lavenderrun.types._messages import Message, message
from lavenderrun.types._rate_slices import RateSliceId


class HeldRateSlice(msgspec.Struct, frozen=True, array_like=True):
    """A rate slice and the version of its row under which the sender holds it."""

    slice_id: RateSliceId
    version: int


@message("vouch")
class StandbyLeaseRequest(Message, tag="vouch", frozen=True):
    """A holder asks its standby not to take over these rate slices for one standby lease."""

    number: int
    slices: list[HeldRateSlice]


@message("vouched")
class StandbyLeaseGrant(Message, tag="vouched", frozen=True):
    """The standby agrees not to take over these rate slices for one standby lease from now on."""

    number: int
    slices: list[RateSliceId]


@message("holdings")
class HeldRateSlices(Message, tag="holdings", frozen=True):
    """A host announces the rate slices that it holds, so that others know whom to ask for loans."""

    slices: list[RateSliceId]


@message("loan_request")
class LoanRequest(Message, tag="loan_request", frozen=True):
    """A host asks another host for a part of a client account's rate.

    :param requests: requests wanted at once.
    :param tokens: tokens wanted at once.
    :param demand: tokens per second that callers of the sender ask for.
    :param waited: how long the sender's oldest request has waited for the loan.
    """

    number: int
    account: AccountId
    requests: float
    tokens: float
    demand: float
    waited: timedelta = timedelta(0)


@message("loan")
class Loan(Message, tag="loan", frozen=True):
    """Answer to a loan request; the lender has already subtracted the loan.

    :param fraction: total fraction of the account's rate and burst that the borrower now has from
        the lender.
    :param requests: requests handed over with this message.
    :param tokens: tokens handed over with this message.
    :param duration: how long the loan lasts, counted from the sending of the loan request.
    """

    number: int
    account: AccountId
    fraction: float
    requests: float
    tokens: float
    duration: timedelta


@message("loan_return")
class LoanReturn(Message, tag="loan_return", frozen=True):
    """The borrower ends a loan and returns the unused part.

    :param number: number of the last loan request that the lender answered.
    """

    number: int
    account: AccountId
    requests: float
    tokens: float
