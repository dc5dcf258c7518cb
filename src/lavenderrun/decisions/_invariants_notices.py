"""Invariant checks on what backend servers ask of the hosts that call them."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Any

from lavenderrun.decisions._invariants import INVARIANT_CHECKS, RecordIndex, Violation
from lavenderrun.types import (
    BackendId,
    BackendReceived,
    BackendRejected,
    BackendStarted,
    Event,
    HostId,
    HostLost,
    HostResumed,
    HostStarted,
    HostStopped,
    Invariant,
    LeavingPassedOn,
)

DRAIN_TIME = timedelta(seconds=2)
"""Time after which a host that passed on a server's notice that it leaves sends it no call."""

REACTION_TIME = timedelta(milliseconds=500)
"""Time after which a host that was asked for no calls has stopped sending them."""

MAX_CALLS_IN_REST = 2
"""Calls of one host that may still reach a server between then and the end of that time."""

_INTERRUPTIONS = (HostStarted, HostLost, HostStopped, HostResumed)
"""Events of a host that excuse what it was told before."""

_Pair = tuple[HostId, BackendId]


@dataclass
class _Rest:
    """A time for which a server asked a host for no calls.

    :param calls: number of calls of the host that reached the server within it.
    """

    begins: datetime
    ends: datetime
    calls: int = 0

    def count_call(self, at: datetime) -> int:
        """Count a call that reached the server *at* a time; return how many did so far."""
        self.calls += self.begins < at < self.ends
        return self.calls


@INVARIANT_CHECKS.register(Invariant.LEAVING_SERVER_LEFT_ALONE.value)
def check_departure_notices(index: RecordIndex) -> Iterator[Violation]:
    """No call of a host reaches a server :data:`DRAIN_TIME` after it passed on its notice."""
    told: dict[_Pair, datetime] = {}
    for event in index.events:
        data = event.data
        if isinstance(data, LeavingPassedOn):
            told.setdefault((event.host, data.backend), event.at)
        elif isinstance(data, BackendReceived | BackendRejected):
            elapsed = event.at - told.get((event.host, data.backend), event.at)
            if elapsed > DRAIN_TIME:
                seconds = elapsed.total_seconds()
                text = f"reached {data.backend} {seconds:.2f} s after its notice at {event.host}"
                yield Violation(Invariant.LEAVING_SERVER_LEFT_ALONE, event.at, data.request, text)
        else:
            _forget_pairs(told, event)


@INVARIANT_CHECKS.register(Invariant.REST_KEPT.value)
def check_rests(index: RecordIndex) -> Iterator[Violation]:
    """At most :data:`MAX_CALLS_IN_REST` calls of a host reach a server that asked it for none."""
    rests: dict[_Pair, list[_Rest]] = {}
    for event in index.events:
        data = event.data
        if not isinstance(data, BackendReceived | BackendRejected):
            _forget_pairs(rests, event)
            continue
        known = rests.setdefault((event.host, data.backend), [])
        broken = [rest for rest in known if rest.count_call(event.at) > MAX_CALLS_IN_REST]
        if broken:
            text = f"reached {data.backend} from {event.host}, which it asked for no calls"
            yield Violation(Invariant.REST_KEPT, event.at, data.request, text)
            # each rest is reported once
            known[:] = [rest for rest in known if rest not in broken]
        if isinstance(data, BackendRejected):
            known.append(_Rest(event.at + REACTION_TIME, event.at + data.rest))


def _forget_pairs(pairs: dict[_Pair, Any], event: Event) -> None:
    """Drop what no longer binds: a host was interrupted, or a server started anew."""
    if isinstance(event.data, _INTERRUPTIONS):
        ended = [pair for pair in pairs if pair[0] == event.host]
    elif isinstance(event.data, BackendStarted):
        ended = [pair for pair in pairs if pair[1] == event.data.backend]
    else:
        return
    for pair in ended:
        del pairs[pair]
