"""Times for which backend servers asked this host to send them nothing."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import Incarnation, Member

MAX_REST: Final = timedelta(minutes=10)
"""Longest rest that is granted; a server that still wants none then answers the first call so."""

SPREAD_SHARE: Final = 0.25
MAX_SPREAD: Final = timedelta(seconds=1)
"""Bounds of the random time, as a share of the rest and in all, by which a host returns later than
it may: other hosts got the same answer at the same time."""

MAX_RESTS: Final = 1024
"""Rests that are kept; the oldest are over."""


@dataclass
class ServerRest:
    """The rest of one run of a server.

    :param asked: when the server last asked for it.
    :param ends: when the server may be called again.
    :param returns: when this host calls it again, at or after that.
    :param is_on_trial: the first call after the rest is under way.
    """

    asked: datetime
    ends: datetime
    returns: datetime
    is_on_trial: bool = False


class ServerRests:
    """Rests of backend servers.

    After a rest one call is sent first. Further calls follow once the server has taken it, so that
    the calls that waited do not arrive all at once.
    """

    def __init__(self) -> None:
        # in order of their begin
        self._rests: dict[Incarnation, ServerRest] = {}

    def begin(self, member: Member, wait: timedelta, now: datetime, spread: float) -> None:
        """Record that *member* wants no calls for *wait*.

        :param spread: a random number from 0 to 1, different on each host.
        """
        granted = min(wait, MAX_REST)
        old = self._rests.pop(member.incarnation, None)
        ends = now + granted if old is None else max(old.ends, now + granted)
        delay = min((ends - now) * SPREAD_SHARE, MAX_SPREAD) * spread
        self._rests[member.incarnation] = ServerRest(now, ends, ends + delay)
        while len(self._rests) > MAX_RESTS:
            del self._rests[next(iter(self._rests))]

    def forbids(self, member: Member, now: datetime) -> bool:
        """Tell whether *member* wants no calls now."""
        rest = self._find(member)
        return rest is not None and now < rest.ends

    def is_resting(self, member: Member, now: datetime) -> bool:
        """Tell whether *member* is left out: it rests, or the call that tries it is under way."""
        rest = self._find(member)
        return rest is not None and (rest.is_on_trial or now < rest.returns)

    def start_trial(self, member: Member, now: datetime) -> bool:
        """Record that a call is sent; return whether it is the first one after a rest."""
        rest = self._find(member)
        if rest is None or rest.is_on_trial or now < rest.returns:
            return False
        rest.is_on_trial = True
        return True

    def end_trial(self, member: Member, *, accepted: bool) -> None:
        """Record how the first call after a rest ended.

        :param accepted: the server took the call; else another call tries it.
        """
        rest = self._find(member)
        if rest is None:
            return
        if accepted:
            del self._rests[member.incarnation]
        else:
            rest.is_on_trial = False

    def find_return(self, members: Iterable[Member], now: datetime) -> datetime | None:
        """Return when the first of *members* is called again, ``None`` unless all of them rest."""
        returns: list[datetime] = []
        for member in members:
            rest = self._find(member)
            if rest is None or now >= rest.returns:
                return None
            returns.append(rest.returns)
        return min(returns, default=None)

    def find(self, member: Member, now: datetime) -> ServerRest | None:
        """Return the rest because of which *member* is left out now, ``None`` without one."""
        return self._find(member) if self.is_resting(member, now) else None

    def _find(self, member: Member) -> ServerRest | None:
        # the digest in an incarnation is computed only when any server rests
        return self._rests.get(member.incarnation) if self._rests else None
