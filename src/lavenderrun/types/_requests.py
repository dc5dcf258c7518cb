"""Requests as the front ends hand them to the router, and where answers go."""

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
from lavenderrun.types._states import FinishReason


@dataclass(frozen=True)
class ModelRequest:
    """A request for a model, free of any front end's encoding.

    :param key: the bearer key as presented; it goes no further than admission.
    :param prompt: the text for the model.
    :param max_tokens: most tokens of the answer.
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
    """A call for a plain service, free of any front end's encoding.

    :param path: the path with its query as the caller sent it.
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
    """What admission found for a request.

    :param account: whose it is, ``None`` on a route open to all.
    :param digest: of the key that came with it, ``None`` on a route open to all.
    :param fingerprint: digest over account, route and content; equal for a repeated request.
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
    """Where the router puts the answer to a model request; each request ends exactly once."""

    def put_tokens(self, tokens: list[str]) -> None:
        """Take the next tokens in order."""

    def finish(self, reason: FinishReason) -> None:
        """Take the end of a whole answer."""

    def refuse(self, refused: Refused) -> None:
        """Take the refusal, also after some tokens."""


class ReplySink(Protocol):
    """Where the router puts the reply of a plain service; each call ends exactly once."""

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Take status and headers."""

    def put_body(self, data: bytes) -> None:
        """Take the next part of the body."""

    def finish(self) -> None:
        """Take the end of a whole reply."""

    def refuse(self, refused: Refused) -> None:
        """Take the refusal."""


class RequestHandle(Protocol):
    """A submitted request."""

    def cancel(self) -> None:
        """The caller is gone; nothing more reaches the sink."""


@runtime_checkable
class PausableHandle(Protocol):
    """A ticket whose answer can be held back while the caller reads slowly."""

    def cancel(self) -> None:
        """The caller is gone; nothing more reaches the sink."""

    def pace(self, *, slow: bool) -> None:
        """Hold the answer back while *slow*; what is on its way may still come."""
