"""The two processes of the loopback measurement: the entry, and all systems around it."""

from __future__ import annotations

import socket
from contextlib import ExitStack
from datetime import timedelta
from random import Random
from typing import Any

import msgspec
from twisted.web.server import Site

from lavenderrun.bench._deployments import make_key_digest
from lavenderrun.codecs import encode_stored_document, make_stored_document
from lavenderrun.daemons import ENTRY_SERVICES, list_agent_services
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.services import FrontService
from lavenderrun.standins import (
    EngineModel,
    EngineResource,
    EngineSpeed,
    Fabric,
    make_table_resource,
)
from lavenderrun.types import (
    Account,
    AccountId,
    AgentSettings,
    Backend,
    BackendId,
    BackendRole,
    BackendSettings,
    DataCentre,
    Document,
    DocumentVersion,
    EntrySettings,
    FrontSettings,
    HostSettings,
    Model,
    ModelName,
    ModelRoute,
    Rate,
    Revision,
    RouteName,
    ServedSettings,
    ServiceGroup,
    Store,
    StoreSettings,
)

LOOPBACK = "127.0.0.1"
DATA_CENTRE = DataCentre("loopback")
MODEL = ModelName("loopback")
KEY = "lr-loopback"
UNREACHED_RATE = 1e9
"""Requests or tokens per second, and the burst; far above what a measurement sends."""
SLOTS = 32
ENDLESS_TOKENS = 1 << 40
"""Mean answer length, so large that every answer reaches its requested token limit."""
SPEED = EngineSpeed(
    slots=SLOTS,
    step=timedelta(milliseconds=2),
    step_per_slot=timedelta(0),
    prefill=timedelta(milliseconds=2),
    prefill_per_token=timedelta(0),
    mean_tokens=ENDLESS_TOKENS,
)


class OutsideAddresses(msgspec.Struct, frozen=True):
    """Addresses of the table service and of one engine per role, each an IP number and a port."""

    table: str
    prefill: str
    decode: str


class OutsideProcess:
    """Runs the engines, their agents and the table service in one process."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._clock = ReactorClock.starting_now(reactor)
        self._fabric = Fabric(self._clock)
        self._kernels: list[Kernel] = []
        self._addresses: dict[BackendRole, str] = {}
        self._table = ""

    async def start(self) -> None:
        """Serve the table service with a document, and start the engines and their agents."""
        self._table = self._serve(make_table_resource(self._clock))
        backends = make_backends()
        await self._store_document(make_loopback_document(backends))
        for backend in backends:
            kernel = self._make_agent(backend)
            await kernel.start()
            self._kernels.append(kernel)

    async def stop(self) -> None:
        """Stop the agents; the other ports close when the process ends."""
        for kernel in self._kernels:
            await kernel.stop()

    def describe(self) -> OutsideAddresses:
        """Return the addresses of the table service and the engines."""
        prefill, decode = BackendRole.PREFILL, BackendRole.DECODE
        return OutsideAddresses(self._table, self._addresses[prefill], self._addresses[decode])

    async def _store_document(self, document: Document) -> None:
        revision = Revision(DocumentVersion(1), "bench", self._clock.now(), "loopback")
        kernel = Kernel(self._clock, make_entry_settings(self._table))
        kernel.build(["store"])
        await kernel.start()
        stored = encode_stored_document(make_stored_document(document, revision, None))
        await kernel.find("store", Store).put("document", "current", stored, expect=0)
        await kernel.stop()

    def _make_agent(self, backend: Backend) -> Kernel:
        model = EngineModel(
            self._clock, self._fabric, backend.id, DATA_CENTRE, speed=SPEED, random_source=Random(1)
        )
        address = self._addresses[backend.role] = self._serve(EngineResource(model))
        settings = AgentSettings(
            host=HostSettings(
                id=f"host-{backend.id}", data_centre=DATA_CENTRE, listen=backend.agent
            ),
            serves=ServedSettings(
                id=backend.id, group=backend.group, role=backend.role, seats=backend.seats
            ),
            backend=BackendSettings(address=address),
        )
        kernel = Kernel(self._clock, settings)
        kernel.build(list_agent_services(backend.role))
        return kernel

    def _serve(self, resource: Any) -> str:
        port = self._reactor.listenTCP(0, Site(resource), interface=LOOPBACK)
        return f"{LOOPBACK}:{port.getHost().port}"


class EntryProcess:
    """Runs one entry in a process of its own.

    :param table: address of the table service, an IP number and a port.
    """

    def __init__(self, reactor: Any, table: str) -> None:
        self._kernel = Kernel(ReactorClock.starting_now(reactor), make_entry_settings(table))
        self._kernel.build(ENTRY_SERVICES)

    async def start(self) -> None:
        """Start the entry's services."""
        await self._kernel.start()

    async def stop(self) -> None:
        """Stop the entry's services."""
        await self._kernel.stop()

    def describe(self) -> int:
        """Return the port on which the entry accepts callers."""
        return self._kernel.find("front", FrontService).port


def make_entry_settings(table: str) -> EntrySettings:
    """Return the settings of an entry that uses the table service at *table*."""
    [port] = find_free_ports(1)
    return EntrySettings(
        host=HostSettings(id="entry", data_centre=DATA_CENTRE, listen=f"{LOOPBACK}:{port}"),
        store=StoreSettings(url=f"http://{table}"),
        front=FrontSettings(drain=timedelta(seconds=5)),
    )


def make_backends() -> list[Backend]:
    """Return one engine for each of the roles prefill and decode."""
    roles = (BackendRole.PREFILL, BackendRole.DECODE)
    return [
        Backend(
            id=BackendId(role.value),
            group=ServiceGroup(MODEL),
            role=role,
            data_centre=DATA_CENTRE,
            agent=f"{LOOPBACK}:{port}",
            seats=SLOTS,
        )
        for role, port in zip(roles, find_free_ports(len(roles)), strict=True)
    ]


def make_loopback_document(backends: list[Backend]) -> Document:
    """Return a document with one account whose rate no measurement reaches."""
    rate = Rate(
        requests_per_second=UNREACHED_RATE,
        request_burst=UNREACHED_RATE,
        tokens_per_second=UNREACHED_RATE,
        token_burst=UNREACHED_RATE,
    )
    return Document(
        accounts=[Account(id=AccountId("bench"), rate=rate, keys=[make_key_digest(KEY)])],
        models=[Model(name=MODEL)],
        model_routes=[ModelRoute(name=RouteName(MODEL), model=MODEL)],
        backends=backends,
    )


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free now; another process may take them before they are used."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((LOOPBACK, 0))
        return [each.getsockname()[1] for each in sockets]
