"""Events that hosts record for logs, metrics and invariant checks.

Each kind of event is a frozen struct that ``@event`` registers in :data:`EVENTS` under the name
that its log line carries. No event contains an API key or a body.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime
from typing import TypeVar

import msgspec

from lavenderrun.kernel import Registry
from lavenderrun.types._ids import (
    AccountId,
    AttemptId,
    BackendId,
    DocumentVersion,
    Fingerprint,
    HostId,
    KeyDigest,
    ModelName,
    RequestId,
    RouteName,
)
from lavenderrun.types._refusals import Refused
from lavenderrun.types._states import Repeatability

EVENTS: Registry[type[EventData]] = Registry("event")

H = TypeVar("H", bound="type[EventData]")


class EventData(msgspec.Struct, frozen=True):
    """Base class of the data of all kinds of events."""


class Event(msgspec.Struct, frozen=True):
    """An event and the host that emitted it.

    :param at: time on the emitting host's clock.
    """

    at: datetime
    host: HostId
    data: EventData


class RequestEventData(EventData, frozen=True):
    """Base class of the data of events that concern a request."""

    request: RequestId


class AttemptEventData(RequestEventData, frozen=True):
    """Base class of the data of events that concern an attempt at a backend server."""

    attempt: AttemptId
    backend: BackendId


def event(name: str) -> Callable[[H], H]:
    """Return a decorator that registers a kind of event under the name in its log line."""

    def decorate(kind: H) -> H:
        EVENTS.register(name)(kind)
        return kind

    return decorate


@event("request_accepted")
class RequestAccepted(RequestEventData, tag="request_accepted", frozen=True):
    """Admission accepted a request.

    :param tokens: tokens charged to the account: the prompt and the allowed output.
    """

    account: AccountId | None
    route: RouteName
    tokens: int = 0
    key_digest: KeyDigest | None = None


@event("answer_begun")
class AnswerBegun(RequestEventData, tag="answer_begun", frozen=True):
    """The first token, or the head of a reply, was passed to the front end."""


@event("request_finished")
class RequestFinished(RequestEventData, tag="request_finished", frozen=True):
    """The complete answer was passed to the front end."""

    tokens: int = 0


@event("request_refused")
class RequestRefused(RequestEventData, tag="request_refused", frozen=True):
    """A refusal was passed to the front end."""

    refused: Refused


@event("request_cancelled")
class RequestCancelled(RequestEventData, tag="request_cancelled", frozen=True):
    """The caller disconnected."""


@event("seat_taken")
class SeatTaken(AttemptEventData, tag="seat_taken", frozen=True):
    """An agent promised a decode slot."""


@event("seat_freed")
class SeatFreed(AttemptEventData, tag="seat_freed", frozen=True):
    """An agent freed a promised decode slot."""


@event("prefill_started")
class PrefillStarted(AttemptEventData, tag="prefill_started", frozen=True):
    """An agent sent a prefill to its engine."""

    tokens: int


@event("prefill_done")
class PrefillDone(AttemptEventData, tag="prefill_done", frozen=True):
    """An engine finished a prefill and exported its KV cache."""

    tokens: int
    cached: int


@event("prefill_used")
class PrefillUsed(RequestEventData, tag="prefill_used", frozen=True):
    """A decode engine imported the KV cache of a prefill."""

    attempt: AttemptId
    tokens: int


@event("prefill_wasted")
class PrefillWasted(RequestEventData, tag="prefill_wasted", frozen=True):
    """The result of a prefill was not used."""

    attempt: AttemptId
    tokens: int


@event("backend_run")
class BackendRun(AttemptEventData, tag="backend_run", frozen=True):
    """An agent is about to send work to its backend server."""

    account: AccountId | None
    repeatability: Repeatability = Repeatability.IDEMPOTENT


@event("backend_ended")
class BackendEnded(AttemptEventData, tag="backend_ended", frozen=True):
    """A backend server has ended the work of an attempt."""


@event("backend_crashed")
class BackendCrashed(EventData, tag="backend_crashed", frozen=True):
    """A backend server crashed while it held requests with these fingerprints."""

    backend: BackendId
    fingerprints: list[Fingerprint]


@event("work_failed")
class WorkFailed(AttemptEventData, tag="work_failed", frozen=True):
    """An unexpected error ended an agent's work on an attempt.

    :param error: type and place of the error, without its text.
    """

    error: str


@event("export_held")
class ExportHeld(AttemptEventData, tag="export_held", frozen=True):
    """An engine holds exported KV cache for a request."""


@event("export_freed")
class ExportFreed(AttemptEventData, tag="export_freed", frozen=True):
    """Exported KV cache was used or released, or has expired."""


@event("tokens_granted")
class TokensGranted(EventData, tag="tokens_granted", frozen=True):
    """Requests and tokens were charged to a client account."""

    account: AccountId
    requests: float
    tokens: float


@event("tokens_returned")
class TokensReturned(EventData, tag="tokens_returned", frozen=True):
    """A client account got back what a request did not use."""

    account: AccountId
    requests: float
    tokens: float


@event("document_in_force")
class DocumentInForce(EventData, tag="document_in_force", frozen=True):
    """A host began to apply a version of the document."""

    version: DocumentVersion


@event("host_leaving")
class HostLeaving(EventData, tag="host_leaving", frozen=True):
    """The emitting host stopped accepting new work."""


@event("routed")
class Routed(RequestEventData, tag="routed", frozen=True):
    """A host was chosen for a request.

    :param chosen: the chosen host.
    :param rejected: the other hosts that were considered.
    """

    chosen: HostId
    rejected: list[HostId]
    reason: str = ""


@event("placed")
class Placed(EventData, tag="placed", frozen=True):
    """A backend server was ordered to change what it serves."""

    model: ModelName
    backend: BackendId
    order: str
