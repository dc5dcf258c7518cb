"""Requests that front ends pass to the router, and the sinks for their answers."""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import datetime
from typing import Protocol, runtime_checkable

from lavenderrun.types._document import ModelRoute, PlainRoute
from lavenderrun.types._ids import (
    AccountId,
    Fingerprint,
    IdempotencyKey,
    KeyDigest,
    ModelName,
    RequestId,
)
from lavenderrun.types._refusals import Refused
from lavenderrun.types._states import FinishReason, Outcome


@dataclass(frozen=True)
class ModelRequest:
    """A request for a model, independent of any front end's encoding.

    :param key: the bearer key as sent by the caller; only admission reads it.
    :param prompt: the text for the model.
    :param max_tokens: maximum number of tokens in the answer.
    """

    request: RequestId
    key: str | None = field(repr=False)
    model: ModelName
    prompt: str = field(repr=False)
    max_tokens: int
    arrived: datetime
    idempotency_key: IdempotencyKey | None = None


@dataclass(frozen=True)
class PlainRequest:
    """A call for a plain service, independent of any front end's encoding.

    :param path: path and query as sent by the caller.
    :param headers: end-to-end headers without the key.
    """

    request: RequestId
    key: str | None = field(repr=False)
    method: str
    path: str
    headers: list[tuple[str, str]] = field(repr=False)
    body: bytes = field(repr=False)
    arrived: datetime
    idempotency_key: IdempotencyKey | None = None


@dataclass(frozen=True)
class AdmittedRequest:
    """What admission found out about a request.

    :param account: client account of the request, ``None`` on a route open to all.
    :param digest: digest of the caller's key, ``None`` on a route open to all.
    :param fingerprint: digest of account, route and content; equal for a repeated request.
    """

    account: AccountId | None
    digest: KeyDigest | None
    weight: float
    fingerprint: Fingerprint


@dataclass(frozen=True)
class AdmittedModel(AdmittedRequest):
    """An admitted model request and its route."""

    route: ModelRoute


@dataclass(frozen=True)
class AdmittedPlain(AdmittedRequest):
    """An admitted call and its route."""

    route: PlainRoute


class AnswerSink(Protocol):
    """Receives the answer to a model request; each request ends exactly once."""

    def put_tokens(self, tokens: list[str]) -> None:
        """Receive the next tokens in order."""

    def finish(self, reason: FinishReason) -> None:
        """Receive the end of a complete answer."""

    def refuse(self, refused: Refused) -> None:
        """Receive a refusal, possibly after some tokens."""


class ReplySink(Protocol):
    """Receives the reply of a plain service; each call ends exactly once."""

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Receive status and headers."""

    def put_body(self, data: bytes) -> None:
        """Receive the next part of the body."""

    def finish(self) -> None:
        """Receive the end of a complete reply."""

    def refuse(self, refused: Refused) -> None:
        """Receive a refusal."""


class RequestHandle(Protocol):
    """Handle of a request that was submitted to the router."""

    def cancel(self) -> None:
        """Cancel the request of a caller that disconnected; nothing more reaches the sink."""


@runtime_checkable
class TracedHandle(Protocol):
    """Handle of a request whose outcome is known while it runs."""

    def cancel(self) -> None:
        """Cancel the request of a caller that disconnected; nothing more reaches the sink."""

    def find_outcome(self) -> Outcome:
        """Return the outcome to report if the request were refused now."""


@runtime_checkable
class PausableHandle(Protocol):
    """Handle of a request whose answer can be paused while the caller reads slowly."""

    def cancel(self) -> None:
        """Cancel the request of a caller that disconnected; nothing more reaches the sink."""

    def pace(self, *, slow: bool) -> None:
        """Pause the answer while *slow*; data that is already in transit may still arrive."""
