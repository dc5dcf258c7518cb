"""One call for a plain service on its way: charge, claim, attempts, end."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import CancelledError, Deferred
from twisted.python.failure import Failure

from lavenderrun.decisions import ClaimResult
from lavenderrun.services._plain_attempt import AttemptState, Doubt, PlainAttempt
from lavenderrun.services._plain_claim import PlainClaim
from lavenderrun.services._plain_reply import NullSink, ReplyAssembler
from lavenderrun.services._plain_sending import send_call
from lavenderrun.types import (
    AdmittedPlain,
    AnswerBegun,
    AttemptFailed,
    AttemptId,
    BootId,
    Charge,
    HostId,
    Link,
    Outcome,
    PlainRequest,
    Refusal,
    Refused,
    Repeatability,
    ReplySink,
    RequestAccepted,
    RequestCancelled,
    RequestFinished,
    RequestId,
    RequestRefused,
    Step,
)

if TYPE_CHECKING:
    from lavenderrun.services._plain_attempt import CallMessage
    from lavenderrun.services._plain_router import PlainRouterService

MAX_ATTEMPTS = 4
ANSWER_MARGIN = timedelta(seconds=1)
BACKOFF = timedelta(milliseconds=100)
ZERO = timedelta(0)


class CallState(Enum):
    """What a call waits for."""

    CHARGING = "charging"
    CLAIMING = "claiming"
    WAITING = "waiting"
    FOLLOWING = "following"
    DONE = "done"


class PlainCall:
    """State of one call; ends in exactly one of reply, refusal and cancel.

    It follows one attempt at a time: its own, or that of an earlier try with the same idempotency
    key. A call that may not be repeated is sent again only after the agent has said that the
    attempt before never started.
    """

    def __init__(
        self,
        router: PlainRouterService,
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
        self._reply = ReplyAssembler(sink, keep=claim is not None)
        self._reply.on_head = partial(router.events.emit, AnswerBegun(request.request))
        self._once = admitted.route.repeatability is Repeatability.AT_MOST_ONCE
        self._attempt: PlainAttempt | None = None
        self._attempts = 0
        self._tried: set[HostId] = set()
        self._withdrawn = Refusal.UNKNOWN_KEY
        self._may_have_run = False
        self._gone = False
        self._slow = False
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
        """The caller is gone; a claimed call goes on once started, so that its outcome is kept."""
        if self.state is CallState.DONE or self._gone:
            return
        self._gone = True
        self._reply.sink = NullSink()
        self._router.events.emit(RequestCancelled(self.request.request))
        if self.state is not CallState.FOLLOWING or self._attempt is None:
            self._end()
        elif self._claim is None:
            self._attempt.cancel()
            self._end()
        elif not self._claim.is_owned():
            # the run is an earlier try's; its agent keeps the outcome
            self._end()
        elif self._attempt.state is AttemptState.SENT:
            self._attempt.ask(Doubt.CANCELLED)

    def pace(self, *, slow: bool) -> None:
        """Hold the agent back while the caller is slow."""
        self._slow = slow
        if self._attempt is not None:
            self._attempt.pace(slow=slow)

    def withdraw(self, refusal: Refusal) -> None:
        """Refuse the call unless it has started."""
        if self.state in (CallState.CHARGING, CallState.CLAIMING, CallState.WAITING):
            self._refuse(self._make_refused(refusal, Outcome.NOT_RUN))
        elif self._attempt is not None and self._attempt.state is AttemptState.SENT:
            self._withdrawn = refusal
            self._attempt.ask(Doubt.WITHDRAWN)

    def link_up(self, link: Link) -> None:
        """Take a new link."""
        if self._attempt is not None:
            self._attempt.link_up(link)

    def link_down(self, link: Link) -> None:
        """Take the loss of a link."""
        if self._attempt is not None:
            self._attempt.link_down(link)

    def take(self, link: Link, message: CallMessage) -> None:
        """Take an agent's message."""
        if self._attempt is not None:
            self._attempt.take(link, message)

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
        fault = self._router.find_refusal(self.admitted)
        if fault is not None:
            self._refuse(self._make_refused(fault, Outcome.NOT_RUN))
            return
        if self._patience_left() <= ZERO:
            self._refuse(self._make_refused(Refusal.NO_ROOM, Outcome.NOT_RUN))
            return
        group = self.admitted.route.service
        link = self._router.choose(self.request.request, group, self._tried)
        if link is None:
            # all are tried or none is there; give the fleet a moment
            self._tried.clear()
            self.state = CallState.WAITING
            self._expect(BACKOFF * self._router.random_source.uniform(0.5, 1.5), self._seek)
            return
        self._attempts += 1
        number = AttemptId(self._attempts)
        if self._claim is None:
            self._send(link, number)
            return
        self.state = CallState.CLAIMING
        self._claim.take(number, link).addCallbacks(
            self._take_claim, self._fail_claim, callbackArgs=(self._claim, link, number)
        )

    def _take_claim(
        self, verdict: ClaimResult, claim: PlainClaim, link: Link, number: AttemptId
    ) -> None:
        if self.state is CallState.DONE:
            self._free_claim()
        elif verdict is ClaimResult.OWNED:
            self._send_claimed(claim, link, number)
        elif verdict is ClaimResult.SETTLE:
            self._settle_earlier(claim)
        elif verdict is ClaimResult.REPLAY:
            self._replay(claim)
        elif verdict is ClaimResult.CONFLICT:
            conflict = Refusal.IDEMPOTENCY_CONFLICT
            self._refuse(self._make_refused(conflict, Outcome.NOT_RUN, Step.CLAIM))
        else:
            self.doubt_attempt("an earlier try ran; its reply was too large to keep")

    def _fail_claim(self, _failure: Failure) -> None:
        if self.state is CallState.DONE:
            return
        refused = self._make_refused(Refusal.CLAIM_UNAVAILABLE, Outcome.NOT_RUN, Step.CLAIM)
        detail = "this try did not run; the idempotency key could not be claimed"
        self._refuse(msgspec.structs.replace(refused, detail=detail))

    def _send_claimed(self, claim: PlainClaim, link: Link, number: AttemptId) -> None:
        live = self._router.links.find(link.peer.host) is link
        if live and claim.may_dispatch():
            self._send(link, number)
        else:
            self._tried.add(link.peer.host)
            self._seek()

    def _settle_earlier(self, claim: PlainClaim) -> None:
        assert claim.row is not None
        earlier = claim.row.claim
        attempt = self._follow(earlier.request, earlier.attempt, earlier.host, earlier.boot)
        attempt.settle(Doubt.EARLIER, self._router.links.find(earlier.host))

    def _replay(self, claim: PlainClaim) -> None:
        assert claim.row is not None
        assert claim.row.claim.outcome is not None
        self._reply.replay(claim.row.claim.outcome)
        self._finish()

    # attempts

    def _send(self, link: Link, number: AttemptId) -> None:
        patience = self._patience_left()
        if not send_call(link, self.request, self.admitted, number, patience):
            self._tried.add(link.peer.host)
            self._seek()
            return
        attempt = self._follow(self.request.request, number, link.peer.host, link.peer.boot)
        attempt.link = link
        attempt.watch(patience + ANSWER_MARGIN)

    def _follow(
        self, request: RequestId, number: AttemptId, host: HostId, boot: BootId
    ) -> PlainAttempt:
        self.state = CallState.FOLLOWING
        if request not in self.followed:
            self.followed.append(request)
            self._router.follow(request, self)
        key = (request, number)
        clock = self._router.clock
        attempt = PlainAttempt(self, clock, self._reply, key, host, boot, once=self._once)
        attempt.pace(slow=self._slow)
        self._attempt = attempt
        return attempt

    def end_attempt(self) -> None:
        """Take the end of a whole reply."""
        if self._claim is not None:
            self._router.note_write(self._claim.end(self._reply.copy()))
        self._finish()

    def fail_attempt(self, failed: AttemptFailed) -> None:
        """Go on elsewhere where that is safe, else refuse."""
        refused = failed.refused
        final = refused.refusal in (Refusal.DEADLINE, Refusal.CANCELLED)
        if failed.started and (self._once or self._reply.has_head):
            self._refuse(refused)
        elif failed.started:
            self._retry(refused)
        elif final:
            self._refuse(refused)
        else:
            self._move_on(refused)

    def lose_attempt(self) -> None:
        """Send the call again; it may be repeated."""
        self._retry(self._make_refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN))

    def revoke_attempt(self, doubt: Doubt) -> None:
        """Go on from an attempt that never started."""
        if doubt is Doubt.EARLIER:
            self._take_over()
        elif doubt is Doubt.WITHDRAWN:
            self._refuse(self._make_refused(self._withdrawn, Outcome.NOT_RUN))
        elif doubt is Doubt.LOST:
            self._move_on(self._make_refused(Refusal.BACKEND_LOST, Outcome.NOT_RUN))
        else:
            self._refuse(self._make_refused(Refusal.DEADLINE, Outcome.NOT_RUN))

    def doubt_attempt(self, detail: str) -> None:
        """Refuse as unknown."""
        refused = self._make_refused(Refusal.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
        self._refuse(msgspec.structs.replace(refused, detail=detail))

    def _take_over(self) -> None:
        assert self._claim is not None
        if self._claim.trusts_not_started():
            self._seek()
        else:
            self.doubt_attempt("an earlier try is too old to be asked for")

    def _retry(self, refused: Refused) -> None:
        """Send a call again that may have run; only for those that may be repeated."""
        self._may_have_run = True
        now = self._router.clock.now()
        if self._router.retries.allow_retry(self.admitted.account, now):
            self._move_on(refused)
        else:
            self._refuse(refused)

    def _move_on(self, refused: Refused) -> None:
        """Seek another backend server; no attempt so far stands in the way."""
        if self._attempt is not None:
            self._tried.add(self._attempt.host)
        if self._attempts >= MAX_ATTEMPTS or self._patience_left() <= ZERO or self._gone:
            self._refuse(refused)
        else:
            self._seek()

    # ends

    def _finish(self) -> None:
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

    def _end(self) -> None:
        self._timer.cancel()
        self.state = CallState.DONE
        if self._attempt is not None:
            self._attempt.close()
        if self._charging is not None:
            self._charging.cancel()
        self._router.forget(self)

    def _free_claim(self) -> None:
        if self._claim is not None and self._claim.is_owned():
            self._router.note_write(self._claim.free())

    def _make_refused(self, refusal: Refusal, outcome: Outcome, step: Step = Step.CALL) -> Refused:
        peer = "" if self._attempt is None else self._attempt.host
        return Refused(refusal, outcome, step, peer, ANSWER_MARGIN)

    def _patience_left(self) -> timedelta:
        waited = self._router.clock.now() - self.request.arrived
        return self.admitted.route.patience - waited

    def _expect(self, delay: timedelta, call: Callable[..., None], *args: object) -> None:
        self._timer.cancel()
        self._timer = self._router.clock.call_later(delay, call, *args)
