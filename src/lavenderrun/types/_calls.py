"""Calls between callers, a gateway and backend servers, with their answers."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Final, Protocol

from lavenderrun.types._ids import (
    AccountId,
    BackendId,
    ExportHandle,
    HoldId,
    PartId,
    RequestId,
)
from lavenderrun.types._refusals import Refused

Headers = list[tuple[str, str]]

HOP_BY_HOP: Final = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection (RFC 9110, section 7.6.1) or frame a single message."""


@dataclass(frozen=True)
class DeclaredSize:
    """Numbers of tokens that a caller declares for a model call.

    :param prompt: number of prompt tokens.
    :param output: maximum number of answer tokens.
    :param likely_output: the caller's estimate of the number of answer tokens.
    """

    prompt: int
    output: int
    likely_output: int


@dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, the same in all prompts that have it.

    :param tokens: its length.
    """

    id: PartId
    tokens: int


@dataclass(frozen=True)
class GatewayCall:
    """A caller's HTTP request, decoded.

    :param headers: headers that are forwarded to the backend server unchanged.
    :param key: the caller's API key, ``None`` when it sent none.
    :param patience: how long the caller waits, ``None`` when it does not say.
    :param resume_after: id of the last event that the caller received.
    :param shared_parts: parts of the prompt that other calls may have too, in their order.
    :param prefix: all parts of the prompt as far as declared, in their order.
    """

    id: RequestId
    method: str
    host: str
    target: str
    headers: Headers
    body: bytes
    key: str | None
    patience: timedelta | None
    size: DeclaredSize | None
    resume_after: str | None
    shared_parts: tuple[PartId, ...] = ()
    prefix: tuple[PromptPart, ...] = ()

    @property
    def path(self) -> str:
        """The request target without its query string."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class HeldCache:
    """KV cache that one backend server holds for another.

    :param source: address of the backend server that holds it.
    """

    source: str
    handle: ExportHandle


@dataclass(frozen=True)
class CallContext:
    """What a host adds to a call that it sends to a backend server.

    :param member: the only backend server that may run the call.
    :param patience: how long the caller will still wait.
    :param account: client account of the call; ``None`` on open routes.
    :param rank: priority, zero is the most urgent; ``None`` leaves it to the backend server.
    :param cache: KV cache that the backend server imports before it generates tokens.
    :param prefill_only: compute and hold the prompt's KV cache without generating tokens.
    :param resume_after: id of the last event that the caller received.
    :param hold: capacity that the backend server reserves for the call.
    """

    member: BackendId
    patience: timedelta
    account: AccountId | None = None
    rank: int | None = None
    cache: HeldCache | None = None
    prefill_only: bool = False
    resume_after: str | None = None
    hold: HoldId | None = None


class AnswerKind(Enum):
    """What the head of a backend server's answer says about the call."""

    SERVED = "served"
    FAILED = "failed"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    FOREIGN = "foreign"


@dataclass(frozen=True)
class BackendLoad:
    """Load of a backend server as it reports it in an answer.

    :param running: calls that it runs.
    :param waiting: calls that wait in its queue.
    :param slots: calls that it can run at once.
    :param pace: how long work takes on its machine at this moment, as a multiple of the usual time;
        ``None`` when it does not say.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True)
class AnswerHead:
    """Status and headers of a backend server's answer, decoded.

    :param headers: headers that are forwarded to the caller unchanged.
    :param idle_timeout: how long the backend server keeps an idle connection; ``None`` if unknown.
    :param signed: the answer carries the backend server's signature.
    :param leaving: the backend server says that it is leaving.
    :param rest: how long the backend server asks this host to send it nothing, ``None`` without.
    :param names_call: the answer carries the id of the call.
    :param cold: how long the backend server says it stays cold, ``None`` when it does not say.
    :param denies_run: callers take the status as a promise that the call has not run.
    """

    status: int
    kind: AnswerKind
    headers: Headers
    load: BackendLoad | None
    idle_timeout: timedelta | None
    signed: bool
    leaving: bool = False
    rest: timedelta | None = None
    names_call: bool = True
    cold: timedelta | None = None
    denies_run: bool = False


class CallFailure(Enum):
    """Why a call to a backend server got no complete answer."""

    UNREACHABLE = "unreachable"
    WITHDRAWN = "withdrawn"
    CONNECT_TIMEOUT = "connect_timeout"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    FOREIGN_ANSWER = "foreign_answer"
    SILENT = "silent"
    OVERSIZED = "oversized"
    ABANDONED = "abandoned"


class CallSink(Protocol):
    """Receives the answer to a gateway call."""

    def begin(self, status: int, headers: Headers) -> None:
        """Send status and headers of an answer whose length is not known."""

    def write(self, data: bytes) -> None:
        """Send a part of the body."""

    def finish(self) -> None:
        """Complete an answer that was begun."""

    def abort(self) -> None:
        """Abort an answer that was begun, so that the caller cannot take it for a complete one."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a backend server's complete answer."""

    def refuse(self, refused: Refused) -> None:
        """Send this host's refusal."""


class CancelReason(Enum):
    """Why a running call is ended before its answer is complete."""

    CALLER_GONE = "caller_gone"
    DEPARTURE = "departure"


class RunningCall(Protocol):
    """A call that a router is serving."""

    def cancel(self, reason: CancelReason = CancelReason.CALLER_GONE) -> None:
        """End the call; one whose caller is there is answered with its true outcome."""

    def pause(self) -> None:
        """Stop reading from backend servers while the caller does not take what was written."""

    def resume(self) -> None:
        """Read from backend servers again."""
