"""Charges of one account that wait on this host, first come first served."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from twisted.internet.defer import Deferred

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import AccountId, Charge, Refused


@dataclass(eq=False)
class QueuedCharge:
    """A charge that waits.

    :param since: when it came.
    :param deadline: when its patience ends.
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
        """Give the result, unless the caller has gone."""
        if self.timer is not None:
            self.timer.cancel()
        if not self.answer.called:
            self.answer.callback(result)

    def _cancel(self, _: Deferred[Charge | Refused]) -> None:
        # the queue drops it when its turn comes
        self.cancelled = True
        if self.timer is not None:
            self.timer.cancel()


class ChargeQueue:
    """What waits for one account, and when to ask other hosts again.

    :ivar fruitful: whether a loan has come since the last asking.
    :ivar rounds: askings since a loan came.
    """

    def __init__(self) -> None:
        self.ask_at: datetime | None = None
        self.fruitful = True
        self.rounds = 0
        self._waiting: list[QueuedCharge] = []
        self._pause = timedelta(0)
        self._timer: Timer | None = None

    @property
    def requests(self) -> float:
        """Requests that wait, in all."""
        return sum(waiting.requests for waiting in self._waiting if not waiting.cancelled)

    @property
    def tokens(self) -> float:
        """Tokens that wait, in all."""
        return sum(waiting.tokens for waiting in self._waiting if not waiting.cancelled)

    def add(self, waiting: QueuedCharge) -> None:
        """Put a charge at the end."""
        self._waiting.append(waiting)

    def head(self) -> QueuedCharge | None:
        """Return the first that is still wanted."""
        while self._waiting and self._waiting[0].cancelled:
            del self._waiting[0]
        return self._waiting[0] if self._waiting else None

    def remove(self, waiting: QueuedCharge) -> bool:
        """Take a charge out; tell whether it was there."""
        if waiting not in self._waiting:
            return False
        self._waiting.remove(waiting)
        return True

    def drain(self) -> list[QueuedCharge]:
        """Take all out."""
        drained, self._waiting = self._waiting, []
        return drained

    def is_due(self, now: datetime) -> bool:
        """Tell whether other hosts may be asked again."""
        return self.ask_at is None or now >= self.ask_at

    def back_off(self, now: datetime, first: timedelta, most: timedelta) -> None:
        """Set the next asking: soon after a fruitful one, later after each other."""
        self.rounds = 1 if self.fruitful else self.rounds + 1
        self._pause = first if self.fruitful else min(most, max(first, self._pause * 2))
        self.ask_at = now + self._pause
        self.fruitful = False

    def find_pause(self, now: datetime) -> timedelta:
        """Return the time until the next asking."""
        return timedelta(0) if self.ask_at is None else max(timedelta(0), self.ask_at - now)

    def plan(self, clock: Clock, delay: timedelta, call: Callable[[AccountId], None]) -> None:
        """Run *call* for the account after *delay*, in place of an earlier plan."""
        if self._timer is not None:
            self._timer.cancel()
        self._timer = clock.call_later(delay, call, self._waiting[0].account)

    def end(self) -> None:
        """Drop the plan."""
        if self._timer is not None:
            self._timer.cancel()
