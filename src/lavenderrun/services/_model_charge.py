"""The charge of one model request against the rate of its client account."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from lavenderrun.types import AccountId, Charge, Limits, Outcome, Refusal, Refused, Step


class RequestCharge:
    """Charges prompt and allowed output before the request runs, and refunds the unused part."""

    def __init__(self, limits: Limits) -> None:
        self._limits = limits
        self._charge: Charge | None = None
        self._charging: Deferred[Charge | Refused] | None = None
        self._ended = False

    def begin(
        self,
        account: AccountId,
        tokens: int,
        patience: timedelta,
        done: Callable[[Refused | None], None],
    ) -> None:
        """Charge the account.

        :param tokens: tokens of the prompt and of the allowed output.
        :param patience: longest wait for the rate.
        :param done: called with ``None`` once charged, or with the refusal.
        """

        def handle_result(result: Charge | Refused) -> None:
            self._charging = None
            if isinstance(result, Refused):
                done(result)
                return
            self._charge = result
            if self._ended:
                self.settle(0)
            else:
                done(None)

        def handle_failure(failure: Failure) -> None:
            self._charging = None
            if not isinstance(failure.value, CancelledError):
                done(Refused(Refusal.NOT_READY, Outcome.NOT_RUN, Step.LIMIT))

        self._charging = self._limits.charge(account, 1.0, float(tokens), patience)
        self._charging.addCallbacks(handle_result, handle_failure)

    def settle(self, used: int) -> None:
        """Refund what was charged beyond *used* tokens, and cancel a charge that still waits."""
        self._ended = True
        if self._charging is not None:
            self._charging.cancel()
        charge, self._charge = self._charge, None
        if charge is not None and charge.tokens > used:
            self._limits.refund(charge, charge.tokens - used)
