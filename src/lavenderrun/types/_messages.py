"""Messages between the project's own processes.

Every message is a frozen struct that ``@message`` puts into :data:`MESSAGES`; the codec builds its
union from that registry. Durations travel as :class:`datetime.timedelta`, never as instants, for
no two hosts share a clock.
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
    """Base of all messages."""


def message(name: str) -> Callable[[M], M]:
    """Register a message class under its tag on the wire."""

    def decorate(kind: M) -> M:
        MESSAGES.register(name)(kind)
        return kind

    return decorate


class LoadReport(msgspec.Struct, frozen=True, array_like=True):
    """What an agent says of its backend server, late by up to a heartbeat.

    :param slots: requests that may run at once.
    :param taken: seats in use or promised.
    :param queued: requests that wait for a seat.
    :param backlog: work queued ahead of a new request.
    :param free_kv_blocks: free pieces of KV cache.
    """

    slots: int
    taken: int
    queued: int
    backlog: timedelta
    free_kv_blocks: int


@message("hello")
class Hello(Message, tag="hello", frozen=True):
    """First message each way on a new link.

    :param boot: identity of this life of the process; answers to an earlier life are dropped.
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
    """Sign of life inside the stream, both ways.

    :param next_in: the sender's next heartbeat comes no later than this.
    :param leaving: the sender takes no new work.
    :param load: of the backend server, from agents only.
    """

    next_in: timedelta
    leaving: bool = False
    load: LoadReport | None = None


@message("reserve")
class Reserve(Message, tag="reserve", frozen=True):
    """Entry asks a decode agent for a seat.

    :param weight: share of the account at the agent's queue.
    :param prompt_tokens: length of the prompt in tokens.
    :param max_tokens: most tokens that the answer may have.
    :param lead: time that prefill and transfer are expected to take.
    :param patience: how long the request may wait for a seat.
    :param urgency: target for the first token; the smaller the sooner it is served.
    :param cohort: for a suspect, most suspects that may share the backend server with nothing
        else on it; zero for a request that is none.
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
    """Agent promises a seat.

    :param ready_in: until the seat is expected to be free; zero when it is free now.
    :param load: of the agent now, fresher than its last heartbeat.
    """

    request: RequestId
    attempt: AttemptId
    ready_in: timedelta
    load: LoadReport | None = None


@message("prefill")
class Prefill(Message, tag="prefill", frozen=True):
    """Entry orders a prefill for a promised seat.

    :param start_in: how long the agent holds the work back, so that the result lands in time.
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
    """Prefill agent has exported KV cache.

    :param handle: names the export at its engine.
    :param source: address of the engine that holds the export.
    :param tokens: tokens in the export.
    :param cached: tokens that the prefix cache spared.
    :param lives: how long the export is kept.
    :param took: time that the engine computed, without the wait before it.
    :param load: of the prefill agent now, fresher than its last heartbeat.
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
    """Entry gives the decode agent the export to run in the promised seat.

    :param offset: tokens already delivered by earlier attempts; frames go on from there.
    :param max_tokens: tokens still allowed.
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
    """Tokens of an answer.

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
    """Entry holds all tokens before *offset*; the agent may drop them.

    The end of an answer counts as one more token.
    """

    request: RequestId
    attempt: AttemptId
    offset: int


@message("resume")
class Resume(Message, tag="resume", frozen=True):
    """Entry asks, on a new link, for all output from *offset* on."""

    request: RequestId
    attempt: AttemptId
    offset: int


@message("cancel")
class Cancel(Message, tag="cancel", frozen=True):
    """The request is gone; free its seat, memory, export and queue place."""

    request: RequestId
    attempt: AttemptId


@message("attempt_failed")
class AttemptFailed(Message, tag="attempt_failed", frozen=True):
    """An agent gave the attempt up.

    :param started: the backend server may have begun it.
    :param crashed: the backend server died while it ran it.
    """

    request: RequestId
    attempt: AttemptId
    refused: Refused
    started: bool
    crashed: bool = False


@message("call")
class Call(Message, tag="call", frozen=True):
    """Entry sends a call for a plain service to its agent.

    :param target: path and query for the backend server.
    :param headers: end-to-end headers, the key removed.
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
    """Entry asks that the request never start; the agent keeps a tombstone."""

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
    """What one flush of a link carries.

    :param version: the sender's document version; it rides on every batch.
    """

    version: DocumentVersion
    messages: list[Any]
