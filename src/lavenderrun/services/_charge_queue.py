"""Charges of one account that wait on this host, first in, first out."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import AccountId, Charge, Refused


@dataclass(eq=False)
class QueuedCharge:
    """A charge that waits for its account's rate.

    :param requests: number of requests to charge.
    :param tokens: number of tokens to charge.
    :param since: when the charge was asked for.
    :param deadline: when it is refused if it still waits.
    """

    account: AccountId
    requests: float
    tokens: float
    since: datetime
    deadline: datetime
    timer: Timer | None = None
    cancelled: bool = False
    answer: Deferred[Charge | Refused] = field(init=False)

    def __post_init__(self) -> None:
        self.answer = Deferred(self._cancel)

    def finish(self, result: Charge | Refused) -> None:
        """Fire the answer with *result*, unless the caller has cancelled it."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.answer.called:
            self.answer.callback(result)

    def _cancel(self, _: Deferred[Charge | Refused]) -> None:
        # the queue drops a cancelled charge when it comes to the front
        self.cancelled = True
        if self.timer is not None:
            self.timer.cancel()


class ChargeQueue:
    """The charges that wait for one account, and when to request loans again.

    :ivar next_request_at: when loans may be requested again; ``None`` before the first request.
    :ivar got_loan: whether a loan has come since the last request; true at first.
    :ivar rounds: rounds of requests since the last loan.
    """

    def __init__(self) -> None:
        self.next_request_at: datetime | None = None
        self.got_loan = True
        self.rounds = 0
        self._charges: list[QueuedCharge] = []
        self._pause = timedelta(0)
        self._timer: Timer | None = None

    @property
    def requests(self) -> float:
        """Sum of the requests of all charges that wait."""
        return sum(charge.requests for charge in self._charges if not charge.cancelled)

    @property
    def tokens(self) -> float:
        """Sum of the tokens of all charges that wait."""
        return sum(charge.tokens for charge in self._charges if not charge.cancelled)

    def add(self, charge: QueuedCharge) -> None:
        """Add a charge at the end."""
        self._charges.append(charge)

    def head(self) -> QueuedCharge | None:
        """Return the first charge that is not cancelled, dropping cancelled ones before it."""
        while self._charges and self._charges[0].cancelled:
            del self._charges[0]
        return self._charges[0] if self._charges else None

    def list_waiting(self) -> list[QueuedCharge]:
        """Return the charges that wait, in their order."""
        return [charge for charge in self._charges if not charge.cancelled]

    def remove(self, charge: QueuedCharge) -> bool:
        """Remove a charge; return whether it was there."""
        if charge not in self._charges:
            return False
        self._charges.remove(charge)
        return True

    def drain(self) -> list[QueuedCharge]:
        """Remove and return all charges."""
        drained, self._charges = self._charges, []
        return drained

    def is_request_due(self, now: datetime) -> bool:
        """Tell whether loans may be requested again."""
        return self.next_request_at is None or now >= self.next_request_at

    def schedule_next_request(self, now: datetime, first: timedelta, longest: timedelta) -> None:
        """Set when loans may be requested again.

        :param first: pause after a loan has come.
        :param longest: upper bound of the pause, which doubles with each round without a loan.
        """
        self.rounds = 1 if self.got_loan else self.rounds + 1
        self._pause = first if self.got_loan else min(longest, max(first, self._pause * 2))
        self.next_request_at = now + self._pause
        self.got_loan = False

    def find_time_to_request(self, now: datetime) -> timedelta:
        """Return the time until loans may be requested again; zero when it has passed."""
        return (
            timedelta(0)
            if self.next_request_at is None
            else max(timedelta(0), self.next_request_at - now)
        )

    def schedule_retry(
        self, clock: Clock, delay: timedelta, call: Callable[[AccountId], None]
    ) -> None:
        """Run *call* for the account after *delay*; replaces a call scheduled before."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = clock.call_later(delay, call, self._charges[0].account)

    def cancel_retry(self) -> None:
        """Cancel the scheduled call."""
        if self._timer is not None:
            self._timer.cancel()
