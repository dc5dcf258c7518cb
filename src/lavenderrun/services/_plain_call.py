"""One call for a plain service on an entry, from its charge to its reply or refusal."""

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
from lavenderrun.kernel import GuardedClock
from lavenderrun.services._plain_attempt import AttemptState, PlainAttempt, RevokeReason
from lavenderrun.services._plain_claim import PlainClaim
from lavenderrun.services._plain_reply import NullSink, ReplyAssembler
from lavenderrun.services._plain_sending import send_call
from lavenderrun.services._run_boundary import run_guarded
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
REPLY_MARGIN = timedelta(seconds=1)
MEAN_RETRY_PAUSE = timedelta(milliseconds=100)
RETRY_BUDGET_PAUSE = timedelta(milliseconds=300)
"""Mean pause before the retry budget is asked again."""
ZERO = timedelta(0)


class CallState(Enum):
    """What a call waits for.

    ``WAITING`` waits for the next choice of an agent, ``FOLLOWING`` for the end of an attempt.
    """

    CHARGING = "charging"
    CLAIMING = "claiming"
    WAITING = "waiting"
    FOLLOWING = "following"
    DONE = "done"


STATES_BEFORE_ATTEMPT = (CallState.CHARGING, CallState.CLAIMING, CallState.WAITING)


