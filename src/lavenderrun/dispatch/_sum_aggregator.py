"""What an aggregator knows: reports of the hosts of its group and sums of the other groups."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch._host_groups import TAKEOVER_AFTER, GroupPlan, HostGroup
from lavenderrun.dispatch._occupancy import REPORT_LIFETIME
from lavenderrun.dispatch._soft_state import SumKey, Sums, SumValue, age_sums, combine_sums
from lavenderrun.dispatch._sum_assembler import SumStamp
from lavenderrun.types import GroupId, HostId

HEARD_FOR: Final = 2 * TAKEOVER_AFTER
"""How long the last sender of a group's sum counts as its aggregator: two losses are tolerated."""

FRESH_FOR: Final = timedelta(seconds=1.25)
"""Age up to which a report shows that its host is heard; hosts report at least each second."""


@dataclass(frozen=True)
class _HostReport:
    stamp: SumStamp
    at: datetime
    sums: Sums


@dataclass(frozen=True)
class GroupSum:
    """Sum of one group, as one host had it.

    :param sender: the host that added it up.
    :param hosts: how many hosts the sender heard.
    """

    sender: HostId
    hosts: int
    at: datetime
    sums: Sums


class SumAggregator:
    """Adds up the newest soft state of the hosts of a group, and the newest sums of all groups."""

    def __init__(self, plan: GroupPlan, own: HostGroup, now: datetime) -> None:
        self._plan = plan
        self._own = own
        self._reports: dict[HostId, _HostReport] = {}
        self._groups: dict[GroupId, GroupSum] = {}
        self._began = now

    def begin(self, now: datetime) -> None:
        """Record that this host aggregates from now on."""
        self._began = now

    def change_plan(self, plan: GroupPlan, own: HostGroup) -> None:
        """Take over a new plan, and drop what no longer belongs to it."""
        self._plan, self._own = plan, own
        self._reports = {h: r for h, r in self._reports.items() if h in own.hosts}
        self._groups = {g: s for g, s in self._groups.items() if g in plan.groups and g != own.id}

    def take_report(self, host: HostId, stamp: SumStamp, sums: Sums, now: datetime) -> bool:
        """Take a host's soft state; return whether it changes the sums."""
        if host not in self._own.hosts:
            return False
        old = self._reports.get(host)
        self._reports[host] = _HostReport(stamp, now, sums)
        return old is None or old.sums != sums

    def take_group_sum(self, group: GroupId, found: GroupSum) -> bool:
        """Take another group's sum; return whether it changes the sums.

        Of two hosts that aggregate a group at once, the one that hears more hosts is taken;
        otherwise the newest sum is.
        """
        if group == self._own.id or group not in self._plan.groups:
            return False
        old = self._groups.get(group)
        if (
            old is not None
            and old.sender != found.sender
            and old.hosts > found.hosts
            and found.at - old.at < TAKEOVER_AFTER
        ):
            return False
        self._groups[group] = found
        return old is None or old.sums != found.sums

    def find_counted(self, host: HostId) -> SumStamp | None:
        """Return the stamp of the report of *host* that the sums count, ``None`` without one."""
        report = self._reports.get(host)
        return None if report is None else report.stamp

    def count_heard(self, now: datetime) -> int:
        """Return how many other hosts of the group are heard."""
        return sum(now - report.at < FRESH_FOR for report in self._reports.values())

    def sum_members(self, now: datetime) -> dict[SumKey, SumValue]:
        """Return the sum of the other hosts of the group."""
        since = now - REPORT_LIFETIME
        self._reports = {h: r for h, r in self._reports.items() if r.at >= since}
        return combine_sums(age_sums(r.sums, now - r.at) for r in self._reports.values())

    def sum_groups(self, now: datetime) -> dict[SumKey, SumValue]:
        """Return the sum of the other groups."""
        since = now - REPORT_LIFETIME
        self._groups = {g: s for g, s in self._groups.items() if s.at >= since}
        return combine_sums(age_sums(s.sums, now - s.at) for s in self._groups.values())

    def list_contacts(self, now: datetime) -> Mapping[GroupId, tuple[HostId, bool]]:
        """Return, for each other group, the host to send to and whether it is heard.

        In a group that is not heard, the hosts are tried in the order of their names.
        """
        return {
            group.id: self._find_contact(group, now)
            for group in self._plan.groups.values()
            if group.id != self._own.id
        }

    def _find_contact(self, group: HostGroup, now: datetime) -> tuple[HostId, bool]:
        last = self._groups.get(group.id)
        if last is not None and now - last.at < HEARD_FOR and last.sender in group.hosts:
            return last.sender, True
        silent_since = self._began if last is None else max(self._began, last.at + HEARD_FOR)
        turn = max(timedelta(0), now - silent_since) // TAKEOVER_AFTER
        return group.hosts[turn % len(group.hosts)], False

    def list_ages(self, now: datetime) -> dict[GroupId, timedelta]:
        """Return the age of each other group's sum."""
        return {group: now - found.at for group, found in self._groups.items()}
