"""Services that a running call uses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta
from random import Random
from typing import Any, Final, Protocol

from lavenderrun.dispatch import CallDurations, CallRequirements, CrashingParts, SuspectTracker
from lavenderrun.gateway._connection import Connection, Receiver
from lavenderrun.gateway._decode_slot_queue import DecodeSlotReservation, DecodeSlotWaiter
from lavenderrun.gateway._memory import MemoryService
from lavenderrun.gateway._pool import Exchange
from lavenderrun.gateway._ports import BackendDialect
from lavenderrun.gateway._stats import Stats
from lavenderrun.gateway._suspects import LostCall
from lavenderrun.gateway._suspension import SuspensionService
from lavenderrun.gateway._view import FleetView
from lavenderrun.gateway._waiting_calls import WaitingPlainCalls
from lavenderrun.kernel import Clock
from lavenderrun.types import (
    BackendId,
    CallFailure,
    GatewayCall,
    Headers,
    HeldCache,
    HoldId,
    Member,
    PartId,
    Refusal,
    ServiceGroup,
)

MAX_RELEASE_TIME: Final = timedelta(seconds=1)
"""Longest time in which the answer to the release of KV cache is read."""


class CallPool(Protocol):
    """The part of the service ``pool`` that calls use."""

    def call(
        self,
        address: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        receiver: Receiver,
        *,
        force_new: bool = False,
        unused_connection: Connection | None = None,
        may_send: Callable[[], bool] = ...,
        on_error: Callable[[Exception], None] | None = None,
    ) -> Exchange:
        """Send a call, as ``ConnectionPool.call``."""

    def open(self, address: str, on_opened: Callable[..., None], *args: Any) -> None:
        """Open a connection, as ``ConnectionPool.open``."""

    def find_idle_time(self, address: str) -> timedelta:
        """Return how long a connection to *address* may be idle before it is reused."""

    def set_idle_timeout(self, address: str, idle_timeout: timedelta) -> None:
        """Store how long a server keeps idle connections."""


class SlotQueue(Protocol):
    """The part of the service ``seats`` that calls use."""

    def enqueue(self, waiter: DecodeSlotWaiter) -> None:
        """Reserve a decode slot for the call as soon as there is one."""

    def reserve_now(
        self, service: ServiceGroup, requirements: CallRequirements
    ) -> DecodeSlotReservation | None:
        """Reserve a decode slot without waiting, ``None`` when there is none."""

    def withdraw(self, waiter: DecodeSlotWaiter) -> None:
        """Remove a call from the queue."""


class CallSuspects(Protocol):
    """The part of the service ``suspects`` that calls use."""

    calls: SuspectTracker
    parts: CrashingParts

    def find_crashing_part(self, parts: Sequence[PartId]) -> PartId | None:
        """Return the part because of which a call with *parts* is rejected."""

    def record_lost_answer(self, member: Member, lost: LostCall) -> None:
        """Count a strike for a call whose server dropped the connection."""

    def call_when_tested(self, member: BackendId, call: Callable[[], None]) -> None:
        """Call *call* when the test of a server is over."""

    def record_progress(self, parts: Sequence[PartId]) -> None:
        """Clear the parts of a call that begins to be answered."""

    def record_alive(self, member: Member, sent: datetime) -> None:
        """Drop the strikes of a server that answered."""


@dataclass(frozen=True)
class CallServices:
    """Services that a running call uses.

    :param find_withdrawal: returns why a call would not be admitted now, ``None`` when it would be.
    """

    clock: Clock
    pool: CallPool
    view: FleetView
    slot_queue: SlotQueue
    backends: BackendDialect
    stats: Stats
    suspects: CallSuspects
    suspension: SuspensionService
    random_source: Random
    memory: MemoryService
    durations: CallDurations = field(default_factory=CallDurations)
    waiting: WaitingPlainCalls = field(default_factory=WaitingPlainCalls)
    find_withdrawal: Callable[[GatewayCall], Refusal | None] = lambda _call: None

    def free_cache(self, cache: HeldCache) -> None:
        """Ask the holder to free KV cache that no engine will take."""
        call = self.backends.encode_release(cache)
        exchange = self.pool.call(
            cache.source, call.method, call.target, call.headers, call.body, _IgnoredAnswer()
        )
        # its answer may never end
        self.clock.call_later(MAX_RELEASE_TIME, exchange.abandon)

    def free_hold(self, member: Member, hold: HoldId, connection: Connection | None) -> None:
        """Ask a decode engine to free a hold that no call will use.

        :param connection: an open connection to the engine, ``None`` for another one.
        """
        call = self.backends.encode_hold_release(member, hold)
        exchange = self.pool.call(
            member.address,
            call.method,
            call.target,
            call.headers,
            call.body,
            _IgnoredAnswer(),
            unused_connection=connection,
            may_send=lambda: self.view.may_free_hold(member),
        )
        self.clock.call_later(MAX_RELEASE_TIME, exchange.abandon)


class _IgnoredAnswer:
    """Ignores an answer; KV cache or a hold that was not freed expires by itself."""

    def head_received(self, status: int, headers: Headers) -> None:
        """Ignore the head."""

    def body_received(self, data: bytes) -> None:
        """Ignore a part of the body."""

    def answer_completed(self) -> None:
        """Ignore the end of the answer."""

    def answer_failed(self, reason: CallFailure) -> None:
        """Ignore the failure."""
