"""One attempt of a call at one agent, followed by the entry to its end."""

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

ACK_BYTES = 64 << 10
SETTLE_GRACE = timedelta(seconds=4)

CallMessage = ReplyHead | ReplyBody | AttemptFailed | Revoked


class AttemptState(Enum):
    """What an attempt waits for."""

    SENT = "sent"
    REPLYING = "replying"
    SETTLING = "settling"
    OVER = "over"


class Doubt(Enum):
    """Why the agent was asked whether an attempt has started."""

    LOST = "link lost"
    LATE = "no reply in time"
    WITHDRAWN = "key withdrawn"
    CANCELLED = "caller gone"
    EARLIER = "earlier try with the same idempotency key"


class AttemptOwner(Protocol):
    """The call that an attempt belongs to; each attempt ends in at most one of these."""

    def end_attempt(self) -> None:
        """The reply is whole."""

    def fail_attempt(self, failed: AttemptFailed) -> None:
        """The agent gave the attempt up."""

    def lose_attempt(self) -> None:
        """The link of a call that may be repeated was lost before its reply began."""

    def revoke_attempt(self, doubt: Doubt) -> None:
        """The agent says that the attempt never started, and never will."""

    def doubt_attempt(self, detail: str) -> None:
        """What became of the attempt can not be known."""


class PlainAttempt:
    """Follows one attempt; messages of others are dropped.

    :param host: the agent, and *boot* its life; another life has forgotten the attempt.
    :param once: whether the call may not be repeated, so that a lost link has to be settled.
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
        once: bool,
    ) -> None:
        self.key = key
        self.host = host
        self.state = AttemptState.SENT
        self.link: Link | None = None
        self._owner = owner
        self._clock = clock
        self._reply = reply
        self._boot = boot
        self._once = once
        self._doubt: Doubt | None = None
        self._acked = 0
        self._slow = False
        self._timer = clock.call_later(timedelta(0), lambda: None)

    def watch(self, patience: timedelta) -> None:
        """Ask the agent when no reply has begun within *patience*."""
        self._expect(patience, self.ask, Doubt.LATE)

    def settle(self, doubt: Doubt, link: Link | None) -> None:
        """Ask once *link*, or the next one to the agent, is there."""
        self.state = AttemptState.SETTLING
        self._doubt = doubt
        self._expect(SETTLE_GRACE, self._give_up, "the agent could not be asked")
        if link is not None:
            self.link_up(link)

    def ask(self, doubt: Doubt) -> None:
        """Ask the agent to revoke the attempt, and so whether it has started."""
        log_message(
            "plain:asked",
            text="plain: agent asked whether the call has started",
            request=self.key[0],
            attempt=self.key[1],
            peer=self.host,
            reason=doubt.value,
        )
        self._doubt = doubt
        self.state = AttemptState.SENT
        self._timer.cancel()
        self._send(Revoke(*self.key))

    def cancel(self) -> None:
        """Tell the agent that nobody waits any more."""
        self._send(Cancel(*self.key))
        self.close()

    def close(self) -> None:
        """Follow the attempt no longer."""
        self._timer.cancel()
        self.state = AttemptState.OVER

    def pace(self, *, slow: bool) -> None:
        """Acknowledge nothing while the caller is slow, so that the agent holds back."""
        self._slow = slow
        if not slow and self.state is AttemptState.REPLYING:
            self._acknowledge()

    def link_up(self, link: Link) -> None:
        """Go on where the lost link left off."""
        if self.state is not AttemptState.SETTLING or link.peer.host != self.host:
            return
        if link.peer.boot != self._boot:
            self._give_up("the agent has restarted")
            return
        self.link = link
        if self._reply.has_head:
            self._resume()
        else:
            self.ask(self._doubt or Doubt.LOST)

    def link_down(self, link: Link) -> None:
        """Wait for the agent to come back, or give the attempt up when it may be repeated."""
        waits = self.state in (AttemptState.SENT, AttemptState.REPLYING)
        if link is not self.link or not waits:
            return
        self.link = None
        if self._once or self._reply.has_head:
            self.settle(self._doubt or Doubt.LOST, None)
        else:
            self.close()
            self._owner.lose_attempt()

    def take(self, link: Link, message: CallMessage) -> None:
        """Take an agent's message."""
        key = (message.request, message.attempt)
        if self.state is AttemptState.OVER or key != self.key or link.peer.host != self.host:
            return
        if isinstance(message, ReplyHead):
            self._timer.cancel()
            self.state = AttemptState.REPLYING
            self._reply.take_head(message.status, message.headers)
        elif isinstance(message, ReplyBody):
            self._take_body(message)
        elif isinstance(message, Revoked):
            self._take_revoked(started=message.started)
        else:
            self.close()
            self._owner.fail_attempt(message)

    def _take_body(self, part: ReplyBody) -> None:
        if not self._reply.take_body(part):
            self._resume()
        elif self._reply.is_whole:
            self._acknowledge(end=1)
            self.close()
            self._owner.end_attempt()
        elif not self._slow and self._reply.received - self._acked >= ACK_BYTES:
            self._acknowledge()

    def _take_revoked(self, *, started: bool) -> None:
        doubt, self._doubt = self._doubt, None
        if doubt is None:
            return
        if started:
            self._resume()
        else:
            self.close()
            self._owner.revoke_attempt(doubt)

    def _resume(self) -> None:
        self.state = AttemptState.REPLYING
        self._send(Resume(*self.key, self._reply.received))

    def _give_up(self, detail: str) -> None:
        self.close()
        self._owner.doubt_attempt(detail)

    def _acknowledge(self, *, end: int = 0) -> None:
        self._acked = self._reply.received + end
        self._send(Ack(*self.key, self._acked))

    def _send(self, message: Cancel | Revoke | Resume | Ack) -> None:
        if self.link is not None:
            self.link.send(message)

    def _expect(self, delay: timedelta, call: Callable[..., None], *args: object) -> None:
        self._timer.cancel()
        self._timer = self._clock.call_later(delay, call, *args)
