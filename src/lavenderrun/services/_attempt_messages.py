"""Messages that an entry sends to agents for the steps of one attempt."""

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
class AttemptTerms:
    """What the messages of one attempt have in common.

    :param urgency: time left until the target for the first token.
    :param patience: longest time to wait for this step.
    :param weight: weight of the client account in the agents' queues.
    """

    request: RequestId
    attempt: AttemptId
    admitted: AdmittedModel
    urgency: timedelta
    patience: timedelta
    weight: float

    @property
    def account(self) -> AccountId:
        """The client account for the agents' queues, empty when the request has none."""
        return self.admitted.account or NO_ACCOUNT


def make_reserve(terms: AttemptTerms, demand: Demand, lead: timedelta, cohort: int) -> Reserve:
    """Return the request for a decode slot."""
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


def make_prefill(terms: AttemptTerms, demand: Demand, text: str, start_in: timedelta) -> Prefill:
    """Return the request for a prefill whose decode slot is promised."""
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
    """Return the request to decode an export in its promised decode slot."""
    return Start(
        request=done.request,
        attempt=done.attempt,
        handle=done.handle,
        source=done.source,
        tokens=done.tokens,
        offset=offset,
        max_tokens=max_tokens,
    )
