"""What a gateway does after an attempt to have a call served by one backend server."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lavenderrun.types import AnswerKind, CallFailure


class AttemptDecision(Enum):
    """What a gateway does after an attempt."""

    PASS_ON = "pass_on"
    TRY_AGAIN = "try_again"
    REFUSE_NOT_RUN = "refuse_not_run"
    FAIL_UNKNOWN = "fail_unknown"


@dataclass(frozen=True)
class AttemptOutcome:
    """How an attempt ended.

    :param sent: a byte of the call may have reached the server.
    :param kind: what the answer's head says, ``None`` without one.
    :param failure: why the answer is incomplete or missing, ``None`` when it is complete.
    :param denies_run: callers take the answer's status as a promise that the call has not run.
    """

    sent: bool
    kind: AnswerKind | None = None
    failure: CallFailure | None = None
    denies_run: bool = False

    @property
    def may_have_run(self) -> bool:
        """Whether the server may have begun the call."""
        if not self.sent:
            return False
        return self.kind not in {AnswerKind.NOT_RUN, AnswerKind.WRONG_SERVER}

    @property
    def has_broken(self) -> bool:
        """Whether the answer is neither complete nor a whole failure."""
        return self.failure is not None or self.kind is not AnswerKind.FAILED

    def is_misleading(self, *, idempotent: bool) -> bool:
        """Tell whether the answer would have a caller repeat a call that may run once only.

        A server that has not begun a call says so apart from the status.
        """
        return self.denies_run and self.may_have_run and not idempotent


def decide_after_attempt(
    outcome: AttemptOutcome, *, idempotent: bool, may_resend: bool
) -> AttemptDecision:
    """Decide whether to pass the answer on, to send the call again or to refuse it.

    :param idempotent: the call may run more than once.
    :param may_resend: attempts, budget and time allow another one.
    """
    if outcome.failure is None and outcome.kind is AnswerKind.SERVED:
        return AttemptDecision.PASS_ON
    if not outcome.may_have_run:
        return AttemptDecision.TRY_AGAIN if may_resend else AttemptDecision.REFUSE_NOT_RUN
    if idempotent and may_resend:
        return AttemptDecision.TRY_AGAIN
    if outcome.has_broken or outcome.is_misleading(idempotent=idempotent):
        return AttemptDecision.FAIL_UNKNOWN
    return AttemptDecision.PASS_ON
