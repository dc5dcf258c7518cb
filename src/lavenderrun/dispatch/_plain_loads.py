"""Load and pace of plain servers that report how long work takes on their machines."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from math import exp
from typing import Final

from lavenderrun.types import BackendId, BackendLoad

PACE_MEMORY: Final = timedelta(milliseconds=200)
"""Time constant with which a reported pace approaches the server's mean pace. The pace changes many
times a second; with a longer time, all hosts choose the server that was fast half a second ago."""

CALLS_MEMORY: Final = timedelta(milliseconds=100)
"""Time constant with which a reported number of calls approaches its mean: calls take some tens of
milliseconds, so the calls that were counted have ended after about that time."""

MEAN_CALLS_MEMORY: Final = timedelta(seconds=2)
"""Time constant of the mean number of calls: a host of a large fleet sees a server about once a
second, and the callers of a data centre swing within some seconds."""

MAX_AVERAGED_REPORTS: Final = 100
"""Number of answers over which pace and time of a server are averaged."""

TIME_PRIOR_CALLS: Final = 20
"""Weight, in calls, of the assumption that a server takes as long as the others: the times of calls
vary by about their mean, so that a few calls do not tell a slow server from a fast one."""

MAX_SAMPLE_RATIO: Final = 4.0
"""A call counts at most as this multiple of the mean time, so that one stall is no slow server."""

MIN_TIME_RATIO: Final = 0.5
MAX_TIME_RATIO: Final = 2.0
"""Bounds of a server's mean time relative to the others. Above, the cost of poor health applies."""

MIN_PACE_RATIO: Final = 0.25
MAX_PACE_RATIO: Final = 4.0
"""Bounds of a pace relative to the server's mean pace, so that one report never decides alone."""


@dataclass(frozen=True)
class ExpectedLoad:
    """What is expected at a plain server now.

    :param calls: calls that run or wait there.
    :param time_factor: how long a call takes there, as a multiple of the mean of the servers.
    :param age: time since the server's last report.
    """

    calls: float
    time_factor: float
    age: timedelta


@dataclass
class _ServerReports:
    """Reports of one server.

    :param others: calls of other hosts in the last report.
    """

    at: datetime
    others: float
    mean_others: float
    pace: float
    mean_pace: float
    reports: int = 1
    mean_seconds: float = 0.0
    times: int = 0


class PlainLoads:
    """Expected load and time factor of the plain servers that report a pace; others have none."""

    def __init__(self) -> None:
        self._servers: dict[BackendId, _ServerReports] = {}

    def observe_load(self, member: BackendId, load: BackendLoad, own: int, now: datetime) -> None:
        """Record the load that a server reports; one without a pace is ignored.

        :param own: calls of this host there when the answer came.
        """
        if load.pace is None:
            return
        others = max(0, load.running + load.waiting - own)
        server = self._servers.get(member)
        if server is None:
            self._servers[member] = _ServerReports(now, others, others, load.pace, 1.0)
            return
        kept = _decay(now - server.at, MEAN_CALLS_MEMORY)
        server.mean_others += (others - server.mean_others) * (1 - kept)
        server.reports = min(server.reports + 1, MAX_AVERAGED_REPORTS)
        server.mean_pace += (load.pace - server.mean_pace) / server.reports
        server.at, server.others, server.pace = now, others, load.pace

    def observe_time(self, member: BackendId, took: timedelta) -> None:
        """Record how long a call took that found no queue at a server which reports its pace."""
        server = self._servers.get(member)
        if server is None:
            return
        seconds = took.total_seconds()
        if server.mean_seconds:
            seconds = min(seconds, MAX_SAMPLE_RATIO * server.mean_seconds)
        server.times = min(server.times + 1, MAX_AVERAGED_REPORTS)
        server.mean_seconds += (seconds - server.mean_seconds) / server.times

    def forget(self, member: BackendId) -> None:
        """Drop what is known of a server that is gone or was restarted."""
        self._servers.pop(member, None)

    def find_expected(
        self, members: Collection[BackendId], own: Mapping[BackendId, int], now: datetime
    ) -> dict[BackendId, ExpectedLoad]:
        """Return what is expected at those of *members* that report a pace.

        :param members: servers of one service, whose times are compared.
        :param own: calls of this host now, by server.
        """
        known = {m: server for m in members if (server := self._servers.get(m)) is not None}
        timed = [server for server in known.values() if server.times]
        total = sum(server.times for server in timed)
        mean = sum(server.mean_seconds * server.times for server in timed) / (total or 1)
        return {
            member: ExpectedLoad(
                own.get(member, 0) + _expect_others(server, now),
                _find_time_ratio(server, mean) * _find_pace_ratio(server, now),
                now - server.at,
            )
            for member, server in known.items()
        }


def _decay(age: timedelta, memory: timedelta) -> float:
    return exp(-max(age, timedelta(0)) / memory)


def _expect_others(server: _ServerReports, now: datetime) -> float:
    age = now - server.at
    mean = server.mean_others * _decay(age, MEAN_CALLS_MEMORY)
    return mean + (server.others - server.mean_others) * _decay(age, CALLS_MEMORY)


def _find_pace_ratio(server: _ServerReports, now: datetime) -> float:
    ratio = min(MAX_PACE_RATIO, max(MIN_PACE_RATIO, server.pace / server.mean_pace))
    return 1 + (ratio - 1) * _decay(now - server.at, PACE_MEMORY)


def _find_time_ratio(server: _ServerReports, mean_seconds: float) -> float:
    if not server.times or not mean_seconds:
        return 1.0
    ratio = server.mean_seconds / mean_seconds
    weight = server.times / (server.times + TIME_PRIOR_CALLS)
    return min(MAX_TIME_RATIO, max(MIN_TIME_RATIO, 1 + (ratio - 1) * weight))
