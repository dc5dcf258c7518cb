"""Interfaces between services, so that each finds another by name and by protocol."""

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
        """The peer's greeting."""

    def send(self, message: Message) -> bool:
        """Queue a message; return whether the link was live.

        A message taken may still be lost with the link.
        """


class Links(Protocol):
    """Service ``links``: messages to and from all peers."""

    def subscribe(self, kind: type[M], handler: Callable[[Link, M], None]) -> None:
        """Call *handler* for each message of *kind*."""

    def watch(self, up: Callable[[Link], None], down: Callable[[Link], None]) -> None:
        """Call *up* after a link's greeting and *down* when it is lost or silent."""

    def find(self, host: HostId) -> Link | None:
        """Return the live link to *host*."""

    def live(self) -> Sequence[Link]:
        """Return all live links."""

    def set_peers(self, addresses: Collection[str]) -> None:
        """Dial these peers and redial them when lost; drop those no longer named."""

    def bind_versions(
        self,
        current: Callable[[], DocumentVersion],
        seen: Callable[[DocumentVersion, Link], None],
    ) -> None:
        """Put *current* on every batch and call *seen* for the version on each that arrives."""

    def bind_load(self, load: Callable[[], LoadReport]) -> None:
        """Put *load* on every heartbeat."""

    def announce_leaving(self) -> None:
        """Tell all peers at once that this host takes no new work."""

    def announce_draining(self, *, drained: bool) -> None:
        """Tell all peers whether this host takes no new work for a while."""

    def set_greeting(self, hello: Hello) -> None:
        """Greet all peers anew, for what this host serves has changed."""

    def is_stopping(self) -> bool:
        """Tell whether this host takes no new work."""

    def load(self, host: HostId) -> LoadReport | None:
        """Return the load last heard from *host*."""

    def is_leaving(self, host: HostId) -> bool:
        """Tell whether *host* takes no new work."""


class Pipe(Protocol):
    """Ordered byte messages to one peer; what a transport gives to ``links``."""

    def send(self, data: bytes) -> None:
        """Send one encoded batch."""

    def close(self) -> None:
        """Drop the connection."""


class PipeHandler(Protocol):
    """What a transport tells its user of a pipe."""

    def received(self, data: bytes) -> None:
        """Take one encoded batch."""

    def closed(self, reason: str) -> None:
        """The pipe is gone."""


class Transport(Protocol):
    """Service ``transport``: opens pipes and accepts them."""

    def listen(self, accept: Callable[[Pipe], PipeHandler]) -> Any:
        """Accept pipes at this host's address; may return a ``Deferred``."""

    def dial(self, address: str, events: Callable[[Pipe], PipeHandler]) -> Pipe:
        """Open a pipe; failures arrive as ``closed``."""


class Record(Protocol):
    """Service ``record``: takes the events that logs, metrics and invariant checks read."""

    def emit(self, event: Event) -> None:
        """Take one event."""


class Router(Protocol):
    """Service ``router``: serves requests; knows nothing of HTTP."""

    def submit_model(self, request: ModelRequest, sink: AnswerSink) -> RequestHandle:
        """Serve a model request into *sink*."""

    def submit_plain(self, request: PlainRequest, sink: ReplySink) -> RequestHandle:
        """Serve a call for a plain service into *sink*."""


@dataclass(frozen=True)
class Export:
    """KV cache that a prefill engine holds for import.

    :param cached: tokens of the prompt that the prefix cache spared.
    :param lifetime: how long the engine keeps it.
    """

    handle: ExportHandle
    source: str
    tokens: int
    cached: int
    lifetime: timedelta


TokenSink = Callable[[int, list[str], FinishReason | None], None]


class BackendTask(Protocol):
    """A decode that runs in an engine."""

    @property
    def done(self) -> Deferred[None]:
        """Fires when the engine has freed the seat; fails with ``StepError``."""

    def cancel(self) -> None:
        """Stop it and free its memory; ``done`` still fires."""


