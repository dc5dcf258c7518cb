"""Service ``members``: the backend servers that register themselves in the store."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence, Set
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final

from twisted.internet.defer import CancelledError, Deferred

from lavenderrun.dispatch import (
    DepartureNotice,
    DepartureNotices,
    EvacuationNotice,
    Evacuations,
    keep_newest,
)
from lavenderrun.gateway._bounds import BoundsService
from lavenderrun.gateway._follower import MAX_OUTAGE_WAIT, TableFollower, limit_changes_wait
from lavenderrun.gateway._log import log, to_milliseconds
from lavenderrun.gateway._ports import RowChange, StoreRefusal
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore, StoreState
from lavenderrun.gateway._stats import MEMBERS, Stats
from lavenderrun.kernel import Kernel, Timer, sleep
from lavenderrun.types import (
    BackendId,
    DataCentre,
    HostId,
    Incarnation,
    Member,
    MemberState,
    ServiceGroup,
    StoreUnavailableError,
)

RETURN_GRACE: Final = timedelta(seconds=2)
"""How long a row that expired during a store outage may take to return after it."""

MAX_KEPT: Final = timedelta(seconds=5)
"""How long a server without a row is kept while the store answers, but late: a sound server writes
its row again in that time."""

MAX_KEPT_SHARE: Final = 0.75
"""How long a server without a row is kept while the store is in trouble, as a share of the time
within which leaving servers must be known: a call that is sent then arrives in that time."""

EXPIRED_SHARE: Final = 0.5
"""Share of the servers of a service beyond which missing rows have expired: servers leave a few at
a time, a store that takes no heartbeats loses the rows of all."""

CHANGES_READ_PAUSE: Final = timedelta(milliseconds=15)
"""Pause after changes of rows, for each gateway: servers that start change their rows with each
heartbeat, and all gateways read all changes."""

MAX_PAUSE_SHARE: Final = 0.25
"""Longest such pause, as a share of the time within which leaving servers must be known."""

PACE_CHECK_INTERVAL: Final = timedelta(milliseconds=100)
"""Pause between the calls by which a host finds out that the store answers in time again."""

MAX_REMOVED: Final = 1024
"""Servers that are gone and remembered: an older copy of the store does not bring them back."""

MAX_UNREADABLE: Final = 1000
"""Unreadable rows that are remembered, so that each is logged once."""

MemberWatcher = Callable[[Member | None, Member | None], None]


class MembersService:
    """Follows the rows of backend servers.

    A server whose row vanished around a store outage, or while the store answers late, is kept
    until it has had time to register again, but only for as long as calls may reach a server that
    leaves, unless most servers of its service have lost their rows. One that said, here or at
    another gateway, that it is leaving is leaving whatever its row says. One whose data centre is
    evacuated takes no calls.

    :ivar follower: reads the table of backend servers.
    :ivar host_count: number of gateways that follow the rows; set by the service ``view``.
    """

    needs: ClassVar[tuple[str, ...]] = ("bounds", "rows")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._rows = kernel.find("rows", RowStore)
        self._members: dict[BackendId, Member] = {}
        self._registered: dict[BackendId, Member] = {}
        self._departures = DepartureNotices()
        self._evacuations = Evacuations()
        self._services: dict[ServiceGroup, list[Member]] = {}
        self._removed: dict[BackendId, Incarnation] = {}
        self._removal_timers: dict[BackendId, Timer] = {}
        self._watchers: list[MemberWatcher] = []
        self._unreadable: dict[str, None] = {}
        self._pace_check: Deferred[None] | None = None
        self.host_count = 1
        self._bounds = kernel.find("bounds", BoundsService)
        table = self._rows.dialect.members_table
        self.follower = TableFollower(
            self._rows,
            table,
            self,
            kernel.clock,
            kernel.random_source,
            self._find_read_pause,
            self._find_wait,
        )
        kernel.find("stats", Stats).register_reader(MEMBERS, self._count_states)

    def _find_read_pause(self) -> timedelta:
        longest = self._bounds.current.drain * MAX_PAUSE_SHARE
        return min(CHANGES_READ_PAUSE * self.host_count, longest)

    def _find_wait(self) -> timedelta:
        bounds = self._bounds.current
        return limit_changes_wait(bounds.contact, bounds.drain)

    @property
    def is_known(self) -> bool:
        """Whether the rows of backend servers have been read since the start."""
        return self.follower.version is not None

    @property
    def version(self) -> int | None:
        """The store's version up to which the rows were read, ``None`` before the first read."""
        return self.follower.version

    @property
    def age(self) -> timedelta | None:
        """Time since the store last answered about the rows, ``None`` before the first answer."""
        return self.follower.age

    def start(self) -> None:
        """Start to follow the rows of backend servers."""
        self._rows.on_late = self._check_pace
        self.follower.start()

    def stop(self) -> None:
        """Stop following the rows of backend servers."""
        self.follower.stop()
        if self._pace_check is not None:
            self._pace_check.cancel()
        for timer in self._removal_timers.values():
            timer.cancel()

    def watch(self, watcher: MemberWatcher) -> None:
        """Call *watcher* with the old and the new state of each changed backend server.

        The old state is ``None`` for a new server, the new one for a removed server.
        """
        self._watchers.append(watcher)

    def find(self, member: BackendId) -> Member | None:
        """Return the backend server with this id, ``None`` when it is not known."""
        return self._members.get(member)

    def list_members(self, service: ServiceGroup) -> Sequence[Member]:
        """Return the backend servers of a service, including those that are leaving."""
        return self._services.get(service, ())

    def list_services(self) -> Sequence[ServiceGroup]:
        """Return the services that have at least one backend server."""
        return list(self._services)

    def note_departures(self, incarnations: Iterable[Incarnation], told_by: HostId) -> bool:
        """Record servers that said they are leaving, which take no new call from now on.

        :param told_by: the host that had the answers in which they said so.
        :return: whether any of them had not said so before.
        """
        notice = DepartureNotice(told_by, self._clock.now())
        if not self._departures.record(incarnations, notice):
            return False
        self._derive_states()
        return True

    def apply_evacuations(self, evacuations: Evacuations) -> None:
        """Apply which data centres are evacuated now."""
        self._evacuations = evacuations
        self._derive_states()

    def find_evacuation(self, member: Member) -> EvacuationNotice | None:
        """Return the notice by which the data centre of *member* is evacuated, if it is."""
        return self._evacuations.find(member)

    def count_in(self, data_centre: DataCentre) -> int:
        """Return the number of backend servers in a data centre."""
        return sum(member.data_centre == data_centre for member in self._members.values())

    def _derive_states(self) -> None:
        """Derive the state of all servers anew from their rows, notices and evacuations."""
        for row in list(self._registered.values()):
            self._set_member(row.id, self._derive_state(row))

    def _derive_state(self, row: Member) -> Member:
        return self._evacuations.apply(self._departures.apply(row))

    def find_departure(self, member: Member) -> DepartureNotice | None:
        """Return the notice by which *member* said it is leaving, ``None`` without one."""
        return self._departures.find(member)

    def list_departures(self) -> Sequence[Incarnation]:
        """Return the servers that said they are leaving while their rows don't say so."""
        return self._departures.list_ahead_of_rows()

    def replace_rows(self, rows: Sequence[RowChange]) -> None:
        """Apply all rows of the table, as ``TableListener`` requires."""
        present = {row.key for row in rows}
        self._unreadable = {key: None for key in self._unreadable if key in present}
        self._note_all_missing(present)
        self.change_rows(rows)

    def merge_copy(self, rows: Sequence[RowChange]) -> None:
        """Apply the rows of an older copy, as ``TableListener`` requires.

        A server whose row is missing has time to write it again. A row takes back neither that its
        server is leaving or gone nor a later start; once the server writes it again, it holds.
        """
        self._note_all_missing({row.key for row in rows})
        self.change_rows([row for row in rows if not self._is_undoing(row)])

    def _note_all_missing(self, present: Set[str]) -> None:
        """Note each server whose row is not among all those that are present."""
        for member in list(self._members):
            if member not in present:
                self._note_missing(member)

    def _is_undoing(self, row: RowChange) -> bool:
        member = self._rows.dialect.decode_member(row) if row.value is not None else None
        if member is None:
            return False
        if member.id in self._removal_timers:
            # its row was removed, whatever the reason
            return True
        known = self._registered.get(member.id)
        if known is None:
            return self._removed.get(member.id) == member.incarnation
        if known.incarnation != member.incarnation:
            return member.started < known.started
        return known.state is MemberState.LEAVING

    def change_rows(self, rows: Sequence[RowChange]) -> None:
        """Apply changed and removed rows, as ``TableListener`` requires."""
        for row in rows:
            member = self._rows.dialect.decode_member(row) if row.value is not None else None
            if member is not None:
                self._unreadable.pop(row.key, None)
                self._note_present(member)
                continue
            if row.value is None:
                self._unreadable.pop(row.key, None)
            else:
                self._note_unreadable(row.key)
            self._note_missing(BackendId(row.key))

    def _note_unreadable(self, key: str) -> None:
        if key in self._unreadable:
            return
        self._unreadable[key] = None
        if len(self._unreadable) > MAX_UNREADABLE:
            del self._unreadable[next(iter(self._unreadable))]
        log("members:unreadable", "members: row does not describe a usable server", entry=key)

    def _note_present(self, member: Member) -> None:
        timer = self._removal_timers.pop(member.id, None)
        if timer is not None:
            timer.cancel()
        self._registered[member.id] = member
        self._set_member(member.id, self._derive_state(member))

    def _note_missing(self, member: BackendId) -> None:
        if member not in self._members or member in self._removal_timers:
            return
        now = self._clock.now()
        if not self._keep_until_returned(member, now):
            self._set_member(member, None)
            return
        ended = self._find_trouble_end()
        log(
            "members:kept",
            "members: row is missing after late or missing answers of the store, "
            "backend server kept for now",
            member=member,
            answering_ms=None if ended is None else to_milliseconds(now - ended),
            is_store_late=self._rows.pace.is_late,
            row_version=self.follower.version,
        )

    def _check_pace(self) -> None:
        """Find out when the store answers in time again, as rows that vanish until then are kept.

        The next answer to a quiet call for changes may be many seconds away.
        """
        if self._pace_check is None:
            self._pace_check = Deferred.fromCoroutine(self._call_until_in_time())
            self._pace_check.addBoth(self._end_pace_check)

    async def _call_until_in_time(self) -> None:
        while self._rows.pace.is_late:
            try:
                await self.follower.catch_up()
            except (StoreUnavailableError, StoreRefusal):
                # the followers find out when the store is back
                if self._rows.state is StoreState.LOST:
                    await self._rows.wait_until_reached(MAX_OUTAGE_WAIT)
            await sleep(self._clock, PACE_CHECK_INTERVAL)

    def _end_pace_check(self, result: object) -> None:
        self._pace_check = None
        error = getattr(result, "value", None)
        if error is not None and not isinstance(error, CancelledError):
            log("members:check_failed", "members: check of the store failed", error=repr(error))

    def _find_trouble_end(self) -> datetime | None:
        """Return when the store last began to answer, or to answer in time, again."""
        ends = (self._rows.outage_ended, self._rows.pace.late_ended, self._rows.eras.began)
        return max((end for end in ends if end is not None), default=None)

    def _keep_until_returned(self, member: BackendId, missing_since: datetime) -> bool:
        """Keep a server whose row is missing if the store's trouble may explain it."""
        now, ended = self._clock.now(), self._find_trouble_end()
        delay = ended + RETURN_GRACE - now if ended is not None else timedelta(0)
        is_lost = self._rows.state is StoreState.LOST
        is_late = self._rows.pace.is_late and now < missing_since + MAX_KEPT
        if is_lost or is_late:
            delay = RETURN_GRACE
        has_new_trouble = is_lost or is_late or (ended is not None and ended > missing_since)
        if has_new_trouble and not self._have_most_rows_expired(member):
            kept_until = missing_since + self._bounds.current.drain * MAX_KEPT_SHARE
            delay = min(delay, kept_until - now)
        if delay <= timedelta(0):
            return False
        self._removal_timers[member] = self._clock.call_later(
            delay, self._remove, member, missing_since
        )
        return True

    def _have_most_rows_expired(self, member: BackendId) -> bool:
        """Tell whether most servers of the service of *member* are without a row."""
        others = self.list_members(self._members[member].service)
        missing = sum(other.id == member or other.id in self._removal_timers for other in others)
        return missing > EXPIRED_SHARE * len(others)

    def _remove(self, member: BackendId, missing_since: datetime) -> None:
        self._removal_timers.pop(member, None)
        if not self._keep_until_returned(member, missing_since):
            self._set_member(member, None)

    def _set_member(self, key: BackendId, member: Member | None) -> None:
        old = self._members.get(key)
        if old == member:
            return
        if member is None:
            removed = self._members.pop(key)
            self._registered.pop(key, None)
            keep_newest(self._removed, key, removed.incarnation, MAX_REMOVED)
            self._departures.forget_row(key)
        else:
            self._members[key] = member
        services: dict[ServiceGroup, list[Member]] = {}
        for present in self._members.values():
            services.setdefault(present.service, []).append(present)
        self._services = services
        if _select_logged_fields(old) != _select_logged_fields(member):
            log(
                "members:changed",
                "members: backend server changed",
                member=key,
                state=member.state.value if member else "gone",
                role=member.role.value if member else "",
                service=member.service if member else "",
                **self._describe_departure(member),
                row_version=self.follower.version,
            )
        for watcher in self._watchers:
            watcher(old, member)

    def _describe_departure(self, member: Member | None) -> dict[str, Any]:
        """Return the fields of a log line that say who told that a server leaves, and when."""
        notice = self._departures.find(member) if member is not None else None
        if notice is None:
            return {}
        age = self._clock.now() - notice.heard
        return {"told_by": notice.told_by, "notice_age_ms": to_milliseconds(age)}

    def _count_states(self) -> dict[tuple[str, ...], float]:
        states = [member.state for member in self._members.values()]
        counts: dict[tuple[str, ...], float] = {("unreadable",): float(len(self._unreadable))}
        return counts | {(state.value,): float(states.count(state)) for state in MemberState}


def _select_logged_fields(member: Member | None) -> object:
    return member and (member.state, member.role, member.address, member.started)


@GATEWAY_SERVICES.register("members")
def make_members(kernel: Kernel) -> MembersService:
    """Make the service ``members``."""
    return MembersService(kernel)
