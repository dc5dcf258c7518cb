"""One call for a plain service on its way: charge, claim, send, settle, retry."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

import msgspec
from eliot import log_message
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from lavenderrun.decisions import ClaimVerdict, JobKey
from lavenderrun.services._plain_claim import PlainClaim
from lavenderrun.services._plain_reply import NullSink, PlainReply
from lavenderrun.services._plain_send import send_call
from lavenderrun.types import (
    Ack,
    AdmittedPlain,
    AttemptFailed,
    AttemptId,
    BootId,
    Cancel,
    Charge,
    HostId,
    Link,
    Outcome,
    PlainRequest,
    Refusal,
    Refused,
    Repeatability,
    ReplyBody,
    ReplyHead,
    ReplySink,
    RequestAccepted,
    RequestCancelled,
    RequestFinished,
    RequestId,
    RequestRefused,
    Resume,
    Revoke,
    Revoked,
    Step,
)

if TYPE_CHECKING:
    from lavenderrun.services._plain_router import CallMessage, PlainRouter

MAX_ATTEMPTS = 4
ACK_BYTES = 64 << 10
ANSWER_MARGIN = timedelta(seconds=1)
BACKOFF = timedelta(milliseconds=100)
SETTLE_GRACE = timedelta(seconds=4)
ZERO = timedelta(0)


class CallState(Enum):
    """What a call waits for."""

    CHARGING = "charging"
    CLAIMING = "claiming"
    WAITING = "waiting"
    SENT = "sent"
    REPLYING = "replying"
    SETTLING = "settling"
    DONE = "done"


class Doubt(Enum):
    """Why the agent was asked whether a call has started."""

    LOST = "link lost"
    LATE = "no reply in time"
    WITHDRAWN = "key withdrawn"
    CANCELLED = "caller gone"
    EARLIER = "earlier try with the same idempotency key"


UNSENT = (CallState.CHARGING, CallState.CLAIMING, CallState.WAITING)


class PlainCall:
    """State of one call; ends in exactly one of reply, refusal and cancel.

    The call follows one attempt at one agent at a time: its own, or that of an earlier try with
    the same idempotency key. Nothing is sent again before the agent has said that the attempt
    never started.
    """

    def __init__(
        self,
        router: PlainRouter,
        request: PlainRequest,
        admitted: AdmittedPlain,
        sink: ReplySink,
        claim: PlainClaim | None,
    ) -> None:
        self.request = request
        self.admitted = admitted
        self.state = CallState.CHARGING
        self.followed: list[RequestId] = [request.request]
        self._router = router
        self._claim = claim
        self._reply = PlainReply(sink, keep=claim is not None)
        self._once = admitted.route.repeatability is Repeatability.AT_MOST_ONCE
        self._key: JobKey = (request.request, AttemptId(0))
        self._attempts = 0
        self._host = HostId("")
        self._boot = BootId("")
        self._link: Link | None = None
        self._tried: set[HostId] = set()
        self._doubt: Doubt | None = None
        self._withdrawn: Refusal | None = None
        self._may_have_run = False
        self._gone = False
        self._slow = False
        self._acked = 0
        self._charging: Deferred[Charge | Refused] | None = None
        self._timer = router.clock.call_later(ZERO, lambda: None)

    # what callers, links and keys do

    def begin(self) -> None:
        """Charge the account, then seek a backend server."""
        admitted, router = self.admitted, self._router
        router.events.emit(
            RequestAccepted(
                self.request.request, admitted.account, admitted.route.name, 0, admitted.digest
            )
        )
        if admitted.account is None:
            self._seek()
            return
        charging = router.limits.charge(admitted.account, 1.0, 0.0, admitted.route.patience)
        self._charging = charging
        charging.addCallbacks(self._take_charge, self._fail_charge)

    def cancel(self) -> None:
        """The caller is gone; a call that may not be repeated goes on once it has started."""
        if self.state is CallState.DONE or self._gone:
            return
        self._gone = True
        self._reply.sink = NullSink()
        self._router.events.emit(RequestCancelled(self.request.request))
        if self.state in UNSENT:
            self._end()
        elif self._claim is None:
            self._send_to_agent(Cancel(*self._key))
            self._end()
        elif self.state is CallState.SENT:
            self._ask(Doubt.CANCELLED)

    def pace(self, *, slow: bool) -> None:
        """Acknowledge nothing while the caller is slow, so that the agent holds back."""
        self._slow = slow
        if not slow and self.state is CallState.REPLYING:
            self._acknowledge()

    def withdraw(self, refusal: Refusal) -> None:
        """Refuse the call unless it has started."""
        if self.state in UNSENT:
            self._refuse(self._make_refused(refusal, Outcome.NOT_RUN))
        elif self.state is CallState.SENT and not self._gone:
            self._withdrawn = refusal
            self._ask(Doubt.WITHDRAWN)

    def link_up(self, link: Link) -> None:
        """Go on with an attempt that the lost link left open."""
        if self.state is not CallState.SETTLING or link.peer.host != self._host:
            return
        if link.peer.boot != self._boot:
            self._refuse_unknown("the agent has restarted")
            return
        self._link = link
        if self._reply.has_head:
            self._resume()
        else:
            self._ask(self._doubt or Doubt.LOST)

    def link_down(self, link: Link) -> None:
        """Retry elsewhere, or wait for the agent to say what became of the attempt."""
        if link is not self._link or self.state not in (CallState.SENT, CallState.REPLYING):
            return
        self._link = None
        if not self._once and not self._reply.has_head:
            self._retry(self._make_refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN))
            return
        self._settle()

    def take(self, link: Link, message: CallMessage) -> None:
        """Take an agent's message; those of other attempts and hosts are dropped."""
        key = (message.request, message.attempt)
        if self.state is CallState.DONE or key != self._key or link.peer.host != self._host:
            return
        if isinstance(message, ReplyHead):
            self._timer.cancel()
            self.state = CallState.REPLYING
            self._reply.take_head(message.status, message.headers)
        elif isinstance(message, ReplyBody):
            self._take_body(message)
        elif isinstance(message, Revoked):
            self._take_revoked(started=message.started)
        elif isinstance(message, AttemptFailed):
            self._take_failure(message)

    # charge and claim

    def _take_charge(self, result: Charge | Refused) -> None:
        self._charging = None
        if self.state is CallState.DONE:
            return
        if isinstance(result, Refused):
            self._refuse(result)
        else:
            self._seek()

    def _fail_charge(self, failure: Failure) -> None:
        self._charging = None
        if not isinstance(failure.value, CancelledError) and self.state is not CallState.DONE:
            self._refuse(self._make_refused(Refusal.NOT_READY, Outcome.NOT_RUN, Step.LIMIT))

    def _seek(self) -> None:
        if not self._router.is_valid(self.admitted):
            self._refuse(self._make_refused(Refusal.UNKNOWN_KEY, Outcome.NOT_RUN))
            return
        if self._patience_left() <= ZERO:
            self._refuse(self._make_refused(Refusal.NO_ROOM, Outcome.NOT_RUN))
            return
        group = self.admitted.route.service
        link = self._router.choose(self.request.request, group, self._tried)
        if link is None:
            self._wait()
            return
        self._attempts += 1
        self._follow(self.request.request, AttemptId(self._attempts), link)
        if self._claim is None:
            self._send()
            return
        self.state = CallState.CLAIMING
        self._claim.take(self._key[1], link).addCallbacks(self._take_claim, self._fail_claim)

    def _take_claim(self, verdict: ClaimVerdict) -> None:
        claim = self._claim
        assert claim is not None
        if self.state is CallState.DONE:
            self._free_claim()
        elif verdict is ClaimVerdict.OWNED:
            self._send_claimed(claim)
        elif verdict is ClaimVerdict.REPLAY:
            assert claim.row is not None
            assert claim.row.claim.outcome is not None
            self._reply.replay(claim.row.claim.outcome)
            self._finish(keep=False)
        elif verdict is ClaimVerdict.SETTLE:
            self._settle_earlier(claim)
        elif verdict is ClaimVerdict.CONFLICT:
            self._refuse(
                self._make_refused(Refusal.IDEMPOTENCY_CONFLICT, Outcome.NOT_RUN, Step.CLAIM)
            )
        else:
            self._refuse_unknown("an earlier try ran; its reply was too large to keep")

    def _fail_claim(self, _failure: Failure) -> None:
        if self.state is not CallState.DONE:
            detail = "this try did not run; the idempotency key could not be claimed"
            self._refuse(
                self._make_refused(
                    Refusal.CLAIM_UNAVAILABLE, Outcome.NOT_RUN, Step.CLAIM, detail=detail
                )
            )

    def _send_claimed(self, claim: PlainClaim) -> None:
        live = self._router.links.find(self._host) is self._link
        if live and claim.may_dispatch():
            self._send()
        else:
            self._tried.add(self._host)
            self._seek()

    # one attempt

    def _send(self) -> None:
        link = self._link
        assert link is not None
        patience = self._patience_left()
        if not send_call(link, self.request, self.admitted, self._key[1], patience):
            self._tried.add(self._host)
            self._seek()
            return
        self.state = CallState.SENT
        self._doubt = None
        self._expect(patience + ANSWER_MARGIN, self._ask, Doubt.LATE)

    def _take_body(self, part: ReplyBody) -> None:
        if not self._reply.take_body(part):
            self._resume()
        elif self._reply.is_whole:
            self._acknowledge(end=1)
            self._finish(keep=True)
        elif not self._slow and self._reply.received - self._acked >= ACK_BYTES:
            self._acknowledge()

    def _take_failure(self, failed: AttemptFailed) -> None:
        refused = failed.refused
        if failed.started and (self._once or self._reply.has_head):
            self._refuse(refused)
        elif failed.started:
            self._retry(refused)
        elif refused.refusal in (Refusal.DEADLINE, Refusal.CANCELLED):
            self._refuse(refused)
        else:
            self._tried.add(self._host)
            self._move_on(refused)

    def _retry(self, refused: Refused) -> None:
        """Send a call again that may have run; only for those that may be repeated."""
        self._tried.add(self._host)
        self._may_have_run = True
        now = self._router.clock.now()
        if self._router.retries.allow_retry(self.admitted.account, now):
            self._move_on(refused)
        else:
            self._refuse(refused)

    def _move_on(self, refused: Refused) -> None:
        """Seek another backend server; no attempt so far stands in the way."""
        if self._attempts >= MAX_ATTEMPTS or self._patience_left() <= ZERO or self._gone:
            self._refuse(refused)
        else:
            self._seek()

    def _wait(self) -> None:
        # all are tried or none is there; give the fleet a moment
        self._tried.clear()
        self.state = CallState.WAITING
        self._expect(BACKOFF * self._router.chance.uniform(0.5, 1.5), self._seek)

    # doubt

    def _ask(self, doubt: Doubt) -> None:
        log_message(
            "plain:asked",
            text="plain: agent asked whether the call has started",
            request=self.request.request,
            peer=self._host,
            reason=doubt.value,
        )
        self._doubt = doubt
        self.state = CallState.SENT
        self._timer.cancel()
        self._send_to_agent(Revoke(*self._key))

    def _settle(self) -> None:
        self.state = CallState.SETTLING
        self._expect(SETTLE_GRACE, self._refuse_unknown, "the agent could not be asked")

    def _settle_earlier(self, claim: PlainClaim) -> None:
        assert claim.row is not None
        earlier = claim.row.claim
        self._follow(earlier.request, earlier.attempt, None, earlier.host, earlier.boot)
        self._doubt = Doubt.EARLIER
        self._settle()
        link = self._router.links.find(earlier.host)
        if link is not None:
            self.link_up(link)

    def _take_revoked(self, *, started: bool) -> None:
        doubt, self._doubt = self._doubt, None
        if started:
            if doubt in (Doubt.LOST, Doubt.EARLIER):
                self._resume()
            return
        if doubt is Doubt.EARLIER:
            self._take_over()
        elif doubt is Doubt.WITHDRAWN:
            refusal = self._withdrawn or Refusal.UNKNOWN_KEY
            self._refuse(self._make_refused(refusal, Outcome.NOT_RUN))
        elif doubt is Doubt.LOST:
            self._tried.add(self._host)
            self._move_on(self._make_refused(Refusal.BACKEND_LOST, Outcome.NOT_RUN))
        else:
            self._refuse(self._make_refused(Refusal.DEADLINE, Outcome.NOT_RUN))

    def _take_over(self) -> None:
        assert self._claim is not None
        if self._claim.trusts_not_started():
            self._seek()
        else:
            self._refuse_unknown("an earlier try is too old to be asked for")

    def _resume(self) -> None:
        self.state = CallState.REPLYING
        self._send_to_agent(Resume(*self._key, self._reply.received))

    # ends

    def _finish(self, *, keep: bool) -> None:
        if keep and self._claim is not None:
            self._router.note_write(self._claim.end(self._reply.copy()))
        if not self._gone:
            self._router.events.emit(RequestFinished(self.request.request, self._reply.received))
        self._end()
        self._reply.sink.finish()

    def _refuse(self, refused: Refused) -> None:
        if self._may_have_run:
            refused = msgspec.structs.replace(refused, outcome=Outcome.UNKNOWN)
        if not self._gone:
            self._router.events.emit(RequestRefused(self.request.request, refused))
        # a cancelled one was taken over by another try, which holds the claim
        if refused.outcome is Outcome.NOT_RUN and refused.refusal is not Refusal.CANCELLED:
            self._free_claim()
        self._end()
        self._reply.sink.refuse(refused)

    def _refuse_unknown(self, detail: str) -> None:
        self._refuse(self._make_refused(Refusal.OUTCOME_UNKNOWN, Outcome.UNKNOWN, detail=detail))

    def _end(self) -> None:
        self._timer.cancel()
        self.state = CallState.DONE
        if self._charging is not None:
            self._charging.cancel()
        self._router.forget(self)

    def _free_claim(self) -> None:
        if self._claim is not None and self._claim.is_owned():
            self._router.note_write(self._claim.free())

    # small parts

    def _follow(
        self,
        request: RequestId,
        attempt: AttemptId,
        link: Link | None,
        host: HostId | None = None,
        boot: BootId | None = None,
    ) -> None:
        self._key = (request, attempt)
        self._link = link
        self._host = link.peer.host if link else host or HostId("")
        self._boot = link.peer.boot if link else boot or BootId("")
        if request not in self.followed:
            self.followed.append(request)
            self._router.follow(request, self)

    def _acknowledge(self, *, end: int = 0) -> None:
        self._acked = self._reply.received + end
        self._send_to_agent(Ack(*self._key, self._acked))

    def _send_to_agent(self, message: Cancel | Revoke | Resume | Ack) -> None:
        if self._link is not None:
            self._link.send(message)

    def _make_refused(
        self, refusal: Refusal, outcome: Outcome, step: Step = Step.CALL, *, detail: str = ""
    ) -> Refused:
        return Refused(refusal, outcome, step, self._host, ANSWER_MARGIN, detail)

    def _patience_left(self) -> timedelta:
        waited = self._router.clock.now() - self.request.arrived
        return self.admitted.route.patience - waited

    def _expect(self, delay: timedelta, call: Callable[..., None], *args: object) -> None:
        self._timer.cancel()
        self._timer = self._router.clock.call_later(delay, call, *args)
