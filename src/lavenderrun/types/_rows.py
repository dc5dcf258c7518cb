"""Contents of rows in the table service."""

from __future__ import annotations

from datetime import datetime
from typing import Annotated

import msgspec

from lavenderrun.types._ids import (
    AttemptId,
    BootId,
    DataCentre,
    Fingerprint,
    HostId,
    RequestId,
)
from lavenderrun.types._quarantine import Strike


class EntryHost(msgspec.Struct, frozen=True):
    """An entry that other entries may connect to."""

    host: HostId
    boot: BootId
    data_centre: DataCentre
    address: str


class KeptReply(msgspec.Struct, frozen=True):
    """A reply kept for a repeated call with the same idempotency key.

    :param whole: ``False`` when the body was too large to keep.
    """

    status: int
    headers: list[tuple[str, str]]
    body: bytes
    whole: bool


class Claim(msgspec.Struct, frozen=True):
    """A client account's idempotency key, claimed by one attempt of a call.

    :param host: the agent chosen for the call.
    :param boot: id of the run of that agent's process.
    :param at: when the claim was written, by the clock of its entry.
    :param outcome: set once the entry has received the complete reply.
    """

    request: RequestId
    attempt: AttemptId
    host: HostId
    boot: BootId
    fingerprint: Fingerprint
    at: datetime
    outcome: KeptReply | None = None


class QuarantineRow(msgspec.Struct, frozen=True):
    """The strikes of a guilty fingerprint.

    :param written: when the row was written, by the clock of its entry; ``None`` in rows of earlier
        releases.
    """

    strikes: list[Strike]
    written: Annotated[datetime, msgspec.Meta(tz=True)] | None = None
