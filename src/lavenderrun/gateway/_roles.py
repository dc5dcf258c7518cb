"""Service ``roles``: one gateway at a time orders engines to change their role."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import ClassVar, Final

import msgspec
from twisted.internet.defer import Deferred

from lavenderrun.decoding import decode_json
from lavenderrun.dispatch import (
    HostIncarnation,
    LeaseKeeper,
    LeaseTerms,
    LeaseWrite,
    RoleBalancer,
    RoleChange,
    RoleOrder,
    StoredLease,
)
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log, to_milliseconds
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import (
    BackendDialect,
    EngineReport,
    HttpAnswer,
    HttpRequest,
    OrderResult,
    RowConflictError,
    RowWrite,
    StoreRefusal,
)
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore
from lavenderrun.gateway._suspension import SuspensionService
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

LEASE_NAME: Final = "engine-roles"
LEASE_TERMS: Final = LeaseTerms(
    lasts=timedelta(seconds=4),
    margin=timedelta(seconds=1),
    renew_every=timedelta(seconds=2),
    look_every=timedelta(seconds=1),
)
"""The lease lasts longer than three seconds, the time in which its holder must not change."""

CHECK_INTERVAL: Final = timedelta(milliseconds=500)
"""Interval between checks of the balance of roles."""

ANSWER_TIMEOUT: Final = timedelta(seconds=1)
"""Longest wait for an engine's answer."""

MAX_REPORT_BYTES: Final = 256 << 10
"""Largest answer of an engine to a call of this host; a report of a full engine has a few
kilobytes."""

UNCONFIRMED_ORDER_LIFETIME: Final = timedelta(seconds=15)
"""How long an order may still be executed by an engine that has not confirmed it."""

TAKEOVER_SILENCE: Final = timedelta(seconds=3)
"""Silence of the gateway that orders engines after which another one may claim the lease: a silence
of a second is no end, and two gateways weigh the roles by different calls."""

LEASE_RETRY_PAUSE: Final = timedelta(seconds=2)
"""Pause after a failed call to the store, as each call has a cost."""

NEW_ENGINE_PAUSE: Final = timedelta(seconds=2.5)
"""Pause after a new engine appears: others that started at the same time appear within two
heartbeats."""

LEASE_MARGIN: Final = timedelta(seconds=1)
"""Remaining time of the lease below which no order is sent, as it might arrive too late."""


FENCING_PER_ERA: Final = 1_000_000
"""Fencing numbers of one era of the store; each begins above all those of the one before."""


