"""The entry's view of one attempt of a call at one agent."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import Protocol

from eliot import log_message

from lavenderrun.decisions import JobKey
from lavenderrun.kernel import Clock
from lavenderrun.services._plain_reply import ReplyAssembler
from lavenderrun.types import (
    Ack,
    AttemptFailed,
    BootId,
    Cancel,
    HostId,
    Link,
    ReplyBody,
    ReplyHead,
    Resume,
    Revoke,
    Revoked,
)

ACK_INTERVAL_BYTES = 64 << 10
SETTLE_TIMEOUT = timedelta(seconds=4)
"""How long an attempt that must be settled waits for a link to its agent."""

CallMessage = ReplyHead | ReplyBody | AttemptFailed | Revoked


class AttemptState(Enum):
    """State of an attempt as the entry knows it.

    ``SENT`` waits for the reply or for the answer to a revoke, ``SETTLING`` for a link to the
    agent.
    """

    SENT = "sent"
    REPLYING = "replying"
    SETTLING = "settling"
    OVER = "over"


class RevokeReason(Enum):
    """Why the agent was asked to revoke an attempt or say that it has started."""

    LOST = "link lost"
    LATE = "no reply in time"
    WITHDRAWN = "key withdrawn"
    CANCELLED = "caller gone"
    EARLIER = "earlier try with the same idempotency key"


class AttemptOwner(Protocol):
    """The call that an attempt belongs to; an attempt ends with at most one of these callbacks."""

    def complete_attempt(self) -> None:
        """Handle the end of a complete reply."""

    def fail_attempt(self, failed: AttemptFailed) -> None:
        """Handle the agent's refusal or failure of the attempt."""

    def lose_attempt(self) -> None:
        """Handle the loss of the link of a repeatable call whose reply has not begun."""

    def note_not_started(self, reason: RevokeReason) -> None:
        """Handle the agent's answer that the attempt never started and never will."""

    def refuse_as_unknown(self, detail: str) -> None:
        """Refuse the call, because the outcome of the attempt can't be known."""


