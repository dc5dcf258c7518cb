"""What the attempts of one request have cost, and what that allows after a failure."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

from lavenderrun.types import Outcome, Refusal, Refused, Repeatability

MAX_TRIES = 4
HARMLESS = (Refusal.BACKEND_LOST, Refusal.LEAVING)
"""Refusals of an attempt that did not begin, which cost patience but no try."""
BACKOFF = timedelta(milliseconds=50)
BACKOFF_MOST = timedelta(seconds=2)


class RetryDecision(Enum):
    """What follows a failed attempt."""

    REFUSE = "refuse"
    REFUSE_UNKNOWN = "refuse_unknown"
    RETRY_IN_BUDGET = "retry_in_budget"
    RETRY = "retry"


class AttemptHistory:
    """The attempts of one request.

    :param patience: how long the request may wait, anew after an answer was cut off.
    :ivar may_have_run: a backend server may have worked on the request.
    """

    def __init__(
        self, arrived: datetime, patience: timedelta, repeatability: Repeatability
    ) -> None:
        self.may_have_run = False
        self.prefill_ordered = False
        self._count = 0
        self._patience = patience
        self._repeatability = repeatability
        self._waiting_since = arrived

    @property
    def outcome(self) -> Outcome:
        """What is known of a request that is refused now."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    def find_waited(self, now: datetime) -> timedelta:
        """Return how long the request has waited."""
        return now - self._waiting_since

    def find_remaining_patience(self, now: datetime) -> timedelta:
        """Return how long the request may wait still; negative when it is over."""
        return self._patience - self.find_waited(now)

    def record_abandoned(self) -> None:
        """Note that an attempt is given up; a prefill that was ordered may have run."""
        self.may_have_run = self.may_have_run or self.prefill_ordered
        self.prefill_ordered = False

    def record_failure(
        self, refused: Refused, now: datetime, *, started: bool, costly: bool, delivered: bool
    ) -> RetryDecision:
        """Note a failed attempt and return what follows.

        :param started: a backend server may have begun to decode.
        :param costly: a prefill was spent on it.
        :param delivered: the caller holds a part of the answer.
        """
        if self._repeatability is Repeatability.AT_MOST_ONCE and (started or delivered):
            return RetryDecision.REFUSE_UNKNOWN
        if started:
            self.may_have_run = True
            # an answer that was cut off waits anew; its first wait is paid
            self._waiting_since = now
        if started or refused.refusal not in HARMLESS:
            self._count += 1
        if self._count >= MAX_TRIES:
            return RetryDecision.REFUSE
        # without cost the budget for retries is not touched
        return RetryDecision.RETRY_IN_BUDGET if costly else RetryDecision.RETRY


def find_backoff(attempt: int, chance: float) -> timedelta:
    """Return the pause after an attempt: exponential, with jitter from *chance* in [0.5, 1.5)."""
    doublings = min(attempt, 10)
    return min(BACKOFF * (1 << doublings), BACKOFF_MOST) * chance