class RolesService:
    """Checks the balance of roles in each model service; orders changes while it holds a lease."""

    needs: ClassVar[tuple[str, ...]] = ("view", "peers", "rows", "members", "wakes")

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
        self._suspension = kernel.find("wakes", SuspensionService)
        self._keeper = self._make_keeper()
        self._pending: dict[BackendId, tuple[BackendRole, datetime]] = {}
        self._timer: Timer | None = None
        self._paused_until = self._clock.now()
        self._order: Deferred[None] | None = None

    def start(self) -> None:
        """Start to check the balance of roles."""
        self._members.watch(self._note_member_change)
        self._suspension.watch(self._drop_lease)
        self._rows.watch_era(self._begin_era)
        self._timer = self._clock.call_later(CHECK_INTERVAL, self._check_balance)

    def stop(self) -> None:
        """Stop checking, and cancel an order that is in progress."""
        if self._timer is not None:
            self._timer.cancel()
        if self._order is not None:
            self._order.cancel()

    def _make_keeper(self, *, is_row_old: bool = False) -> LeaseKeeper:
        own = HostIncarnation(self._host, self._peers.boot)
        return LeaseKeeper(own, LEASE_TERMS, is_row_old=is_row_old)

    def _drop_lease(self) -> None:
        """Forget the lease: another host may hold it by now."""
        self._keeper = self._make_keeper()

    def _begin_era(self) -> None:
        """Forget the lease, whose last holders the store may not know any more."""
        log("roles:lease_lost", "roles: lease is from an earlier era of the store")
        self._keeper = self._make_keeper(is_row_old=True)

    def _note_member_change(self, old: Member | None, new: Member | None) -> None:
        if old is None and new is not None and new.role is not BackendRole.PLAIN:
            # further engines may appear with their next heartbeats
            self._paused_until = self._clock.now() + NEW_ENGINE_PAUSE

    def _check_balance(self) -> None:
        self._timer = self._clock.call_later(CHECK_INTERVAL, self._check_balance)
        # on all gateways: the next one that orders knows the share before it does
        self._view.observe_fleet_work()
        must_wait = self._order is not None or self._clock.now() < self._paused_until
        if must_wait or not self._peers.is_first_by_name():
            return
        configuration = self._configuration.current
        for service in configuration.services.values() if configuration is not None else ():
            if service.engine is None:
                continue
            balancer = self._view.find_balancer(service.name)
            change = self._plan_change(service.name, balancer)
            if change is not None:
                self._order = Deferred.fromCoroutine(self._order_change(change, balancer))
                self._order.addBoth(self._note_order_end)
                return

    def _plan_change(self, service: ServiceGroup, balancer: RoleBalancer) -> RoleChange | None:
        now = self._clock.now()
        members = self._members.list_members(service)
        for member in members:
            ordered = self._pending.get(member.id)
            if ordered is not None and (member.role is ordered[0] or now >= ordered[1]):
                del self._pending[member.id]
        # the holder of the lease before may have ordered some
        pending = {order.member: order.role for order in self._view.list_role_orders()}
        pending.update({member: ordered[0] for member, ordered in self._pending.items()})
        load = {m.id: self._view.occupancy.sum_reserved_tokens(m.id) for m in members}
        return balancer.plan_change(
            members,
            pending,
            load,
            now,
            backlog=self._view.measure_backlog(service),
            change_time=self._view.find_role_change_time(service),
        )

    async def _order_change(self, change: RoleChange, balancer: RoleBalancer) -> None:
        fencing = await self._acquire_lease()
        if fencing is None:
            return
        member = change.member
        if not self._view.takes_calls(member):
            return
        # the imbalance begins anew with the change
        inputs = {
            "imbalance_ms": to_milliseconds(balancer.imbalance),
            **self._view.describe_fleet_work(member.service),
        }
        balancer.note_change(self._clock.now())
        report = await self._read_report(member)
        if report is None or report.busy or report.role is change.role:
            log(
                "roles:skipped",
                "roles: engine is busy, unreachable or already in that role",
                member=member.id,
            )
            return
        # the lease may have ended, or the host been suspended, while the report was read
        self._suspension.check()
        if self._keeper.find_fencing_number(self._clock.now() + LEASE_MARGIN) != fencing:
            log("roles:lease_ended", "roles: lease ended before the order", member=member.id)
            return
        self._pending[member.id] = (change.role, self._clock.now() + UNCONFIRMED_ORDER_LIFETIME)
        request = self._dialect.encode_order(
            member, change.role, self._host, fencing, report.sequence
        )
        answer = await self._send_request(member, request)
        result = OrderResult.UNKNOWN if answer is None else self._dialect.decode_order(answer[0])
        log(
            "roles:ordered",
            "roles: engine ordered to another role",
            member=member.id,
            role=change.role.value,
            fencing=fencing,
            sequence=report.sequence,
            share=round(balancer.prefill_share, 3),
            **inputs,
            result=result.value,
        )
        if result is OrderResult.ACCEPTED:
            order = RoleOrder(member.id, member.incarnation, change.role, fencing, report.sequence)
            self._view.note_role_order(order)
        if result in {OrderResult.REJECTED, OrderResult.FENCED}:
            self._pending.pop(member.id, None)
        if result is OrderResult.FENCED:
            self._drop_lease()

    async def _acquire_lease(self) -> FencingNumber | None:
        """Return the fencing number, ``None`` unless this host holds the lease for long enough."""
        now = self._clock.now()
        fencing = self._keeper.find_fencing_number(now + LEASE_MARGIN)
        if fencing is not None:
            return fencing
        try:
            page = await self._rows.read(self._rows.dialect.leases_table)
            row = next((row for row in page.rows if row.key == LEASE_NAME), None)
            stored = (
                StoredLease(row.version, decode_lease(row.value)) if row else StoredLease(0, None)
            )
            self._keeper.observe(stored, self._clock.now())
            if not self._peers.is_first_by_name(TAKEOVER_SILENCE):
                return None
            # numbers given out in an era may be lost with it
            lowest = FencingNumber((self._rows.eras.current or 0) * FENCING_PER_ERA)
            write = self._keeper.plan_write(self._clock.now(), lowest)
            if write is not None:
                await self._write_lease(write)
        except (StoreUnavailableError, StoreRefusal) as error:
            self._keeper.note_no_reply()
            self._paused_until = self._clock.now() + LEASE_RETRY_PAUSE
            log("roles:no_lease", "roles: lease could not be acquired", error=str(error))
            return None
        return self._keeper.find_fencing_number(self._clock.now() + LEASE_MARGIN)

    async def _write_lease(self, write: LeaseWrite) -> None:
        value = msgspec.json.encode(write.row)
        row = RowWrite(LEASE_NAME, value, expected=write.expect)
        try:
            version = await self._rows.write(self._rows.dialect.leases_table, [row])
        except RowConflictError:
            # another host was faster; the next check reads its row
            self._keeper.note_no_reply()
            return
        self._keeper.confirm(write, version, self._clock.now())

    async def _read_report(self, member: Member) -> EngineReport | None:
        answer = await self._send_request(member, self._dialect.encode_report(member))
        return None if answer is None else self._dialect.decode_report(answer.status, answer.body)

    async def _send_request(self, member: Member, call: HttpRequest) -> HttpAnswer | None:
        """Return the engine's answer, ``None`` without one."""
        return await self._pool.fetch(member.address, call, ANSWER_TIMEOUT, MAX_REPORT_BYTES)

    def _note_order_end(self, failure: object) -> None:
        self._order = None
        if failure is not None:
            log("roles:failed", "roles: order failed unexpectedly", error=repr(failure))


def decode_lease(value: bytes | None) -> LeaseRow | None:
    """Return the row of a lease, ``None`` when it is removed or malformed."""
    if value is None:
        return None
    try:
        return decode_json(value, LeaseRow)
    except ValueError as error:
        log("roles:lease_unreadable", "roles: lease row is malformed", error=str(error))
        return None


@GATEWAY_SERVICES.register("roles")
def make_roles(kernel: Kernel) -> RolesService:
    """Make the service ``roles``."""
    return RolesService(kernel)
