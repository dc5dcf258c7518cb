"""What the calls of each rank need of a service's decode engines, over this host and its peers."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from math import inf
from typing import Final

from lavenderrun.dispatch._occupancy import REPORT_LIFETIME
from lavenderrun.types import HostId, ServiceGroup

ARRIVAL_WINDOW: Final = timedelta(seconds=5)
"""Time over which arrivals are counted: with fewer than ten calls a second, a shorter time tells a
burst of two from the usual load no more."""

EXPECTED_ARRIVALS_TIME: Final = timedelta(milliseconds=300)
"""Time for whose arrivals of higher ranks lower ranks leave room: a slot that is given away is free
again about a second later, and some engine frees one within some 100 ms."""


@dataclass(frozen=True)
class Demand:
    """A number of calls and the tokens of KV cache that they need together."""

    calls: int = 0
    tokens: int = 0

    def __add__(self, other: Demand) -> Demand:
        return Demand(self.calls + other.calls, self.tokens + other.tokens)

    def __sub__(self, other: Demand) -> Demand:
        return Demand(self.calls - other.calls, self.tokens - other.tokens)


NO_DEMAND: Final = Demand()

RankedDemand = Mapping[ServiceGroup, Mapping[int, Demand]]
"""Demand by service and rank."""


class FleetDemand:
    """Demand of this host's calls, and the demand that peers report.

    :ivar own: demand of this host's calls.
    """

    def __init__(self) -> None:
        self.own: RankedDemand = {}
        # in order of their last reports, so that stale ones come first
        self._peers: dict[HostId, tuple[datetime, RankedDemand]] = {}
        self._peer_sums: dict[ServiceGroup, dict[int, Demand]] = {}

    def apply_peer_report(self, host: HostId, demand: RankedDemand, now: datetime) -> None:
        """Replace the demand of the peer *host*, or of a group of peers, by what it reports now."""
        self._drop_peer(host)
        self._peers[host] = (now, demand)
        for service, ranks in demand.items():
            sums = self._peer_sums.setdefault(service, {})
            for rank, part in ranks.items():
                sums[rank] = sums.get(rank, NO_DEMAND) + part

    def drop_stale_reports(self, now: datetime) -> None:
        """Drop the demand of peers that have not reported for ``REPORT_LIFETIME``."""
        while self._peers:
            host, (reported_at, _) = next(iter(self._peers.items()))
            if now - reported_at <= REPORT_LIFETIME:
                return
            self._drop_peer(host)

    def _drop_peer(self, host: HostId) -> None:
        _, demand = self._peers.pop(host, (None, {}))
        for service, ranks in demand.items():
            sums = self._peer_sums.get(service, {})
            for rank, part in ranks.items():
                rest = sums.pop(rank, NO_DEMAND) - part
                if rest != NO_DEMAND:
                    sums[rank] = rest
            if not sums:
                self._peer_sums.pop(service, None)

    def list_peer_ranks(self, service: ServiceGroup) -> frozenset[int]:
        """Return the ranks of which other hosts have calls."""
        return frozenset(self._peer_sums.get(service, ()))

    def find_oldest_age(self, now: datetime) -> timedelta | None:
        """Return the age of the oldest report that counts, ``None`` without any."""
        return next((now - reported_at for reported_at, _ in self._peers.values()), None)

    def sum_peers(self, service: ServiceGroup, below: float = inf) -> Demand:
        """Return the demand of the other hosts' calls whose ranks are less than *below*."""
        return _sum_ranks(self._peer_sums.get(service, {}), below)

    def sum_all(self, service: ServiceGroup, below: float = inf) -> Demand:
        """Return the demand of all hosts' calls whose ranks are less than *below*."""
        return self.sum_peers(service, below) + _sum_ranks(self.own.get(service, {}), below)

    def list_all(self) -> dict[tuple[ServiceGroup, int], Demand]:
        """Return the demand of all hosts by service and rank."""
        sums: dict[tuple[ServiceGroup, int], Demand] = {}
        for demand in (self.own, self._peer_sums):
            for service, ranks in demand.items():
                for rank, part in ranks.items():
                    sums[service, rank] = sums.get((service, rank), NO_DEMAND) + part
        return sums


def _sum_ranks(ranks: Mapping[int, Demand], below: float) -> Demand:
    return sum((part for rank, part in ranks.items() if rank < below), start=NO_DEMAND)


class ArrivalWindow:
    """Counts the calls that arrived at this host within ``ARRIVAL_WINDOW``."""

    def __init__(self) -> None:
        self._arrivals: deque[tuple[datetime, ServiceGroup, int, int]] = deque()

    def add(self, service: ServiceGroup, rank: int, tokens: int, now: datetime) -> None:
        """Count a call that needs *tokens*."""
        self._arrivals.append((now, service, rank, tokens))

    def sum(self, now: datetime) -> RankedDemand:
        """Return the demand of the calls that arrived within the window."""
        while self._arrivals and self._arrivals[0][0] < now - ARRIVAL_WINDOW:
            self._arrivals.popleft()
        sums: dict[ServiceGroup, dict[int, Demand]] = {}
        for _, service, rank, tokens in self._arrivals:
            ranks = sums.setdefault(service, {})
            ranks[rank] = ranks.get(rank, NO_DEMAND) + Demand(1, tokens)
        return sums


def expect_arrivals(arrived: Demand) -> Demand:
    """Return the demand that is expected to arrive within ``EXPECTED_ARRIVALS_TIME``.

    It is of whole calls, to the nearest: a slot that is kept free for a small part of a call would
    mostly stay unused.

    :param arrived: what arrived within ``ARRIVAL_WINDOW``.
    """
    calls = round(arrived.calls * (EXPECTED_ARRIVALS_TIME / ARRIVAL_WINDOW))
    return Demand(calls, calls * arrived.tokens // arrived.calls) if calls else NO_DEMAND
