"""Calls as a gateway takes them from callers and as backend servers answer them."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Final, Protocol

from lavenderrun.types._ids import AccountId, BackendId, ExportHandle, RequestId
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
"""Fields that concern one connection (RFC 9110, section 7.6.1) and those that frame one message."""


@dataclass(frozen=True)
class DeclaredSize:
    """Tokens that a caller declares for a model call.

    :param prompt: tokens of the prompt.
    :param output: most tokens of the answer.
    :param likely_output: the caller's estimate of the answer's tokens.
    """

    prompt: int
    output: int
    likely_output: int


@dataclass(frozen=True)
class GatewayCall:
    """A caller's call, decoded.

    :param headers: those that go on to the backend server unchanged.
    :param key: the caller's key, ``None`` when it sent none.
    :param patience: how long the caller waits, ``None`` when it does not say.
    :param resume_after: id of the last event that the caller has.
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

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass(frozen=True)
class HeldCache:
    """KV cache that one backend server holds for another.

    :param source: address of the holder.
    """

    source: str
    handle: ExportHandle


@dataclass(frozen=True)
class CallContext:
    """What a host adds to a call that it sends to a backend server.

    :param member: the only backend server that may run it.
    :param patience: time left to the caller.
    :param account: whose call it is; ``None`` on open routes.
    :param rank: urgency from zero, ``None`` to leave it to the backend server.
    :param cache: KV cache to begin with.
    :param prefill_only: compute and hold the prompt's KV cache, generate nothing.
    :param resume_after: id of the last event that the caller has.
    """

    member: BackendId
    patience: timedelta
    account: AccountId | None = None
    rank: int | None = None
    cache: HeldCache | None = None
    prefill_only: bool = False
    resume_after: str | None = None


class AnswerKind(Enum):
    """What the head of a backend server's answer says of the call."""

    SERVED = "served"
    FAILED = "failed"
    NOT_RUN = "not_run"
    WRONG_SERVER = "wrong_server"
    FOREIGN = "foreign"


@dataclass(frozen=True)
class BackendLoad:
    """Calls at a backend server as it reports them in an answer."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True)
class AnswerHead:
    """The head of a backend server's answer, decoded.

    :param headers: those that go on to the caller unchanged.
    :param idle_timeout: how long the backend server keeps the idle connection; ``None`` if unsaid.
    :param signed: the server vouches for the answer.
    """

    status: int
    kind: AnswerKind
    headers: Headers
    load: BackendLoad | None
    idle_timeout: timedelta | None
    signed: bool


class CallFailure(Enum):
    """Why a call to a backend server got no whole answer."""

    UNREACHABLE = "unreachable"
    CONNECT_TIMEOUT = "connect_timeout"
    RESET = "reset"
    CLOSED = "closed"
    MALFORMED = "malformed"
    FOREIGN_ANSWER = "foreign_answer"
    SILENT = "silent"
    ABANDONED = "abandoned"


class CallSink(Protocol):
    """Where a call's answer goes."""

    def begin(self, status: int, headers: Headers) -> None:
        """Begin an answer whose length is not known."""

    def write(self, data: bytes) -> None:
        """Pass on a part of the body."""

    def finish(self) -> None:
        """End a begun answer as complete."""

    def abort(self) -> None:
        """End a begun answer so that it can not look complete."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Give a whole answer of a backend server."""

    def refuse(self, refused: Refused) -> None:
        """Give a refusal of this host."""


class RunningCall(Protocol):
    """A call that a router works on."""

    def cancel(self) -> None:
        """The caller is gone."""

    def pause(self) -> None:
        """The caller does not take what was written; stop reading."""

    def resume(self) -> None:
        """The caller takes more."""
