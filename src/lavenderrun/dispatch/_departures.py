"""Runs of backend servers that said, in an answer, that they are leaving."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from datetime import datetime
from typing import Final

from lavenderrun.types import BackendId, HostId, Incarnation, Member, MemberState

MAX_NOTICES: Final = 1024
"""Notices that are kept; the oldest are of servers that are long gone."""


@dataclass(frozen=True)
class DepartureNotice:
    """From whom and when this host heard that a server is leaving.

    :param told_by: the host that had the answer in which the server said so.
    """

    told_by: HostId
    heard: datetime


class DepartureNotices:
    """Servers' own notices that they leave, which hold beside their rows in the store.

    A notice holds until the server starts anew: no row, and no outage of the store, takes it back.
    """

    def __init__(self) -> None:
        # in order of their arrival
        self._noticed: dict[Incarnation, DepartureNotice] = {}
        self._ahead_of_rows: dict[BackendId, Incarnation] = {}

    def record(self, incarnations: Iterable[Incarnation], notice: DepartureNotice) -> bool:
        """Record servers that said they leave; return whether any is new."""
        new = [incarnation for incarnation in incarnations if incarnation not in self._noticed]
        self._noticed.update(dict.fromkeys(new, notice))
        while len(self._noticed) > MAX_NOTICES:
            del self._noticed[next(iter(self._noticed))]
        return bool(new)

    def apply(self, row: Member) -> Member:
        """Return the server as its row describes it, leaving if it said so."""
        self._ahead_of_rows.pop(row.id, None)
        if not self._noticed or row.state is MemberState.LEAVING:
            return row
        incarnation = row.incarnation
        if incarnation not in self._noticed:
            return row
        self._ahead_of_rows[row.id] = incarnation
        return replace(row, state=MemberState.LEAVING)

    def find(self, member: Member) -> DepartureNotice | None:
        """Return the first notice of this run of a server, ``None`` without one."""
        # the digest in an incarnation is computed only when any server said so
        return self._noticed.get(member.incarnation) if self._noticed else None

    def forget_row(self, member: BackendId) -> None:
        """Record that the server has no row any more."""
        self._ahead_of_rows.pop(member, None)

    def list_ahead_of_rows(self) -> list[Incarnation]:
        """Return the servers that said they leave while their rows don't say so."""
        return list(self._ahead_of_rows.values())
