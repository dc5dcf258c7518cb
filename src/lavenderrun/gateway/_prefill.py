"""The prefill step of a streamed call: a prefill engine computes the KV cache of the prompt."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final, Protocol

from lavenderrun.dispatch import CallRequirements, SilenceLimits
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._silence_watch import SilenceWatch
from lavenderrun.types import AnswerKind, CallContext, HeldCache, Member

MAX_PREFILL_ANSWER_BYTES: Final = 64 << 10
"""Largest answer of a prefill engine, which names the KV cache."""


class CallContextFactory(Protocol):
    """Returns the context in which a streamed call is sent to an engine."""

    def __call__(self, member: Member, *, prefill_only: bool) -> CallContext:
        """Return the context for a send to *member*."""


class PrefillStep:
    """Has a prefill engine compute the prompt; after a failure the decode engine does it.

    A silent prefill is kept until the decode engine may compute the prompt, or until the silence is
    certain.

    :param may_compute: tells whether the decode engine may compute the prompt now.
    :param on_done: called once with the held KV cache, or ``None`` without one.
    :ivar was_sent: whether the prompt was sent to a prefill engine.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        may_compute: Callable[[], bool],
        on_done: Callable[[HeldCache | None], None],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._on_done: Callable[[HeldCache | None], None] | None = on_done
        self._attempt: Attempt | None = None
        self._body = bytearray()
        self._tokens = admitted.call.size.prompt if admitted.call.size else 0
        self._may_compute = may_compute
        self._watch = SilenceWatch(
            services,
            admitted,
            call_log,
            services.view.prefill_silence,
            lambda: 1,
            lambda: True,
            self._leave_silent,
            may_move=True,
        )
        self._was_engine_free = False
        self.was_sent = False
        self._began_at = services.clock.now()

    def start(self, make_context: CallContextFactory) -> None:
        """Send the prompt to the prefill engine with the shortest queue."""
        due = self._admitted.arrived + self._admitted.access.route.objective
        requirements = CallRequirements(tokens=self._tokens, first_token_due=due)
        member = self._services.view.place(self._admitted.service, "prefill", requirements)
        if member is None:
            self._call_log.write("prefill_skipped", "no prefill engine takes calls")
            self._finish(None)
            return
        queued = self._services.view.occupancy.sum_reserved_tokens(member.id)
        self._was_engine_free = not queued
        self._began_at = self._services.clock.now()
        self._services.view.reserve(member.id, self._tokens, brief=True)
        self.was_sent = True
        self._attempt = Attempt(self._services, self._admitted.call, member, self, self._call_log)
        speed = self._services.view.find_balancer(self._admitted.service).prefill_speed
        expected = timedelta(seconds=(queued + self._tokens) / speed)
        self._watch.begin(member, expected)
        self._attempt.send(make_context(member, prefill_only=True), force_new=True)

    def abandon(self) -> None:
        """Cancel the step; the engine drops its work."""
        self._on_done = None
        if self._attempt is not None:
            self._attempt.abandon()
            self._release_engine()

    def head_received(self, attempt: Attempt) -> None:
        """Do nothing: the head is examined at the end of the attempt."""

    def body_received(self, attempt: Attempt, data: bytes) -> None:
        """Keep a part of the body."""
        self._body += data
        if len(self._body) > MAX_PREFILL_ANSWER_BYTES:
            self._body.clear()
            attempt.reject_oversized("prefill answer", MAX_PREFILL_ANSWER_BYTES)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Pass on the held KV cache, or ``None`` when the prefill failed."""
        if attempt.head is not None:
            self._watch.note_head()
        self._release_engine()
        if attempt.failure is None and attempt.head and attempt.head.kind is AnswerKind.SERVED:
            if self._was_engine_free:
                balancer = self._services.view.find_balancer(self._admitted.service)
                took = self._services.clock.now() - self._began_at
                balancer.observe_prefill(took, self._tokens)
            body = bytes(self._body)
            self._finish(self._services.backends.decode_export(attempt.member.address, body))
        else:
            if attempt.outcome.kind is AnswerKind.NOT_RUN:
                # the engine is full or is changing its role
                self._services.view.health.pause_after_failure(
                    attempt.member.id, self._services.clock.now()
                )
            self._finish(None)

    def _leave_silent(self, limits: SilenceLimits) -> None:
        """Let a decode engine compute the prompt instead of the silent engine."""
        attempt, tracker = self._attempt, self._services.view.prefill_silence
        if attempt is None:
            return
        silent = tracker.measure_silence(self._began_at, self._services.clock.now())
        if silent < limits.certainty and not self._may_compute():
            self._watch.look_again()
            return
        tracker.begin_move(attempt.member.id)
        tracker.end_move(attempt.member.id, is_moved=True)
        attempt.give_up_silent(is_server_silent=self._watch.is_engine_silent())
        self._release_engine()
        self._finish(None)

    def _release_engine(self) -> None:
        self._watch.end()
        if self._attempt is not None:
            self._services.view.free(self._attempt.member.id, self._tokens, brief=True)
            self._attempt = None

    def _finish(self, cache: HeldCache | None) -> None:
        on_done, self._on_done = self._on_done, None
        if on_done is not None:
            on_done(cache)
        elif cache is not None:
            self._services.free_cache(cache)
