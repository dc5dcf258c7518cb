"""What a gateway does after an attempt to have a stream served by one engine."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import Final

from lavenderrun.dispatch._attempt_decisions import AttemptOutcome
from lavenderrun.types import AnswerKind


class StreamDecision(Enum):
    """What a gateway does after an attempt at a stream."""

    COMPLETE = "complete"
    CHOOSE_AGAIN = "choose_again"
    SEND_TO_ANOTHER = "send_to_another"
    OFFER_CACHE_LATER = "offer_cache_later"
    COMPUTE_PROMPT = "compute_prompt"
    RESUME = "resume"
    PASS_FAILURE_ON = "pass_failure_on"
    CUT = "cut"
    REFUSE_NOT_RUN = "refuse_not_run"
    REFUSE_LOST = "refuse_lost"


RESENDS: Final = frozenset(
    {
        StreamDecision.SEND_TO_ANOTHER,
        StreamDecision.OFFER_CACHE_LATER,
        StreamDecision.COMPUTE_PROMPT,
        StreamDecision.RESUME,
    }
)
"""Decisions that use one resend of the budget."""


class CacheState(Enum):
    """State of the KV cache that a prefill engine holds for a stream.

    ``DOUBTFUL`` is one that an engine which may have begun the stream may have taken.
    """

    NONE = "none"
    OFFERED = "offered"
    DOUBTFUL = "doubtful"
    EXPIRING = "expiring"


@dataclass(frozen=True)
class StreamSituation:
    """What is known when an attempt at a stream has ended.

    :param ends_between_events: no part of an unfinished event was received.
    :param is_idempotent: the stream may be resumed at another engine.
    :param is_begun: the answer to the caller has begun.
    :param has_attempts: the route allows another server.
    :param has_resend: the budget allows a resend.
    :param has_other_engine: an engine not tried yet may run the stream now or soon.
    :param has_pause_left: held KV cache outlasts a pause.
    :param has_hold: the engine had reserved capacity for the stream.
    :param is_offered_again: the engine was offered the same KV cache before.
    """

    outcome: AttemptOutcome
    ends_between_events: bool
    is_idempotent: bool
    is_begun: bool
    has_attempts: bool
    has_resend: bool
    has_other_engine: bool
    cache: CacheState = CacheState.NONE
    has_pause_left: bool = False
    has_hold: bool = False
    is_offered_again: bool = False

    @property
    def may_move(self) -> bool:
        """Whether another engine may be tried."""
        return self.has_attempts and self.has_resend and self.has_other_engine

    @property
    def is_complete(self) -> bool:
        """Whether the whole stream was passed on."""
        outcome = self.outcome
        is_served = outcome.failure is None and outcome.kind is AnswerKind.SERVED
        return is_served and self.ends_between_events


def decide_after_stream_attempt(situation: StreamSituation) -> StreamDecision:
    """Decide how a stream goes on; those of :data:`RESENDS` need a resend."""
    outcome = situation.outcome
    if situation.is_complete:
        return StreamDecision.COMPLETE
    if not outcome.may_have_run:
        return _decide_after_rejection(situation)
    may_repeat = situation.is_idempotent and situation.may_move
    if outcome.failure is None and outcome.kind is AnswerKind.FAILED:
        if may_repeat:
            return StreamDecision.SEND_TO_ANOTHER
        if situation.is_begun:
            return StreamDecision.CUT
        if outcome.is_misleading(idempotent=situation.is_idempotent):
            return StreamDecision.REFUSE_LOST
        return StreamDecision.PASS_FAILURE_ON
    if may_repeat:
        return StreamDecision.RESUME
    return StreamDecision.CUT if situation.is_begun else StreamDecision.REFUSE_LOST


def _decide_after_rejection(situation: StreamSituation) -> StreamDecision:
    outcome = situation.outcome
    if not outcome.sent:
        return StreamDecision.CHOOSE_AGAIN
    if situation.cache is not CacheState.NONE and outcome.kind is AnswerKind.NOT_RUN:
        return _decide_with_cache(situation)
    if situation.may_move:
        return StreamDecision.SEND_TO_ANOTHER
    return StreamDecision.CUT if situation.is_begun else StreamDecision.REFUSE_NOT_RUN


def _decide_with_cache(situation: StreamSituation) -> StreamDecision:
    """Offer held KV cache again: the engine lacks memory just now, or the cache is gone.

    An engine with a hold has the memory. Without one it is offered the cache twice at most, because
    each offer costs an arrival and an engine that stays full rejects it until the cache expires.
    """
    if not situation.has_resend:
        return StreamDecision.REFUSE_NOT_RUN
    if situation.has_hold:
        return StreamDecision.COMPUTE_PROMPT
    if situation.cache is CacheState.OFFERED and situation.may_move:
        return StreamDecision.SEND_TO_ANOTHER
    may_offer = situation.cache is not CacheState.DOUBTFUL and not situation.is_offered_again
    if may_offer and situation.has_pause_left:
        return StreamDecision.OFFER_CACHE_LATER
    return StreamDecision.COMPUTE_PROMPT
