"""What keeps calls from backend servers, for those who ask why a call was not served."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum

from lavenderrun.dispatch._departures import DepartureNotice
from lavenderrun.dispatch._evacuations import EvacuationNotice
from lavenderrun.dispatch._rests import ServerRests
from lavenderrun.types import BackendId, HostId, Member


class NoticeKind(Enum):
    """What a backend server says about itself, or an operator about its data centre."""

    LEAVING = "leaving"
    REST = "rest"
    EVACUATED = "evacuated"


@dataclass(frozen=True)
class ServerNotice:
    """A notice that keeps calls from a backend server.

    :param told_by: the host that had the answer with the notice, or read it in the store.
    :param age: time since this host heard it.
    :param left: time until this host calls the server again, ``None`` until it starts anew.
    """

    member: BackendId
    kind: NoticeKind
    told_by: HostId
    age: timedelta
    left: timedelta | None = None


def list_notices(
    members: Iterable[Member],
    find_departure: Callable[[Member], DepartureNotice | None],
    find_evacuation: Callable[[Member], EvacuationNotice | None],
    rests: ServerRests,
    host: HostId,
    now: datetime,
) -> Iterator[ServerNotice]:
    """Yield the notices of *members* that hold now.

    :param host: this host, the only one that is bound by a rest.
    """
    for member in members:
        departure = find_departure(member)
        if departure is not None:
            age = now - departure.heard
            yield ServerNotice(member.id, NoticeKind.LEAVING, departure.told_by, age)
        evacuation = find_evacuation(member)
        if evacuation is not None:
            age = now - evacuation.heard
            yield ServerNotice(member.id, NoticeKind.EVACUATED, evacuation.told_by, age)
        rest = rests.find(member, now)
        if rest is not None:
            left = max(timedelta(0), rest.returns - now)
            yield ServerNotice(member.id, NoticeKind.REST, host, now - rest.asked, left)
