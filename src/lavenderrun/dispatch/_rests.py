"""Times for which backend servers asked this host to send them nothing."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch._occupancy import ObservedLoad
from lavenderrun.types import Incarnation, Member

MAX_REST: Final = timedelta(minutes=10)
"""Longest rest that is granted; a server that still wants none then answers the first call so."""

SPREAD_SHARE: Final = 0.25
MAX_SPREAD: Final = timedelta(seconds=1)
"""Bounds of the random time, as a share of the rest and in all, by which a host returns later than
it may: other hosts got the same answer at the same time."""

MAX_RETURN_TIME: Final = timedelta(seconds=5)
"""Longest time in which callers that were refused in a rest are taken to come back after it."""

LONG_REST_SHARE: Final = 1 / 3
"""Share of a long rest over which callers that are refused in it are spread after it: the longer
they stay away, the more of them were refused at the same moment."""

MAX_SPREAD_TIME: Final = timedelta(seconds=10)
"""Longest such time."""

ORDER_SHARE: Final = 0.75
"""Share of that time by which callers come back in the order in which they were refused; the rest
is random, for those that were refused at once."""

USABLE_SHARE: Final = 0.75
"""Share of a returning server's slots that hosts fill: what they know of its load is late."""

GROWTH_SHARE: Final = 1 / 3
"""Share of the usable free slots that one host takes between two reports of a returning server's
load: the other hosts see the same free slots."""

MAX_RESTS: Final = 1024
"""Rests that are kept; the oldest are over."""


@dataclass
class ServerRest:
    """The rest of one run of a server.

    :param asked: when the server last asked for it.
    :param ends: when the server may be called again.
    :param returns: when this host calls it again, at or after that.
    :param is_on_trial: the first call after the rest is under way.
    :param is_taken: the server has taken a call after the rest.
    """

    asked: datetime
    ends: datetime
    returns: datetime
    is_on_trial: bool = False
    is_taken: bool = False

    @property
    def return_time(self) -> timedelta:
        """Time over which refused callers come back: as long as they stayed away.

        So, with the new ones, about twice as many calls come as usual.
        """
        return min(self.ends - self.asked, MAX_RETURN_TIME)

    def is_over(self, now: datetime) -> bool:
        """Tell whether the server serves again and those that stayed away have come back."""
        return self.is_taken and now >= self.returns + 2 * self.return_time


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
        if rest is None or rest.is_taken:
            return False
        return rest.is_on_trial or now < rest.returns

    def start_trial(self, member: Member, now: datetime) -> bool:
        """Record that a call is sent; return whether it is the first one after a rest."""
        rest = self._find(member)
        if rest is None or rest.is_taken or rest.is_on_trial or now < rest.returns:
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
        rest.is_on_trial = False
        rest.is_taken = accepted

    def list_returning(self, members: Iterable[Member], now: datetime) -> list[Member]:
        """Return those of *members* that serve again, if all of them rested at the same time.

        Then calls waited and callers were refused. They come back, and those that find no room once
        more, which takes as long again. Without such a time other servers took the calls.
        """
        rests = [(member, self._find(member)) for member in members]
        known = [(member, rest) for member, rest in rests if rest is not None]
        over = [member for member, rest in known if rest.is_over(now)]
        for member in over:
            del self._rests[member.incarnation]
        if over or not known or len(known) < len(rests):
            return []
        if max(rest.asked for _, rest in known) >= min(rest.returns for _, rest in known):
            return []
        return [member for member, rest in known if rest.is_taken]

    def find_return(self, members: Iterable[Member], now: datetime) -> datetime | None:
        """Return when the first of *members* is called again, ``None`` unless all of them rest."""
        rests = [self._find(member) for member in members]
        if any(rest is None or now >= rest.returns for rest in rests):
            return None
        return min((rest.returns for rest in rests if rest is not None), default=None)

    def spread_return(
        self, members: Sequence[Member], now: datetime, spread: float
    ) -> timedelta | None:
        """Return how long after the first return a caller that is refused now should come.

        While all servers rest, callers come back in the order in which they were refused, and over
        as long a time. While some rest or have just served again, callers come within the time
        that this still takes, by the share of these servers. ``None`` without such a server.

        :param spread: a random number from 0 to 1, different for each caller.
        """
        rests = [rest for rest in map(self._find, members) if rest is not None]
        if rests and len(rests) == len(members) and all(now < rest.returns for rest in rests):
            began = max(rest.asked for rest in rests)
            length = min(rest.returns for rest in rests) - began
            share = ORDER_SHARE * ((now - began) / length) + (1 - ORDER_SHARE) * spread
            spread_time = min(length * LONG_REST_SHARE, MAX_SPREAD_TIME)
            return max(min(length, MAX_RETURN_TIME), spread_time) * share
        left = max((rest.returns + rest.return_time - now for rest in rests), default=timedelta(0))
        if left <= timedelta(0):
            return None
        return min(left, MAX_RETURN_TIME) * (len(rests) / len(members)) * spread

    def find(self, member: Member, now: datetime) -> ServerRest | None:
        """Return the rest because of which *member* is left out now, ``None`` without one."""
        return self._find(member) if self.is_resting(member, now) else None

    def _find(self, member: Member) -> ServerRest | None:
        # the digest in an incarnation is computed only when any server rests
        return self._rests.get(member.incarnation) if self._rests else None


def limit_returning_calls(slots: int, load: ObservedLoad | None) -> int:
    """Return how many calls of this host may run at a server that has just served again.

    The number grows with each answer, as far as the server reports free slots.

    :param slots: calls that the server runs at once.
    :param load: its last report, ``None`` without a recent one.
    """
    if load is None:
        return 1
    free = max(0.0, slots * USABLE_SHARE - load.calls)
    return max(1, load.own + int(free * GROWTH_SHARE))
