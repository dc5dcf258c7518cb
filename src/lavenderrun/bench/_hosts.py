"""One host of a benchmark: real services on a kernel of their own, life after life."""

from __future__ import annotations

import random
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from lavenderrun.bench._time import HostClock
from lavenderrun.bench._witness import WitnessEngine, WitnessPlain
from lavenderrun.kernel import Kernel
from lavenderrun.services import StoreClient
from lavenderrun.standins import MemoryStore
from lavenderrun.types import (
    AgentSettings,
    Backend,
    BackendRole,
    BackendSettings,
    BootId,
    DaemonSettings,
    DataCentre,
    EntrySettings,
    EventData,
    HostId,
    HostLeaving,
    HostLost,
    HostSettings,
    HostStarted,
    HostStopped,
    Links,
    MemoryHeld,
    ServedSettings,
    StoreSettings,
)

if TYPE_CHECKING:
    from lavenderrun.bench._fleet import Fleet

STORE = StoreSettings(url="http://127.0.0.1:1")
BALANCER_LAG = timedelta(milliseconds=300)
"""Until the platform's balancer knows that an entry leaves or does not answer."""


class BenchHost:
    """An entry, or an agent with its backend server."""

    def __init__(
        self,
        fleet: Fleet,
        name: str,
        address: str,
        data_centre: DataCentre,
        backend: Backend | None = None,
    ) -> None:
        self.host = HostId(name)
        self.address = address
        self.data_centre = data_centre
        self.backend = backend
        self.clock = HostClock(fleet.clock)
        self.kernel: Kernel | None = None
        self._fleet = fleet
        self._boots = 0
        self._connection: WitnessEngine | WitnessPlain | None = None
        self._unwell_since: datetime | None = None

    @property
    def is_entry(self) -> bool:
        """Whether callers are sent here."""
        return self.backend is None

    @property
    def is_up(self) -> bool:
        """Whether the host has a life."""
        return self.kernel is not None and not self.clock.is_dead

    def is_in_balance(self) -> bool:
        """Tell whether the platform's balancer still sends callers here."""
        if not self.is_up:
            return False
        since = self._unwell_since
        return since is None or self._fleet.clock.now() - since < BALANCER_LAG

    def start(self) -> None:
        """Begin a new life."""
        self._boots += 1
        self._unwell_since = None
        self.clock = HostClock(self._fleet.clock)
        self._fleet.network.place(self.address, self.data_centre, self.clock)
        random_source = random.Random(f"{self._fleet.seed}-{self.host}-{self._boots}")
        kernel = self.kernel = Kernel(self.clock, self._make_settings(), random_source)
        kernel.provide("policies", self._fleet.policies)
        kernel.add("transport", self._fleet.network.transport(self.address))
        kernel.add("record", self._fleet.record)
        if self.is_entry:
            self._add_store(kernel, random_source)
        else:
            self._add_backend(kernel)
        self._fleet.furnish(self, kernel)
        self.emit(HostStarted())
        Deferred.fromCoroutine(kernel.start()).addErrback(self._fleet.note_failure)

    def emit(self, what: EventData) -> None:
        """Put an event of this host on the record."""
        self._fleet.emit(self.host, what)

    def find(self, name: str) -> Any:
        """Return a service of this life."""
        assert self.kernel is not None
        return self.kernel.find(name, object)

    def pause(self) -> None:
        """Stop the host's work until :meth:`resume`; its backend server runs on."""
        self._unwell_since = self._fleet.clock.now()
        self.clock.pause()

    def resume(self) -> None:
        """Take up the work and all that has arrived meanwhile."""
        self._unwell_since = None
        self.clock.resume()

    def kill(self, *, silent: bool = False) -> None:
        """End this life; with *silent* no peer sees its connections close."""
        self.emit(HostLost())
        self.clock.die()
        self._fleet.network.drop_host(self.address, silent=silent)
        if self._connection is not None:
            self._connection.break_connection()
        self._fleet.hang_up(self.host)

    def stop(self) -> Deferred[None]:
        """Stop as planned: announce, drain, end."""
        assert self.kernel is not None
        self._unwell_since = self._fleet.clock.now()
        self.emit(HostLeaving())
        self.kernel.find("links", Links).announce_leaving()
        done = Deferred.fromCoroutine(self.kernel.stop())
        return done.addCallbacks(self._end_stop, self._fleet.note_failure)

    def tell_held(self) -> None:
        """Put on the record what the services of this life hold."""
        if self.kernel is None or not self.is_up:
            return
        for name in self._fleet.service_names(self):
            service = self.find(name)
            held = getattr(service, "count_jobs", None)
            if held is not None:
                self.emit(MemoryHeld(f"{self.host} {name}", held()))

    def _end_stop(self, _: None) -> None:
        self.emit(HostStopped())
        self.clock.die()
        self._fleet.network.drop_host(self.address, silent=False)
        if self._connection is not None:
            self._connection.break_connection()

    def _make_settings(self) -> DaemonSettings:
        boot = {"boot": BootId(f"{self.host}.{self._boots}")}
        host = HostSettings(id=self.host, data_centre=self.data_centre, listen=self.address)
        backend = self.backend
        if backend is None:
            return EntrySettings(host=host, store=STORE).model_copy(update=boot)
        serves = ServedSettings(
            id=backend.id,
            group=backend.group,
            role=backend.role,
            seats=backend.seats,
            pieces=backend.pieces,
            checks_fencing=backend.checks_fencing,
        )
        settings = AgentSettings(
            host=host, serves=serves, backend=BackendSettings(address=backend.agent)
        )
        return settings.model_copy(update=boot)

    def _add_store(self, kernel: Kernel, random_source: random.Random) -> None:
        dialect = MemoryStore(self.clock, self._fleet.table, self._fleet.store_faults)
        kernel.add("store", StoreClient(self.clock, dialect, STORE, random_source))

    def _add_backend(self, kernel: Kernel) -> None:
        backend = self.backend
        assert backend is not None
        if backend.role is BackendRole.PLAIN:
            desk = self._fleet.desks[backend.id]
            self._connection = WitnessPlain(desk, backend.id, self.clock, self.emit)
            kernel.provide("plain", self._connection)
        else:
            engine = self._fleet.engines[backend.id]
            self._connection = WitnessEngine(engine, backend.id, self.clock, self.emit)
            kernel.provide("engine", self._connection)
