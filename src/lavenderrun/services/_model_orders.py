"""The messages by which an entry orders the steps of one attempt."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from lavenderrun.services._agent_chooser import Demand
from lavenderrun.types import (
    AccountId,
    AdmittedModel,
    AttemptId,
    Prefill,
    Prefilled,
    RequestId,
    Reserve,
    Start,
)

NO_ACCOUNT = AccountId("")


@dataclass(frozen=True)
class OrderTerms:
    """What the steps of an attempt have in common.

    :param urgency: time left until the target for the first token.
    :param patience: time left to wait.
    :param weight: share of the account at the agents' queues.
    """

    request: RequestId
    attempt: AttemptId
    admitted: AdmittedModel
    urgency: timedelta
    patience: timedelta
    weight: float

    @property
    def account(self) -> AccountId:
        """The account for the agents' queues."""
        return self.admitted.account or NO_ACCOUNT


def make_reserve(terms: OrderTerms, demand: Demand, lead: timedelta, cohort: int) -> Reserve:
    """Return the request for a seat."""
    route = terms.admitted.route
    return Reserve(
        request=terms.request,
        attempt=terms.attempt,
        account=terms.account,
        route=route.name,
        model=route.model,
        prompt_tokens=demand.tokens,
        max_tokens=demand.max_tokens,
        lead=lead,
        patience=terms.patience,
        urgency=terms.urgency,
        weight=terms.weight,
        cohort=cohort,
        fingerprint=terms.admitted.fingerprint,
    )


def make_prefill(terms: OrderTerms, demand: Demand, text: str, start_in: timedelta) -> Prefill:
    """Return the order of a prefill for a promised seat."""
    return Prefill(
        request=terms.request,
        attempt=terms.attempt,
        account=terms.account,
        model=terms.admitted.route.model,
        text=text,
        tokens=demand.tokens,
        start_in=start_in,
        patience=terms.patience,
        urgency=terms.urgency,
        weight=terms.weight,
        fingerprint=terms.admitted.fingerprint,
    )


def make_start(done: Prefilled, offset: int, max_tokens: int) -> Start:
    """Return the order to run an export in its promised seat."""
    return Start(
        request=done.request,
        attempt=done.attempt,
        handle=done.handle,
        source=done.source,
        tokens=done.tokens,
        offset=offset,
        max_tokens=max_tokens,
    )
