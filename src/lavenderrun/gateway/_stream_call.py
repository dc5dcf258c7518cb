"""A streamed call to model engines: decode slot, KV cache of the prompt, then events."""

from __future__ import annotations

from datetime import timedelta
from typing import Any, Final

from lavenderrun.dispatch import SMALL_BYTES, HolderKind
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._decode_place import DecodePlace
from lavenderrun.gateway._engine_search import EngineSearch, SearchFailure, count_required_tokens
from lavenderrun.gateway._event_relay import EventRelay
from lavenderrun.gateway._memory import Holding
from lavenderrun.gateway._prompt_cache import PromptCache
from lavenderrun.gateway._running_call import RETRY_AFTER_NO_SLOT, RunningCallBase
from lavenderrun.gateway._silence_guard import SilenceGuard
from lavenderrun.gateway._stream_resumption import StreamResumption
from lavenderrun.gateway._stream_sender import StreamSender
from lavenderrun.gateway._stream_timing import StreamTiming
from lavenderrun.gateway._unused_prompts import UnusedReason
from lavenderrun.types import AnswerKind, CancelReason, Member, Refusal, Step

MAX_ERROR_BYTES: Final = 1 << 20
"""Largest answer of an engine that does not serve the call."""


class StreamCall(RunningCallBase):
    """Runs a stream at one decode engine at a time.

    A stream that breaks is resumed at another engine after the last whole event when its route
    allows that. One whose engine is silent stays there until another engine has taken it on.
    """

    def __init__(self, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        services, admitted = self._services, self._admitted
        self._cache = PromptCache(services, admitted.service, admitted.arrived)
        self._search = EngineSearch(
            services,
            admitted,
            self._call_log,
            self._cache,
            self._tried_servers,
            self._make_context,
            self._take_place,
        )
        self._timing = StreamTiming(services.stats, admitted.arrived)
        self._events = EventRelay(
            services.clock,
            self._sink,
            self._timing,
            admitted.call.resume_after,
            self._note_progress,
            services.memory,
        )
        self._sender = StreamSender(
            services,
            admitted.call,
            self._call_log,
            self._events,
            self._tried_servers,
            self._make_context,
        )
        self._silence = SilenceGuard(
            services,
            admitted,
            self._call_log,
            self._sender,
            self._tried_servers,
            self._take_resend,
            self._note_unknown,
            self._take_moved,
        )
        self._place: DecodePlace | None = None
        self._attempt: Attempt | None = None
        self._error_body = bytearray()
        self._error_holding: Holding | None = None
        self._is_outcome_unknown = False
        self.loss = ""
        self._left_silent: Member | None = None
        self._sent_at = admitted.arrived
        self._resumption = StreamResumption(
            services, admitted, self._call_log, self._events, self._cache, self
        )

    @property
    def is_over(self) -> bool:
        """Whether the call has ended."""
        return self._is_over

    @property
    def place(self) -> DecodePlace | None:
        """The place at an engine that the stream has."""
        return self._place

    @property
    def attempts_left(self) -> int:
        """How many more servers the stream may be sent to."""
        return self._attempts_left

    def take_resend(self) -> bool:
        """Use one resend of the budget; return whether there was one."""
        return self._take_resend()

    def start(self) -> None:
        """Request a decode slot."""
        self._search.request_slot()

    def _take_place(self, found: DecodePlace | SearchFailure) -> None:
        if isinstance(found, DecodePlace):
            self._place = found
            self.send()
        elif found is SearchFailure.NO_TIME:
            self._reach_deadline()
        else:
            self._end_without_slot()

    def _end_without_slot(self) -> None:
        view, service = self._services.view, self._admitted.service
        reason = view.explain_no_server(service, "had room in time")
        if self._events.is_begun:
            self.cut(f"{self.loss}, no other {reason}")
        elif self._may_have_run():
            detail = f"{self.loss}, no other {reason}"
            self._refuse(Refusal.BACKEND_LOST, Step.DECODE, detail)
        else:
            now = self._services.clock.now()
            patience = self._admitted.patience_ends - now
            advised = view.advise_queue_return(
                service,
                self._admitted.access.rank,
                count_required_tokens(self._admitted),
                RETRY_AFTER_NO_SLOT,
                patience,
            )
            view.returning.record(self._call_log.fingerprint, advised, now)
            self._refuse_without_capacity(f"no engine {reason}", advised, advised)

    @property
    def has_other_engine(self) -> bool:
        """Whether an engine not tried yet may run the stream now or soon."""
        tried = [member.id for member in self._tried_servers]
        return self._services.view.has_decode_engine(self._admitted.service, tried)

    def search_again(self) -> None:
        """Free the decode slot and search for another engine, if there is time left."""
        self.release_place()
        self._search.start()

    def release_place(self) -> None:
        """Free the decode slot."""
        if self._place is not None:
            self._place.release()
            self._place = None

    def send(self) -> None:
        """Send the stream to the engine of its place."""
        if self._place is None or self._refuse_if_withdrawn():
            return
        self._attempt = self._sender.make_attempt(self._place, self)
        self._begin_attempt(self._place)
        self._sender.send(self._attempt, self._place, self._cache.offer())

    def _begin_attempt(self, place: DecodePlace) -> None:
        self._events.note_break()
        self._drop_error()
        self._sent_at = self._services.clock.now()
        self._silence.begin(place.member)

    def _note_unknown(self) -> None:
        self._is_outcome_unknown = True

    def _take_moved(self, attempt: Attempt, place: DecodePlace) -> None:
        """Go on with the attempt at another engine."""
        silent, self._attempt = self._attempt, attempt
        if silent is not None:
            self._is_outcome_unknown = True
            self._left_silent = silent.member
            silent.give_up_silent(is_server_silent=self._silence.is_engine_silent())
        self.release_place()
        self._place = place
        self._cache.give_up(UnusedReason.COMPUTED_ELSEWHERE)
        attempt.hand_over(self)
        self._begin_attempt(place)
        if attempt.head is not None:
            self.head_received(attempt)

    def head_received(self, attempt: Attempt) -> None:
        """Begin the answer when the engine serves the call."""
        head = attempt.head
        if head is not None and head.kind is AnswerKind.SERVED:
            self._left_silent = None
            self._silence.note_head()
            self._cache.note_answered()
            if not self._events.is_begun:
                self._observe_first_answer()
            self._events.take_head(attempt, head)

    def body_received(self, attempt: Attempt, data: bytes) -> None:
        """Pass whole events on; keep the body of any other answer."""
        if attempt.head is not None and attempt.head.kind is AnswerKind.SERVED:
            self._events.take_body(attempt, data)
            return
        self._error_body += data
        if self._error_holding is None:
            server = attempt.member.id
            self._error_holding = self._services.memory.hold(
                HolderKind.ANSWER, server, MAX_ERROR_BYTES
            )
        has_room = self._error_holding.add(len(data))
        if len(self._error_body) > MAX_ERROR_BYTES or not has_room:
            self._drop_error()
            attempt.reject_oversized("error", MAX_ERROR_BYTES if has_room else SMALL_BYTES)

    def _drop_error(self) -> None:
        self._error_body.clear()
        if self._error_holding is not None:
            self._error_holding.end()
            self._error_holding = None

    def _note_progress(self) -> None:
        self._has_progressed = True
        self._silence.note_event()

    def attempt_ended(self, attempt: Attempt) -> None:
        """End the answer or continue at another engine."""
        self._attempt = None
        if self._is_over:
            return
        if not attempt.outcome.may_have_run:
            self._note_not_run(attempt)
        self._allow_return()
        situation = self._resumption.assess(attempt)
        if not situation.is_complete and attempt.outcome.may_have_run:
            self._is_outcome_unknown = True
            self.loss = "engine lost" if attempt.outcome.has_broken else "engine failed"
            self._cache.note_lost()
        if not situation.is_complete and self._silence.replace_ended():
            return
        is_misleading = attempt.outcome.is_misleading(idempotent=situation.is_idempotent)
        if is_misleading and not situation.is_begun:
            self._log_misleading(attempt)
        self._silence.end()
        self._resumption.continue_after(attempt, situation)

    def _note_not_run(self, attempt: Attempt) -> None:
        if attempt.sent:
            self._cache.note_rejected(had_hold=attempt.has_hold)
        if self._place is not None:
            self._place.free_offered_hold()

    def _allow_return(self) -> None:
        """Let a silent engine be chosen again if the one after it did not serve the stream."""
        left, self._left_silent = self._left_silent, None
        if left is not None and left in self._tried_servers:
            self._tried_servers.remove(left)

    def complete(self, attempt: Attempt) -> None:
        """End the answer as complete."""
        self._call_log.write(
            "answered", "stream passed on", member=attempt.member.id, **self._timing.describe()
        )
        self._observe_decode()
        self._sink.finish()
        self._finish("answered")

    def _find_first_event(self) -> timedelta | None:
        return self._timing.first_delay

    def _observe_decode(self) -> None:
        service, tokens = self._admitted.service, count_required_tokens(self._admitted)
        if self._place is not None and tokens:
            held = self._services.clock.now() - self._place.reserved_at
            self._services.view.note_hold(service, held, tokens)
        memory = self._services.view.find_memory(service)
        if memory and tokens:
            took = self._services.clock.now() - self._sent_at
            self._services.view.find_balancer(service).observe_decode(took, tokens / memory)

    def drop_tried(self, attempt: Attempt) -> None:
        """Let the engine of an attempt that was not sent be chosen again."""
        self._tried_servers.remove(attempt.member)

    def pass_failure_on(self, attempt: Attempt) -> None:
        """Answer with the failure of the engine."""
        head = attempt.head
        if head is None:
            self.cut("engine failed")
            return
        self._call_log.write("answered", "failure passed on", status=head.status)
        self._sink.answer(head.status, head.headers, bytes(self._error_body))
        self._finish("failed")

    def refuse_rejected(self, detail: str) -> None:
        """Refuse the call, because engines rejected it."""
        self._refuse_without_capacity(detail)

    def refuse_lost(self) -> None:
        """Refuse the call, because its engine was lost."""
        self._refuse(Refusal.BACKEND_LOST, Step.DECODE, self.loss)

    def _reject_crashing(self, release: timedelta) -> None:
        if self._events.is_begun:
            self.cut("a part of the prompt crashes servers")
        else:
            super()._reject_crashing(release)

    def _describe_progress(self) -> dict[str, str | None]:
        return {"last": self._events.last_id}

    def cancel(self, reason: CancelReason = CancelReason.CALLER_GONE) -> None:
        """End the call, as ``RunningCallBase.cancel``."""
        if reason is not CancelReason.DEPARTURE:
            self._cache.unused_reason = UnusedReason.CALLER_GONE
        super().cancel(reason)

    def _reach_deadline(self) -> None:
        self._cache.unused_reason = UnusedReason.DEADLINE
        if self._events.is_begun and not self._is_over:
            self.cut("deadline reached")
        else:
            super()._reach_deadline()

    def _is_begun(self) -> bool:
        return self._events.is_begun

    def _is_waiting(self) -> bool:
        return self._search.is_waiting and super()._is_waiting()

    def _may_have_run(self) -> bool:
        return self._is_outcome_unknown or (self._attempt is not None and self._attempt.sent)

    def pause(self) -> None:
        """Stop reading from the engine, because the caller does not read."""
        if self._attempt is not None:
            self._attempt.pause()
            self._silence.pause()

    def resume(self) -> None:
        """Resume reading from the engine."""
        if self._attempt is not None:
            self._attempt.resume()
            self._silence.resume()

    def _release(self) -> None:
        self._events.end_holding()
        self._drop_error()
        self._silence.end()
        self._search.abandon()
        if self._attempt is not None:
            if self._place is not None and not self._attempt.sent:
                self._place.free_offered_hold()
            self._attempt.abandon()
            self._attempt = None
        self.release_place()
        self._cache.give_up()
