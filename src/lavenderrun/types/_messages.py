"""Messages between the project's own processes.

Every message is a frozen struct that ``@message`` registers in :data:`MESSAGES`; the codec builds
its union from that registry. Messages carry durations as :class:`datetime.timedelta` and never
points in time, because hosts do not share a clock.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any, TypeVar

import msgspec

from lavenderrun.kernel import Registry
from lavenderrun.types._ids import (
    AccountId,
    AttemptId,
    BackendId,
    BootId,
    DataCentre,
    DocumentVersion,
    ExportHandle,
    Fingerprint,
    HostId,
    ModelName,
    RequestId,
    RouteName,
    ServiceGroup,
)
from lavenderrun.types._refusals import Refused
from lavenderrun.types._states import BackendRole, FinishReason, HostRole, Repeatability

MESSAGES: Registry[type[Message]] = Registry("message")

M = TypeVar("M", bound="type[Message]")


class Message(msgspec.Struct, frozen=True, array_like=True):
    """Base class of all messages."""


def message(name: str) -> Callable[[M], M]:
    """Return a decorator that registers a message class under its tag on the wire."""

    def decorate(kind: M) -> M:
        MESSAGES.register(name)(kind)
        return kind

    return decorate


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """Load of a backend server as reported by its agent, up to one heartbeat old.

    :param slots: requests that may run at once.
    :param taken: slots in use or promised.
    :param queued: requests that wait for a slot.
    :param backlog: work queued ahead of a new request.
    :param free_kv_blocks: free blocks of KV cache.
    """

    slots: int
    taken: int
    queued: int
    backlog: timedelta
    free_kv_blocks: int


@message("hello")
class Hello(Message, tag="hello", frozen=True):
    """First message in each direction on a new link.

    :param boot: id of this run of the process; answers to an earlier run are dropped.
    :param backend: the backend server beside an agent, ``None`` for an entry.
    :param group: the model or plain service that the backend server belongs to.
    """

    host: HostId
    boot: BootId
    role: HostRole
    data_centre: DataCentre
    backend: BackendId | None = None
    backend_role: BackendRole | None = None
    group: ServiceGroup | None = None
    address: str = ""


@message("heartbeat")
class Heartbeat(Message, tag="heartbeat", frozen=True):
    """Periodic sign of life on a link, sent in both directions.

    :param next_in: maximum time until the sender's next heartbeat.
    :param leaving: the sender accepts no new work.
    :param load: load of the backend server, from agents only.
    """

    next_in: timedelta
    leaving: bool = False
    load: LoadReport | None = None


@message("reserve")
class Reserve(Message, tag="reserve", frozen=True):
    """An entry asks a decode agent for a decode slot.

    :param weight: weight of the client account in the agent's queue.
    :param prompt_tokens: length of the prompt in tokens.
    :param max_tokens: maximum number of tokens in the answer.
    :param lead: expected time for prefill and transfer.
    :param patience: how long the request may wait for a decode slot.
    :param urgency: target time for the first token; the shorter, the sooner it is served.
    :param cohort: for a suspected request, maximum number of suspected requests without output that
        may share the backend server, one if it runs alone; zero for other requests.
    """

    request: RequestId
    attempt: AttemptId
    account: AccountId
    route: RouteName
    model: ModelName
    prompt_tokens: int
    max_tokens: int
    lead: timedelta
    patience: timedelta
    urgency: timedelta
    weight: float = 1.0
    cohort: int = 0
    fingerprint: Fingerprint = Fingerprint("")


@message("seat_promised")
class SeatPromised(Message, tag="seat_promised", frozen=True):
    """An agent promises a decode slot.

    :param ready_in: expected time until the slot is free; zero when it is free now.
    :param load: current load of the agent, newer than in its last heartbeat.
    """

    request: RequestId
    attempt: AttemptId
    ready_in: timedelta
    load: LoadReport | None = None


@message("prefill")
class Prefill(Message, tag="prefill", frozen=True):
    """An entry orders a prefill for a promised decode slot.

    :param start_in: how long the agent delays the work, so that the result arrives when needed.
    :param patience: how long the work may wait at the agent.
    :param text: the prompt and, for a resumed request, the text already delivered.
    """

    request: RequestId
    attempt: AttemptId
    account: AccountId
    model: ModelName
    text: str
    tokens: int
    start_in: timedelta
    patience: timedelta
    urgency: timedelta
    weight: float = 1.0
    fingerprint: Fingerprint = Fingerprint("")


@message("prefilled")
class Prefilled(Message, tag="prefilled", frozen=True):
    """A prefill agent reports that its engine has exported the KV cache.

    :param handle: id of the export at its engine.
    :param source: address of the engine that holds the export.
    :param tokens: number of tokens in the export.
    :param cached: number of tokens that were found in the prefix cache.
    :param lives: how long the export is kept.
    :param took: compute time of the engine, without the wait before it.
    :param load: current load of the prefill agent, newer than in its last heartbeat.
    """

    request: RequestId
    attempt: AttemptId
    handle: ExportHandle
    source: str
    tokens: int
    cached: int
    lives: timedelta
    took: timedelta = timedelta(0)
    load: LoadReport | None = None


@message("start")
class Start(Message, tag="start", frozen=True):
    """An entry tells the decode agent to decode the export in the promised slot.

    :param offset: number of tokens delivered by earlier attempts; frames continue from there.
    :param max_tokens: maximum number of tokens still to generate.
    """

    request: RequestId
    attempt: AttemptId
    handle: ExportHandle
    source: str
    tokens: int
    offset: int
    max_tokens: int


@message("frame")
class Frame(Message, tag="frame", frozen=True):
    """Some tokens of an answer.

    :param offset: position of the first token in the whole answer.
    :param finish: set on the last frame.
    :param imported: time from the start of the import to the first token, on the first frame.
    """

    request: RequestId
    attempt: AttemptId
    offset: int
    tokens: list[str]
    finish: FinishReason | None = None
    imported: timedelta | None = None


@message("ack")
class Ack(Message, tag="ack", frozen=True):
    """An entry has received all tokens before *offset*; the agent may drop them.

    The end of an answer counts as one more token.
    """

    request: RequestId
    attempt: AttemptId
    offset: int


@message("resume")
class Resume(Message, tag="resume", frozen=True):
    """An entry asks, on a new link, for all output from *offset* on."""

    request: RequestId
    attempt: AttemptId
    offset: int


@message("cancel")
class Cancel(Message, tag="cancel", frozen=True):
    """An entry cancels a request; the agent frees its slot, memory, export and queue place."""

    request: RequestId
    attempt: AttemptId


@message("attempt_failed")
class AttemptFailed(Message, tag="attempt_failed", frozen=True):
    """An agent gave up an attempt.

    :param started: the backend server may have started it.
    :param crashed: the backend server crashed while it ran it.
    :param others_unanswered: how many other attempts that it ran had not begun to be answered,
        ``None`` if the agent does not know.
    """

    request: RequestId
    attempt: AttemptId
    refused: Refused
    started: bool
    crashed: bool = False
    others_unanswered: int | None = None


@message("call")
class Call(Message, tag="call", frozen=True):
    """An entry sends a call for a plain service to an agent.

    :param target: path and query for the backend server.
    :param headers: end-to-end headers without the API key.
    :param body: the first part of the body.
    :param more: whether ``CallBody`` messages follow.
    """

    request: RequestId
    attempt: AttemptId
    account: AccountId | None
    route: RouteName
    method: str
    target: str
    headers: list[tuple[str, str]]
    body: bytes
    more: bool
    repeatability: Repeatability
    patience: timedelta
    urgency: timedelta
    weight: float = 1.0
    fingerprint: Fingerprint = Fingerprint("")


@message("call_body")
class CallBody(Message, tag="call_body", frozen=True):
    """A further part of a call's body."""

    request: RequestId
    attempt: AttemptId
    offset: int
    data: bytes
    last: bool


@message("reply_head")
class ReplyHead(Message, tag="reply_head", frozen=True):
    """Status and headers of a plain service's reply."""

    request: RequestId
    attempt: AttemptId
    status: int
    headers: list[tuple[str, str]]


@message("reply_body")
class ReplyBody(Message, tag="reply_body", frozen=True):
    """A part of a plain service's reply body."""

    request: RequestId
    attempt: AttemptId
    offset: int
    data: bytes
    last: bool


@message("revoke")
class Revoke(Message, tag="revoke", frozen=True):
    """An entry asks an agent never to start an attempt; the agent keeps a tombstone for it."""

    request: RequestId
    attempt: AttemptId


@message("revoked")
class Revoked(Message, tag="revoked", frozen=True):
    """Answer to :class:`Revoke`.

    :param started: whether the backend server may have begun the request.
    """

    request: RequestId
    attempt: AttemptId
    started: bool


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The messages that a link sends in one flush.

    :param version: the sender's document version, which every batch carries.
    """

    version: DocumentVersion
    messages: list[Any]
