"""One run of a prompt at one prefill engine."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final, Protocol

from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._stats import REUSED_TOKENS
from lavenderrun.gateway._unused_prompts import UnusedReason, count_unused_prompt
from lavenderrun.types import AnswerKind, CallContext, HeldCache, Member

MAX_PREFILL_ANSWER_BYTES: Final = 64 << 10
"""Largest answer of a prefill engine, which names the KV cache."""


class CallContextFactory(Protocol):
    """Returns the context in which a streamed call is sent to an engine."""

    def __call__(self, member: Member, *, prefill_only: bool) -> CallContext:
        """Return the context for a send to *member*."""


class PrefillRun:
    """Has one prefill engine compute the prompt, and reserves its queue for that.

    :param on_end: called once at the end of the answer; not after :meth:`abandon`.
    :ivar member: the engine.
    :ivar expected: time expected until the engine answers, its queue included.
    :ivar began_at: when the run began.
    :ivar cache: the held KV cache once the engine has answered, ``None`` without one.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        member: Member,
        on_end: Callable[[PrefillRun], None],
    ) -> None:
        self._services = services
        self._balancer = services.view.find_balancer(admitted.service)
        self._on_end = on_end
        self._tokens = admitted.call.size.prompt if admitted.call.size else 0
        self._service = admitted.service
        view = services.view
        self._prefix = view.find_reusable_prefix(
            admitted.service, admitted.access.route, admitted.call
        )
        held = view.estimate_held(admitted.service, member.id, self._prefix)
        self._held = min(held, max(0, self._tokens - 1))
        self._body = bytearray()
        queued = services.view.occupancy.sum_reserved_tokens(member.id)
        self._was_engine_free = not queued
        self.member = member
        self._needed = self._tokens - self._held
        self.expected = timedelta(seconds=(queued + self._needed) / self._balancer.prefill_speed)
        self.began_at = services.clock.now()
        self.cache: HeldCache | None = None
        self._is_reserved = True
        services.view.reserve(member.id, self._needed, brief=True)
        if self._held:
            services.stats.count(REUSED_TOKENS, admitted.service, amount=self._held)
            call_log.write(
                "prefix",
                "engine holds the beginning of the prompt",
                member=member.id,
                held=self._held,
                queued=queued,
            )
        self._attempt = Attempt(services, admitted.call, member, self, call_log)

    @property
    def has_head(self) -> bool:
        """Whether the engine began to answer."""
        return self._attempt.head is not None

    def send(self, make_context: CallContextFactory) -> None:
        """Send the prompt."""
        self._attempt.send(make_context(self.member, prefill_only=True), force_new=True)

    def abandon(self) -> None:
        """Cancel the run; the engine drops its work."""
        self._attempt.abandon()
        self._free()

    def give_up_silent(self, *, is_engine_silent: bool) -> None:
        """Cancel the run of a silent engine, because another one has taken the prompt on.

        :param is_engine_silent: the engine is silent to other prompts too.
        """
        self._attempt.give_up_silent(is_server_silent=is_engine_silent)
        self._count_unused(UnusedReason.COMPUTED_ELSEWHERE)
        self._free()

    def head_received(self, attempt: Attempt) -> None:
        """Do nothing: the head is examined at the end of the attempt."""

    def body_received(self, attempt: Attempt, data: bytes) -> None:
        """Keep a part of the body."""
        self._body += data
        if len(self._body) > MAX_PREFILL_ANSWER_BYTES:
            self._body.clear()
            attempt.reject_oversized("prefill answer", MAX_PREFILL_ANSWER_BYTES)

    def attempt_ended(self, attempt: Attempt) -> None:
        """Decode where the cache is held, and observe how long the prompt took."""
        self._free()
        now = self._services.clock.now()
        if attempt.failure is None and attempt.head and attempt.head.kind is AnswerKind.SERVED:
            if self._was_engine_free:
                self._observe(now - self.began_at)
            else:
                self._balancer.observe_queued_prefill(self._needed)
            body = bytes(self._body)
            if self._prefix:
                self._services.view.prefixes.record(self.member.id, self._prefix, self._tokens, now)
            self.cache = self._services.backends.decode_export(self.member.address, body)
        elif attempt.failure is not None and attempt.sent:
            self._count_unused(UnusedReason.ENGINE_LOST)
        elif attempt.outcome.kind is AnswerKind.NOT_RUN:
            # the engine is full or is changing its role
            self._services.view.health.pause_after_failure(self.member.id, now)
        self._on_end(self)

    def _observe(self, took: timedelta) -> None:
        """Learn the engine's speed, and from the speed what it did not hold."""
        if self._held:
            view, speed = self._services.view, self._balancer.prefill_speed
            memory_tokens, computed = view.find_memory(self._service), took.total_seconds() * speed
            view.prefixes.learn(self.member.id, self._prefix, memory_tokens, self._tokens, computed)
            self._balancer.observe_queued_prefill(self._needed)
        else:
            self._balancer.observe_prefill(took, self._tokens)

    def _count_unused(self, reason: UnusedReason) -> None:
        count_unused_prompt(self._services.stats, self.member.service, reason)

    def _free(self) -> None:
        if self._is_reserved:
            self._is_reserved = False
            self._services.view.free(self.member.id, self._needed, brief=True)
