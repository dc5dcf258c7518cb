"""Events observed by callers, backend servers and the bench, independent of the daemons' own.

Invariant checks use these instead of the daemons' events where they can.
"""

from __future__ import annotations

from datetime import timedelta

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

    :param owner: client account whose key was sent, ``None`` without a key.
    :param expected: digest of the whole answer, empty when the answer cannot be predicted.
    """

    owner: AccountId | None
    expected: str = ""
    key_digest: KeyDigest | None = None
    idempotency_key: IdempotencyKey | None = None
    repeatability: Repeatability = Repeatability.IDEMPOTENT


@event("caller_began")
class CallerBegan(RequestEventData, tag="caller_began", frozen=True):
    """A caller received the first part of an answer."""


@event("caller_finished")
class CallerFinished(RequestEventData, tag="caller_finished", frozen=True):
    """A caller received the end of an answer.

    :param digest: digest of everything that the caller received.
    """

    digest: str = ""


@event("caller_refused")
class CallerRefused(RequestEventData, tag="caller_refused", frozen=True):
    """A caller received a refusal."""

    refused: Refused


@event("caller_gone")
class CallerGone(RequestEventData, tag="caller_gone", frozen=True):
    """A caller disconnected, or its entry host died."""


@event("backend_received")
class BackendReceived(RequestEventData, tag="backend_received", frozen=True):
    """A backend server received work.

    :param saw_key: a caller's key was part of what the backend server received.
    """

    backend: BackendId
    repeatability: Repeatability = Repeatability.IDEMPOTENT
    saw_key: bool = False


@event("backend_rejected")
class BackendRejected(RequestEventData, tag="backend_rejected", frozen=True):
    """A backend server rejected a call of the emitting host, which did not run.

    :param rest: how long the server wants no calls of that host.
    """

    backend: BackendId
    rest: timedelta = timedelta(0)


@event("backend_started")
class BackendStarted(EventData, tag="backend_started", frozen=True):
    """A backend server started anew; what its earlier run asked for is void."""

    backend: BackendId


@event("leaving_passed_on")
class LeavingPassedOn(RequestEventData, tag="leaving_passed_on", frozen=True):
    """A caller received, through the emitting host, an answer of a server that said it leaves."""

    backend: BackendId


@event("memory_held")
class MemoryHeld(EventData, tag="memory_held", frozen=True):
    """Memory that a backend server or host still held at the end of a run."""

    holder: str
    amount: int


@event("host_started")
class HostStarted(EventData, tag="host_started", frozen=True):
    """A host's process started."""


@event("host_lost")
class HostLost(EventData, tag="host_lost", frozen=True):
    """A host died without a planned stop, or cannot reach any other."""


@event("host_stopped")
class HostStopped(EventData, tag="host_stopped", frozen=True):
    """A planned stop is complete."""


@event("host_resumed")
class HostResumed(EventData, tag="host_resumed", frozen=True):
    """A host runs again after it was suspended."""


@event("document_accepted")
class DocumentAccepted(EventData, tag="document_accepted", frozen=True):
    """The table service accepted a document."""

    version: DocumentVersion
    document: Document
