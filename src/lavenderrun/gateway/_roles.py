"""Service ``roles``: one gateway at a time orders engines to prefill or to decode."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import ClassVar, Final

import msgspec
from twisted.internet.defer import Deferred

from lavenderrun.dispatch import (
    HostIncarnation,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    RoleBalancer,
    RoleChange,
    StoredLease,
)
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import (
    BackendDialect,
    EngineReport,
    HttpRequest,
    OrderResult,
    RowConflictError,
    RowWrite,
    StoreRefusal,
)
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore
from lavenderrun.gateway._view import FleetView
from lavenderrun.kernel import Kernel, Timer
from lavenderrun.types import (
    BackendId,
    BackendRole,
    FencingNumber,
    LeaseRow,
    Member,
    ServiceGroup,
    StoreUnavailableError,
)

LEASE: Final = "engine-roles"
TERMS: Final = LeaseTerms(
    lasts=timedelta(seconds=4),
    margin=timedelta(seconds=1),
    renew_every=timedelta(seconds=2),
    look_every=timedelta(seconds=1),
)
"""Longer than the time within which two holders must not take turns, three seconds."""

LOOK_EVERY: Final = timedelta(milliseconds=500)
"""How often the balance is looked at."""

ORDER_TIMEOUT: Final = timedelta(seconds=1)
"""Longest wait for the answer to an order."""

UNSURE_FOR: Final = timedelta(seconds=15)
"""How long an order without answer may still be carried out."""

LEASE_PAUSE: Final = timedelta(seconds=2)
"""Pause after the store did not answer, since each call to it is paid for."""

SETTLE: Final = timedelta(seconds=2.5)
"""Time after a new engine until roles are planned: two heartbeats, in which the rest shows."""

LEASE_SPARE: Final = timedelta(seconds=1)
"""Time left of the lease with which no order is sent, for it may arrive late."""


class RolesService:
    """Looks at the balance of each model service and orders under a lease."""

    needs: ClassVar[tuple[str, ...]] = ("view", "peers", "rows", "members")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._host = kernel.settings.host
        self._rows = kernel.find("rows", RowStore)
        self._members = kernel.find("members", MembersService)
        self._peers = kernel.find("peers", PeersService)
        self._view = kernel.find("view", FleetView)
        self._pool = kernel.find("pool", ConnectionPool)
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._dialect = kernel.find("backend_dialect", BackendDialect)
        self._keeper = LeaseKeeper(HostIncarnation(self._host, self._peers.boot), TERMS)
        self._pending: dict[BackendId, tuple[BackendRole, datetime]] = {}
        self._timer: Timer | None = None
        self._not_before = self._clock.now()
        self._busy: Deferred[None] | None = None

    def start(self) -> None:
        """Begin to look."""
        self._members.watch(self._change_member)
        self._timer = self._clock.call_later(LOOK_EVERY, self._look)

    def stop(self) -> None:
        """Order no more."""
        if self._timer is not None:
            self._timer.cancel()
        if self._busy is not None:
            self._busy.cancel()

    def _change_member(self, old: Member | None, new: Member | None) -> None:
        if old is None and new is not None and new.role is not BackendRole.PLAIN:
            # others may appear with their next heartbeats
            self._not_before = self._clock.now() + SETTLE

    def _look(self) -> None:
        self._timer = self._clock.call_later(LOOK_EVERY, self._look)
        waits = self._busy is not None or self._clock.now() < self._not_before
        if waits or not self._peers.is_first():
            return
        configuration = self._configuration.current
        for facts in configuration.services.values() if configuration is not None else ():
            if facts.engine is None:
                continue
            balance = self._view.find_balancer(facts.name)
            change = self._plan(facts.name, balance)
            if change is not None:
                self._busy = Deferred.fromCoroutine(self._carry_out(change, balance))
                self._busy.addBoth(self._settle)
                return

    def _plan(self, service: ServiceGroup, balance: RoleBalancer) -> RoleChange | None:
        now = self._clock.now()
        members = self._members.serving(service)
        for member in members:
            ordered = self._pending.get(member.id)
            if ordered is not None and (member.role is ordered[0] or now >= ordered[1]):
                del self._pending[member.id]
        pending = {member: ordered[0] for member, ordered in self._pending.items()}
        load = {m.id: self._view.occupancy.sum_reserved_tokens(m.id) for m in members}
        return balance.plan_change(members, pending, load, now)

    async def _carry_out(self, change: RoleChange, balance: RoleBalancer) -> None:
        fencing = await self._hold()
        if fencing is None:
            return
        member = change.member
        balance.note_change(self._clock.now())
        report = await self._read_report(member)
        if report is None or report.busy or report.role is change.role:
            log("roles:skipped", "roles: engine can not take an order", member=member.id)
            return
        self._pending[member.id] = (change.role, self._clock.now() + UNSURE_FOR)
        wire = self._dialect.encode_order(member, change.role, self._host, fencing, report.sequence)
        answer = await self._ask(member, wire)
        result = OrderResult.UNKNOWN if answer is None else self._dialect.decode_order(answer[0])
        log(
            "roles:ordered",
            "roles: engine ordered to another role",
            member=member.id,
            role=change.role.value,
            fencing=fencing,
            sequence=report.sequence,
            share=round(balance.prefill_share, 3),
            result=result.value,
        )
        if result is OrderResult.ACCEPTED:
            self._view.note_moving(member.id, change.role)
        if result in {OrderResult.REJECTED, OrderResult.FENCED}:
            self._pending.pop(member.id, None)
        if result is OrderResult.FENCED:
            self._keeper = LeaseKeeper(HostIncarnation(self._host, self._peers.boot), TERMS)

    async def _hold(self) -> FencingNumber | None:
        """Return the fencing number if the lease can be had and lasts long enough."""
        now = self._clock.now()
        ahead = self._keeper.find_fencing(now + LEASE_SPARE)
        if ahead is not None:
            return ahead
        try:
            page = await self._rows.read(self._rows.dialect.leases_table)
            row = next((row for row in page.rows if row.key == LEASE), None)
            stored = StoredLease(row.version, _decode(row.value)) if row else StoredLease(0, None)
            self._keeper.observe(stored, self._clock.now())
            write = self._keeper.plan_write(self._clock.now())
            if write is not None:
                await self._write(write)
        except (StoreUnavailableError, StoreRefusal) as error:
            self._keeper.note_no_reply()
            self._not_before = self._clock.now() + LEASE_PAUSE
            log("roles:no_lease", "roles: lease not to be had", error=str(error))
            return None
        return self._keeper.find_fencing(self._clock.now() + LEASE_SPARE)

    async def _write(self, write: LeaseWrite) -> None:
        value = msgspec.json.encode(write.row)
        row = RowWrite(LEASE, value, expected=write.expect)
        try:
            version = await self._rows.write(self._rows.dialect.leases_table, [row])
        except RowConflictError:
            # another host was faster; the next look reads its row
            self._keeper.note_no_reply()
            return
        self._keeper.confirm(write, version, self._clock.now())

    async def _read_report(self, member: Member) -> EngineReport | None:
        answer = await self._ask(member, self._dialect.encode_report(member))
        return None if answer is None else self._dialect.decode_report(*answer)

    async def _ask(self, member: Member, call: HttpRequest) -> tuple[int, bytes] | None:
        """Return status and body of the answer, ``None`` without one."""
        return await self._pool.fetch(member.address, call, ORDER_TIMEOUT)

    def _settle(self, failure: object) -> None:
        self._busy = None
        if failure is not None:
            log("roles:failed", "roles: order ended by a fault", error=repr(failure))


def _decode(value: bytes | None) -> LeaseRow | None:
    if value is None:
        return None
    try:
        return msgspec.json.decode(value, type=LeaseRow)
    except msgspec.DecodeError as error:
        log("roles:lease_unreadable", "roles: lease can not be read", error=str(error))
        return None


@GATEWAY_SERVICES.register("roles")
def make_roles(kernel: Kernel) -> RolesService:
    """Make the service."""
    return RolesService(kernel)
