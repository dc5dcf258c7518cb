"""Service ``view``: what this host knows of the whole fleet's quotas, seats, health and budget."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final

from lavenderrun.dispatch import (
    PLACEMENTS,
    CallRequirements,
    FleetOccupancy,
    HealthTracker,
    PlacementContext,
    QuotaLedger,
    ResendBudget,
    Reservations,
    RoleBalancer,
    SuspectTracker,
)
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService, Report
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import EJECTED, QUOTA_LEFT, QUOTA_USED, RESENDS_LEFT, Stats
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import (
    BackendId,
    BackendRole,
    Configuration,
    EngineConfiguration,
    Fingerprint,
    GatewayBounds,
    HostId,
    Member,
    MemberState,
    ServiceGroup,
)

PROBE_AFTER: Final = timedelta(milliseconds=150)
"""When a server that broke off an answer is connected to: a crashed one is still down then, and a
call that comes again at once finds the verdict."""

MOVE_MOST: Final = timedelta(seconds=10)
"""Longest time that an engine is taken to need for another role."""


class FleetView:
    """Joins reports of peers, announcements of backend servers and own observations."""

    needs: ClassVar[tuple[str, ...]] = ("configuration", "members", "peers", "pool")

    def __init__(self, kernel: Kernel) -> None:
        bounds: GatewayBounds = kernel.settings.bounds
        self._clock = kernel.clock
        self._random = kernel.random_source
        self._host: HostId = kernel.settings.host
        self._data_centre = kernel.settings.data_centre
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._members = kernel.find("members", MembersService)
        self._peers = kernel.find("peers", PeersService)
        self._pool = kernel.find("pool", ConnectionPool)
        self.quotas = QuotaLedger()
        self.resends = ResendBudget(bounds.retry_ratio, bounds.retry_reserve, bounds.retry_window)
        self.occupancy = FleetOccupancy()
        self.health = HealthTracker()
        self.suspects = SuspectTracker()
        self._moving: dict[BackendId, tuple[BackendRole, datetime]] = {}
        self._probes: dict[BackendId, Timer] = {}
        self._balances: dict[ServiceGroup, RoleBalancer] = {}
        stats = kernel.find("stats", Stats)
        stats.register_reader(QUOTA_USED, lambda: _label(self.quotas.used))
        stats.register_reader(QUOTA_LEFT, lambda: _label(self.quotas.left(self._clock.now())))
        stats.register_reader(
            RESENDS_LEFT, lambda: _label(self.resends.list_left(self._clock.now()))
        )
        stats.register_reader(EJECTED, self._count_ejected)

    def start(self) -> None:
        """Begin to watch."""
        self._configuration.watch(self._configure)
        self._members.watch(self._change_member)
        self._peers.report = self._make_report
        self._peers.watch(self._hear)
        self._peers.changed = self._change_hosts

    def stop(self) -> None:
        """Probe no more."""
        for timer in self._probes.values():
            timer.cancel()

    def place(self, service: ServiceGroup, placement: str, need: CallRequirements) -> Member | None:
        """Choose a backend server of *service*."""
        members = self._members.serving(service)
        return PLACEMENTS.find(placement)(members, need, self._make_placement_context(service))

    def reserve(self, member: BackendId, tokens: int) -> None:
        """Reserve at an engine and let the other gateways know."""
        self.occupancy.reserve(member, tokens)
        self._peers.report_soon()

    def free(self, member: BackendId, tokens: int) -> None:
        """Return what was reserved at an engine and let the other gateways know."""
        self.occupancy.free(member, tokens)
        self._peers.report_soon()

    def record_crash(self, fingerprint: Fingerprint, member: Member) -> None:
        """Count a call whose server broke off, and see whether the server itself is still there."""
        self.suspects.add_strike(fingerprint, member.incarnation, self._clock.now())
        if member.id not in self._probes:
            self._probes[member.id] = self._clock.call_later(PROBE_AFTER, self._probe, member)

    def _probe(self, member: Member) -> None:
        del self._probes[member.id]
        self._pool.open(member.address, self._take_probe, member, self._clock.now())

    def _take_probe(self, line: Connection | None, member: Member, since: datetime) -> None:
        if line is not None:
            line.abort()
            self.suspects.clear_server(member.incarnation, since)

    def find_balancer(self, service: ServiceGroup) -> RoleBalancer:
        """Return the balance of roles of a model service."""
        return self._balances.setdefault(service, RoleBalancer())

    def find_memory(self, service: ServiceGroup) -> int:
        """Return the tokens that an engine of *service* holds, zero when unknown."""
        engine = self._find_engine(service)
        return 0 if engine is None else engine.kv_tokens

    def describe_peers(self) -> dict[str, Any]:
        """Return how many gateways there are and how many of the others report."""
        return {"hosts": self._peers.count_hosts(), "reporting": self._peers.count_reporting()}

    def find_export_life(self, service: ServiceGroup) -> timedelta:
        """Return how long engines of *service* hold KV cache for each other."""
        engine = self._find_engine(service)
        return timedelta(0) if engine is None else engine.export_lifetime

    def note_moving(self, member: BackendId, role: BackendRole) -> None:
        """Take note that an engine took the order to change its role."""
        self._moving[member] = (role, self._clock.now() + MOVE_MOST)
        self._peers.report_soon()

    def list_moving(self, now: datetime) -> set[BackendId]:
        """Return the engines that are on their way to another role."""
        for key, (role, until) in list(self._moving.items()):
            member = self._members.find(key)
            if now >= until or member is None or member.role is role:
                del self._moving[key]
        return set(self._moving)

    def find_ready(self, member: Member) -> Member | None:
        """Return *member* as it is now, ``None`` when it takes no new work."""
        current = self._members.find(member.id)
        if current is None or current.started != member.started:
            return None
        return current if current.state is MemberState.READY else None

    def _find_engine(self, service: ServiceGroup) -> EngineConfiguration | None:
        configuration = self._configuration.current
        facts = configuration.services.get(service) if configuration is not None else None
        return None if facts is None else facts.engine

    def _make_placement_context(self, service: ServiceGroup) -> PlacementContext:
        now = self._clock.now()
        self.occupancy.drop_stale_reports(now)
        return PlacementContext(
            now,
            self._data_centre,
            self.health,
            self.occupancy,
            self._random,
            memory_tokens=self.find_memory(service),
            prefill_speed=self.find_balancer(service).prefill_speed,
            moving=self.list_moving(now),
        )

    def _configure(self, configuration: Configuration) -> None:
        quotas = {
            account.id: account.quota
            for account in configuration.accounts
            if account.quota is not None
        }
        self.quotas.configure(quotas, self._clock.now())

    def _change_member(self, old: Member | None, new: Member | None) -> None:
        if old is None:
            return
        if new is None or new.started != old.started or new.address != old.address:
            self.health.forget(old.id)
            self._pool.forget(old.address)

    def _change_hosts(self, hosts: dict[HostId, datetime]) -> None:
        self.quotas.keep_peers(hosts)
        self.resends.set_host_count(len(hosts) + 1)
        self._pool.set_host_count(len(hosts) + 1)

    def _make_report(self) -> Report:
        return Report(
            self._host,
            self._peers.boot,
            self._configuration.version,
            self.quotas.used,
            {
                member: (row.calls, row.tokens)
                for member, row in self.occupancy.own_reservations.items()
            },
            {member: role for member, (role, _) in self._moving.items()},
            self.suspects.report(self._clock.now()),
        )

    def _hear(self, report: Report) -> None:
        now = self._clock.now()
        self.quotas.apply_peer_report(report.host, report.boot, report.used, now)
        reserved = {member: Reservations(*row) for member, row in report.reserved.items()}
        self.occupancy.apply_peer_report(report.host, reserved, now)
        self.suspects.apply_peer_report(report.host, report.broken, now)
        for member, role in report.moving.items():
            self._moving.setdefault(member, (role, now + MOVE_MOST))

    def _count_ejected(self) -> dict[tuple[str, ...], float]:
        now = self._clock.now()
        counts = {}
        for service in self._members.list_services():
            members = self._members.serving(service)
            counts[service] = sum(self.health.is_paused(member.id, now) for member in members)
        return _label(counts)


def _label(values: Mapping[Any, float]) -> dict[tuple[str, ...], float]:
    """Return gauges whose only label is the key."""
    return {(str(key),): float(value) for key, value in values.items()}


@GATEWAY_SERVICES.register("view")
def make_view(kernel: Kernel) -> FleetView:
    """Make the service."""
    return FleetView(kernel)
