"""The order in which plain calls that wait for a server are sent."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime
from typing import TypeVar

from lavenderrun.types import AccountId


@dataclass(eq=False)
class WaitingCall:
    """A plain call that waits until a server of its service takes calls.

    :param account: its client account, ``None`` on a route that is open to all.
    :param deadline: time at which its answer is due.
    """

    account: AccountId | None
    arrived: datetime
    deadline: datetime


Waiting = TypeVar("Waiting", bound=WaitingCall)


def choose_next(
    waiting: Iterable[Waiting], running: Mapping[AccountId | None, int]
) -> Waiting | None:
    """Return the call that is sent next, ``None`` without one.

    The account with the fewest running calls goes first, so that one that has many waiting calls
    gets no more than the others; then the call with the earliest deadline.

    :param running: calls of each account that run at servers of the service.
    """

    def make_key(call: WaitingCall) -> tuple[int, datetime, datetime]:
        return running.get(call.account, 0), call.deadline, call.arrived

    return min(waiting, key=make_key, default=None)
