"""How a stream goes on after an attempt has ended."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import Protocol

from lavenderrun.dispatch import (
    RESENDS,
    StreamDecision,
    StreamSituation,
    decide_after_stream_attempt,
)
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._decode_place import DecodePlace
from lavenderrun.gateway._event_relay import EventRelay
from lavenderrun.gateway._prompt_cache import CACHE_RETRY_PAUSE, PromptCache
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.types import BackendId


class ResumableStream(Protocol):
    """What a resumption has a stream do.

    :ivar loss: what became of the last engine that may have run the stream.
    """

    loss: str

    @property
    def is_over(self) -> bool:
        """Whether the call has ended."""

    @property
    def place(self) -> DecodePlace | None:
        """The place at an engine that the stream still has."""

    @property
    def attempts_left(self) -> int:
        """How many more servers the stream may be sent to."""

    @property
    def has_other_engine(self) -> bool:
        """Whether an engine not tried yet may run the stream now or soon."""

    def take_resend(self) -> bool:
        """Use one resend of the budget; return whether there was one."""

    def search_again(self) -> None:
        """Give up the place and search for another engine."""

    def release_place(self) -> None:
        """Give up the place."""

    def send(self) -> None:
        """Send the stream to the engine of its place."""

    def drop_tried(self, attempt: Attempt) -> None:
        """Let the engine of an attempt that was not sent be chosen again."""

    def complete(self, attempt: Attempt) -> None:
        """End the answer as complete."""

    def pass_failure_on(self, attempt: Attempt) -> None:
        """Answer with the failure of the engine."""

    def cut(self, detail: str) -> None:
        """End the answer as incomplete."""

    def refuse_rejected(self, detail: str) -> None:
        """Refuse the call, because engines rejected it."""

    def refuse_lost(self) -> None:
        """Refuse the call, because its engine was lost."""


class StreamResumption:
    """Acts on ``decide_after_stream_attempt``."""

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        events: EventRelay,
        cache: PromptCache,
        stream: ResumableStream,
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._events = events
        self._cache = cache
        self._stream = stream
        self._offered_again: BackendId | None = None
        self._actions: Mapping[StreamDecision, Callable[[Attempt], None]] = {
            StreamDecision.COMPLETE: stream.complete,
            StreamDecision.CHOOSE_AGAIN: self._choose_again,
            StreamDecision.SEND_TO_ANOTHER: lambda _: stream.search_again(),
            StreamDecision.OFFER_CACHE_LATER: self._offer_cache_later,
            StreamDecision.COMPUTE_PROMPT: self._send_without_cache,
            StreamDecision.RESUME: self._resume,
            StreamDecision.PASS_FAILURE_ON: stream.pass_failure_on,
            StreamDecision.CUT: self._cut,
            StreamDecision.REFUSE_NOT_RUN: self._refuse_rejected,
            StreamDecision.REFUSE_LOST: lambda _: stream.refuse_lost(),
        }

    def assess(self, attempt: Attempt) -> StreamSituation:
        """Return what is known now that *attempt* has ended."""
        return StreamSituation(
            attempt.outcome,
            self._events.is_between_events,
            self._admitted.access.route.is_idempotent,
            self._events.is_begun,
            has_attempts=self._stream.attempts_left > 0,
            has_resend=True,
            has_other_engine=self._stream.has_other_engine,
            cache=self._cache.state,
            has_pause_left=self._cache.outlasts_pause,
            has_hold=attempt.has_hold,
            is_offered_again=self._offered_again == attempt.member.id,
        )

    def continue_after(self, attempt: Attempt, situation: StreamSituation) -> None:
        """End the answer or continue at another engine."""
        decision = decide_after_stream_attempt(situation)
        if decision in RESENDS and not self._stream.take_resend():
            decision = decide_after_stream_attempt(replace(situation, has_resend=False))
        self._actions[decision](attempt)

    def _choose_again(self, attempt: Attempt) -> None:
        self._stream.drop_tried(attempt)
        self._stream.search_again()

    def _offer_cache_later(self, attempt: Attempt) -> None:
        self._offered_again = attempt.member.id
        self._services.clock.call_later(CACHE_RETRY_PAUSE, self._send_again)

    def _send_without_cache(self, _attempt: Attempt) -> None:
        self._cache.give_up()
        self._stream.send()

    def _send_again(self) -> None:
        stream = self._stream
        if stream.is_over or stream.place is None:
            return
        if self._services.view.takes_calls(stream.place.member):
            stream.send()
        elif stream.attempts_left > 0:
            stream.search_again()
        elif self._events.is_begun:
            stream.cut("engine takes no calls any more")
        else:
            stream.refuse_rejected("engine takes no calls any more")

    def _resume(self, attempt: Attempt) -> None:
        """Go on at another engine, once it is known whether a suspect prompt crashed this one."""
        reason = attempt.failure.value if attempt.failure else "ended inside an event"
        self._call_log.write(
            "resumed", "stream resumed at another engine", member=attempt.member.id, why=reason
        )
        suspects = self._services.suspects
        if self._events.has_progressed or suspects.parts.is_sound(self._admitted.call.shared_parts):
            self._stream.search_again()
            return
        self._stream.release_place()
        suspects.call_when_tested(attempt.member.id, self._resume_after_test)

    def _resume_after_test(self) -> None:
        if not self._stream.is_over:
            self._stream.search_again()

    def _cut(self, attempt: Attempt) -> None:
        if not attempt.outcome.may_have_run:
            self._stream.cut("no engine takes the stream on")
        else:
            self._stream.cut(self._stream.loss)

    def _refuse_rejected(self, _attempt: Attempt) -> None:
        self._stream.refuse_rejected("engine rejected the call")
