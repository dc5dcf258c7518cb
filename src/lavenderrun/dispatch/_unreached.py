"""Addresses that refuse connections or don't answer, and when each is tried again."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch._rests import ServerRests
from lavenderrun.types import Member

FIRST_TRY_PAUSE: Final = timedelta(milliseconds=50)
LONGEST_TRY_PAUSE: Final = timedelta(milliseconds=400)
"""Bounds of the pause between two tries of an address, which doubles each time."""

TRY_SPREAD_SHARE: Final = 0.25
"""Random part added to a pause, as a share of it: other hosts lost the server at the same time."""

LONGEST_TRY: Final = timedelta(milliseconds=250)
"""Time after which another try may begin although the result of the last one is not known."""

MAX_UNREACHED: Final = 4096
"""Addresses that are kept; the oldest are of servers that are long gone."""


@dataclass
class _Unreached:
    """An address to which the last connection failed.

    :param next_try: before this time no connection is opened for a call.
    :param pause: length of the last pause, without its random part.
    :param is_tried: a connection was begun after the pause, and its result is not known.
    """

    next_try: datetime
    pause: timedelta = FIRST_TRY_PAUSE
    is_tried: bool = False


class UnreachedAddresses:
    """Addresses to which the last connection failed.

    Each is tried by one call at a time, at growing intervals, until a connection succeeds; so
    neither the number of calls that wait nor the speed of a refusal raises the number of tries.
    """

    def __init__(self) -> None:
        # in order of their first failure
        self._unreached: dict[str, _Unreached] = {}

    def begin_try(self, address: str, now: datetime) -> None:
        """Record that a connection to *address* is begun."""
        found = self._unreached.get(address)
        if found is not None and now >= found.next_try:
            found.is_tried, found.next_try = True, now + LONGEST_TRY

    def record_failure(self, address: str, now: datetime, spread: float) -> None:
        """Record that a connection to *address* failed.

        :param spread: a random number from 0 to 1, different on each host.
        """
        found = self._unreached.get(address)
        if found is None:
            found = self._unreached[address] = _Unreached(now)
            while len(self._unreached) > MAX_UNREACHED:
                del self._unreached[next(iter(self._unreached))]
        elif found.is_tried:
            found.pause = min(found.pause * 2, LONGEST_TRY_PAUSE)
        else:
            # begun before the first failure was known
            return
        found.is_tried = False
        found.next_try = now + found.pause * (1 + TRY_SPREAD_SHARE * spread)

    def record_connection(self, address: str) -> None:
        """Record that *address* was reached."""
        self._unreached.pop(address, None)

    def forget(self, address: str) -> None:
        """Forget the failures of a server that is gone or was restarted."""
        self._unreached.pop(address, None)

    def is_unreached(self, address: str) -> bool:
        """Tell whether the last connection to *address* failed."""
        return address in self._unreached

    def find_next_try(self, address: str, now: datetime) -> datetime | None:
        """Return when *address* may be tried again, ``None`` when it may be called now."""
        found = self._unreached.get(address)
        return None if found is None or now >= found.next_try else found.next_try


def find_return(
    members: Iterable[Member], rests: ServerRests, unreached: UnreachedAddresses, now: datetime
) -> datetime | None:
    """Return when the first of *members* may be called, ``None`` when one may be called now.

    Rests and pauses between tries are considered; without servers there is no such time.
    """
    returns: list[datetime] = []
    for member in members:
        times = (
            rests.find_return([member], now),
            unreached.find_next_try(member.address, now),
        )
        latest = max((time for time in times if time is not None), default=None)
        if latest is None:
            return None
        returns.append(latest)
    return min(returns, default=None)
