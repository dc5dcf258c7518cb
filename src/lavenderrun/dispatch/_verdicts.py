"""What follows an attempt that gave no answer to pass on."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from lavenderrun.types import Break, Standing


class Verdict(Enum):
    """What to do after an attempt."""

    PASS_ON = "pass_on"
    TRY_AGAIN = "try_again"
    REFUSE_NOT_RUN = "refuse_not_run"
    FAIL_UNKNOWN = "fail_unknown"


@dataclass(frozen=True)
class Attempted:
    """How an attempt ended.

    :param sent: a byte of the call may have reached the server.
    :param standing: what the answer's head says, ``None`` without one.
    """

    sent: bool
    standing: Standing | None = None
    broke: Break | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a server may have begun the call."""
        if not self.sent:
            return False
        return self.standing not in {Standing.NOT_RUN, Standing.WRONG_SERVER}


def judge_attempt(attempted: Attempted, *, idempotent: bool, may_resend: bool) -> Verdict:
    """Decide what follows.

    :param idempotent: the call may run more than once.
    :param may_resend: attempts, budget and time allow another one.
    """
    if attempted.broke is None and attempted.standing is Standing.SERVED:
        return Verdict.PASS_ON
    if not attempted.may_have_run:
        return Verdict.TRY_AGAIN if may_resend else Verdict.REFUSE_NOT_RUN
    if idempotent and may_resend:
        return Verdict.TRY_AGAIN
    if attempted.broke is None and attempted.standing is Standing.FAILED:
        return Verdict.PASS_ON
    return Verdict.FAIL_UNKNOWN