class PlainCall:
    """A call that ends in exactly one of reply, refusal and cancel.

    It follows one attempt at a time: its own, or that of an earlier request with the same
    idempotency key. A call that may not be repeated is sent again only after the agent has said
    that the previous attempt never started.

    :ivar followed: requests whose messages the call takes.
    :param claim: ``None`` when the call needs no claim.
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
        self._at_most_once = admitted.route.repeatability is Repeatability.AT_MOST_ONCE
        self._attempt: PlainAttempt | None = None
        self._attempts = 0
        self._tried_hosts: set[HostId] = set()
        self._withdraw_refusal = Refusal.UNKNOWN_KEY
        self._may_have_run = False
        self._caller_gone = False
        self._caller_slow = False
        self._charging: Deferred[Charge | Refused] | None = None
        self._timer = router.clock.call_later(ZERO, lambda: None)

    # callers, links and withdrawn keys

    def begin(self) -> None:
        """Charge the account, then start the first attempt."""
        admitted, router = self.admitted, self._router
        router.events.emit(
            RequestAccepted(
                self.request.request, admitted.account, admitted.route.name, 0, admitted.digest
            )
        )
        if admitted.account is None:
            self._start_attempt()
            return
        charging = router.limits.charge(admitted.account, 1.0, 0.0, admitted.route.patience)
        self._charging = charging
        charging.addCallbacks(
            partial(run_guarded, self, self._handle_charge),
            partial(run_guarded, self, self._fail_charge),
        )

    def find_outcome(self) -> Outcome:
        """Return the outcome to report if the call were refused now."""
        if self.state in STATES_BEFORE_ATTEMPT and not self._may_have_run:
            return Outcome.NOT_RUN
        return Outcome.UNKNOWN

    def cancel(self) -> None:
        """Cancel the call because its caller has disconnected.

        A call with a claim that may have started continues, so that its outcome is stored.
        """
        if self.state is CallState.DONE or self._caller_gone:
            return
        self._caller_gone = True
        self._reply.sink = NullSink()
        self._router.events.emit(RequestCancelled(self.request.request))
        if self.state is not CallState.FOLLOWING or self._attempt is None:
            self._end()
        elif self._claim is None:
            self._attempt.cancel()
            self._end()
        elif not self._claim.is_owned():
            # the attempt belongs to an earlier request; its agent keeps the outcome
            self._end()
        elif self._attempt.state is AttemptState.SENT:
            self._attempt.request_revoke(RevokeReason.CANCELLED)

    def pace(self, *, slow: bool) -> None:
        """Stop the agent from sending while the caller is slow."""
        self._caller_slow = slow
        if self._attempt is not None:
            self._attempt.pace(slow=slow)

    def withdraw(self, refusal: Refusal) -> None:
        """Refuse the call unless it has started."""
        if self.state in STATES_BEFORE_ATTEMPT:
            self._refuse(self._make_refused(refusal, Outcome.NOT_RUN))
        elif self._attempt is not None and self._attempt.state is AttemptState.SENT:
            self._withdraw_refusal = refusal
            self._attempt.request_revoke(RevokeReason.WITHDRAWN)

    def fail(self) -> None:
        """End the call after an unexpected error; its attempt is cancelled."""
        if self.state is CallState.DONE:
            return
        self._may_have_run = True
        try:
            if self._attempt is not None:
                self._attempt.cancel()
        finally:
            self.refuse_as_unknown("unexpected error")

    def handle_link_up(self, link: Link) -> None:
        """Pass a new link to the attempt."""
        if self._attempt is not None:
            self._attempt.handle_link_up(link)

    def handle_link_down(self, link: Link) -> None:
        """Pass the loss of a link to the attempt."""
        if self._attempt is not None:
            self._attempt.handle_link_down(link)

    def handle_link_silence(self, link: Link) -> None:
        """Tell the attempt that the peer of a link may be lost."""
        if self._attempt is not None:
            self._attempt.handle_link_silence(link)

    def handle_message(self, link: Link, message: CallMessage) -> None:
        """Pass a message of an agent to the attempt."""
        if self._attempt is not None:
            self._attempt.handle_message(link, message)

    # charge and claim

    def _handle_charge(self, result: Charge | Refused) -> None:
        self._charging = None
        if self.state is CallState.DONE:
            return
        if isinstance(result, Refused):
            self._refuse(result)
        else:
            self._start_attempt()

    def _fail_charge(self, failure: Failure) -> None:
        self._charging = None
        if not isinstance(failure.value, CancelledError) and self.state is not CallState.DONE:
            self._refuse(self._make_refused(Refusal.NOT_READY, Outcome.NOT_RUN, Step.LIMIT))

    def _start_attempt(self) -> None:
        refusal = self._router.find_refusal(self.admitted)
        if refusal is not None:
            self._refuse(self._make_refused(refusal, Outcome.NOT_RUN))
            return
        if self._find_patience_left() <= ZERO:
            self._refuse(self._make_refused(Refusal.NO_ROOM, Outcome.NOT_RUN))
            return
        group = self.admitted.route.service
        link = self._router.choose_agent(self.request.request, group, self._tried_hosts)
        if link is None:
            # no agent is left: wait a moment, then try all of them again
            self._tried_hosts.clear()
            self.state = CallState.WAITING
            self._set_timer(
                MEAN_RETRY_PAUSE * self._router.random_source.uniform(0.5, 1.5), self._start_attempt
            )
            return
        self._attempts += 1
        number = AttemptId(self._attempts)
        if self._claim is None:
            self._send_call(link, number)
            return
        self.state = CallState.CLAIMING
        self._claim.acquire(number, link).addCallbacks(
            partial(run_guarded, self, self._handle_claim),
            partial(run_guarded, self, self._fail_claim),
            callbackArgs=(self._claim, link, number),
        )

    def _handle_claim(
        self, result: ClaimResult, claim: PlainClaim, link: Link, number: AttemptId
    ) -> None:
        if self.state is CallState.DONE:
            self._release_claim()
        elif result is ClaimResult.OWNED:
            self._send_claimed(claim, link, number)
        elif result is ClaimResult.SETTLE:
            self._settle_earlier_request(claim)
        elif result is ClaimResult.REPLAY:
            self._replay_outcome(claim)
        elif result is ClaimResult.CONFLICT:
            conflict = Refusal.IDEMPOTENCY_CONFLICT
            self._refuse(self._make_refused(conflict, Outcome.NOT_RUN, Step.CLAIM))
        else:
            self.refuse_as_unknown("an earlier try ran; its reply was too large to keep")

    def _fail_claim(self, _failure: Failure) -> None:
        if self.state is CallState.DONE:
            return
        refused = self._make_refused(Refusal.CLAIM_UNAVAILABLE, Outcome.NOT_RUN, Step.CLAIM)
        detail = "this try did not run; the idempotency key could not be claimed"
        self._refuse(msgspec.structs.replace(refused, detail=detail))

    def _send_claimed(self, claim: PlainClaim, link: Link, number: AttemptId) -> None:
        is_link_open = self._router.links.find(link.peer.host) is link
        if is_link_open and claim.may_dispatch():
            self._send_call(link, number)
        else:
            self._tried_hosts.add(link.peer.host)
            self._start_attempt()

    def _settle_earlier_request(self, claim: PlainClaim) -> None:
        assert claim.row is not None
        earlier = claim.row.claim
        attempt = self._follow(earlier.request, earlier.attempt, earlier.host, earlier.boot)
        attempt.settle(RevokeReason.EARLIER, self._router.links.find(earlier.host))

    def _replay_outcome(self, claim: PlainClaim) -> None:
        assert claim.row is not None
        assert claim.row.claim.outcome is not None
        self._reply.replay(claim.row.claim.outcome)
        self._finish()

    # attempts

    def _send_call(self, link: Link, number: AttemptId) -> None:
        patience = self._find_patience_left()
        if not send_call(link, self.request, self.admitted, number, patience):
            self._tried_hosts.add(link.peer.host)
            self._start_attempt()
            return
        attempt = self._follow(self.request.request, number, link.peer.host, link.peer.boot)
        attempt.link = link
        attempt.start_reply_timeout(patience + REPLY_MARGIN)

    def _follow(
        self, request: RequestId, number: AttemptId, host: HostId, boot: BootId
    ) -> PlainAttempt:
        self.state = CallState.FOLLOWING
        if request not in self.followed:
            self.followed.append(request)
            self._router.add_follower(request, self)
        key = (request, number)
        clock = GuardedClock(self._router.clock, partial(partial, run_guarded, self))
        attempt = PlainAttempt(
            self, clock, self._reply, key, host, boot, at_most_once=self._at_most_once
        )
        attempt.pace(slow=self._caller_slow)
        self._attempt = attempt
        return attempt

    def complete_attempt(self) -> None:
        """Store the outcome under the claim, if any, and finish the call."""
        if self._claim is not None:
            self._router.track_write(self._claim.store_outcome(self._reply.make_kept_reply()))
        self._finish()

    def fail_attempt(self, failed: AttemptFailed) -> None:
        """Start another attempt where that is safe, else refuse the call."""
        refused = failed.refused
        is_final = refused.refusal in (Refusal.DEADLINE, Refusal.CANCELLED)
        if failed.started and (self._at_most_once or self._reply.has_head):
            self._refuse(refused)
        elif failed.started:
            self._retry(refused)
        elif is_final:
            self._refuse(refused)
        else:
            self._try_elsewhere(refused)

    def lose_attempt(self) -> None:
        """Resend the call, which may be repeated, as soon as the retry budget allows it."""
        self._may_have_run = True
        # other links often close in the same moment
        refused = self._make_refused(Refusal.BACKEND_LOST, Outcome.UNKNOWN)
        self._wait_before_retry(MEAN_RETRY_PAUSE, refused)

    def note_not_started(self, reason: RevokeReason) -> None:
        """Retry or refuse, by the reason of the revoke, after an attempt that never started."""
        if reason is RevokeReason.EARLIER:
            self._take_over_claim()
        elif reason is RevokeReason.WITHDRAWN:
            self._refuse(self._make_refused(self._withdraw_refusal, Outcome.NOT_RUN))
        elif reason is RevokeReason.LOST:
            self._try_elsewhere(self._make_refused(Refusal.BACKEND_LOST, Outcome.NOT_RUN))
        else:
            self._refuse(self._make_refused(Refusal.DEADLINE, Outcome.NOT_RUN))

    def refuse_as_unknown(self, detail: str) -> None:
        """Refuse the call with an unknown outcome.

        :param detail: reaches the caller.
        """
        refused = self._make_refused(Refusal.OUTCOME_UNKNOWN, Outcome.UNKNOWN)
        self._refuse(msgspec.structs.replace(refused, detail=detail))

    def _take_over_claim(self) -> None:
        assert self._claim is not None
        if self._claim.trusts_not_started():
            self._start_attempt()
        else:
            self.refuse_as_unknown("an earlier try is too old to be asked for")

    def _retry(self, refused: Refused) -> None:
        """Resend the call, which may be repeated, though the last attempt may have run."""
        self._may_have_run = True
        if self._may_try_again() and self._take_retry():
            self._try_elsewhere(refused)
        else:
            self._refuse(refused)

    def _retry_within_budget(self, refused: Refused) -> None:
        """Resend the call now, or wait for the retry budget until the patience ends."""
        if not self._may_try_again():
            self._refuse(refused)
        elif self._take_retry():
            self._try_elsewhere(refused)
        else:
            self._wait_before_retry(RETRY_BUDGET_PAUSE, refused)

    def _wait_before_retry(self, mean_pause: timedelta, refused: Refused) -> None:
        self.state = CallState.WAITING
        pause = mean_pause * self._router.random_source.uniform(0.5, 1.5)
        self._set_timer(pause, self._retry_within_budget, refused)

    def _try_elsewhere(self, refused: Refused) -> None:
        """Start an attempt at another agent, or refuse the call.

        It is refused when no attempts or no time are left, or when the caller has disconnected.
        """
        if self._attempt is not None:
            self._tried_hosts.add(self._attempt.host)
        if self._may_try_again():
            self._start_attempt()
        else:
            self._refuse(refused)

    def _may_try_again(self) -> bool:
        has_attempts_left = self._attempts < MAX_ATTEMPTS
        return has_attempts_left and self._find_patience_left() > ZERO and not self._caller_gone

    def _take_retry(self) -> bool:
        """Take a retry from the budget, if it has one; an attempt must follow."""
        now = self._router.clock.now()
        return self._router.retry_budget.allow_retry(self.admitted.account, now)

    # end of the call

    def _finish(self) -> None:
        if not self._caller_gone:
            self._router.events.emit(RequestFinished(self.request.request, self._reply.received))
        self._end()
        self._reply.sink.finish()

    def _refuse(self, refused: Refused) -> None:
        if self._may_have_run:
            refused = msgspec.structs.replace(refused, outcome=Outcome.UNKNOWN)
        if not self._caller_gone:
            self._router.events.emit(RequestRefused(self.request.request, refused))
        # a call cancelled by its agent was taken over by a retry, which holds the claim now
        if refused.outcome is Outcome.NOT_RUN and refused.refusal is not Refusal.CANCELLED:
            self._release_claim()
        self._end()
        self._reply.sink.refuse(refused)

    def _end(self) -> None:
        self._timer.cancel()
        self.state = CallState.DONE
        if self._attempt is not None:
            self._attempt.close()
        if self._charging is not None:
            self._charging.cancel()
        self._router.remove_call(self)

    def _release_claim(self) -> None:
        if self._claim is not None and self._claim.is_owned():
            self._router.track_write(self._claim.release())

    def _make_refused(self, refusal: Refusal, outcome: Outcome, step: Step = Step.CALL) -> Refused:
        peer = "" if self._attempt is None else self._attempt.host
        return Refused(refusal, outcome, step, peer, REPLY_MARGIN)

    def _find_patience_left(self) -> timedelta:
        elapsed = self._router.clock.now() - self.request.arrived
        return self.admitted.route.patience - elapsed

    def _set_timer(self, delay: timedelta, call: Callable[..., None], *args: object) -> None:
        self._timer.cancel()
        self._timer = self._router.clock.call_later(delay, run_guarded, self, call, *args)
