"""Interfaces of the codecs of outside systems, and values that services of a gateway exchange."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, Protocol

from lavenderrun.types import (
    AnswerHead,
    BackendRole,
    CallContext,
    Configuration,
    DataCentre,
    FencingNumber,
    GatewayCall,
    Headers,
    HeldCache,
    HoldId,
    HostId,
    Member,
    Refused,
    RequestId,
    StoreEra,
)


@dataclass(frozen=True)
class HttpRequest:
    """One HTTP request."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""


class HttpAnswer(NamedTuple):
    """A complete answer to a call of this host's own."""

    status: int
    body: bytes
    headers: Headers


@dataclass(frozen=True)
class RowChange:
    """The current state of a table row.

    :param value: ``None`` when the row was removed.
    :param version: the store's version at which it changed.
    """

    key: str
    value: bytes | None
    version: int


@dataclass(frozen=True)
class RowPage:
    """One page of a table's rows.

    :param version: the store's version at which the rows were read.
    :param next_key: key at which the next page begins, ``None`` on the last.
    """

    rows: Sequence[RowChange]
    version: int
    next_key: str | None = None


@dataclass(frozen=True)
class RowWrite:
    """One row to write, or to delete when *value* is ``None``.

    :param expected: version that the row must have; zero when it must be absent, ``None`` for any.
    """

    key: str
    value: bytes | None
    expected: int | None = None


class StoreRefusal(Exception):  # noqa: N818
    """The store answered and did not carry out the call.

    :param status: HTTP status of the answer.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"store refused with {status}")
        self.status = status


class HistoryGoneError(StoreRefusal):
    """The store no longer keeps the changes after the requested version."""


class RowConflictError(StoreRefusal):
    """A row does not have the expected version; nothing was written."""


class OrderResult(Enum):
    """Result of an order according to the answer of a backend server."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    FENCED = "fenced"
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class EngineReport:
    """State of an engine as it reports it.

    :param busy: an order is being carried out.
    :param sequence: orders that it has accepted since its start.
    """

    role: BackendRole
    busy: bool
    sequence: int


class HoldResult(Enum):
    """Result of a request for a hold.

    The request of ``WITHDRAWN`` was not sent.
    """

    TAKEN = "taken"
    REFUSED = "refused"
    WRONG_SERVER = "wrong_server"
    UNREADABLE = "unreadable"
    NO_ANSWER = "no_answer"
    WITHDRAWN = "withdrawn"


@dataclass(frozen=True)
class HoldAnswer:
    """Answer of a decode engine to a request for a hold.

    :param hold: the hold, ``None`` unless it was taken.
    """

    result: HoldResult
    hold: HoldId | None = None


class StoreDialect(Protocol):
    """Service ``store_dialect``: encodes calls to the table service and decodes its answers."""

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

    def decode_era(self, headers: Headers) -> StoreEra | None:
        """Return the store's era in the headers of an answer, ``None`` when they do not say."""

    def decode_rows(self, status: int, body: bytes) -> RowPage:
        """Return the rows in an answer.

        :raises StoreRefusal: when the store did not carry out the call.
        :raises ValueError: when the answer cannot be decoded.
        """

    def decode_configuration(self, rows: Collection[RowChange]) -> Configuration | None:
        """Return the newest configuration among *rows*.

        :raises ValueError: names what cannot be decoded.
        """

    def decode_member(self, row: RowChange) -> Member | None:
        """Return the backend server in a row, ``None`` when the row has none that can be used."""

    def decode_evacuation(self, row: RowChange) -> DataCentre | None:
        """Return the data centre that a row of the configuration's table evacuates.

        ``None`` for any other row. The row evacuates the data centre for as long as it is there.
        """


class CallerDialect(Protocol):
    """Service ``caller_dialect``: decodes calls of callers and encodes refusals."""

    readiness_target: str

    def decode_call(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> GatewayCall | str:
        """Return the call, or a text that says what is wrong with it."""

    def find_id(self, headers: Headers) -> RequestId | None:
        """Return the id that the caller gave, ``None`` without one."""

    def encode_refusal(
        self, request: RequestId | None, refused: Refused
    ) -> tuple[int, Headers, bytes]:
        """Return status, headers and body of a refusal."""


class BackendDialect(Protocol):
    """Service ``backend_dialect``: encodes calls to backend servers and decodes their answers."""

    def encode_call(self, call: GatewayCall, dispatch: CallContext) -> HttpRequest:
        """Return the request that has a backend server run the call."""

    def decode_head(self, request: RequestId, status: int, headers: Headers) -> AnswerHead:
        """Return the decoded head of an answer."""

    def decode_export(self, source: str, body: bytes) -> HeldCache | None:
        """Return the KV cache that a prefill left, ``None`` when the answer cannot be decoded."""

    def encode_release(self, cache: HeldCache) -> HttpRequest:
        """Return the call that frees KV cache at its holder."""

    def encode_hold(self, member: Member, tokens: int, lifetime: timedelta) -> HttpRequest:
        """Return the call that has a decode engine reserve capacity for a call."""

    def decode_hold(self, status: int, body: bytes) -> HoldAnswer:
        """Return what the answer to a request for a hold says."""

    def encode_hold_release(self, member: Member, hold: HoldId) -> HttpRequest:
        """Return the call that frees a hold that no call has used."""

    def encode_report(self, member: Member) -> HttpRequest:
        """Return the call that asks an engine for its state."""

    def decode_report(self, status: int, body: bytes) -> EngineReport | None:
        """Return the state of an engine, ``None`` when the answer cannot be decoded."""

    def encode_order(
        self,
        member: Member,
        role: BackendRole,
        holder: HostId,
        fencing: FencingNumber,
        sequence: int,
    ) -> HttpRequest:
        """Return the order to change role, valid only after *sequence* orders."""

    def decode_order(self, status: int) -> OrderResult:
        """Return what the answer to an order says."""