class PlainAttempt:
    """Follows one attempt to its end; ignores messages about other attempts.

    :ivar link: link to the agent, ``None`` while it is lost.
    :param key: request and number of the attempt.
    :param host: host of the agent.
    :param boot: boot of the agent when the call was sent; a restarted agent does not know it.
    :param at_most_once: whether the call may not be repeated; such a call is settled with the agent
        after the loss of the link.
    """

    def __init__(
        self,
        owner: AttemptOwner,
        clock: Clock,
        reply: ReplyAssembler,
        key: JobKey,
        host: HostId,
        boot: BootId,
        *,
        at_most_once: bool,
    ) -> None:
        self.key = key
        self.host = host
        self.state = AttemptState.SENT
        self.link: Link | None = None
        self._owner = owner
        self._clock = clock
        self._reply = reply
        self._boot = boot
        self._at_most_once = at_most_once
        self._reason: RevokeReason | None = None
        self._acked_offset = 0
        self._caller_slow = False
        self._timer = clock.call_later(timedelta(0), lambda: None)

    def start_reply_timeout(self, patience: timedelta) -> None:
        """Send a revoke to the agent when no reply has begun within *patience*."""
        self._set_timer(patience, self.request_revoke, RevokeReason.LATE)

    def settle(self, reason: RevokeReason, link: Link | None) -> None:
        """Settle the attempt with the agent over *link*, or over the next link to it.

        :param link: an open link to the agent, ``None`` when there is none now.
        """
        self.state = AttemptState.SETTLING
        self._reason = reason
        self._set_timer(SETTLE_TIMEOUT, self._give_up, "the agent could not be asked")
        if link is not None:
            self.handle_link_up(link)

    def request_revoke(self, reason: RevokeReason) -> None:
        """Ask the agent to revoke the attempt; the answer tells whether it had started."""
        log_message(
            "plain:asked",
            text="plain: agent asked to revoke the call unless it has started",
            request=self.key[0],
            attempt=self.key[1],
            peer=self.host,
            reason=reason.value,
        )
        self._reason = reason
        self.state = AttemptState.SENT
        self._timer.cancel()
        self._send(Revoke(*self.key))

    def cancel(self) -> None:
        """Cancel the attempt at the agent and end it here."""
        self._send(Cancel(*self.key))
        self.close()

    def close(self) -> None:
        """End the attempt; later messages are ignored."""
        self._timer.cancel()
        self.state = AttemptState.OVER

    def pace(self, *, slow: bool) -> None:
        """Stop acknowledging while the caller is slow, so that the agent stops sending."""
        self._caller_slow = slow
        if not slow and self.state is AttemptState.REPLYING:
            self._acknowledge()

    def handle_link_up(self, link: Link) -> None:
        """Handle a new link: resume or settle the attempt over it if its link was lost."""
        if self.state is not AttemptState.SETTLING or link.peer.host != self.host:
            return
        if link.peer.boot != self._boot:
            self._give_up("the agent has restarted")
            return
        self.link = link
        if self._reply.has_head:
            self._resume()
        else:
            self.request_revoke(self._reason or RevokeReason.LOST)

    def handle_link_down(self, link: Link) -> None:
        """Settle the attempt after the loss of its link.

        If the call may be repeated and its reply has not begun, the attempt ends instead.
        """
        waits = self.state in (AttemptState.SENT, AttemptState.REPLYING)
        if link is not self.link or not waits:
            return
        self.link = None
        if self._at_most_once or self._reply.has_head:
            self.settle(self._reason or RevokeReason.LOST, None)
        else:
            self.close()
            self._owner.lose_attempt()

    def handle_link_silence(self, link: Link) -> None:
        """Leave an agent that may be lost, if the call may be repeated and has no reply yet."""
        is_waiting = self.state is AttemptState.SENT and self._reason is None
        if link is self.link and is_waiting and not self._at_most_once and not self._reply.has_head:
            self.cancel()
            self._owner.lose_attempt()

    def handle_message(self, link: Link, message: CallMessage) -> None:
        """Handle a message of an agent."""
        key = (message.request, message.attempt)
        if self.state is AttemptState.OVER or key != self.key or link.peer.host != self.host:
            return
        if isinstance(message, ReplyHead):
            self._timer.cancel()
            self.state = AttemptState.REPLYING
            self._reply.take_head(message.status, message.headers)
        elif isinstance(message, ReplyBody):
            self._handle_body(message)
        elif isinstance(message, Revoked):
            self._handle_revoked(started=message.started)
        else:
            self.close()
            self._owner.fail_attempt(message)

    def _handle_body(self, part: ReplyBody) -> None:
        if not self._reply.take_body(part):
            self._resume()
        elif self._reply.is_whole:
            self._acknowledge(end=1)
            self.close()
            self._owner.complete_attempt()
        elif (
            not self._caller_slow
            and self._reply.received - self._acked_offset >= ACK_INTERVAL_BYTES
        ):
            self._acknowledge()

    def _handle_revoked(self, *, started: bool) -> None:
        reason, self._reason = self._reason, None
        if reason is None:
            return
        if started:
            self._resume()
        else:
            self.close()
            self._owner.note_not_started(reason)

    def _resume(self) -> None:
        self.state = AttemptState.REPLYING
        self._send(Resume(*self.key, self._reply.received))

    def _give_up(self, detail: str) -> None:
        self.close()
        self._owner.refuse_as_unknown(detail)

    def _acknowledge(self, *, end: int = 0) -> None:
        self._acked_offset = self._reply.received + end
        self._send(Ack(*self.key, self._acked_offset))

    def _send(self, message: Cancel | Revoke | Resume | Ack) -> None:
        if self.link is not None:
            self.link.send(message)

    def _set_timer(self, delay: timedelta, call: Callable[..., None], *args: object) -> None:
        self._timer.cancel()
        self._timer = self._clock.call_later(delay, call, *args)
