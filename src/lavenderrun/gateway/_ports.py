"""What a gateway asks of an outside system's dialect, and what its services ask of each other."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import Protocol

from lavenderrun.types import (
    AnswerHead,
    BackendRole,
    CallContext,
    Configuration,
    FencingNumber,
    GatewayCall,
    Headers,
    HeldCache,
    HostId,
    Member,
    Refused,
    RequestId,
)


@dataclass(frozen=True)
class HttpRequest:
    """A call as it goes over HTTP."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True)
class RowChange:
    """A row of a table as it is now.

    :param value: ``None`` when the row was removed.
    :param version: the store's version at which it changed.
    """

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True)
class RowPage:
    """Rows and the store's version that they are true at.

    :param next_key: where the next page begins, ``None`` on the last.
    """

    rows: Sequence[RowChange]
    version: int
    next_key: str | None = None


@dataclass(frozen=True)
class RowWrite:
    """One row to write, or to delete when *value* is ``None``.

    :param expected: version that the row must have; zero for absent, ``None`` for any.
    """

    key: str
    value: bytes | None
    expected: int | None = None


class StoreRefusal(Exception):  # noqa: N818
    """The store answered and did nothing.

    :param status: its HTTP status.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"store refused with {status}")
        self.status = status


class HistoryGoneError(StoreRefusal):
    """The changes after the asked version are no longer kept."""


class RowConflictError(StoreRefusal):
    """A row does not have the expected version; nothing was written."""


class OrderResult(Enum):
    """What a backend server says of an order."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class EngineReport:
    """An engine's state as it tells it.

    :param busy: an order is being carried out.
    :param sequence: orders that it has taken since its start.
    """

    role: BackendRole
    busy: bool
    sequence: int


class StoreDialect(Protocol):
    """Service ``store_dialect``: calls and answers of the table service."""

    configuration_table: str
    members_table: str
    hosts_table: str
    leases_table: str

    def encode_read(self, table: str, start: str) -> HttpRequest:
        """Return the call that reads a table from key *start*."""

    def encode_feed(self, table: str, after: int, wait: timedelta) -> HttpRequest:
        """Return the call that waits for changes after a version."""

    def encode_write(self, table: str, writes: Collection[RowWrite]) -> HttpRequest:
        """Return the call that writes rows of one table in one transaction."""

    def decode_rows(self, status: int, body: bytes) -> RowPage:
        """Return the rows in an answer.

        :raises StoreRefusal: when the store did nothing.
        :raises ValueError: when the answer can not be read.
        """

    def decode_configuration(self, rows: Collection[RowChange]) -> Configuration | None:
        """Return the newest configuration among *rows*.

        :raises ValueError: names what can not be read.
        """

    def decode_member(self, row: RowChange) -> Member | None:
        """Return the backend server of a row, ``None`` when the row names none to use."""


class CallerDialect(Protocol):
    """Service ``caller_dialect``: calls and answers of callers."""

    readiness_target: str

    def decode_call(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> GatewayCall | str:
        """Return the call, or what is wrong with it."""

    def encode_refusal(
        self, request: RequestId | None, refused: Refused
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of a refusal."""


class BackendDialect(Protocol):
    """Service ``backend_dialect``: calls and answers of backend servers."""

    def encode_call(self, call: GatewayCall, dispatch: CallContext) -> HttpRequest:
        """Return the call as a backend server takes it."""

    def decode_head(self, request: RequestId, status: int, headers: Headers) -> AnswerHead:
        """Return what the head of an answer says."""

    def decode_export(self, source: str, body: bytes) -> HeldCache | None:
        """Return the KV cache that a prefill left, ``None`` when the answer can't be read."""

    def encode_release(self, cache: HeldCache) -> HttpRequest:
        """Return the call that frees KV cache at its holder."""

    def encode_report(self, member: Member) -> HttpRequest:
        """Return the call that asks an engine for its state."""

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Return an engine's state, ``None`` when the answer can't be read."""

    def encode_order(
        self,
        member: Member,
        role: BackendRole,
        holder: HostId,
        fencing: FencingNumber,
        sequence: int,
    ) -> HttpRequest:
        """Return the order to take another role, valid only after *sequence* orders."""

    def decode_order(self, status: int) -> OrderResult:
        """Return what the answer to an order says."""
