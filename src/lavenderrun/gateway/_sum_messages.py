"""Messages with soft state in groups: a host's report, a group's sum, the fleet's sum."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from enum import Enum
from typing import Final

import msgspec

from lavenderrun.decoding import Count, decode_msgpack
from lavenderrun.dispatch import (
    NO_BOOT,
    VALUE_WIDTHS,
    SumKey,
    SumKind,
    Sums,
    SumStamp,
)
from lavenderrun.gateway._log import log
from lavenderrun.gateway._peer_messages import Rank
from lavenderrun.types import BootId, GroupId, HostId

SUM_PREFIX: Final = b"\x00"
"""First byte of datagrams with soft state in groups; no peer report begins with it."""

MAX_ENTRY_BYTES: Final = 8192
"""Size of the entries from which a message is split. A datagram takes 65,507 bytes, and one above
1,472 bytes is lost when any of its fragments is."""

MAX_COUNT: Final = 2**53
"""Largest number that a message holds."""

NO_GROUP: Final = GroupId("")

_KINDS: Final = {kind.value: kind for kind in SumKind}


class MessageKind(Enum):
    """What a message holds."""

    HOST_REPORT = "host"
    GROUP_SUM = "group"
    FLEET_SUM = "fleet"


class SumEntry(msgspec.Struct, array_like=True):
    """One value; ``kind`` is open, as a later release may have further kinds."""

    kind: Count
    name: str
    rank: Rank
    value: tuple[Count, ...]


class SumMessage(msgspec.Struct, array_like=True):
    """One datagram with soft state.

    :param part: number of this datagram among the *parts* of its message, from zero.
    :param group: group that the entries are the sum of; empty in other messages.
    :param hosts: how many hosts the sum counts.
    :param counted_boot: run of the receiver's process whose report is counted, empty without one.
    :param counted: sequence of that report.
    """

    kind: MessageKind
    host: HostId
    boot: BootId
    sequence: Count
    part: Count
    parts: Count
    group: GroupId
    hosts: Count
    counted_boot: BootId
    counted: Count
    entries: Sequence[SumEntry]

    @property
    def stamp(self) -> SumStamp:
        """Which message of the sender this is."""
        return SumStamp(self.boot, self.sequence)


class _EncodedMessage(SumMessage, array_like=True):
    entries: msgspec.Raw  # type: ignore[assignment]


class SumWriter:
    """Encodes one message for several receivers; the entries are encoded once."""

    def __init__(
        self,
        kind: MessageKind,
        host: HostId,
        stamp: SumStamp,
        sums: Sums,
        *,
        group: GroupId = NO_GROUP,
        hosts: int = 1,
    ) -> None:
        self._kind = kind
        self._host = host
        self._stamp = stamp
        self._group = group
        self._hosts = hosts
        self._bodies = [msgspec.Raw(body) for body in _encode_entries(sums)]

    def encode(self, counted: SumStamp | None = None) -> Iterator[bytes]:
        """Return the datagrams for one receiver.

        :param counted: the receiver's report that the sums count.
        """
        boot, sequence = counted or (NO_BOOT, 0)
        for part, body in enumerate(self._bodies):
            message = _EncodedMessage(
                self._kind,
                self._host,
                *self._stamp,
                part,
                len(self._bodies),
                self._group,
                self._hosts,
                boot,
                sequence,
                body,
            )
            yield SUM_PREFIX + msgspec.msgpack.encode(message)


def _encode_entries(sums: Sums) -> Iterator[bytes]:
    """Return encoded arrays of entries of at most ``MAX_ENTRY_BYTES``, at least one."""
    encode = msgspec.msgpack.encode
    part: list[msgspec.Raw] = []
    size = 0
    for (kind, name, rank), value in sums.items():
        entry = encode((int(kind), name, rank, [min(number, MAX_COUNT) for number in value]))
        if part and size + len(entry) > MAX_ENTRY_BYTES:
            yield encode(part)
            part, size = [], 0
        part.append(msgspec.Raw(entry))
        size += len(entry)
    yield encode(part)


def decode_sum_message(datagram: bytes) -> tuple[SumMessage, Sums] | None:
    """Return a message and its sums, ``None`` when anything in it is malformed or out of bounds.

    Entries of kinds that this release does not know are left out.
    """
    try:
        message = decode_msgpack(datagram.removeprefix(SUM_PREFIX), SumMessage)
        sums = {}
        for entry in message.entries:
            kind = _KINDS.get(entry.kind)
            if kind is None:
                continue
            if len(entry.value) != VALUE_WIDTHS[kind]:
                msg = f"value of kind {kind.name} has {len(entry.value)} numbers"
                raise ValueError(msg)
            sums[SumKey(kind, entry.name, entry.rank)] = entry.value
    except ValueError as error:
        log("sums:unreadable", "sums: message is malformed", error=str(error))
        return None
    return message, sums
