"""Log lines of one call: each has the request id, what was decided and the values behind it."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any, Final

from lavenderrun.gateway._log import MILLISECOND, log
from lavenderrun.types import Fingerprint, GatewayCall, Refused

if TYPE_CHECKING:
    from lavenderrun.gateway._attempt import Attempt

NO_FINGERPRINT: Final = Fingerprint("")


class CallLog:
    """Writes the log lines of one call.

    :param fingerprint: digest that is equal for repetitions of the call.
    :param fields: fields that are added to each line.
    """

    def __init__(
        self, call: GatewayCall, fingerprint: Fingerprint = NO_FINGERPRINT, **fields: Any
    ) -> None:
        self._request_id = call.id
        self.fingerprint = fingerprint
        self._fields = fields

    def write(self, event: str, text: str, **fields: Any) -> None:
        """Write one line with the event ``call:`` and *event*."""
        log(f"call:{event}", f"call: {text}", request=self._request_id, **self._fields, **fields)

    def log_attempt(self, attempt: Attempt, result: str, took: timedelta, **fields: Any) -> None:
        """Log how an attempt ended.

        :param took: time since the attempt was made.
        :param fields: further fields of the line.
        """
        self.write(
            "attempt",
            "attempt ended",
            member=attempt.member.id,
            sent=attempt.sent,
            status=attempt.head.status if attempt.head else None,
            result=result,
            progressed=attempt.has_progressed,
            took_ms=round(took / MILLISECOND, 1),
            **fields,
        )

    def log_refusal(self, refused: Refused) -> None:
        """Log a refusal with its reason, outcome and step."""
        self.write(
            "refused",
            "refused",
            reason=refused.refusal.value,
            outcome=refused.outcome.value,
            step=refused.step.value,
            peer=refused.peer,
            detail=refused.detail,
        )
