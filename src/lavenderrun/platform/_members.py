"""Rows by which backend servers announce themselves."""

from __future__ import annotations

from datetime import timedelta
from typing import Final

import msgspec

from lavenderrun.types import (
    BackendId,
    BackendRole,
    DataCentre,
    Member,
    MemberState,
    ServiceGroup,
)

STATES: Final = {"ready": MemberState.READY, "draining": MemberState.LEAVING}
ROLES: Final = {
    None: BackendRole.PLAIN,
    "prefill": BackendRole.PREFILL,
    "decode": BackendRole.DECODE,
    "colocated": BackendRole.DECODE,
}


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    addr: str
    zone: str
    state: str
    slots: int = 1
    cold_left_ms: float = 0
    born: int = 0
    stage: str | None = None


def decode_member(key: str, value: bytes) -> Member | None:
    """Return the backend server of an entry, ``None`` when the entry can't be trusted."""
    try:
        entry = msgspec.json.decode(value, type=_Entry)
    except (msgspec.DecodeError, RecursionError):
        return None
    host, _, port = entry.addr.rpartition(":")
    if not host or not port.isdecimal() or entry.state not in STATES or entry.stage not in ROLES:
        return None
    return Member(
        BackendId(key),
        ServiceGroup(entry.service),
        entry.addr,
        DataCentre(entry.zone),
        ROLES[entry.stage],
        max(1, entry.slots),
        STATES[entry.state],
        timedelta(milliseconds=max(0.0, entry.cold_left_ms)),
        entry.born,
    )
