"""One send of a call to one backend server."""

from __future__ import annotations

from typing import Final, Protocol

from lavenderrun.dispatch import AttemptOutcome
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._pool import Exchange
from lavenderrun.gateway._stats import ATTEMPTS
from lavenderrun.types import (
    AnswerHead,
    AnswerKind,
    CallContext,
    CallFailure,
    GatewayCall,
    Headers,
    Member,
)

CRASHES: Final = frozenset({CallFailure.RESET, CallFailure.CLOSED, CallFailure.SILENT})
"""How a run ends whose server crashes."""


class AttemptEvents(Protocol):
    """Takes what comes of an attempt; nothing follows ``settled``."""

    def headed(self, attempt: Attempt) -> None:
        """The head has come."""

    def received(self, attempt: Attempt, data: bytes) -> None:
        """A part of the body has come."""

    def settled(self, attempt: Attempt) -> None:
        """The attempt is over; ``attempt.broke`` tells why when it is not whole."""


class Attempt:
    """Sends a call and watches what comes back.

    :ivar head: the answer's head, ``None`` before it.
    :ivar broke: why there will be no whole answer.
    """

    def __init__(
        self,
        parts: CallServices,
        call: GatewayCall,
        member: Member,
        events: AttemptEvents,
        story: CallLog,
    ) -> None:
        self._parts = parts
        self._call = call
        self._events: AttemptEvents | None = events
        self._story = story
        self._fingerprint = story.fingerprint
        self._began = parts.clock.now()
        self._exchange: Exchange | None = None
        self._needs_signature = True
        self.member = member
        self.head: AnswerHead | None = None
        self.broke: CallFailure | None = None

    @property
    def sent(self) -> bool:
        """Whether a byte of the call may have reached the server."""
        return self._exchange is not None and self._exchange.sent

    @property
    def outcome(self) -> AttemptOutcome:
        """What is known once it is over."""
        return AttemptOutcome(self.sent, self.head.kind if self.head else None, self.broke)

    def send(self, dispatch: CallContext, *, fresh: bool, over: Connection | None = None) -> None:
        """Send the call.

        :param fresh: over a new connection; a reused one may be closing or lead nowhere.
        :param over: a new connection that is at hand.
        """
        self._needs_signature = not dispatch.prefill_only
        wire = self._parts.backends.encode_call(self._call, dispatch)
        self._parts.view.health.begin(self.member.id, self._began)
        self._exchange = self._parts.pool.call(
            self.member.address,
            wire.method,
            wire.target,
            wire.headers,
            wire.body,
            self,
            fresh=fresh,
            over=over,
        )

    def abandon(self) -> None:
        """Close the connection; the server drops the call."""
        if self._events is None:
            return
        self._events = None
        self._parts.view.health.release(self.member.id)
        if self._exchange is not None:
            self._exchange.abandon()
        self._tell("abandoned")

    def give_up(self) -> None:
        """End a silent attempt as broken."""
        if self._events is None:
            return
        if self._exchange is not None:
            self._exchange.abandon()
        self.broken(CallFailure.SILENT)

    def pause(self) -> None:
        """Stop reading."""
        if self._exchange is not None:
            self._exchange.pause()

    def resume(self) -> None:
        """Read on."""
        if self._exchange is not None:
            self._exchange.resume()

    def headed(self, status: int, headers: Headers) -> None:
        """Take the head; see ``Receiver``."""
        head = self._parts.backends.decode_head(self._call.id, status, headers)
        unsigned = head.kind is AnswerKind.SERVED and self._needs_signature and not head.signed
        if head.kind is AnswerKind.FOREIGN or unsigned:
            if self._exchange is not None:
                self._exchange.abandon()
            self.broken(CallFailure.FOREIGN_ANSWER)
            return
        self.head = head
        if head.kind is AnswerKind.SERVED:
            self._parts.view.suspects.clear_server(self.member.incarnation, self._began)
        now = self._parts.clock.now()
        if head.load is not None:
            self._parts.view.occupancy.observe_load(self.member.id, head.load, now)
        if head.idle_timeout is not None:
            self._parts.pool.learn_idle(self.member.address, head.idle_timeout)
        if self._events is not None:
            self._events.headed(self)

    def received(self, data: bytes) -> None:
        """Take a part of the body; see ``Receiver``."""
        if self._events is not None:
            self._events.received(self, data)

    def ended(self) -> None:
        """The answer is whole; see ``Receiver``."""
        standing = self.head.kind if self.head else AnswerKind.FAILED
        health = self._parts.view.health
        if standing is AnswerKind.SERVED:
            self._parts.view.suspects.clear_call(self._fingerprint)
            health.succeed(self.member.id, self._parts.clock.now() - self._began)
        elif standing is AnswerKind.FAILED:
            health.fail(self.member.id)
        elif standing is AnswerKind.WRONG_SERVER:
            health.lose(self.member.id, self._parts.clock.now())
        else:
            health.release(self.member.id)
        self._settle(standing.value)

    def broken(self, reason: CallFailure) -> None:
        """There will be no whole answer; see ``Receiver``."""
        self.broke = reason
        if self.sent and reason in CRASHES:
            self._parts.view.record_crash(self._fingerprint, self.member)
        health = self._parts.view.health
        if reason in {CallFailure.UNREACHABLE, CallFailure.SILENT}:
            health.lose(self.member.id, self._parts.clock.now())
        else:
            # a server that is down shows at the next connection
            health.fail(self.member.id)
        self._settle(reason.value)

    def _settle(self, result: str) -> None:
        events, self._events = self._events, None
        self._tell(result)
        if events is not None:
            events.settled(self)

    def _tell(self, result: str) -> None:
        self._parts.stats.count(ATTEMPTS, self.member.service, result)
        self._story.tell_attempt(self, result, self._parts.clock.now() - self._began)
