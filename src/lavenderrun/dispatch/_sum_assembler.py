"""Puts together messages with sums that come in several datagrams, in any order or not at all."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final, NamedTuple

from lavenderrun.dispatch._soft_state import SumKey, Sums, SumValue
from lavenderrun.types import BootId, HostId

MAX_PARTS: Final = 64
"""Most datagrams of one message: half a megabyte at the size to which senders split."""


class SumStamp(NamedTuple):
    """Tells which of two messages of a host is newer.

    :param boot: id of the current run of the host's process.
    :param sequence: number of the message within that run, from one.
    """

    boot: BootId
    sequence: int


@dataclass
class _Source:
    """What came from one host.

    :param newest: stamp of the newest message begun.
    :param ended_boot: run before the present one; what it sent may still be under way.
    """

    newest: SumStamp
    parts: dict[int, Sums]
    ended_boot: BootId | None = None


class SumAssembler:
    """Returns each message once all of its parts have come, and none that is older than another."""

    def __init__(self) -> None:
        self._sources: dict[HostId, _Source] = {}

    def keep(self, hosts: frozenset[HostId]) -> None:
        """Forget all hosts except *hosts*."""
        self._sources = {host: s for host, s in self._sources.items() if host in hosts}

    def take(
        self, host: HostId, stamp: SumStamp, part: int, parts: int, sums: Sums
    ) -> dict[SumKey, SumValue] | None:
        """Take one part; return the sums of the message if it is complete now."""
        if not 0 <= part < parts <= MAX_PARTS or not self._is_new(host, stamp, part):
            return None
        source = self._sources[host]
        source.parts[part] = sums
        if len(source.parts) < parts:
            return None
        whole: dict[SumKey, SumValue] = {}
        for each in source.parts.values():
            whole.update(each)
        return whole

    def _is_new(self, host: HostId, stamp: SumStamp, part: int) -> bool:
        source = self._sources.get(host)
        if source is None:
            self._sources[host] = _Source(stamp, {})
            return True
        if stamp.boot != source.newest.boot:
            if stamp.boot == source.ended_boot:
                return False
            self._sources[host] = _Source(stamp, {}, source.newest.boot)
            return True
        if stamp.sequence > source.newest.sequence:
            source.newest, source.parts = stamp, {}
            return True
        return stamp.sequence == source.newest.sequence and part not in source.parts
