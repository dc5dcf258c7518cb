"""A whole deployment in one process on loopback, for demonstrations and end-to-end tests."""

from __future__ import annotations

import secrets
import socket
from contextlib import ExitStack
from datetime import timedelta
from random import Random
from typing import Any

from twisted.web.server import Site

from lavenderrun.bench import DEPLOYMENTS, Deployment, make_key_digest
from lavenderrun.codecs import encode_stored_document, make_stored_document
from lavenderrun.daemons import Daemon
from lavenderrun.kernel import Kernel, ReactorClock
from lavenderrun.standins import (
    EngineModel,
    EngineResource,
    Fabric,
    PlainCore,
    PlainResource,
    make_table_resource,
)
from lavenderrun.types import (
    AccountId,
    AdminSettings,
    AgentSettings,
    Backend,
    BackendRole,
    BackendSettings,
    DataCentre,
    Document,
    DocumentVersion,
    EntrySettings,
    FrontSettings,
    HostSettings,
    Revision,
    ServedSettings,
    Store,
    StoreSettings,
)

LOOPBACK = "127.0.0.1"
ENTRY_COUNT = 2
DOCUMENT_TABLE = "document"
DOCUMENT_ROW = "current"


class Demo:
    """Entries, agents, engines, a plain service and the table service of one deployment.

    :param deployment: name of a registered deployment.
    :param port: port of the first entry for callers; 0 takes a free one.
    :ivar keys: API key by account.
    """

    def __init__(self, reactor: Any, deployment: str, port: int) -> None:
        self.keys: dict[AccountId, str] = {}
        self.clock = ReactorClock.starting_now(reactor)
        self._reactor = reactor
        self._deployment: Deployment = DEPLOYMENTS.find(deployment)()
        self._port = port
        self._fabric = Fabric(self.clock)
        self._plain_core = PlainCore()
        self._running = True
        self._ports: list[Any] = []
        self._agents: list[Daemon] = []
        self._entries: list[Daemon] = []
        self._admin_key = f"op-{secrets.token_urlsafe(24)}"

    async def start(self) -> None:
        """Start the outside systems, the agents and the entries; return when all are ready."""
        document = self._make_document()
        table = self._serve(make_table_resource(self.clock))
        await self._store_document(document, table)
        for backend in document.backends:
            agent = Daemon(self.clock, self._make_agent_settings(backend))
            self._agents.append(agent)
            await agent.start()
        for number in range(ENTRY_COUNT):
            name = f"entry-{number}"
            entry = Daemon(self.clock, self._make_entry_settings(name, table, number))
            self._entries.append(entry)
            await entry.start()
        for entry in self._entries:
            await entry.wait_ready()

    @property
    def is_running(self) -> bool:
        """Whether no stop has been requested."""
        return self._running

    async def stop(self) -> None:
        """Stop the entries, then the agents, so that accepted requests finish."""
        self._running = False
        for daemon in self._entries + self._agents:
            await daemon.stop()
        for port in self._ports:
            await port.stopListening()

    def describe(self) -> dict[str, Any]:
        """Return the addresses, keys and model name that callers and operators need."""
        return {
            **self._entries[0].describe(),
            "admin_key": self._admin_key,
            "keys": self.keys,
            "model": self._deployment.model,
        }

    def _make_document(self) -> Document:
        document = self._deployment.build_document()
        ports = iter(find_free_ports(len(document.backends)))
        backends = [
            backend.model_copy(update={"agent": f"{LOOPBACK}:{next(ports)}"})
            for backend in document.backends
        ]
        accounts = []
        for account in document.accounts:
            self.keys[account.id] = key = f"lr-{secrets.token_urlsafe(24)}"
            accounts.append(account.model_copy(update={"keys": [make_key_digest(key)]}))
        return document.model_copy(update={"accounts": accounts, "backends": backends})

    async def _store_document(self, document: Document, table: str) -> None:
        revision = Revision(DocumentVersion(1), "demo", self.clock.now(), secrets.token_hex(8))
        stored = make_stored_document(document, revision, None)
        kernel = Kernel(self.clock, self._make_entry_settings("seed", table))
        kernel.build(["store"])
        await kernel.start()
        store = kernel.find("store", Store)
        await store.put(DOCUMENT_TABLE, DOCUMENT_ROW, encode_stored_document(stored), expect=0)
        await kernel.stop()

    def _make_agent_settings(self, backend: Backend) -> AgentSettings:
        return AgentSettings(
            host=self._make_host(f"host-{backend.id}", backend.data_centre, backend.agent),
            serves=ServedSettings(
                id=backend.id,
                group=backend.group,
                role=backend.role,
                seats=backend.seats,
                pieces=backend.pieces,
            ),
            backend=BackendSettings(address=self._serve_backend(backend)),
        )

    def _make_entry_settings(self, name: str, table: str, number: int = 0) -> EntrySettings:
        centres = self._deployment.data_centres
        [port] = find_free_ports(1)
        listen = f"{LOOPBACK}:{self._port if number == 0 else 0}"
        return EntrySettings(
            host=self._make_host(name, centres[number % len(centres)], f"{LOOPBACK}:{port}"),
            store=StoreSettings(url=f"http://{table}"),
            front=FrontSettings(listen=listen, drain=timedelta(seconds=30)),
            policies={"limits": "together"},
            admin=AdminSettings(operators={"demo": make_key_digest(self._admin_key)}),
        )

    def _make_host(self, name: str, data_centre: DataCentre, address: str) -> HostSettings:
        return HostSettings(id=name, data_centre=data_centre, listen=address)

    def _serve_backend(self, backend: Backend) -> str:
        if backend.role is BackendRole.PLAIN:
            return self._serve(PlainResource(self.clock, self._plain_core))
        model = EngineModel(
            self.clock,
            self._fabric,
            backend.id,
            backend.data_centre,
            speed=self._deployment.speed,
            random_source=Random(backend.id),
        )
        return self._serve(EngineResource(model))

    def _serve(self, resource: Any) -> str:
        port = self._reactor.listenTCP(0, Site(resource), interface=LOOPBACK)
        self._ports.append(port)
        return f"{LOOPBACK}:{port.getHost().port}"


def find_free_ports(count: int) -> list[int]:
    """Return ports that are free now; another process may take them before they are used."""
    with ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind((LOOPBACK, 0))
        return [each.getsockname()[1] for each in sockets]
