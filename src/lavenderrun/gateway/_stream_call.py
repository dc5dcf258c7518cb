"""A streamed call to model engines: decode slot, KV cache of the prompt, then events."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from datetime import timedelta
from typing import Any, Final

from lavenderrun.dispatch import (
    RESENDS,
    StreamDecision,
    StreamSituation,
    decide_after_stream_attempt,
)
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._decode_place import DecodePlace
from lavenderrun.gateway._engine_search import EngineSearch, SearchFailure, count_required_tokens
from lavenderrun.gateway._event_relay import EventRelay
from lavenderrun.gateway._prompt_cache import CACHE_RETRY_PAUSE, PromptCache
from lavenderrun.gateway._running_call import RETRY_AFTER_NO_SLOT, RunningCallBase
from lavenderrun.gateway._silence_guard import SilenceGuard
from lavenderrun.gateway._stream_sender import StreamSender
from lavenderrun.gateway._stream_timing import StreamTiming
from lavenderrun.types import AnswerKind, Refusal, Step

MAX_ERROR_BYTES: Final = 1 << 20
"""Largest answer of an engine that does not serve the call."""


class StreamCall(RunningCallBase):
    """Runs a stream at one decode engine at a time.

    A stream that breaks is resumed at another engine after the last whole event when its route
    allows that; the old connection is closed first.
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
            self._take_moved,
        )
        self._place: DecodePlace | None = None
        self._attempt: Attempt | None = None
        self._error_body = bytearray()
        self._is_outcome_unknown = False
        self._loss = ""
        self._sent_at = admitted.arrived
        self._actions: Mapping[StreamDecision, Callable[[Attempt], None]] = {
            StreamDecision.COMPLETE: self._complete,
            StreamDecision.CHOOSE_AGAIN: self._choose_again,
            StreamDecision.SEND_TO_ANOTHER: lambda _: self._search_again(),
            StreamDecision.OFFER_CACHE_LATER: lambda _: self._send_later(),
            StreamDecision.COMPUTE_PROMPT: lambda _: self._send_without_cache(),
            StreamDecision.RESUME: self._resume,
            StreamDecision.PASS_FAILURE_ON: self._pass_failure_on,
            StreamDecision.CUT: self._cut_after,
            StreamDecision.REFUSE_NOT_RUN: lambda _: self._refuse_without_capacity(
                "engine rejected the call"
            ),
            StreamDecision.REFUSE_LOST: lambda _: self._refuse(
                Refusal.BACKEND_LOST, Step.DECODE, self._loss
            ),
        }

    def start(self) -> None:
        """Request a decode slot."""
        self._search.request_slot()

    def _take_place(self, found: DecodePlace | SearchFailure) -> None:
        if isinstance(found, DecodePlace):
            self._place = found
            self._send()
        elif found is SearchFailure.NO_TIME:
            self._reach_deadline()
        else:
            self._end_without_slot()

    def _end_without_slot(self) -> None:
        is_unreached = self._services.view.is_unreached(self._admitted.service)
        reason = "could be reached" if is_unreached else "had room in time"
        if self._events.is_begun:
            self._abort_answer(f"{self._loss}, no other {reason}")
        elif self._may_have_run():
            detail = f"{self._loss}, no other {reason}"
            self._refuse(Refusal.BACKEND_LOST, Step.DECODE, detail)
        else:
            self._refuse_without_capacity(f"no engine {reason}", RETRY_AFTER_NO_SLOT)

    def _has_other_engine(self) -> bool:
        tried = [member.id for member in self._tried_servers]
        return self._services.view.has_decode_engine(self._admitted.service, tried)

    def _search_again(self) -> None:
        """Free the decode slot and search for another engine, if there is time left."""
        self._release_place()
        self._search.start()

    def _release_place(self) -> None:
        if self._place is not None:
            self._place.release()
            self._place = None

    def _send(self) -> None:
        if self._place is None:
            return
        self._attempt = self._sender.make_attempt(self._place, self)
        self._begin_attempt(self._place)
        self._sender.send(self._attempt, self._place, self._cache.held)

    def _begin_attempt(self, place: DecodePlace) -> None:
        self._events.note_break()
        self._error_body.clear()
        self._sent_at = self._services.clock.now()
        self._silence.begin(place.member)

    def _take_moved(self, attempt: Attempt, place: DecodePlace) -> None:
        """Go on with the attempt at another engine."""
        silent, self._attempt = self._attempt, attempt
        if silent is not None:
            self._is_outcome_unknown = True
            silent.give_up_silent(is_server_silent=self._silence.is_engine_silent())
        self._release_place()
        self._place = place
        self._cache.give_up()
        attempt.hand_over(self)
        self._begin_attempt(place)
        if attempt.head is not None:
            self.head_received(attempt)

    def head_received(self, attempt: Attempt) -> None:
        """Begin the answer when the engine serves the call."""
        head = attempt.head
        if head is not None and head.kind is AnswerKind.SERVED:
            self._silence.note_head()
            self._cache.note_imported()
            if not self._events.is_begun:
                self._observe_first_answer()
            self._events.take_head(attempt, head)

    def body_received(self, attempt: Attempt, data: bytes) -> None:
        """Pass whole events on; keep the body of any other answer."""
        if attempt.head is not None and attempt.head.kind is AnswerKind.SERVED:
            self._events.take_body(attempt, data)
            return
        self._error_body += data
        if len(self._error_body) > MAX_ERROR_BYTES:
            self._error_body.clear()
            attempt.reject_oversized("error", MAX_ERROR_BYTES)

    def _note_progress(self) -> None:
        self._has_progressed = True
        self._silence.note_event()

    def attempt_ended(self, attempt: Attempt) -> None:
        """End the answer or continue at another engine."""
        self._attempt = None
        if self._is_over:
            return
        situation = StreamSituation(
            attempt.outcome,
            self._events.is_between_events,
            self._admitted.access.route.is_idempotent,
            self._events.is_begun,
            has_attempts=self._attempts_left > 0,
            has_resend=True,
            has_other_engine=self._has_other_engine(),
            cache=self._cache.state,
            has_pause_left=self._cache.outlasts_pause,
        )
        decision = decide_after_stream_attempt(situation)
        if decision is not StreamDecision.COMPLETE and attempt.outcome.may_have_run:
            self._is_outcome_unknown = True
            self._loss = "engine lost" if attempt.outcome.has_broken else "engine failed"
            if attempt.outcome.has_broken:
                self._cache.give_up()
        if decision is not StreamDecision.COMPLETE and self._silence.replace_ended():
            return
        self._silence.end()
        if decision in RESENDS and not self._take_resend():
            decision = decide_after_stream_attempt(replace(situation, has_resend=False))
        self._actions[decision](attempt)

    def _complete(self, attempt: Attempt) -> None:
        self._call_log.write(
            "answered", "stream passed on", member=attempt.member.id, **self._timing.describe()
        )
        self._observe_decode()
        self._sink.finish()
        self._finish("answered")

    def _observe_decode(self) -> None:
        service, tokens = self._admitted.service, count_required_tokens(self._admitted)
        memory = self._services.view.find_memory(service)
        if memory and tokens:
            took = self._services.clock.now() - self._sent_at
            self._services.view.find_balancer(service).observe_decode(took, tokens / memory)

    def _choose_again(self, attempt: Attempt) -> None:
        self._tried_servers.remove(attempt.member)
        self._search_again()

    def _send_later(self) -> None:
        self._schedule(CACHE_RETRY_PAUSE, self._send_again)

    def _send_without_cache(self) -> None:
        self._cache.give_up()
        self._send()

    def _send_again(self) -> None:
        if self._is_over or self._place is None:
            return
        if self._services.view.takes_calls(self._place.member):
            self._send()
        elif self._attempts_left > 0:
            self._search_again()
        elif self._events.is_begun:
            self._abort_answer("engine takes no calls any more")
        else:
            self._refuse_without_capacity("engine takes no calls any more")

    def _pass_failure_on(self, attempt: Attempt) -> None:
        head = attempt.head
        if head is None:
            self._abort_answer("engine failed")
            return
        self._call_log.write("answered", "failure passed on", status=head.status)
        self._sink.answer(head.status, head.headers, bytes(self._error_body))
        self._finish("failed")

    def _resume(self, attempt: Attempt) -> None:
        """Go on at another engine, once it is known whether a suspect prompt crashed this one."""
        reason = attempt.failure.value if attempt.failure else "ended inside an event"
        self._call_log.write(
            "resumed", "stream resumed at another engine", member=attempt.member.id, why=reason
        )
        if self._has_progressed or self._services.suspects.parts.is_sound(
            self._admitted.call.shared_parts
        ):
            self._search_again()
            return
        self._release_place()
        self._services.suspects.call_when_tested(attempt.member.id, self._resume_after_test)

    def _resume_after_test(self) -> None:
        if not self._is_over:
            self._search_again()

    def _cut_after(self, attempt: Attempt) -> None:
        if not attempt.outcome.may_have_run:
            self._abort_answer("no engine takes the stream on")
        else:
            self._abort_answer(self._loss)

    def _reject_crashing(self, release: timedelta) -> None:
        if self._events.is_begun:
            self._abort_answer("a part of the prompt crashes servers")
        else:
            super()._reject_crashing(release)

    def _abort_answer(self, detail: str) -> None:
        self._call_log.write("cut", "answer cut off", detail=detail, last=self._events.last_id)
        self._release()
        self._sink.abort()
        self._finish("cut")

    def _reach_deadline(self) -> None:
        if self._events.is_begun and not self._is_over:
            self._abort_answer("deadline reached")
        else:
            super()._reach_deadline()

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
        self._silence.end()
        self._search.abandon()
        if self._attempt is not None:
            self._attempt.abandon()
            self._attempt = None
        self._release_place()
        self._cache.give_up()
