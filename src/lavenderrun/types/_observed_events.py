"""Events that callers, backend servers and the bench witness, apart from the daemons' own word.

Checks of the invariants lean on these where they can.
"""

from __future__ import annotations

from lavenderrun.types._document import Document
from lavenderrun.types._events import EventData, RequestEventData, event
from lavenderrun.types._ids import (
    AccountId,
    BackendId,
    DocumentVersion,
    IdempotencyKey,
    KeyDigest,
)
from lavenderrun.types._refusals import Refused
from lavenderrun.types._states import Repeatability


@event("caller_sent")
class CallerSent(RequestEventData, tag="caller_sent", frozen=True):
    """A caller sent a request.

    :param owner: the account whose key came with it, ``None`` without one.
    :param expected: digest of the whole answer, empty when none is foreseen.
    """

    owner: AccountId | None
    expected: str = ""
    key_digest: KeyDigest | None = None
    idempotency_key: IdempotencyKey | None = None
    repeatability: Repeatability = Repeatability.IDEMPOTENT


@event("caller_finished")
class CallerFinished(RequestEventData, tag="caller_finished", frozen=True):
    """A caller saw the end of an answer.

    :param digest: of all that the caller received.
    """

    digest: str = ""


@event("caller_refused")
class CallerRefused(RequestEventData, tag="caller_refused", frozen=True):
    """A caller saw a refusal."""

    refused: Refused


@event("caller_gone")
class CallerGone(RequestEventData, tag="caller_gone", frozen=True):
    """A caller hung up, or its entry host died."""


@event("backend_received")
class BackendReceived(RequestEventData, tag="backend_received", frozen=True):
    """A backend server received work.

    :param saw_key: a caller's key was part of what it received.
    """

    backend: BackendId
    repeatability: Repeatability = Repeatability.IDEMPOTENT
    saw_key: bool = False


@event("memory_held")
class MemoryHeld(EventData, tag="memory_held", frozen=True):
    """What a backend server or host still held when all was over."""

    holder: str
    amount: int


@event("host_started")
class HostStarted(EventData, tag="host_started", frozen=True):
    """A host began a new life."""


@event("host_lost")
class HostLost(EventData, tag="host_lost", frozen=True):
    """A host died without a stop, or can reach nobody."""


@event("host_stopped")
class HostStopped(EventData, tag="host_stopped", frozen=True):
    """A planned stop is complete."""


@event("document_accepted")
class DocumentAccepted(EventData, tag="document_accepted", frozen=True):
    """The store took a document."""

    version: DocumentVersion
    document: Document
