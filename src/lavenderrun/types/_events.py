"""Events of the record that logs, metrics and invariant checks read.

Each kind of event is a frozen struct that ``@event`` puts into :data:`EVENTS` under the name that
its log line carries. No event holds a key or a body.
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
    """Base of all kinds of events."""


class Event(msgspec.Struct, frozen=True):
    """One thing that happened on one host.

    :param at: the emitting host's clock.
    """

    at: datetime
    host: HostId
    data: EventData


class RequestEventData(EventData, frozen=True):
    """Base of what happens to a request."""

    request: RequestId


class AttemptEventData(RequestEventData, frozen=True):
    """Base of what happens to an attempt at a backend server."""

    attempt: AttemptId
    backend: BackendId


def event(name: str) -> Callable[[H], H]:
    """Register a kind of event under the name that its log line carries."""

    def decorate(kind: H) -> H:
        EVENTS.register(name)(kind)
        return kind

    return decorate


@event("request_accepted")
class RequestAccepted(RequestEventData, tag="request_accepted", frozen=True):
    """Admission let a request in.

    :param tokens: charged to the account: prompt and allowed output.
    """

    account: AccountId | None
    route: RouteName
    tokens: int = 0
    key_digest: KeyDigest | None = None


@event("answer_begun")
class AnswerBegun(RequestEventData, tag="answer_begun", frozen=True):
    """The first token, or a reply's head, was handed to the front end."""


@event("request_finished")
class RequestFinished(RequestEventData, tag="request_finished", frozen=True):
    """The whole answer was handed to the front end."""

    tokens: int = 0


@event("request_refused")
class RequestRefused(RequestEventData, tag="request_refused", frozen=True):
    """A refusal was handed to the front end."""

    refused: Refused


@event("request_cancelled")
class RequestCancelled(RequestEventData, tag="request_cancelled", frozen=True):
    """The caller is gone."""


@event("seat_taken")
class SeatTaken(AttemptEventData, tag="seat_taken", frozen=True):
    """An agent promised a seat."""


@event("seat_freed")
class SeatFreed(AttemptEventData, tag="seat_freed", frozen=True):
    """An agent took a promised seat back."""


@event("prefill_started")
class PrefillStarted(AttemptEventData, tag="prefill_started", frozen=True):
    """An agent gave a prefill to its engine."""

    tokens: int


@event("prefill_done")
class PrefillDone(AttemptEventData, tag="prefill_done", frozen=True):
    """An engine exported KV cache."""

    tokens: int
    cached: int


@event("prefill_used")
class PrefillUsed(RequestEventData, tag="prefill_used", frozen=True):
    """A decode engine imported an export."""

    attempt: AttemptId
    tokens: int


@event("prefill_wasted")
class PrefillWasted(RequestEventData, tag="prefill_wasted", frozen=True):
    """The result of a prefill was not used."""

    attempt: AttemptId
    tokens: int


@event("backend_run")
class BackendRun(AttemptEventData, tag="backend_run", frozen=True):
    """An agent is about to hand work to its backend server."""

    account: AccountId | None
    repeatability: Repeatability = Repeatability.IDEMPOTENT


@event("backend_ended")
class BackendEnded(AttemptEventData, tag="backend_ended", frozen=True):
    """A backend server is done with the work."""


@event("backend_crashed")
class BackendCrashed(EventData, tag="backend_crashed", frozen=True):
    """A backend server died while it held the fingerprints' requests."""

    backend: BackendId
    fingerprints: list[Fingerprint]


@event("export_held")
class ExportHeld(AttemptEventData, tag="export_held", frozen=True):
    """An engine holds an export for a request."""


@event("export_freed")
class ExportFreed(AttemptEventData, tag="export_freed", frozen=True):
    """The export is used, released or over its life."""


@event("tokens_granted")
class TokensGranted(EventData, tag="tokens_granted", frozen=True):
    """An account was charged."""

    account: AccountId
    requests: float
    tokens: float


@event("tokens_returned")
class TokensReturned(EventData, tag="tokens_returned", frozen=True):
    """An account got back what a request did not use."""

    account: AccountId
    requests: float
    tokens: float


@event("document_in_force")
class DocumentInForce(EventData, tag="document_in_force", frozen=True):
    """A host works by this version from now on."""

    version: DocumentVersion


@event("host_leaving")
class HostLeaving(EventData, tag="host_leaving", frozen=True):
    """The emitting host takes no new work from now on."""


@event("routed")
class Routed(RequestEventData, tag="routed", frozen=True):
    """A host was chosen for a request.

    :param chosen: the host; *rejected* are the others that were weighed.
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
