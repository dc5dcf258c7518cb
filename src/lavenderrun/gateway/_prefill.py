"""Has a prompt computed by a prefill engine and its KV cache held for a decode engine."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final, Protocol

from lavenderrun.dispatch import CallRequirements
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.kernel import Timer
from lavenderrun.types import AnswerKind, CallContext, HeldCache, Member

SILENCE_MOST: Final = timedelta(milliseconds=800)
"""Longest wait for a prefill: several times the largest prompt's time in a short queue."""


class MakeDispatch(Protocol):
    """Makes the dispatch of the call that the prefill belongs to."""

    def __call__(self, member: Member, *, prefill_only: bool) -> CallContext:
        """Return the dispatch to *member*."""


class PrefillStep:
    """One prefill; a failed one leaves the prompt to the decode engine.

    :param done: called once with the held KV cache, or ``None`` without one.
    """

    def __init__(
        self,
        parts: CallServices,
        admitted: AdmittedCall,
        story: CallLog,
        done: Callable[[HeldCache | None], None],
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._story = story
        self._done: Callable[[HeldCache | None], None] | None = done
        self._attempt: Attempt | None = None
        self._body: list[bytes] = []
        self._tokens = admitted.call.size.prompt if admitted.call.size else 0
        self._timer: Timer | None = None
        self._alone = False
        self._began = parts.clock.now()

    def start(self, make: MakeDispatch) -> None:
        """Send the prompt to the engine with the shortest queue."""
        need = CallRequirements(tokens=self._tokens)
        member = self._parts.view.place(self._admitted.service, "prefill", need)
        if member is None:
            self._story.tell("prefill_skipped", "no prefill engine takes calls")
            self._end(None)
            return
        self._alone = not self._parts.view.occupancy.sum_reserved_tokens(member.id)
        self._began = self._parts.clock.now()
        self._parts.view.reserve(member.id, self._tokens)
        self._attempt = Attempt(self._parts, self._admitted.call, member, self, self._story)
        self._timer = self._parts.clock.call_later(SILENCE_MOST, self._attempt.give_up)
        self._attempt.send(make(member, prefill_only=True), fresh=True)

    def abandon(self) -> None:
        """Drop it; the engine drops the work."""
        self._done = None
        if self._attempt is not None:
            self._attempt.abandon()
            self._leave()

    def headed(self, attempt: Attempt) -> None:
        """See ``AttemptEvents``."""

    def received(self, attempt: Attempt, data: bytes) -> None:
        """Keep a part of the body; see ``AttemptEvents``."""
        self._body.append(data)

    def settled(self, attempt: Attempt) -> None:
        """Hand the KV cache on; see ``AttemptEvents``."""
        self._leave()
        if attempt.broke is None and attempt.head and attempt.head.kind is AnswerKind.SERVED:
            if self._alone:
                balance = self._parts.view.find_balancer(self._admitted.service)
                took = self._parts.clock.now() - self._began
                balance.observe_prefill(took, self._tokens)
            body = b"".join(self._body)
            self._end(self._parts.backends.decode_export(attempt.member.address, body))
        else:
            if attempt.outcome.kind is AnswerKind.NOT_RUN:
                # full, or on its way to another role
                self._parts.view.health.lose(attempt.member.id, self._parts.clock.now())
            self._end(None)

    def _leave(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        if self._attempt is not None:
            self._parts.view.free(self._attempt.member.id, self._tokens)
            self._attempt = None

    def _end(self, cache: HeldCache | None) -> None:
        done, self._done = self._done, None
        if done is not None:
            done(cache)
        elif cache is not None:
            self._parts.free_cache(cache)
