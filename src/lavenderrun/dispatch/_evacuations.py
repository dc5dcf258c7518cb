"""Data centres that operators evacuate: no call goes to their backend servers."""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace
from datetime import datetime

from lavenderrun.types import DataCentre, DocumentVersion, HostId, Member, MemberState


@dataclass(frozen=True)
class EvacuationNotice:
    """The operator's newest instruction about one data centre.

    :param version: the store's version of that instruction.
    :param told_by: the host that read it in the store.
    :param heard: when this host heard of it.
    """

    version: DocumentVersion
    is_evacuated: bool
    told_by: HostId
    heard: datetime


class Evacuations:
    """The operator's newest instruction about each data centre; an older one has no effect.

    The store's versions order all instructions, whichever host read them.
    """

    def __init__(self) -> None:
        self._notices: dict[DataCentre, EvacuationNotice] = {}

    @property
    def evacuated(self) -> frozenset[DataCentre]:
        """Data centres that are evacuated now."""
        return frozenset(name for name, notice in self._notices.items() if notice.is_evacuated)

    @property
    def notices(self) -> Mapping[DataCentre, EvacuationNotice]:
        """The newest instruction about each data centre that an operator ever evacuated."""
        return self._notices

    def record(self, data_centre: DataCentre, notice: EvacuationNotice) -> bool:
        """Record an instruction of the operator; return whether it changes what holds."""
        known = self._notices.get(data_centre)
        if known is not None and known.version >= notice.version:
            return False
        self._notices[data_centre] = notice
        return notice.is_evacuated != (known is not None and known.is_evacuated)

    def record_absent(
        self, present: Iterable[DataCentre], notice: EvacuationNotice
    ) -> list[DataCentre]:
        """Record a whole read of the store; return the data centres that are evacuated no more.

        :param present: data centres that are evacuated according to that read.
        :param notice: the instruction that holds for all others.
        """
        absent = set(self._notices) - set(present)
        return [name for name in sorted(absent) if self.record(name, notice)]

    def find(self, member: Member) -> EvacuationNotice | None:
        """Return the instruction that keeps calls from *member*, ``None`` without one."""
        notice = self._notices.get(member.data_centre)
        return notice if notice is not None and notice.is_evacuated else None

    def apply(self, member: Member) -> Member:
        """Return *member* as evacuated if its data centre is and it could take calls else."""
        if self.find(member) is None or member.state is not MemberState.READY:
            return member
        return replace(member, state=MemberState.EVACUATED)
