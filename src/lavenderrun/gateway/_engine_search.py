"""Search for a decode engine that takes a stream: slot, connection and KV cache of the prompt."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import datetime
from enum import Enum
from typing import Final

from lavenderrun.dispatch import CacheState, CallRequirements, QueuedCall
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._decode_hold import (
    DecodeHold,
    HoldRequest,
    HoldRequestEnd,
    find_lifetime,
)
from lavenderrun.gateway._decode_place import DecodePlace
from lavenderrun.gateway._decode_slot_queue import DecodeSlotReservation, DecodeSlotWaiter
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._ports import HoldResult
from lavenderrun.gateway._prefill import PrefillStep
from lavenderrun.gateway._prefill_run import CallContextFactory
from lavenderrun.gateway._prompt_cache import PromptCache
from lavenderrun.gateway._running_call import MIN_SEND_TIME, AdmittedCall
from lavenderrun.types import DeclaredSize, HeldCache, Member

RESUMED_RANK: Final = -1
"""Rank of a resumed stream, ahead of all new streams."""

RESERVED_OUTPUT_SHARE: Final = 0.6
"""Share of the likely output that is reserved, because the streams of an engine are at different
points of their output."""

UNDECLARED_SIZE: Final = DeclaredSize(0, 0, 0)


class SearchFailure(Enum):
    """Why a search ended without an engine."""

    NO_SLOT = "no_slot"
    NO_TIME = "no_time"


def count_required_tokens(admitted: AdmittedCall) -> int:
    """Return how many tokens of KV cache are reserved for a stream."""
    size = admitted.call.size or UNDECLARED_SIZE
    return size.prompt + int(size.likely_output * RESERVED_OUTPUT_SHARE)


class EngineSearch:
    """Waits for a decode slot, connects, takes a hold, and has a new stream's prompt computed.

    :param tried: servers that the stream was sent to before.
    :param on_end: called with the place, or why there is none.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        cache: PromptCache,
        tried: Sequence[Member],
        make_context: CallContextFactory,
        on_end: Callable[[DecodePlace | SearchFailure], None],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._cache = cache
        self._tried = tried
        self._make_context = make_context
        self._on_end = on_end
        self._prompt_tokens = (admitted.call.size or UNDECLARED_SIZE).prompt
        self._waiter: DecodeSlotWaiter | None = None
        self._slot: DecodeSlotReservation | None = None
        self._connection: Connection | None = None
        self._hold_request: HoldRequest | None = None
        self._hold: DecodeHold | None = None
        # until when the connection is surely open at the engine, None while it has carried no call
        self._reusable_until: datetime | None = None
        self._prefill: PrefillStep | None = None
        self._was_prefill_sent = False
        self._has_returned = False
        self._needs_own_prompt = False
        self._moving_since: datetime | None = None

    @property
    def is_waiting(self) -> bool:
        """Whether the search waits for a decode slot."""
        return self._waiter is not None

    def start(self) -> None:
        """Search for an engine, if there is time left."""
        if self._admitted.deadline - self._services.clock.now() <= MIN_SEND_TIME:
            self._on_end(SearchFailure.NO_TIME)
        else:
            self.request_slot()

    def request_slot(self) -> None:
        """Wait for a decode slot."""
        route, now = self._admitted.access.route, self._services.clock.now()
        requirements = CallRequirements(
            tokens=count_required_tokens(self._admitted),
            tried=[member.id for member in self._tried],
            may_probe=route.is_idempotent,
            computes_prompt=bool(self._prompt_tokens)
            and self._cache.state is not CacheState.OFFERED
            and (self._needs_own_prompt or bool(self._tried)),
        )
        arrived, rank = self._admitted.arrived, self._admitted.access.rank
        if self._tried:
            # ahead of new calls, so that what an engine has computed is not lost
            self._moving_since = self._moving_since or now
            arrived, rank = self._moving_since, RESUMED_RANK
        elif self._services.view.returning.take(self._call_log.fingerprint, now):
            self._has_returned = True
        queued_call = QueuedCall(
            rank, arrived, route.objective, self._admitted.deadline, self._has_returned
        )
        self._waiter = DecodeSlotWaiter(
            self._admitted.service, requirements, queued_call, self._take_slot
        )
        self._services.slot_queue.enqueue(self._waiter)

    def abandon(self) -> None:
        """End the search and free what it holds."""
        if self._waiter is not None:
            self._services.slot_queue.withdraw(self._waiter)
            self._waiter = None
        if self._hold_request is not None:
            self._hold_request.abandon()
            self._hold_request = None
        if self._prefill is not None:
            if self._prefill.was_sent:
                self._cache.count_unused()
            self._prefill.abandon()
            self._prefill = None
        self._release()

    def _release(self) -> None:
        connection, self._connection = self._connection, None
        hold, self._hold = self._hold, None
        if hold is not None:
            hold.drop(connection)
        elif connection is not None:
            connection.abort()
        if self._slot is not None:
            self._slot.free()
            self._slot = None

    def _search_again(self) -> None:
        self._release()
        self.start()

    def _take_slot(self, slot: DecodeSlotReservation | None) -> None:
        waiter, self._waiter = self._waiter, None
        if slot is None:
            if waiter is not None and waiter.rejection is not None:
                fields = self._services.view.describe_forecast(waiter.rejection)
                rank = waiter.queued_call.rank
                self._call_log.write("wait", "no decode slot expected in time", rank=rank, **fields)
            self._on_end(SearchFailure.NO_SLOT)
            return
        self._slot = slot
        waited = self._services.clock.now() - self._admitted.arrived
        self._call_log.write(
            "seat",
            "decode slot reserved",
            member=slot.member.id,
            waited_ms=to_milliseconds(waited),
            reserved=self._services.view.occupancy.sum_reserved_tokens(slot.member.id),
        )
        # connects first, so that no prompt is computed for an engine that can't be reached
        self._services.pool.open(slot.member.address, self._take_connection, slot)

    def _take_connection(self, connection: Connection | None, slot: DecodeSlotReservation) -> None:
        if self._slot is not slot:
            if connection is not None:
                connection.abort()
            return
        if connection is None:
            self._call_log.write(
                "unreachable", "engine could not be reached", member=slot.member.id
            )
            self._services.view.health.pause_after_failure(
                slot.member.id, self._services.clock.now()
            )
            self._search_again()
            return
        self._connection = connection
        if not self._services.view.takes_calls(slot.member):
            self._search_again()
        else:
            self._request_hold(slot, connection)

    @property
    def _needs_prefill(self) -> bool:
        is_new = not self._tried and not self._was_prefill_sent
        return bool(self._prompt_tokens) and is_new and not self._cache.is_worth_offering

    def _request_hold(self, slot: DecodeSlotReservation, connection: Connection) -> None:
        """Have the engine reserve capacity, so that the prompt is not computed in vain."""
        self._reusable_until = None
        tokens = count_required_tokens(self._admitted)
        lifetime = None
        if self._prompt_tokens:
            lifetime = find_lifetime(
                self._services, self._admitted, slot.member, tokens, prefills=self._needs_prefill
            )
        if lifetime is None:
            self._compute_prompt(slot)
            return
        self._connection = None
        self._hold_request = HoldRequest(
            self._services,
            self._admitted,
            self._call_log,
            slot.member,
            connection,
            tokens,
            lifetime,
            lambda end: self._take_hold(end, slot),
        )
        self._hold_request.start()

    def _take_hold(self, end: HoldRequestEnd, slot: DecodeSlotReservation) -> None:
        self._hold_request = None
        self._hold, self._connection = end.hold, end.connection
        idle_time = self._services.pool.find_idle_time(slot.member.address)
        self._reusable_until = self._services.clock.now() + idle_time
        has_capacity = end.result in {HoldResult.TAKEN, HoldResult.UNREADABLE}
        if has_capacity and self._services.view.takes_calls(slot.member):
            self._compute_prompt(slot)
        else:
            self._search_again()

    def _compute_prompt(self, slot: DecodeSlotReservation) -> None:
        """Have a prefill engine compute the prompt if one is to do so, then finish."""
        if self._cache.is_worth_offering:
            self._finish()
        elif self._needs_prefill:
            self._prefill = PrefillStep(
                self._services,
                self._admitted,
                self._call_log,
                lambda: self._services.view.may_compute(slot.member.id),
                self._take_prefill,
            )
            self._prefill.start(self._make_context)
        else:
            self._take_prefill(None)

    def _take_prefill(self, cache: HeldCache | None) -> None:
        prefill, self._prefill = self._prefill, None
        self._cache.hold(cache)
        if prefill is not None:
            self._was_prefill_sent = prefill.was_sent
            if prefill.is_left:
                self._cache.expect(prefill)
        if self._slot is None:
            return
        member = self._slot.member
        left = self._admitted.deadline - self._services.clock.now()
        if not self._services.view.takes_calls(member) or left <= MIN_SEND_TIME:
            self._search_again()
            return
        if cache is None and self._prompt_tokens and not self._services.view.may_compute(member.id):
            # two prompts in a row would hold up the engine's streams
            self._needs_own_prompt = True
            self._search_again()
            return
        self._finish()

    def _finish(self) -> None:
        self._moving_since = None
        slot, self._slot = self._slot, None
        connection, self._connection = self._connection, None
        hold, self._hold = self._hold, None
        is_old = self._reusable_until is not None and (
            self._services.clock.now() >= self._reusable_until
        )
        if connection is not None and is_old:
            # the engine may close it at any moment, and a call lost then may have run
            connection.abort()
            connection = None
        if slot is not None:
            self._on_end(DecodePlace(slot, connection, hold))
