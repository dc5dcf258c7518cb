"""A simulated host that runs real services on its own kernel and can be restarted."""

from __future__ import annotations

import random
from datetime import datetime, timedelta
from typing import TYPE_CHECKING, Any

from twisted.internet.defer import Deferred

from lavenderrun.bench._recording_backends import RecordingEngine, RecordingPlainBackend
from lavenderrun.bench._time import HostClock
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

STORE_SETTINGS = StoreSettings(url="http://127.0.0.1:1")
BALANCER_LAG = timedelta(milliseconds=300)
"""Time until the load balancer stops sending callers to an entry that leaves or hangs."""


class BenchHost:
    """A host that runs an entry, or an agent beside a backend server.

    :param address: IP number and port that other hosts dial.
    :param backend: the agent's backend server; ``None`` for an entry.
    """

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
        self._connection: RecordingEngine | RecordingPlainBackend | None = None
        self._unhealthy_since: datetime | None = None

    @property
    def is_entry(self) -> bool:
        """Whether this host runs an entry, not an agent."""
        return self.backend is None

    @property
    def is_up(self) -> bool:
        """Whether the host has started and has not died."""
        return self.kernel is not None and not self.clock.is_dead

    def is_in_rotation(self) -> bool:
        """Tell whether the load balancer still sends callers here."""
        if not self.is_up:
            return False
        since = self._unhealthy_since
        return since is None or self._fleet.clock.now() - since < BALANCER_LAG

    def start(self) -> None:
        """Boot the host with a new clock, kernel and boot id."""
        self._boots += 1
        self._unhealthy_since = None
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
        self._fleet.build_services(self, kernel)
        self.emit(HostStarted())
        Deferred.fromCoroutine(kernel.start()).addErrback(self._fleet.record_failure)

    def emit(self, data: EventData) -> None:
        """Append an event of this host to the record."""
        self._fleet.emit(self.host, data)

    def find(self, name: str) -> Any:
        """Return a service of the current kernel by name."""
        assert self.kernel is not None
        return self.kernel.find(name, object)

    def pause(self) -> None:
        """Suspend the host's processes until :meth:`resume`; its backend server keeps running."""
        self._unhealthy_since = self._fleet.clock.now()
        self.clock.pause()

    def resume(self) -> None:
        """Resume a paused host, which first handles everything that was due meanwhile."""
        self._unhealthy_since = None
        self.clock.resume()

    def kill(self, *, silent: bool = False) -> None:
        """Crash the host.

        :param silent: no peer sees its connections close.
        """
        self.emit(HostLost())
        self.clock.die()
        self._fleet.network.drop_host(self.address, silent=silent)
        if self._connection is not None:
            self._connection.break_connection()
        self._fleet.disconnect_callers(self.host)

    def stop(self) -> Deferred[None]:
        """Stop the host as planned: announce the departure, drain, then stop its services."""
        assert self.kernel is not None
        self._unhealthy_since = self._fleet.clock.now()
        self.emit(HostLeaving())
        self.kernel.find("links", Links).announce_leaving()
        done = Deferred.fromCoroutine(self.kernel.stop())
        return done.addCallbacks(self._end_stop, self._fleet.record_failure)

    def record_held(self) -> None:
        """Record how many jobs each service of a running host still holds."""
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
            return EntrySettings(host=host, store=STORE_SETTINGS).model_copy(update=boot)
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
        kernel.add("store", StoreClient(self.clock, dialect, STORE_SETTINGS, random_source))

    def _add_backend(self, kernel: Kernel) -> None:
        backend = self.backend
        assert backend is not None
        if backend.role is BackendRole.PLAIN:
            server = self._fleet.plain_servers[backend.id]
            self._connection = RecordingPlainBackend(server, backend.id, self.clock, self.emit)
            kernel.provide("plain", self._connection)
        else:
            engine = self._fleet.engines[backend.id]
            self._connection = RecordingEngine(engine, backend.id, self.clock, self.emit)
            kernel.provide("engine", self._connection)
