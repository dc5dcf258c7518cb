"""The boundary around the handling of one call: unexpected errors end that call only.

All that happens to a call after its start reaches it through the services that it uses: timers,
connections, the queue for decode slots and tests of servers. The services here wrap what a call
gives them, so that an error in it ends the call with an answer.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import replace
from datetime import datetime, timedelta
from functools import partial
from typing import Any, ParamSpec

from lavenderrun.dispatch import CallRequirements
from lavenderrun.gateway._call_services import CallPool, CallServices, CallSuspects, SlotQueue
from lavenderrun.gateway._connection import Connection, Receiver
from lavenderrun.gateway._decode_slot_queue import DecodeSlotReservation, DecodeSlotWaiter
from lavenderrun.gateway._pool import Exchange
from lavenderrun.gateway._suspects import LostCall
from lavenderrun.kernel import GuardedClock
from lavenderrun.types import (
    BackendId,
    CallFailure,
    CancelReason,
    Headers,
    Member,
    PartId,
    RunningCall,
    ServiceGroup,
)

P = ParamSpec("P")


class CallBoundary:
    """Passes unexpected errors in the handling of a call to that call.

    :ivar fail: called with the error.
    :ivar is_allowed: tells, when something is to be sent for the call, whether it is still allowed.
    """

    def __init__(self) -> None:
        self.fail: Callable[[Exception], None] = _raise
        self.is_allowed: Callable[[], bool] = lambda: True

    def guard(self, function: Callable[P, None]) -> Callable[P, None]:
        """Return *function* with its errors passed to the call."""

        def run(*args: P.args, **kwargs: P.kwargs) -> None:
            try:
                function(*args, **kwargs)
            except Exception as error:
                self.fail(error)

        return run

    def guard_services(self, services: CallServices) -> CallServices:
        """Return *services* for a call whose errors pass this boundary."""
        return replace(
            services,
            clock=GuardedClock(services.clock, self.guard),
            pool=_GuardedPool(services.pool, self),
            slot_queue=_GuardedSlotQueue(services.slot_queue, self),
            suspects=_GuardedSuspects(services.suspects, self),
        )


class GuardedCall:
    """A running call whose errors pass a boundary when its caller pauses, resumes or leaves."""

    def __init__(self, running: RunningCall, boundary: CallBoundary) -> None:
        self._cancel = boundary.guard(running.cancel)
        self.pause: Callable[[], None] = boundary.guard(running.pause)
        self.resume: Callable[[], None] = boundary.guard(running.resume)

    def cancel(self, reason: CancelReason = CancelReason.CALLER_GONE) -> None:
        """End the call, as ``RunningCall.cancel``."""
        self._cancel(reason)


def _raise(error: Exception) -> None:
    raise error


def _always() -> bool:
    return True


class _GuardedReceiver:
    def __init__(self, receiver: Receiver, boundary: CallBoundary) -> None:
        self.head_received: Callable[[int, Headers], None] = boundary.guard(receiver.head_received)
        self.body_received: Callable[[bytes], None] = boundary.guard(receiver.body_received)
        self.answer_completed: Callable[[], None] = boundary.guard(receiver.answer_completed)
        self.answer_failed: Callable[[CallFailure], None] = boundary.guard(receiver.answer_failed)


class _GuardedPool:
    def __init__(self, pool: CallPool, boundary: CallBoundary) -> None:
        self._pool = pool
        self._boundary = boundary

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
        may_send: Callable[[], bool] | None = None,
        on_error: Callable[[Exception], None] | None = None,
    ) -> Exchange:
        # without a check of its own it is the release of KV cache, which is sent in any case
        is_wanted = _always if may_send is None else partial(self._is_wanted, may_send)
        return self._pool.call(
            address,
            method,
            target,
            headers,
            body,
            _GuardedReceiver(receiver, self._boundary),
            force_new=force_new,
            unused_connection=unused_connection,
            may_send=is_wanted,
            on_error=on_error or self._boundary.fail,
        )

    def _is_wanted(self, may_send: Callable[[], bool]) -> bool:
        return may_send() and self._boundary.is_allowed()

    def open(self, address: str, on_opened: Callable[..., None], *args: Any) -> None:
        self._pool.open(address, self._boundary.guard(on_opened), *args)

    def find_idle_time(self, address: str) -> timedelta:
        return self._pool.find_idle_time(address)

    def set_idle_timeout(self, address: str, idle_timeout: timedelta) -> None:
        self._pool.set_idle_timeout(address, idle_timeout)


class _GuardedSlotQueue:
    def __init__(self, slot_queue: SlotQueue, boundary: CallBoundary) -> None:
        self._slot_queue = slot_queue
        self._boundary = boundary

    def enqueue(self, waiter: DecodeSlotWaiter) -> None:
        waiter.on_error = self._boundary.fail
        self._slot_queue.enqueue(waiter)

    def reserve_now(
        self, service: ServiceGroup, requirements: CallRequirements
    ) -> DecodeSlotReservation | None:
        return self._slot_queue.reserve_now(service, requirements)

    def withdraw(self, waiter: DecodeSlotWaiter) -> None:
        self._slot_queue.withdraw(waiter)


class _GuardedSuspects:
    def __init__(self, suspects: CallSuspects, boundary: CallBoundary) -> None:
        self._suspects = suspects
        self._boundary = boundary
        self.calls = suspects.calls
        self.parts = suspects.parts

    def find_crashing_part(self, parts: Sequence[PartId]) -> PartId | None:
        return self._suspects.find_crashing_part(parts)

    def record_lost_answer(self, member: Member, lost: LostCall) -> None:
        self._suspects.record_lost_answer(member, lost)

    def call_when_tested(self, member: BackendId, call: Callable[[], None]) -> None:
        self._suspects.call_when_tested(member, self._boundary.guard(call))

    def record_progress(self, parts: Sequence[PartId]) -> None:
        self._suspects.record_progress(parts)

    def record_alive(self, member: Member, sent: datetime) -> None:
        self._suspects.record_alive(member, sent)
