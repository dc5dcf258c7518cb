"""Service ``cold_servers``: which backend servers are cold, and what this host may send them."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from datetime import datetime, timedelta
from typing import Any, ClassVar

from lavenderrun.dispatch import CallShares, ColdServers, ColdSource, find_call_rate
from lavenderrun.gateway._bounds import BoundsService
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log, to_milliseconds
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import COLD, COLD_SENDS, Stats
from lavenderrun.kernel import Kernel
from lavenderrun.types import BackendId, HostId, Member, ServiceConfiguration, ServiceGroup


class ColdServersService:
    """Keeps the calls of this host to a cold server within its share.

    Without a rate in the configuration and a limit in the settings it bounds nothing.
    """

    needs: ClassVar[tuple[str, ...]] = ("bounds", "configuration", "members", "peers", "pool")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._bounds = kernel.find("bounds", BoundsService)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._members = kernel.find("members", MembersService)
        self._peers = kernel.find("peers", PeersService)
        self._pool = kernel.find("pool", ConnectionPool)
        self._stats = kernel.find("stats", Stats)
        self._servers = ColdServers()
        self._shares = CallShares(kernel.settings.host, kernel.clock.now())
        self._stats.register_reader(COLD, self._count_cold)

    def start(self) -> None:
        """Start to watch backend servers."""
        self._members.watch(self._note_member_change)
        self._pool.on_returned = self._note_return

    def stop(self) -> None:
        """Do nothing, because this service has no timers."""

    def set_hosts(self, hosts: Iterable[HostId]) -> None:
        """Record which other hosts have rows now."""
        self._shares.set_hosts(hosts, self._clock.now())

    def note_answer(self, member: Member, left: timedelta) -> None:
        """Record for how long an answer of *member* said it stays cold."""
        source = self._servers.note_answer(member, left, self._clock.now())
        self._log_cold(member, source)

    def add_pending(self, server: BackendId) -> None:
        """Record a call that is placed at *server* and will be written soon."""
        self._shares.add_pending(server)

    def remove_pending(self, server: BackendId) -> None:
        """Record that a call that was placed at *server* is written now, or will not be."""
        self._shares.remove_pending(server)

    def list_withheld(self, service: ServiceGroup, members: Sequence[Member]) -> list[BackendId]:
        """Return the cold servers of *service* for which this host has no share now."""
        rate = self._find_rate(service)
        if not rate:
            return []
        now = self._clock.now()
        return [
            member.id
            for member in members
            if self._servers.find_left(member, now) is not None
            and not self._shares.has_room(member.id, self._find_share(member, rate, now), now)
        ]

    def is_cold(self, member: Member) -> bool:
        """Tell whether calls to *member* are bounded now because it is cold."""
        is_bounded = bool(self._find_rate(member.service))
        return is_bounded and self._servers.find_left(member, self._clock.now()) is not None

    def take_share(self, member: Member) -> bool:
        """Count a call that is to be written to *member* now; return whether it may be.

        Calls to warm servers count, too: a server may have been cold before this host knew it.
        """
        rate = self._find_rate(member.service)
        if not rate:
            return True
        now = self._clock.now()
        if self._servers.find_left(member, now) is not None:
            share = self._find_share(member, rate, now)
            is_sent = self._shares.may_send(member.id, share, now)
            self._stats.count(COLD_SENDS, member.service, "sent" if is_sent else "withheld")
            if not is_sent:
                return False
        self._shares.note_send(member.id, now)
        return True

    def describe(self, member: Member) -> dict[str, Any]:
        """Return, for a log line, how long *member* is cold and what this host's share is."""
        now, rate = self._clock.now(), self._find_rate(member.service)
        left, hosts_age = self._servers.find_left(member, now), self._peers.follower.age
        return {
            "member": member.id,
            "left_ms": None if left is None else to_milliseconds(left),
            "rate": rate,
            "share": self._find_share(member, rate, now),
            "sent": self._shares.count_sent(member.id, now),
            "hosts": self._shares.host_count,
            "hosts_age_ms": None if hosts_age is None else to_milliseconds(hosts_age),
        }

    def _find_share(self, member: Member, rate: float, now: datetime) -> int:
        if not self._servers.is_settled(member, now):
            return 0
        return self._shares.find_share(member.incarnation, rate, self._peers.follower.age, now)

    def _find_configuration(self, service: ServiceGroup) -> ServiceConfiguration | None:
        current = self._configuration.current
        return None if current is None else current.services.get(service)

    def _find_cold_time(self, service: ServiceGroup) -> timedelta:
        found = self._find_configuration(service)
        return timedelta(0) if found is None else found.cold_time

    def _find_rate(self, service: ServiceGroup) -> float:
        found = self._find_configuration(service)
        return 0.0 if found is None else find_call_rate(found.cold_rate, self._bounds.current)

    def _note_member_change(self, old: Member | None, new: Member | None) -> None:
        if new is None:
            return
        cold_time = self._find_cold_time(new.service)
        source = self._servers.note_change(old, new, cold_time, self._clock.now())
        self._log_cold(new, source)

    def _note_return(self, address: str) -> None:
        for service in self._members.list_services():
            for member in self._members.list_members(service):
                if member.address == address:
                    cold_time = self._find_cold_time(service)
                    source = self._servers.note_return(member, cold_time, self._clock.now())
                    self._log_cold(member, source)

    def _log_cold(self, member: Member, source: ColdSource | None) -> None:
        if source is None or not self._find_rate(member.service):
            return
        age = self._members.age
        log(
            "cold:began",
            "cold: backend server is cold",
            service=member.service,
            source=source.value,
            row_version=self._members.version,
            members_age_ms=None if age is None else to_milliseconds(age),
            **self.describe(member),
        )

    def _count_cold(self) -> dict[tuple[str, ...], float]:
        now = self._clock.now()
        counts: dict[tuple[str, ...], float] = {}
        for service in self._members.list_services():
            if self._find_rate(service):
                members = self._members.list_members(service)
                found = [m for m in members if self._servers.find_left(m, now) is not None]
                counts[(str(service),)] = float(len(found))
        return counts


@GATEWAY_SERVICES.register("cold_servers")
def make_cold_servers(kernel: Kernel) -> ColdServersService:
    """Make the service ``cold_servers``."""
    return ColdServersService(kernel)
