"""Service ``members``: the backend servers that announce themselves in the store."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import ClassVar, Final

from lavenderrun.gateway._follower import Follower
from lavenderrun.gateway._log import log
from lavenderrun.gateway._ports import RowChange
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore, StoreState
from lavenderrun.gateway._stats import MEMBERS, Stats
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import BackendId, Member, MemberState, ServiceGroup

RETURN_GRACE: Final = timedelta(seconds=2.3)
"""How long an entry that lapsed while the store was away may take to return, by the platform's
promise of about two seconds."""

Watcher = Callable[[Member | None, Member | None], None]


class MembersService:
    """Follows the entries; one that vanished with the store is kept until it could be back."""

    needs: ClassVar[tuple[str, ...]] = ("rows",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._rows = kernel.find("rows", RowStore)
        self._members: dict[BackendId, Member] = {}
        self._services: dict[ServiceGroup, list[Member]] = {}
        self._doubted: dict[BackendId, Timer] = {}
        self._watchers: list[Watcher] = []
        table = self._rows.dialect.members_table
        self.follower = Follower(self._rows, table, self, kernel.clock, kernel.random_source)
        kernel.find("stats", Stats).register_reader(MEMBERS, self._count_states)

    @property
    def is_known(self) -> bool:
        """Whether the entries were read since the start."""
        return self.follower.version is not None

    @property
    def version(self) -> int | None:
        """The store's version up to which the entries were read, ``None`` before the first."""
        return self.follower.version

    def start(self) -> None:
        """Begin to follow."""
        self.follower.start()

    def stop(self) -> None:
        """Follow no more."""
        self.follower.stop()
        for timer in self._doubted.values():
            timer.cancel()

    def watch(self, watcher: Watcher) -> None:
        """Call *watcher* with the old and the new state of each changed backend server."""
        self._watchers.append(watcher)

    def find(self, member: BackendId) -> Member | None:
        """Return a backend server by its id."""
        return self._members.get(member)

    def serving(self, service: ServiceGroup) -> Sequence[Member]:
        """Return the backend servers of a service, also those that are leaving."""
        return self._services.get(service, ())

    def list_services(self) -> Sequence[ServiceGroup]:
        """Return the services that have a backend server."""
        return list(self._services)

    def replace(self, rows: Sequence[RowChange]) -> None:
        """Take all entries; see ``TableReader``."""
        present = {row.key for row in rows}
        for member in list(self._members):
            if member not in present:
                self._miss(member)
        self.change(rows)

    def change(self, rows: Sequence[RowChange]) -> None:
        """Take changed and removed entries; see ``TableReader``."""
        for row in rows:
            member = self._rows.dialect.decode_member(row) if row.value is not None else None
            if member is not None:
                self._put(member)
                continue
            if row.value is not None:
                log("members:unreadable", "members: entry names no server to use", entry=row.key)
            self._miss(BackendId(row.key))

    def _put(self, member: Member) -> None:
        doubt = self._doubted.pop(member.id, None)
        if doubt is not None:
            doubt.cancel()
        self._set(member.id, member)

    def _miss(self, member: BackendId) -> None:
        if member not in self._members or member in self._doubted:
            return
        settled = self._clock.now() - self._rows.changed
        if self._rows.state is StoreState.REACHED and settled >= RETURN_GRACE:
            self._set(member, None)
            return
        wait = RETURN_GRACE - settled if self._rows.state is StoreState.REACHED else RETURN_GRACE
        self._doubted[member] = self._clock.call_later(wait, self._give_up, member)

    def _give_up(self, member: BackendId) -> None:
        self._doubted.pop(member, None)
        self._set(member, None)

    def _set(self, key: BackendId, member: Member | None) -> None:
        old = self._members.get(key)
        if old == member:
            return
        if member is None:
            del self._members[key]
        else:
            self._members[key] = member
        services: dict[ServiceGroup, list[Member]] = {}
        for present in self._members.values():
            services.setdefault(present.service, []).append(present)
        self._services = services
        if _summarize(old) != _summarize(member):
            log(
                "members:changed",
                "members: backend server changed",
                member=key,
                state=member.state.value if member else "gone",
                role=member.role.value if member else "",
                service=member.service if member else "",
                row_version=self.follower.version,
            )
        for watcher in self._watchers:
            watcher(old, member)

    def _count_states(self) -> dict[tuple[str, ...], float]:
        states = [member.state for member in self._members.values()]
        return {(state.value,): float(states.count(state)) for state in MemberState}


def _summarize(member: Member | None) -> object:
    return member and (member.state, member.role, member.address, member.started)


@GATEWAY_SERVICES.register("members")
def make_members(kernel: Kernel) -> MembersService:
    """Make the service."""
    return MembersService(kernel)
