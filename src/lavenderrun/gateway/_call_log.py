"""Log lines of one call: each names the call, what was decided and by what."""

from __future__ import annotations

from datetime import timedelta
from typing import TYPE_CHECKING, Any, Final

from lavenderrun.gateway._log import MILLISECOND, log
from lavenderrun.types import Fingerprint, GatewayCall, Refused

if TYPE_CHECKING:
    from lavenderrun.gateway._attempt import Attempt

NO_FINGERPRINT: Final = Fingerprint("")


class CallLog:
    """Writes the lines of one call.

    :param fingerprint: digest that a repeated call shares.
    :param fields: stand on each line.
    """

    def __init__(
        self, call: GatewayCall, fingerprint: Fingerprint = NO_FINGERPRINT, **fields: Any
    ) -> None:
        self._request = call.id
        self.fingerprint = fingerprint
        self._fields = fields

    def tell(self, event: str, text: str, **fields: Any) -> None:
        """Write one line."""
        log(f"call:{event}", f"call: {text}", request=self._request, **self._fields, **fields)

    def tell_attempt(self, attempt: Attempt, result: str, took: timedelta) -> None:
        """Write how a send ended."""
        self.tell(
            "attempt",
            "send ended",
            member=attempt.member.id,
            sent=attempt.sent,
            status=attempt.head.status if attempt.head else None,
            result=result,
            took_ms=round(took / MILLISECOND, 1),
        )

    def tell_refused(self, refused: Refused) -> None:
        """Write a refusal."""
        self.tell(
            "refused",
            "refused",
            reason=refused.refusal.value,
            outcome=refused.outcome.value,
            step=refused.step.value,
            peer=refused.peer,
            detail=refused.detail,
        )
