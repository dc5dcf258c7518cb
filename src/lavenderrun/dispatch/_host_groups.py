"""Groups of hosts that exchange soft state through an aggregator, in large fleets."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.types import DataCentre, GroupId, HostId

MAX_DIRECT_HOSTS: Final = 96
"""Number of hosts up to which each host sends its soft state to each other host."""

MAX_GROUP_HOSTS: Final = 48
"""Most hosts of a group. Its aggregator sends to each of them up to ten times a second."""

NO_DATA_CENTRE: Final = DataCentre("")
"""Data centre of a host whose release does not state one in its row."""

TAKEOVER_AFTER: Final = timedelta(milliseconds=500)
"""Silence of an aggregator after which the next host by name takes its place."""


@dataclass(frozen=True)
class HostGroup:
    """Hosts of one data centre that share an aggregator.

    :param hosts: its hosts, sorted by name; the first live one aggregates.
    """

    id: GroupId
    hosts: tuple[HostId, ...]


class GroupPlan:
    """Which group each host belongs to, the same on each host that knows the same rows.

    :ivar groups: groups in the order of their ids.
    :ivar is_aggregated: whether soft state goes through aggregators.
    """

    def __init__(self, data_centres: Mapping[HostId, DataCentre]) -> None:
        by_data_centre: dict[DataCentre, list[HostId]] = {}
        for host in sorted(data_centres):
            by_data_centre.setdefault(data_centres[host], []).append(host)
        self.groups: dict[GroupId, HostGroup] = {}
        for data_centre in sorted(by_data_centre):
            self._divide(data_centre, by_data_centre[data_centre])
        self._groups_by_host = {
            host: group for group in self.groups.values() for host in group.hosts
        }
        self.is_aggregated = (
            len(data_centres) > MAX_DIRECT_HOSTS and NO_DATA_CENTRE not in by_data_centre
        )

    def _divide(self, data_centre: DataCentre, hosts: list[HostId]) -> None:
        """Divide the hosts of a data centre into groups of nearly equal size."""
        count = math.ceil(len(hosts) / MAX_GROUP_HOSTS)
        for number in range(count):
            first, end = (len(hosts) * n // count for n in (number, number + 1))
            group = HostGroup(GroupId(f"{data_centre}/{number}"), tuple(hosts[first:end]))
            self.groups[group.id] = group

    def find(self, host: HostId) -> HostGroup | None:
        """Return the group of *host*, ``None`` when the host is not known."""
        return self._groups_by_host.get(host)


@dataclass
class _Candidate:
    """A host of the own group that may aggregate.

    :param heard: when its last sum came.
    :param answered: when its last sum came that counts a report of this host, or when this host
        first tried it.
    :param is_confirmed: such a sum has come since it last counted as silent.
    :param unanswered: sequence and time of the oldest report to it that no sum counts yet.
    """

    heard: datetime | None = None
    answered: datetime | None = None
    is_confirmed: bool = False
    unanswered: tuple[int, datetime] | None = None
    last_sequence: int = 0

    def is_live(self, now: datetime) -> bool:
        if self.answered is None or now - self.answered >= TAKEOVER_AFTER:
            return False
        return self.unanswered is None or now - self.unanswered[1] < TAKEOVER_AFTER


class AggregatorChoice:
    """Which host of the own group aggregates now, as this host sees it.

    It is the first host by name that counts this host's reports in its sums. An aggregator that is
    heard but does not hear this host is passed over like a silent one.
    """

    def __init__(self, own: HostId, group: HostGroup) -> None:
        self._own = own
        self._hosts = group.hosts
        self._candidates = {host: _Candidate() for host in group.hosts}

    def choose(self, now: datetime) -> list[HostId]:
        """Return the hosts to report to; the first one aggregates.

        It is this host itself when all before it are passed over. Further hosts are those that are
        tried at the same time: one more than were passed over, so that half a group that is lost
        at once costs a few tries.
        """
        targets: list[HostId] = []
        passed_over = 0
        for host in self._hosts:
            if host == self._own or len(targets) > passed_over:
                break
            candidate = self._candidates[host]
            if candidate.answered is None:
                candidate.answered = now
            if candidate.is_live(now):
                targets.append(host)
                if candidate.is_confirmed:
                    break
            else:
                candidate.is_confirmed = False
                passed_over += 1
        return targets or [self._own]

    def list_returning(self, chosen: HostId, now: datetime) -> list[HostId]:
        """Return hosts before *chosen* whose sums are heard, although they were passed over."""
        earlier = self._hosts[: self._hosts.index(chosen)]
        return [
            host
            for host in earlier
            if (heard := self._candidates[host].heard) is not None and now - heard < TAKEOVER_AFTER
        ]

    def note_sent(self, target: HostId, sequence: int, now: datetime) -> None:
        """Record that a report was sent to *target*."""
        candidate = self._candidates[target]
        candidate.last_sequence = sequence
        if candidate.unanswered is None:
            candidate.unanswered = (sequence, now)

    def note_sum(self, sender: HostId, counted: int | None, now: datetime) -> None:
        """Record that a sum of *sender* came.

        :param counted: sequence of this host's report that it counts, ``None`` without one.
        """
        candidate = self._candidates.get(sender)
        if candidate is None:
            return
        candidate.heard = now
        if counted is None:
            return
        candidate.answered = now
        candidate.is_confirmed = True
        if candidate.unanswered is not None and counted >= candidate.unanswered[0]:
            is_last = counted >= candidate.last_sequence
            candidate.unanswered = None if is_last else (counted + 1, now)

    def is_answered(self, target: HostId) -> bool:
        """Tell whether the sums of *target* count the last report that was sent to it."""
        return self._candidates[target].unanswered is None
