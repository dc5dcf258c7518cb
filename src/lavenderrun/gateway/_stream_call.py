"""A streamed call to model engines: decode slot, KV cache of the prompt, then events."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Final

from lavenderrun.dispatch import CallRequirements, QueuedCall
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._decode_slot_queue import DecodeSlotReservation, DecodeSlotWaiter
from lavenderrun.gateway._event_split import MAX_EVENT_BYTES, EventSplitter
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._prefill import PrefillStep
from lavenderrun.gateway._running_call import MIN_SEND_TIME, RETRY_AFTER_NO_SLOT, RunningCallBase
from lavenderrun.gateway._stream_timing import StreamTiming
from lavenderrun.kernel import Timer
from lavenderrun.types import AnswerHead, AnswerKind, DeclaredSize, HeldCache, Refusal, Step

FIRST_EVENT_TIMEOUT: Final = timedelta(seconds=2)
"""Silence before the first event after which a resumable stream goes to another engine; callers
give up after twice that time."""

GAP_TIMEOUT_FACTOR: Final = 4.0
"""Silence between events, as a multiple of the gap objective, after which a resumable stream goes
to another engine."""

DEFAULT_GAP_TIMEOUT: Final = timedelta(seconds=1.2)
"""Silence between events after which a resumable stream goes to another engine, on a route without
an objective for gaps."""

RESUMED_RANK: Final = -1
"""Rank of a resumed stream, ahead of all new streams."""

RESERVED_OUTPUT_SHARE: Final = 0.6
"""Share of the likely output that is reserved, because the streams of an engine are at different
points of their output."""

CACHE_LIFETIME_SHARE: Final = 0.7
"""Share of the lifetime of held KV cache within which it is still offered to an engine."""

CACHE_RETRY_PAUSE: Final = timedelta(milliseconds=70)
"""Pause before held KV cache is offered to the same engine again: some tens of decode steps."""

MAX_ERROR_BYTES: Final = 1 << 20
"""Largest answer of an engine that does not serve the call."""

UNDECLARED_SIZE: Final = DeclaredSize(0, 0, 0)


class StreamCall(RunningCallBase):
    """Runs a stream at one decode engine at a time.

    A stream that breaks is resumed at another engine after the last whole event when its route
    allows that; the old connection is closed first.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self._size = self._admitted.call.size or UNDECLARED_SIZE
        self._waiter: DecodeSlotWaiter | None = None
        self._slot: DecodeSlotReservation | None = None
        self._connection: Connection | None = None
        self._prefill: PrefillStep | None = None
        self._was_prefill_sent = False
        self._needs_own_prompt = False
        self._cache: HeldCache | None = None
        self._cache_offered_until = self._admitted.arrived
        self._attempt: Attempt | None = None
        self._splitter = EventSplitter()
        self._splitter.last_id = self._admitted.call.resume_after
        self._error_body = bytearray()
        self._is_begun = False
        self._content_type = ""
        self._is_outcome_unknown = False
        self._silence_timer: Timer | None = None
        self._sent_at = self._admitted.arrived
        self._timing = StreamTiming(self._services.stats, self._admitted.arrived)

    def start(self) -> None:
        """Request a decode slot."""
        self._request_slot()

    @property
    def _required_tokens(self) -> int:
        return self._size.prompt + int(self._size.likely_output * RESERVED_OUTPUT_SHARE)

    def _request_slot(self) -> None:
        route, now = self._admitted.access.route, self._services.clock.now()
        tokens = self._required_tokens
        tried = [member.id for member in self._tried_servers]
        has_cache = self._cache is not None and now < self._cache_offered_until
        requirements = CallRequirements(
            tokens=tokens,
            tried=tried,
            may_probe=route.is_idempotent,
            computes_prompt=bool(self._size.prompt)
            and not has_cache
            and (self._needs_own_prompt or bool(self._tried_servers)),
        )
        arrived, rank = self._admitted.arrived, route.rank
        if self._tried_servers:
            # ahead of new calls, so that what an engine has computed is not lost
            arrived, rank = now, RESUMED_RANK
        queued_call = QueuedCall(rank, arrived, route.objective)
        self._waiter = DecodeSlotWaiter(
            self._admitted.service, requirements, queued_call, self._take_slot
        )
        self._services.slot_queue.enqueue(self._waiter)

    def _take_slot(self, slot: DecodeSlotReservation | None) -> None:
        self._waiter = None
        if slot is None:
            self._end_without_slot()
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
        if self._is_over or self._slot is not slot:
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
            self._request_another_slot()
            return
        self._connection = connection
        if not self._services.view.takes_calls(slot.member):
            self._request_another_slot()
            return
        if self._cache is not None and self._services.clock.now() < self._cache_offered_until:
            self._send(self._cache)
        elif self._size.prompt and not self._tried_servers and not self._was_prefill_sent:
            self._prefill = PrefillStep(
                self._services, self._admitted, self._call_log, self._begin_decode
            )
            self._prefill.start(self._make_context)
        else:
            self._begin_decode(None)

    def _end_without_slot(self) -> None:
        if self._is_begun:
            self._abort_answer("no engine has room to go on")
        else:
            self._refuse_without_capacity("no engine had room in time", RETRY_AFTER_NO_SLOT)

    def _begin_decode(self, cache: HeldCache | None) -> None:
        if self._prefill is not None:
            self._was_prefill_sent = self._prefill.was_sent
        self._prefill, self._cache = None, cache
        lifetime = self._services.view.find_export_lifetime(self._admitted.service)
        self._cache_offered_until = self._services.clock.now() + lifetime * CACHE_LIFETIME_SHARE
        if self._is_over or self._slot is None:
            return
        member = self._slot.member
        if not self._services.view.takes_calls(member) or self._time_left() <= MIN_SEND_TIME:
            self._request_another_slot()
            return
        if cache is None and self._size.prompt and not self._services.view.may_compute(member.id):
            # two prompts in a row would hold up the engine's streams
            self._needs_own_prompt = True
            self._request_another_slot()
            return
        self._send(cache)

    def _request_another_slot(self) -> None:
        """Free the decode slot and request another one, if there is time left."""
        self._release_slot()
        if self._time_left() <= MIN_SEND_TIME:
            self._reach_deadline()
        else:
            self._request_slot()

    def _release_slot(self) -> None:
        if self._connection is not None:
            self._connection.abort()
            self._connection = None
        if self._slot is not None:
            self._slot.free()
            self._slot = None

    def _send(self, cache: HeldCache | None) -> None:
        if self._slot is None:
            return
        member = self._slot.member
        if member not in self._tried_servers:
            self._tried_servers.append(member)
        call = self._admitted.call
        parts = () if self._has_progressed else call.shared_parts
        attempt = Attempt(
            self._services,
            call,
            member,
            self,
            self._call_log,
            has_events=True,
            suspect_parts=parts,
        )
        self._attempt = attempt
        self._splitter.note_break()
        self._error_body.clear()
        self._sent_at = self._services.clock.now()
        self._call_log.write(
            "send",
            "sent to decode engine",
            member=member.id,
            cache=cache.source if cache else None,
            resume_after=self._splitter.last_id,
            attempt=len(self._tried_servers),
            **self._services.view.describe_members(),
        )
        if cache is None and self._size.prompt:
            self._services.view.begin_computation(member, self._size.prompt)
        context = self._make_context(member, cache=cache, resume_after=self._splitter.last_id)
        connection, self._connection = self._connection, None
        attempt.send(context, force_new=True, unused_connection=connection)
        self._restart_silence_timer(FIRST_EVENT_TIMEOUT)

    def head_received(self, attempt: Attempt) -> None:
        """Begin the answer when the engine serves the call."""
        head = attempt.head
        if head is not None and head.kind is AnswerKind.SERVED:
            self._cache = None
            content_type = _find_content_type(head)
            if not self._is_begun:
                self._content_type = content_type
                self._begin_answer(head)
            elif content_type != self._content_type:
                attempt.reject_foreign()

    def _begin_answer(self, head: AnswerHead) -> None:
        self._is_begun = True
        self._observe_first_answer()
        self._sink.begin(head.status, head.headers)

    def body_received(self, attempt: Attempt, data: bytes) -> None:
        """Pass whole events on; keep the body of any other answer."""
        if attempt.head is None or attempt.head.kind is not AnswerKind.SERVED:
            self._error_body += data
            if len(self._error_body) > MAX_ERROR_BYTES:
                self._error_body.clear()
                attempt.reject_oversized("error", MAX_ERROR_BYTES)
            return
        whole = self._splitter.add(data)
        if self._splitter.has_progressed:
            self._has_progressed = True
            attempt.note_progress()
            self._timing.observe_event(self._services.clock.now())
            self._restart_silence_timer(self._find_gap_timeout())
        if self._splitter.has_repeated:
            attempt.reject_foreign()
            return
        if whole:
            self._sink.write(whole)
        if self._splitter.is_oversized:
            self._splitter.drop_partial_event()
            attempt.reject_oversized("event", MAX_EVENT_BYTES)

    def attempt_ended(self, attempt: Attempt) -> None:
        """End the answer or continue at another engine."""
        self._attempt = None
        if self._is_over:
            return
        answer_kind = attempt.head.kind if attempt.head else None
        if (
            attempt.failure is None
            and answer_kind is AnswerKind.SERVED
            and self._splitter.is_between_events
        ):
            self._call_log.write(
                "answered",
                "stream passed on",
                member=attempt.member.id,
                **self._timing.describe(),
            )
            self._observe_decode()
            self._sink.finish()
            self._finish("answered")
        elif not attempt.outcome.may_have_run:
            self._continue_after_rejection(attempt)
        elif attempt.failure is None and answer_kind is AnswerKind.FAILED:
            self._continue_after_failed_answer(attempt)
        else:
            self._continue_after_break(attempt)

    def _observe_decode(self) -> None:
        service = self._admitted.service
        memory = self._services.view.find_memory(service)
        if memory and self._required_tokens:
            took = self._services.clock.now() - self._sent_at
            share = self._required_tokens / memory
            self._services.view.find_balancer(service).observe_decode(took, share)

    def _continue_after_rejection(self, attempt: Attempt) -> None:
        if not attempt.sent:
            self._tried_servers.remove(attempt.member)
            self._request_another_slot()
        elif self._cache is not None and attempt.outcome.kind is AnswerKind.NOT_RUN:
            self._continue_with_cache()
        elif self._attempts_left > 0 and self._take_resend():
            self._request_another_slot()
        elif self._is_begun:
            self._abort_answer("no engine takes the stream on")
        else:
            self._refuse_without_capacity("engine rejected the call")

    def _continue_with_cache(self) -> None:
        """Offer held KV cache again: the engine lacks memory just now, or the cache is gone."""
        if not self._take_resend():
            self._refuse_without_capacity("engine rejected the call")
        elif self._services.clock.now() < self._cache_offered_until and self._attempts_left > 0:
            self._request_another_slot()
        elif self._services.clock.now() + CACHE_RETRY_PAUSE < self._cache_offered_until:
            self._schedule(CACHE_RETRY_PAUSE, self._send_again)
        else:
            self._give_up_cache()
            self._send(None)

    def _give_up_cache(self) -> None:
        cache, self._cache = self._cache, None
        if cache is not None:
            self._services.free_cache(cache)

    def _send_again(self) -> None:
        if self._is_over or self._slot is None:
            return
        if self._services.view.takes_calls(self._slot.member):
            self._send(self._cache)
        elif self._attempts_left > 0:
            self._request_another_slot()
        elif self._is_begun:
            self._abort_answer("engine takes no calls any more")
        else:
            self._refuse_without_capacity("engine takes no calls any more")

    def _continue_after_failed_answer(self, attempt: Attempt) -> None:
        self._is_outcome_unknown = True
        route = self._admitted.access.route
        if route.is_idempotent and self._attempts_left > 0 and self._take_resend():
            self._request_another_slot()
        elif self._is_begun or attempt.head is None:
            self._abort_answer("engine failed")
        else:
            head = attempt.head
            self._call_log.write("answered", "failure passed on", status=head.status)
            self._sink.answer(head.status, head.headers, bytes(self._error_body))
            self._finish("failed")

    def _continue_after_break(self, attempt: Attempt) -> None:
        self._is_outcome_unknown = True
        self._give_up_cache()
        route = self._admitted.access.route
        if route.is_idempotent and self._attempts_left > 0 and self._take_resend():
            reason = attempt.failure.value if attempt.failure else "ended inside an event"
            self._call_log.write(
                "resumed", "stream resumed at another engine", member=attempt.member.id, why=reason
            )
            self._resume(attempt)
        elif self._is_begun:
            self._abort_answer("stream broke")
        else:
            self._refuse(Refusal.BACKEND_LOST, Step.DECODE, "engine lost")

    def _resume(self, attempt: Attempt) -> None:
        """Go on at another engine, once it is known whether a suspect prompt crashed this one."""
        if self._has_progressed or self._services.suspects.parts.is_sound(
            self._admitted.call.shared_parts
        ):
            self._request_another_slot()
            return
        self._release_slot()
        self._services.suspects.call_when_tested(attempt.member.id, self._resume_after_test)

    def _resume_after_test(self) -> None:
        if not self._is_over:
            self._request_another_slot()

    def _reject_crashing(self, release: timedelta) -> None:
        if self._is_begun:
            self._abort_answer("a part of the prompt crashes servers")
        else:
            super()._reject_crashing(release)

    def _abort_answer(self, detail: str) -> None:
        self._call_log.write("cut", "answer cut off", detail=detail, last=self._splitter.last_id)
        self._release()
        self._sink.abort()
        self._finish("cut")

    def _reach_deadline(self) -> None:
        if self._is_begun and not self._is_over:
            self._abort_answer("deadline reached")
        else:
            super()._reach_deadline()

    def _find_gap_timeout(self) -> timedelta:
        gap = self._admitted.access.route.gap_objective
        return DEFAULT_GAP_TIMEOUT if gap is None else gap * GAP_TIMEOUT_FACTOR

    def _restart_silence_timer(self, wait: timedelta) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None
        route = self._admitted.access.route
        if route.is_idempotent and self._attempts_left > 0:
            self._silence_timer = self._services.clock.call_later(wait, self._time_out_attempt)

    def _time_out_attempt(self) -> None:
        self._silence_timer = None
        if self._attempt is not None and not self._is_over:
            self._attempt.time_out()

    def _is_waiting(self) -> bool:
        return self._waiter is not None and super()._is_waiting()

    def _may_have_run(self) -> bool:
        return self._is_outcome_unknown or (self._attempt is not None and self._attempt.sent)

    def pause(self) -> None:
        """Stop reading from the engine, because the caller does not read."""
        if self._attempt is not None:
            self._attempt.pause()

    def resume(self) -> None:
        """Resume reading from the engine."""
        if self._attempt is not None:
            self._attempt.resume()

    def _release(self) -> None:
        if self._silence_timer is not None:
            self._silence_timer.cancel()
            self._silence_timer = None
        if self._waiter is not None:
            self._services.slot_queue.withdraw(self._waiter)
            self._waiter = None
        if self._prefill is not None:
            self._prefill.abandon()
            self._prefill = None
        if self._attempt is not None:
            self._attempt.abandon()
            self._attempt = None
        self._release_slot()
        self._give_up_cache()


def _find_content_type(head: AnswerHead) -> str:
    values = (value for name, value in head.headers if name.lower() == "content-type")
    return next(values, "").partition(";")[0].strip().lower()
