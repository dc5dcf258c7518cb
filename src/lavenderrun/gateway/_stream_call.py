"""A call that model engines serve: a seat, the prompt's KV cache, then events as they come."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Final

from lavenderrun.dispatch import CallRequirements, QueuedCall
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._decode_slot_queue import DecodeSlotReservation, DecodeSlotWaiter
from lavenderrun.gateway._event_split import EventSplitter
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._prefill import PrefillStep
from lavenderrun.gateway._running_call import LEAST_TIME, RETRY_SEAT, RunningCallBase
from lavenderrun.gateway._stream_timing import StreamTiming
from lavenderrun.kernel import Timer
from lavenderrun.types import AnswerHead, AnswerKind, DeclaredSize, HeldCache, Refusal, Step

FIRST_EVENT_WAIT: Final = timedelta(seconds=2)
"""Silence before the first event after which a resumable stream goes on elsewhere; callers leave
at twice that."""

GAP_WAIT_PART: Final = 4.0
"""Silence between events, in gap objectives, after which a resumable stream goes on elsewhere."""

GAP_WAIT_DEFAULT: Final = timedelta(seconds=1.2)
"""The same for a route that states no objective for gaps."""

RESUMED_RANK: Final = -1
"""Rank of a stream that goes on, before all that begin."""

OUTPUT_PART: Final = 0.6
"""Part of the likely output that is reserved: streams are at different points of theirs."""

CACHE_PART: Final = 0.7
"""Part of the life of held KV cache within which it is still offered to an engine."""

CACHE_PAUSE: Final = timedelta(milliseconds=70)
"""Pause before held KV cache is offered to the same engine again: some tens of decode steps."""

UNSTATED_SIZE: Final = DeclaredSize(0, 0, 0)


class StreamCall(RunningCallBase):
    """Runs a stream at one decode engine at a time.

    A stream that breaks goes on at another engine after the last whole event when its route
    allows that; the old connection is closed before.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._size = self._admitted.call.size or UNSTATED_SIZE
        self._request: DecodeSlotWaiter | None = None
        self._seat: DecodeSlotReservation | None = None
        self._line: Connection | None = None
        self._prefill: PrefillStep | None = None
        self._cache: HeldCache | None = None
        self._cache_until = self._admitted.arrived
        self._attempt: Attempt | None = None
        self._events = EventSplitter()
        self._events.last_id = self._admitted.call.resume_after
        self._body: list[bytes] = []
        self._begun = False
        self._unknown = False
        self._watch: Timer | None = None
        self._sent = self._admitted.arrived
        self._pace = StreamTiming(self._parts.stats, self._admitted.arrived)

    def start(self) -> None:
        """Ask for a seat."""
        self._ask_seat()

    @property
    def _need_tokens(self) -> int:
        return self._size.prompt + int(self._size.likely_output * OUTPUT_PART)

    def _ask_seat(self) -> None:
        route, now = self._admitted.access.route, self._parts.clock.now()
        tokens = self._need_tokens
        tried = [member.id for member in self._tried]
        need = CallRequirements(tokens=tokens, tried=tried, harmless=route.is_idempotent)
        arrived, rank = self._admitted.arrived, route.rank
        if self._tried:
            # what an engine has already made is not thrown away for new work
            arrived, rank = now, RESUMED_RANK
        waiting = QueuedCall(rank, arrived, route.objective)
        self._request = DecodeSlotWaiter(self._admitted.service, need, waiting, self._take_seat)
        self._parts.seats.ask(self._request)

    def _take_seat(self, seat: DecodeSlotReservation | None) -> None:
        self._request = None
        if seat is None:
            self._lack_room()
            return
        self._seat = seat
        waited = self._parts.clock.now() - self._admitted.arrived
        self._story.tell(
            "seat",
            "seat reserved",
            member=seat.member.id,
            waited_ms=to_milliseconds(waited),
            reserved=self._parts.view.occupancy.sum_reserved_tokens(seat.member.id),
        )
        # no prompt is computed for an engine that can't be reached
        self._parts.pool.open(seat.member.address, self._take_line, seat)

    def _take_line(self, line: Connection | None, seat: DecodeSlotReservation) -> None:
        if self._over or self._seat is not seat:
            if line is not None:
                line.abort()
            return
        if line is None:
            self._story.tell("unreachable", "engine not reached", member=seat.member.id)
            self._parts.view.health.lose(seat.member.id, self._parts.clock.now())
            self._move_seat()
            return
        self._line = line
        if self._cache is not None and self._parts.clock.now() < self._cache_until:
            self._send(self._cache)
        elif self._size.prompt and not self._tried:
            self._prefill = PrefillStep(
                self._parts, self._admitted, self._story, self._begin_decode
            )
            self._prefill.start(self._dispatch)
        else:
            self._begin_decode(None)

    def _lack_room(self) -> None:
        if self._begun:
            self._cut("no engine has room to go on")
        else:
            self._refuse_for_room("no engine had room in time", RETRY_SEAT)

    def _begin_decode(self, cache: HeldCache | None) -> None:
        self._prefill, self._cache = None, cache
        life = self._parts.view.find_export_life(self._admitted.service)
        self._cache_until = self._parts.clock.now() + life * CACHE_PART
        if self._over or self._seat is None:
            return
        member = self._seat.member
        current = self._parts.view.find_ready(member)
        if current is None or self._time_left() <= LEAST_TIME:
            self._move_seat()
            return
        self._send(cache)

    def _move_seat(self) -> None:
        """The seat's engine went while the prompt was computed; ask for another one."""
        self._leave_seat()
        if self._time_left() <= LEAST_TIME:
            self._reach_deadline()
        else:
            self._ask_seat()

    def _leave_seat(self) -> None:
        if self._line is not None:
            self._line.abort()
            self._line = None
        if self._seat is not None:
            self._seat.free()
            self._seat = None

    def _send(self, cache: HeldCache | None) -> None:
        if self._seat is None:
            return
        member = self._seat.member
        if member not in self._tried:
            self._tried.append(member)
        attempt = Attempt(self._parts, self._admitted.call, member, self, self._story)
        self._attempt = attempt
        self._events.reset()
        self._body.clear()
        self._sent = self._parts.clock.now()
        self._story.tell(
            "send",
            "sent to engine",
            member=member.id,
            cache=cache.source if cache else None,
            resume_after=self._events.last_id,
            attempt=len(self._tried),
        )
        dispatch = self._dispatch(member, cache=cache, resume_after=self._events.last_id)
        line, self._line = self._line, None
        attempt.send(dispatch, fresh=True, over=line)
        self._watch_silence(FIRST_EVENT_WAIT)

    def headed(self, attempt: Attempt) -> None:
        """Begin the answer when the engine serves; see ``AttemptEvents``."""
        head = attempt.head
        if head is not None and head.kind is AnswerKind.SERVED:
            self._cache = None
            if not self._begun:
                self._begin_answer(head)

    def _begin_answer(self, head: AnswerHead) -> None:
        self._begun = True
        self._note_first_answer()
        self._sink.begin(head.status, head.headers)

    def received(self, attempt: Attempt, data: bytes) -> None:
        """Pass whole events on; see ``AttemptEvents``."""
        if attempt.head is None or attempt.head.kind is not AnswerKind.SERVED:
            self._body.append(data)
            return
        whole = self._events.take(data)
        if whole:
            self._pace.observe_event(self._parts.clock.now())
            self._sink.write(whole)
            self._watch_silence(self._gap_wait())

    def settled(self, attempt: Attempt) -> None:
        """End the answer or go on elsewhere; see ``AttemptEvents``."""
        self._attempt = None
        if self._over:
            return
        standing = attempt.head.kind if attempt.head else None
        if attempt.broke is None and standing is AnswerKind.SERVED and self._events.is_between:
            self._story.tell(
                "answered",
                "stream passed on",
                member=attempt.member.id,
                **self._pace.describe(),
            )
            self._observe_decode()
            self._sink.finish()
            self._finish("answered")
        elif not attempt.outcome.may_have_run:
            self._go_on_after_rejection(attempt)
        elif attempt.broke is None and standing is AnswerKind.FAILED:
            self._go_on_after_failure(attempt)
        else:
            self._go_on_after_break(attempt)

    def _observe_decode(self) -> None:
        service = self._admitted.service
        memory = self._parts.view.find_memory(service)
        if memory and self._need_tokens:
            took = self._parts.clock.now() - self._sent
            part = self._need_tokens / memory
            self._parts.view.find_balancer(service).observe_decode(took, part)

    def _go_on_after_rejection(self, attempt: Attempt) -> None:
        if not attempt.sent:
            self._tried.remove(attempt.member)
            self._move_seat()
        elif self._cache is not None and attempt.outcome.kind is AnswerKind.NOT_RUN:
            self._go_on_with_cache()
        elif self._attempts_left > 0 and self._take_resend():
            self._move_seat()
        elif self._begun:
            self._cut("no engine takes the stream on")
        else:
            self._refuse_for_room("engine rejected the call")

    def _go_on_with_cache(self) -> None:
        """The engine has no memory for the prompt just now, or the cache is gone."""
        if not self._take_resend():
            self._refuse_for_room("engine rejected the call")
        elif self._parts.clock.now() < self._cache_until and self._attempts_left > 0:
            self._move_seat()
        elif self._parts.clock.now() + CACHE_PAUSE < self._cache_until:
            self._plan(CACHE_PAUSE, self._send_again)
        else:
            self._cache = None
            self._send(None)

    def _send_again(self) -> None:
        if not self._over:
            self._send(self._cache)

    def _go_on_after_failure(self, attempt: Attempt) -> None:
        self._unknown = True
        route = self._admitted.access.route
        if route.is_idempotent and self._attempts_left > 0 and self._take_resend():
            self._move_seat()
        elif self._begun or attempt.head is None:
            self._cut("engine failed")
        else:
            head = attempt.head
            self._story.tell("answered", "failure passed on", status=head.status)
            self._sink.answer(head.status, head.headers, b"".join(self._body))
            self._finish("failed")

    def _go_on_after_break(self, attempt: Attempt) -> None:
        self._unknown = True
        self._cache = None
        route = self._admitted.access.route
        if route.is_idempotent and self._attempts_left > 0 and self._take_resend():
            reason = attempt.broke.value if attempt.broke else "ended inside an event"
            self._story.tell("resumed", "goes on elsewhere", member=attempt.member.id, why=reason)
            self._move_seat()
        elif self._begun:
            self._cut("stream broke")
        else:
            self._refuse(Refusal.BACKEND_LOST, Step.DECODE, "engine lost")

    def _cut(self, detail: str) -> None:
        self._story.tell("cut", "answer cut", detail=detail, last=self._events.last_id)
        self._release()
        self._sink.abort()
        self._finish("cut")

    def _reach_deadline(self) -> None:
        if self._begun and not self._over:
            self._cut("deadline reached")
        else:
            super()._reach_deadline()

    def _gap_wait(self) -> timedelta:
        gap = self._admitted.access.route.gap_objective
        return GAP_WAIT_DEFAULT if gap is None else gap * GAP_WAIT_PART

    def _watch_silence(self, wait: timedelta) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        route = self._admitted.access.route
        if route.is_idempotent and self._attempts_left > 0:
            self._watch = self._parts.clock.call_later(wait, self._give_up_silent)

    def _give_up_silent(self) -> None:
        self._watch = None
        if self._attempt is not None and not self._over:
            self._attempt.give_up()

    def _may_have_run(self) -> bool:
        return self._unknown or (self._attempt is not None and self._attempt.sent)

    def pause(self) -> None:
        """The caller does not take what came."""
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self) -> None:
        """The caller reads on."""
        if self._attempt is not None:
            self._attempt.resume()

    def _release(self) -> None:
        if self._watch is not None:
            self._watch.cancel()
            self._watch = None
        if self._request is not None:
            self._parts.seats.withdraw(self._request)
            self._request = None
        if self._prefill is not None:
            self._prefill.abandon()
            self._prefill = None
        if self._attempt is not None:
            self._attempt.abandon()
            self._attempt = None
        self._leave_seat()
        if self._cache is not None:
            self._parts.free_cache(self._cache)
            self._cache = None
