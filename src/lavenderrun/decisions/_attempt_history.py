"""Failed attempts of one request and the decision whether to retry."""

from __future__ import annotations

from datetime import datetime, timedelta
from enum import Enum

from lavenderrun.types import Outcome, Refusal, Refused, Repeatability

MAX_ATTEMPTS = 4
UNCOUNTED_REFUSALS = (Refusal.BACKEND_LOST, Refusal.LEAVING)
"""Refusals of an attempt that was not started; they use patience but count as no attempt."""
BASE_BACKOFF = timedelta(milliseconds=50)
MAX_BACKOFF = timedelta(seconds=2)


class RetryDecision(Enum):
    """Decision after a failed attempt."""

    REFUSE = "refuse"
    REFUSE_UNKNOWN = "refuse_unknown"
    RETRY_IN_BUDGET = "retry_in_budget"
    RETRY = "retry"


class AttemptHistory:
    """Attempts of one request and the time that it has waited.

    :param arrived: when the request arrived.
    :param patience: how long the request may wait; it starts again when an answer is cut off.
    :param repeatability: whether the request may run more than once.
    :ivar may_have_run: a backend server may have worked on the request.
    :ivar prefill_ordered: a prefill was ordered for the current attempt.
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
        """The outcome to report if the request were refused now."""
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN

    def find_waited(self, now: datetime) -> timedelta:
        """Return how long the request has waited since it arrived or its answer was cut off."""
        return now - self._waiting_since

    def find_remaining_patience(self, now: datetime) -> timedelta:
        """Return how much longer the request may wait; negative once its patience has ended."""
        return self._patience - self.find_waited(now)

    def record_abandoned(self) -> None:
        """Record that an attempt is given up; a prefill that was ordered may have run."""
        self.may_have_run = self.may_have_run or self.prefill_ordered
        self.prefill_ordered = False

    def record_failure(
        self, refused: Refused, now: datetime, *, started: bool, costly: bool, delivered: bool
    ) -> RetryDecision:
        """Record a failed attempt and decide what follows.

        :param started: a backend server may have started to decode.
        :param costly: a prefill was spent on the attempt.
        :param delivered: the caller has received a part of the answer.
        """
        if self._repeatability is Repeatability.AT_MOST_ONCE and (started or delivered):
            return RetryDecision.REFUSE_UNKNOWN
        if started:
            self.may_have_run = True
            # the patience starts again when an answer is cut off; earlier waiting does not count
            self._waiting_since = now
        if started or refused.refusal not in UNCOUNTED_REFUSALS:
            self._count += 1
        if self._count >= MAX_ATTEMPTS:
            return RetryDecision.REFUSE
        # a retry after an attempt without a prefill does not use the retry budget
        return RetryDecision.RETRY_IN_BUDGET if costly else RetryDecision.RETRY


def find_backoff(attempt: int, jitter: float) -> timedelta:
    """Return the pause after an attempt, which doubles with each one up to a bound.

    :param attempt: number of the attempt.
    :param jitter: random factor in [0.5, 1.5).
    """
    doublings = min(attempt, 10)
    return min(BASE_BACKOFF * (1 << doublings), MAX_BACKOFF) * jitter