class Engine(Protocol):
    """Service ``engine``: the model backend server beside this agent, in its own dialect."""

    def prefill(self, request: RequestId, model: ModelName, text: str) -> Deferred[Export]:
        """Compute and export KV cache; fails with ``StepError``."""

    def release(self, handle: ExportHandle) -> Deferred[None]:
        """Free an export; unknown handles are fine."""

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
        """Import the export from the engine at *source* and generate into *sink*.

        The export carries the text; *sink* takes (offset from zero, tokens, finish).
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
        """Make the call into *sink*."""


@dataclass(frozen=True)
class StoredRow:
    """A row of the platform's table service.

    :param version: grows by one with each write; zero means absent.
    """

    key: str
    version: int
    value: bytes


class StoreConflictError(Exception):
    """A conditional write met another version.

    :param current: the row as it is, ``None`` when absent.
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
        """Write when the row's version is *expect*; fails with :class:`StoreConflictError`."""

    def delete(self, table: str, key: str, *, expect: int) -> Deferred[None]:
        """Delete when the row's version is *expect*; fails with :class:`StoreConflictError`."""


class DocumentSource(Protocol):
    """Service ``document``: the configuration in force on this host."""

    @property
    def version(self) -> DocumentVersion:
        """The version in force; it never goes back."""

    @property
    def current(self) -> Document | None:
        """The document in force, ``None`` before the first was read."""

    def watch(self, handler: Callable[[Document], None]) -> None:
        """Call *handler* for the document in force, if any, and for each later one."""


class DocumentKeeper(DocumentSource, Protocol):
    """Service ``document`` as operators' services and admission use it."""

    @property
    def stored(self) -> StoredDocument | None:
        """The document in force with its revision and history."""

    @property
    def age(self) -> timedelta | None:
        """Time since the version in force is known to have been the newest."""

    @property
    def is_fresh(self) -> bool:
        """Whether keyed routes may be served by the document in force."""

    def submit(
        self, document: Document, author: str, expect: DocumentVersion
    ) -> Deferred[Submitted | DocumentConflict]:
        """Put *document* in the place of version *expect*; may fail with ``StepError``."""


@dataclass(frozen=True)
class Charge:
    """Requests and tokens taken from an account's rate; ``charge`` gave it."""

    account: AccountId
    requests: float
    tokens: float


class Limits(Protocol):
    """Service ``limits``: rate and burst of each account, summed over all hosts."""

    def charge(
        self, account: AccountId, requests: float, tokens: float, patience: timedelta
    ) -> Deferred[Charge | Refused]:
        """Take from the account's rate, waiting up to *patience* for an in-rate account."""

    def refund(self, charge: Charge, tokens: float) -> None:
        """Return *tokens* of a charge that were not used."""


class Leases(Protocol):
    """Service ``leases``: leases that one host of the fleet holds at a time."""

    def compete(self, name: LeaseName) -> None:
        """Try to get and keep a lease from now on."""

    def find_fencing(self, name: LeaseName) -> FencingNumber | None:
        """Return the lease's fencing number if this host holds it at this instant."""


class OrderedEngine(Protocol):
    """Service ``engine`` as far as it takes orders."""

    def find_loaded(self) -> Deferred[LoadedModel | None]:
        """Read what the engine serves, ``None`` when it cannot tell; fails with ``StepError``."""

    def execute(self, order: Order) -> Deferred[None]:
        """Carry an order out; fails with ``StepError``."""


class Admission(Protocol):
    """Service ``admission``: whose a request is and by which route it runs."""

    def admit_model(self, request: ModelRequest) -> AdmittedModel | Refused:
        """Find account and route of a model request."""

    def admit_plain(self, request: PlainRequest) -> AdmittedPlain | Refused:
        """Find account and route of a call for a plain service."""

    def find_refusal(self, admitted: AdmittedRequest) -> Refusal | None:
        """Return why an admitted request may not start now.

        ``UNKNOWN_KEY`` when its key was withdrawn, ``NOT_READY`` while this host can't tell.
        """

    def watch(self, handler: Callable[[], None]) -> None:
        """Call *handler* whenever a key may have been withdrawn."""
