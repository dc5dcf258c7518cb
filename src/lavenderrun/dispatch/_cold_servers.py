"""Backend servers that are cold: slow, and lost when they get too many calls a second."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import datetime, timedelta
from enum import Enum
from typing import Final

from lavenderrun.types import BackendId, GatewayBounds, Member, MemberState

KNOWN_AFTER: Final = timedelta(seconds=2)
"""How long rows have been read before a new run of a server counts as a start during traffic: the
rows that a host finds at its own start are of servers that may have run for long."""

MAX_TOLD: Final = timedelta(minutes=1)
"""Longest time that one answer can make its server count as cold; a later answer extends it."""

MAX_RUNS: Final = 4096
"""Servers whose last run is remembered; the oldest are long gone."""

SETTLING_TIME: Final = timedelta(seconds=1)
"""Time without calls to a server that was warm: other hosts may not know yet that it is cold, and
send as before. Rows of servers are read by all hosts within about that time."""

NO_TIME: Final = timedelta(0)


class ColdSource(Enum):
    """From what it follows that a server is cold."""

    ROW = "row"
    START = "start"
    ANSWER = "answer"
    EVACUATION = "evacuation"


def find_call_rate(cold_rate: float, bounds: GatewayBounds) -> float:
    """Return how many calls a second all hosts together may send to one cold server.

    Zero is for no bound; it takes the configuration and the settings to set one.

    :param cold_rate: calls a second that a cold server takes by the configuration.
    """
    limit = cold_rate * bounds.cold_excess + bounds.cold_reserve
    return min(cold_rate, limit)


@dataclass
class _ServerRun:
    """One run of a server.

    :param row_time: how long it stays cold, by its newest row.
    :param row_ends: when it is warm by its row and its start.
    :param told_ends: when it is warm by its answers and the end of an evacuation.
    :param settled: when all hosts are taken to know that it is cold.
    """

    started: int
    row_time: timedelta
    row_ends: datetime
    told_ends: datetime
    settled: datetime


class ColdServers:
    """Until when each run of a server is cold, by this host's clock.

    A newer row replaces what the row before it said. What an answer or the end of an evacuation
    says is never shortened, because rows are read late.
    """

    def __init__(self) -> None:
        # in order of their newest rows
        self._runs: dict[BackendId, _ServerRun] = {}
        self._known_since: datetime | None = None

    def note_change(
        self, old: Member | None, new: Member, cold_time: timedelta, now: datetime
    ) -> ColdSource | None:
        """Record a new or changed server; return from what it follows that it is cold anew.

        A row that says the same time once more does not extend it.

        :param old: its state before, ``None`` for a new server.
        :param cold_time: how long servers of its service are cold after a start.
        """
        was_cold = self.find_left(new, now) is not None
        source = self._note_row(new, cold_time, now)
        is_back = old is not None and old.state is MemberState.EVACUATED
        if is_back and new.state is MemberState.READY:
            source = ColdSource.EVACUATION
            run = self._runs[new.id]
            run.told_ends = max(run.told_ends, now + cold_time)
        return None if was_cold or self.find_left(new, now) is None else source

    def _note_row(self, member: Member, cold_time: timedelta, now: datetime) -> ColdSource:
        self._known_since = self._known_since or now
        run = self._runs.pop(member.id, None)
        row_time, source = member.warmup, ColdSource.ROW
        if run is None or run.started != member.started:
            is_start = now - self._known_since >= KNOWN_AFTER
            # a row without a time may have been written before the server knew that it is cold
            if is_start and not NO_TIME < row_time <= cold_time:
                row_time, source = max(row_time, cold_time), ColdSource.START
            settled = now if run is None else now + SETTLING_TIME
            run = _ServerRun(member.started, member.warmup, now + row_time, now, settled)
        elif row_time != run.row_time:
            if max(run.row_ends, run.told_ends) <= now:
                run.settled = now + SETTLING_TIME
            run.row_time, run.row_ends = row_time, now + row_time
        self._runs[member.id] = run
        if len(self._runs) > MAX_RUNS:
            del self._runs[next(iter(self._runs))]
        return source

    def note_answer(self, member: Member, left: timedelta, now: datetime) -> ColdSource | None:
        """Record for how long an answer of *member* said it stays cold.

        :return: the source if the server is cold anew.
        """
        run = self._runs.get(member.id)
        if run is None or run.started != member.started:
            return None
        was_cold = self.find_left(member, now) is not None
        run.told_ends = max(run.told_ends, now + min(left, MAX_TOLD))
        if was_cold or left <= NO_TIME:
            return None
        run.settled = now + SETTLING_TIME
        return ColdSource.ANSWER

    def note_return(self, member: Member, cold_time: timedelta, now: datetime) -> ColdSource | None:
        """Record that *member* accepts connections again after it refused one: it started anew.

        A host that is out of contact with the store learns of a start by nothing else.

        :return: the source if the server is cold anew.
        """
        source = self.note_answer(member, cold_time, now)
        return None if source is None else ColdSource.START

    def is_settled(self, member: Member, now: datetime) -> bool:
        """Tell whether all hosts are taken to know that *member* is cold, so that shares hold."""
        run = self._runs.get(member.id)
        return run is None or now >= run.settled

    def find_left(self, member: Member, now: datetime) -> timedelta | None:
        """Return how long *member* stays cold, ``None`` when it is not."""
        run = self._runs.get(member.id)
        if run is None or run.started != member.started:
            return None
        left = max(run.row_ends, run.told_ends) - now
        return left if left > NO_TIME else None
