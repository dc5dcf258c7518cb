"""Protocols of the services that find each other by name in the kernel."""

from __future__ import annotations

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol, TypeVar

from twisted.internet.defer import Deferred

from lavenderrun.types._document import Document
from lavenderrun.types._events import Event
from lavenderrun.types._ids import (
    AccountId,
    DocumentVersion,
    ExportHandle,
    FencingNumber,
    HostId,
    ModelName,
    RequestId,
)
from lavenderrun.types._lease_rows import LeaseName
from lavenderrun.types._messages import Hello, LoadReport, Message
from lavenderrun.types._order_messages import LoadedModel, Order
from lavenderrun.types._refusals import Refusal, Refused
from lavenderrun.types._requests import (
    AdmittedModel,
    AdmittedPlain,
    AdmittedRequest,
    AnswerSink,
    ModelRequest,
    PlainRequest,
    ReplySink,
    RequestHandle,
)
from lavenderrun.types._revisions import DocumentConflict, StoredDocument, Submitted
from lavenderrun.types._states import FinishReason

M = TypeVar("M", bound=Message)


class Link(Protocol):
    """A live connection to one peer host."""

    @property
    def peer(self) -> Hello:
        """The peer's greeting on this link."""

    def send(self, message: Message) -> bool:
        """Queue a message; return whether the link was live.

        A message that was queued may still be lost with the link.
        """


class Links(Protocol):
    """Service ``links``: sends messages to peers and dispatches those that arrive."""

    def subscribe(self, kind: type[M], handler: Callable[[Link, M], None]) -> None:
        """Call *handler* for each message of *kind*."""

    def watch(self, up: Callable[[Link], None], down: Callable[[Link], None]) -> None:
        """Call *up* after the greeting on a new link and *down* when a link is lost or silent."""

    def watch_silence(self, silent: Callable[[Link], None]) -> None:
        """Call *silent* when the peer of a link may be lost; the link stays open for a while."""

    def find(self, host: HostId) -> Link | None:
        """Return the live link to *host*, ``None`` without one."""

    def list_live(self) -> Sequence[Link]:
        """Return all live links."""

    def set_peers(self, addresses: Collection[str]) -> None:
        """Dial these addresses and redial them when lost; drop those no longer listed."""

    def bind_versions(
        self,
        current: Callable[[], DocumentVersion],
        seen: Callable[[DocumentVersion, Link], None],
    ) -> None:
        """Send *current* with every batch and call *seen* with the version of each that arrives."""

    def bind_load(self, load: Callable[[], LoadReport]) -> None:
        """Send *load* with every heartbeat."""

    def announce_leaving(self) -> None:
        """Tell all peers immediately that this host accepts no new work."""

    def announce_draining(self, *, drained: bool) -> None:
        """Tell all peers whether this host accepts no new work for a while."""

    def set_greeting(self, hello: Hello) -> None:
        """Send a new greeting to all peers because what this host serves has changed."""

    def is_stopping(self) -> bool:
        """Tell whether this host accepts no new work."""

    def find_load(self, host: HostId) -> LoadReport | None:
        """Return the load that *host* last reported, ``None`` without a report."""

    def is_leaving(self, host: HostId) -> bool:
        """Tell whether *host* accepts no new work."""

    def may_take_work(self, host: HostId) -> bool:
        """Tell whether new work may be sent to *host*: no sign says that it would be lost."""


class Pipe(Protocol):
    """Ordered channel of byte messages to one peer, opened by a transport for ``links``."""

    def send(self, data: bytes) -> None:
        """Send one encoded batch."""

    def close(self) -> None:
        """Close the connection."""


class PipeHandler(Protocol):
    """Callbacks for what a transport receives on a pipe."""

    def received(self, data: bytes) -> None:
        """Handle one encoded batch."""

    def closed(self, reason: str) -> None:
        """Handle the end of the pipe."""


class Transport(Protocol):
    """Service ``transport``: opens and accepts pipes."""

    def listen(self, accept: Callable[[Pipe], PipeHandler]) -> Any:
        """Accept pipes at this host's address; may return a ``Deferred``."""

    def dial(self, address: str, make_handler: Callable[[Pipe], PipeHandler]) -> Pipe:
        """Open a pipe; failures are reported to the handler's ``closed``."""


class Record(Protocol):
    """Service ``record``: collects events for logs, metrics and invariant checks."""

    def emit(self, event: Event) -> None:
        """Record one event."""


class Router(Protocol):
    """Service ``router``: serves requests, independent of HTTP."""

    def submit_model(self, request: ModelRequest, sink: AnswerSink) -> RequestHandle:
        """Serve a model request and send the answer to *sink*."""

    def submit_plain(self, request: PlainRequest, sink: ReplySink) -> RequestHandle:
        """Serve a call for a plain service and send the reply to *sink*."""


@dataclass(frozen=True)
class Export:
    """KV cache that a prefill engine holds until a decode engine imports it.

    :param cached: number of prompt tokens that were found in the prefix cache.
    :param lifetime: how long the engine keeps the export.
    """

    handle: ExportHandle
    source: str
    tokens: int
    cached: int
    lifetime: timedelta


TokenSink = Callable[[int, list[str], FinishReason | None], None]


class BackendTask(Protocol):
    """Work that runs at a backend server."""

    @property
    def done(self) -> Deferred[None]:
        """Fires when the work has ended and its slot is free; fails with ``StepError``."""

    def cancel(self) -> None:
        """Stop the work and free its memory; ``done`` still fires."""


