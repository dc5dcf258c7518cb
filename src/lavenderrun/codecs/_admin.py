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

    :param line: line in the submitted text, zero when unknown.
    """

    path: str
    line: int
    text: str


class AdminErrorBody(msgspec.Struct, frozen=True):
    """Code and message of an error, with the faults of a submitted document."""

    code: str
    message: str
    faults: list[AdminFault] = []


class AdminError(msgspec.Struct, frozen=True):
    """Body of every answer that is not a success."""

    error: AdminErrorBody


class ConflictBody(msgspec.Struct, frozen=True):
    """Body for a submission that lost a race: what changed since its base and what it would change.

    :param current: the current version.
    :param since: revisions after the one that the submission was based on.
    :param theirs: what those revisions changed; ``None`` when the base is not known.
    :param yours: what the submission would change in the current version.
    """

    error: AdminErrorBody
    current: DocumentVersion
    since: tuple[Revision, ...]
    theirs: tuple[Change, ...] | None
    yours: tuple[Change, ...]


class Validation(msgspec.Struct, frozen=True):
    """Result of the validation of a document."""

    valid: bool
    faults: list[AdminFault]


class AcceptedVersion(msgspec.Struct, frozen=True):
    """A version of the document that was accepted.

    :param confirmed: a majority of the voters had it in time.
    """

    version: DocumentVersion
    digest: str
    confirmed: bool


class GrantedKey(msgspec.Struct, frozen=True):
    """A new API key, which only this answer contains."""

    account: AccountId
    key: str
    digest: KeyDigest
    version: DocumentVersion
    confirmed: bool


class WithdrawnKey(msgspec.Struct, frozen=True):
    """An API key that was removed from the document."""

    account: AccountId
    digest: KeyDigest
    version: DocumentVersion
    confirmed: bool


class Readiness(msgspec.Struct, frozen=True):
    """Whether the load balancer may send callers to this host.

    :param missing: the failed checks with their reasons.
    """

    ready: bool
    missing: dict[str, str] = {}


def make_faults(faults: Iterable[Fault]) -> list[AdminFault]:
    """Return faults in the form in which a body holds them."""
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
    """Return a body of the operators' API as JSON."""
    return msgspec.json.encode(body)
