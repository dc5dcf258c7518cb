"""Rows by which backend servers announce themselves."""

from __future__ import annotations

from datetime import timedelta
from typing import Final

import msgspec

from lavenderrun.platform._addresses import is_address
from lavenderrun.types import (
    BackendId,
    BackendRole,
    DataCentre,
    Member,
    MemberState,
    ServiceGroup,
)

STATES: Final = {"ready": MemberState.READY, "draining": MemberState.LEAVING}
STAGES: Final = {BackendRole.PREFILL: "prefill", BackendRole.DECODE: "decode"}
ROLES: Final[dict[str | None, BackendRole]] = {stage: role for role, stage in STAGES.items()}
ENTRY_ROLES: Final = {None: BackendRole.PLAIN, "colocated": BackendRole.DECODE, **ROLES}
"""What an entry may name: besides the stages that an order may set, none or both in one."""


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
    is_known = entry.state in STATES and entry.stage in ENTRY_ROLES
    if not is_known or not is_address(entry.addr):
        return None
    return Member(
        BackendId(key),
        ServiceGroup(entry.service),
        entry.addr,
        DataCentre(entry.zone),
        ENTRY_ROLES[entry.stage],
        max(1, entry.slots),
        STATES[entry.state],
        timedelta(milliseconds=max(0.0, entry.cold_left_ms)),
        entry.born,
    )
