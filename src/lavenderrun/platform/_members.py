"""Decodes the rows by which backend servers register themselves in the store."""

from __future__ import annotations

from datetime import timedelta
from typing import Final

import msgspec

from lavenderrun.decoding import Count, Milliseconds, decode_json, is_token, parse_address
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
ROLES_IN_ROWS: Final = {None: BackendRole.PLAIN, "colocated": BackendRole.DECODE, **ROLES}
"""Role by the stage in a row. A row may also have no stage (a plain server) or ``colocated`` (both
stages in one engine), which an order cannot set."""


class _ServerRow(msgspec.Struct, rename="kebab"):
    """A row as a server writes it; another writer may leave out what is not used here too.

    :param version: of the server's software, not of the row.
    :param seq: counts the server's orders, not its writes.
    :param born: when the server started; servers of an earlier release don't say.
    """

    service: str
    addr: str
    zone: str
    version: str | int
    slots: Count
    state: str
    cold_left_ms: Milliseconds
    seq: Count
    born: Count = 0
    stage: str | None = None


def decode_member(key: str, value: bytes) -> Member | None:
    """Return the backend server that a row describes, ``None`` when the row is not valid."""
    try:
        row = decode_json(value, _ServerRow)
        parse_address(row.addr)
    except ValueError:
        return None
    is_known = row.state in STATES and row.stage in ROLES_IN_ROWS
    if not is_known or not is_token(key):
        return None
    return Member(
        BackendId(key),
        ServiceGroup(row.service),
        row.addr,
        DataCentre(row.zone),
        ROLES_IN_ROWS[row.stage],
        max(1, row.slots),
        STATES[row.state],
        timedelta(milliseconds=row.cold_left_ms),
        row.born,
    )
