"""Messages between hosts about client accounts' rates."""

from __future__ import annotations

from datetime import timedelta

import msgspec

from lavenderrun.types._ids import AccountId
from lavenderrun.types._messages import Message, message
from lavenderrun.types._rate_slices import RateSliceId


class HeldRateSlice(msgspec.Struct, frozen=True, array_like=True):
    """A slot and the version of its row under which the sender holds it."""

    slice_id: RateSliceId
    version: int


@message("vouch")
class StandbyLeaseRequest(Message, tag="vouch", frozen=True):
    """A holder asks its standby not to take these slots over for one standby lease."""

    number: int
    slices: list[HeldRateSlice]


@message("vouched")
class StandbyLeaseGrant(Message, tag="vouched", frozen=True):
    """The standby will leave these slots alone for one standby lease from now on."""

    number: int
    slices: list[RateSliceId]


@message("holdings")
class HeldRateSlices(Message, tag="holdings", frozen=True):
    """A host tells which slots it holds, so that others know whom to ask for loans."""

    slices: list[RateSliceId]


@message("loan_request")
class LoanRequest(Message, tag="loan_request", frozen=True):
    """A host asks another for a part of an account's rate.

    :param requests: wanted at once.
    :param tokens: wanted at once.
    :param demand: tokens a second that callers of the sender ask for.
    :param waited: how long the sender's oldest request has waited for it.
    """

    number: int
    account: AccountId
    requests: float
    tokens: float
    demand: float
    waited: timedelta = timedelta(0)


@message("loan")
class Loan(Message, tag="loan", frozen=True):
    """Answer to a loan request; the lender has subtracted all of it.

    :param fraction: of the account's rate and burst, in all, that the borrower now has from it.
    :param requests: handed over with this message.
    :param tokens: handed over with this message.
    :param duration: from the sending of the request.
    """

    number: int
    account: AccountId
    fraction: float
    requests: float
    tokens: float
    duration: timedelta


@message("loan_return")
class LoanReturn(Message, tag="loan_return", frozen=True):
    """The borrower ends a loan and hands back what is left of it.

    :param number: of the last request that the lender answered.
    """

    number: int
    account: AccountId
    requests: float
    tokens: float
