"""Bodies of the operators' API."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

import msgspec

from lavenderrun.codecs._faults import Fault
from lavenderrun.types import (
    AccountId,
    Change,
    DocumentConflict,
    DocumentVersion,
    KeyDigest,
    Revision,
)


class AdminFault(msgspec.Struct, frozen=True):
    """One fault of a submitted document.

    :param line: in the submitted text, zero when it is not known.
    """

    path: str
    line: int
    text: str


class AdminErrorBody(msgspec.Struct, frozen=True):
    """What went wrong."""

    code: str
    message: str
    faults: list[AdminFault] = []


class AdminError(msgspec.Struct, frozen=True):
    """Body of every answer that is not a success."""

    error: AdminErrorBody


class ConflictBody(msgspec.Struct, frozen=True):
    """A submission that lost a race: who changed what since its base, and what it would change.

    :param current: the version that stands.
    """

    error: AdminErrorBody
    current: DocumentVersion
    since: tuple[Revision, ...]
    theirs: tuple[Change, ...] | None
    yours: tuple[Change, ...]


class Validation(msgspec.Struct, frozen=True):
    """Result of a check."""

    valid: bool
    faults: list[AdminFault]


class AcceptedVersion(msgspec.Struct, frozen=True):
    """A version that was accepted.

    :param confirmed: a majority of the voters had it in time.
    """

    version: DocumentVersion
    digest: str
    confirmed: bool


class GrantedKey(msgspec.Struct, frozen=True):
    """A new key, shown this once."""

    account: AccountId
    key: str
    digest: KeyDigest
    version: DocumentVersion
    confirmed: bool


class WithdrawnKey(msgspec.Struct, frozen=True):
    """A key that is gone from the document."""

    account: AccountId
    digest: KeyDigest
    version: DocumentVersion
    confirmed: bool


class Readiness(msgspec.Struct, frozen=True):
    """Whether the balancer may send callers here.

    :param missing: the checks that fail, with the reason.
    """

    ready: bool
    missing: dict[str, str] = {}


def make_faults(faults: Iterable[Fault]) -> list[AdminFault]:
    """Return the faults as a body shows them."""
    return [AdminFault(fault.path, fault.line, fault.text) for fault in faults]


def make_conflict(code: str, message: str, conflict: DocumentConflict) -> ConflictBody:
    """Return the body for a submission that lost a race."""
    return ConflictBody(
        AdminErrorBody(code, message),
        conflict.current,
        conflict.since,
        conflict.theirs,
        conflict.yours,
    )


def encode_admin(body: Any) -> bytes:
    """Return the JSON of a body."""
    return msgspec.json.encode(body)