class Engine(Protocol):
    """Service ``engine``: the engine beside this agent, called through its own protocol."""

    def prefill(self, request: RequestId, model: ModelName, text: str) -> Deferred[Export]:
        """Compute the prompt's KV cache and export it; fails with ``StepError``."""

    def release(self, handle: ExportHandle) -> Deferred[None]:
        """Free an export; unknown handles are ignored."""

    def decode(
        self,
        request: RequestId,
        model: ModelName,
        handle: ExportHandle,
        source: str,
        *,
        max_tokens: int,
        sink: TokenSink,
    ) -> BackendTask:
        """Import the export from the engine at *source* and send the generated tokens to *sink*.

        The export contains the text; *sink* takes (offset from zero, tokens, finish reason).
        """


class PlainBackend(Protocol):
    """Service ``plain``: the plain backend server beside this agent."""

    def call(
        self,
        request: RequestId,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes,
        sink: ReplySink,
    ) -> BackendTask:
        """Make the call and send the reply to *sink*."""


@dataclass(frozen=True)
class StoredRow:
    """A row of the platform's table service.

    :param version: grows by one with each write; zero means that the row is absent.
    """

    key: str
    version: int
    value: bytes


class StoreConflictError(Exception):
    """A conditional write found a row version other than the expected one.

    :param current: the row as it is now, ``None`` when absent.
    """

    def __init__(self, current: StoredRow | None) -> None:
        super().__init__("version differs")
        self.current = current


class Store(Protocol):
    """Service ``store``: the platform's transactional table service.

    Every call may fail with :class:`StoreUnavailableError`.
    """

    def get(self, table: str, key: str) -> Deferred[StoredRow | None]:
        """Read one row."""

    def scan(self, table: str) -> Deferred[list[StoredRow]]:
        """Read all rows of a table."""

    def put(self, table: str, key: str, value: bytes, *, expect: int) -> Deferred[StoredRow]:
        """Write if the row's version is *expect*; fails with :class:`StoreConflictError`."""

    def delete(self, table: str, key: str, *, expect: int) -> Deferred[None]:
        """Delete if the row's version is *expect*; fails with :class:`StoreConflictError`."""


class DocumentSource(Protocol):
    """Service ``document``: the configuration in force on this host."""

    @property
    def version(self) -> DocumentVersion:
        """The version in force, which never decreases."""

    @property
    def current(self) -> Document | None:
        """The document in force, ``None`` before the first was read."""

    def watch(self, handler: Callable[[Document], None]) -> None:
        """Call *handler* for the document in force, if any, and for each later one."""


class DocumentKeeper(DocumentSource, Protocol):
    """Service ``document`` with what operators' services and admission need in addition."""

    @property
    def stored(self) -> StoredDocument | None:
        """The document in force with its revision and history."""

    @property
    def age(self) -> timedelta | None:
        """Time since the version in force is known to have been the newest, ``None`` if unknown."""

    @property
    def is_fresh(self) -> bool:
        """Whether routes that need a key may be served by the document in force."""

    def submit(
        self, document: Document, author: str, expect: DocumentVersion
    ) -> Deferred[Submitted | DocumentConflict]:
        """Replace version *expect* by *document*; may fail with ``StepError``."""


@dataclass(frozen=True)
class Charge:
    """Requests and tokens charged to a client account, as returned by ``Limits.charge``."""

    account: AccountId
    requests: float
    tokens: float


class Limits(Protocol):
    """Service ``limits``: rate and burst of each client account, summed over all hosts."""

    def charge(
        self, account: AccountId, requests: float, tokens: float, patience: timedelta
    ) -> Deferred[Charge | Refused]:
        """Charge the account, waiting up to *patience* if the account is within its rate."""

    def refund(self, charge: Charge, tokens: float) -> None:
        """Return *tokens* of a charge that were not used."""


class Leases(Protocol):
    """Service ``leases``: leases that one host of the fleet holds at a time."""

    def compete(self, name: LeaseName) -> None:
        """Try to acquire a lease, and to keep it, from now on."""

    def find_fencing_number(self, name: LeaseName) -> FencingNumber | None:
        """Return the lease's fencing number if this host holds it now, ``None`` otherwise."""


class ManagedEngine(Protocol):
    """Service ``engine`` of an engine that accepts placement orders."""

    def find_loaded(self) -> Deferred[LoadedModel | None]:
        """Ask the engine what it serves, ``None`` when it cannot tell; fails with ``StepError``."""

    def execute(self, order: Order) -> Deferred[None]:
        """Carry out an order; fails with ``StepError``."""


class Admission(Protocol):
    """Service ``admission``: finds the client account and the route of a request."""

    def admit_model(self, request: ModelRequest) -> AdmittedModel | Refused:
        """Find client account and route of a model request."""

    def admit_plain(self, request: PlainRequest) -> AdmittedPlain | Refused:
        """Find client account and route of a call for a plain service."""

    def find_refusal(self, admitted: AdmittedRequest) -> Refusal | None:
        """Return why an admitted request may not start now, ``None`` if it may.

        ``UNKNOWN_KEY`` when its key was withdrawn, ``NOT_READY`` while this host cannot tell.
        """

    def watch(self, handler: Callable[[], None]) -> None:
        """Call *handler* whenever a key may have been withdrawn."""
