"""State machine of one model request: charge, decode slot, prefill, decode, resume, retry."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING

from msgspec import structs
from twisted.internet.defer import Deferred

from lavenderrun.decisions import (
    AttemptHistory,
    RetryDecision,
    SharedTexts,
    estimate_tokens,
    find_backoff,
    hash_blocks,
)
from lavenderrun.services._agent_chooser import Demand
from lavenderrun.services._attempt_messages import (
    AttemptTerms,
    make_prefill,
    make_reserve,
    make_start,
)
from lavenderrun.services._model_answer import ModelAnswer
from lavenderrun.services._model_charge import RequestCharge
from lavenderrun.services._run_boundary import run_guarded
from lavenderrun.types import (
    AdmittedModel,
    AnswerBegun,
    AnswerSink,
    AttemptFailed,
    AttemptId,
    Cancel,
    FinishReason,
    Frame,
    HostId,
    Link,
    Message,
    ModelRequest,
    Outcome,
    Prefilled,
    QuarantineVerdict,
    Refusal,
    Refused,
    RequestAccepted,
    RequestCancelled,
    RequestFinished,
    RequestRefused,
    Resume,
    SeatPromised,
    Step,
    Strike,
)

if TYPE_CHECKING:
    from lavenderrun.services._model_router import ModelRouterService

ANSWER_MARGIN = timedelta(seconds=1)
"""Extra time for an agent's answer after the wait that the agent was allowed."""
RETRY_BUDGET_PAUSE = timedelta(milliseconds=300)
"""Mean pause before the retry budget is asked again."""
RESUME_TIMEOUT = timedelta(seconds=2)
"""Longest wait for a new link to the decode agent before the attempt fails."""
MOVE_INTERVAL = timedelta(milliseconds=100)
"""Interval at which a request that waits for a decode slot looks for a free one elsewhere."""
STALL_TIMEOUT = timedelta(seconds=5)
"""Longest time without a frame during a decode."""
MAX_PREFILL_WAIT = timedelta(seconds=2)
"""Longest wait of a prefill: a promised decode slot is not kept longer."""


class RunState(Enum):
    """What a model request waits for."""

    CHARGING = "charging"
    BACKING_OFF = "backing_off"
    PROBING = "probing"
    RESERVING = "seating"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    RESUMING = "resuming"
    DONE = "done"


STATES_BEFORE_DECODE = (
    RunState.CHARGING,
    RunState.BACKING_OFF,
    RunState.PROBING,
    RunState.RESERVING,
    RunState.PREFILLING,
)


class ModelRun:
    """Drives one model request to exactly one end: answer, refusal or cancellation."""

    def __init__(
        self,
        router: ModelRouterService,
        request: ModelRequest,
        admitted: AdmittedModel,
        sink: AnswerSink,
    ) -> None:
        self.request = request
        self.admitted = admitted
        self.state = RunState.CHARGING
        self._router = router
        self._sink = sink
        self._prompt_tokens = estimate_tokens(request.prompt)
        self._max_tokens = min(request.max_tokens, admitted.route.max_output_tokens)
        self._answer = ModelAnswer(request, sink)
        self._attempt = AttemptId(0)
        self._offset_before = 0
        self._failed_hosts: set[HostId] = set()
        self._demand: Demand | None = None
        self._decode_link: Link | None = None
        self._prefill_link: Link | None = None
        self._charge = RequestCharge(router.limits)
        self._last_frame_at = request.arrived
        self._probe: Deferred[None] | None = None
        route = admitted.route
        self._texts = SharedTexts(request.prompt)
        self._sent_at = request.arrived
        self._history = AttemptHistory(request.arrived, route.patience, route.repeatability)
        self._timer = router.clock.call_later(timedelta(0), lambda: None)

    def begin(self) -> None:
        """Charge the account, then request a decode slot."""
        account, router = self.admitted.account, self._router
        router.events.emit(
            RequestAccepted(
                self.request.request,
                account,
                self.admitted.route.name,
                self._prompt_tokens + self._max_tokens,
                self.admitted.digest,
            )
        )
        if account is None:
            self._request_slot()
            return
        tokens = self._prompt_tokens + self._max_tokens
        self._charge.begin(
            account,
            tokens,
            self.admitted.route.patience,
            partial(run_guarded, self, self._handle_charge),
        )

    def handle_message(self, link: Link, message: Message) -> None:
        """Handle an agent's message; messages of earlier attempts are ignored."""
        if self.state is RunState.DONE or message.attempt != self._attempt:  # type: ignore[attr-defined]
            return
        if isinstance(message, Frame):
            self._handle_frame(message)
        elif isinstance(message, SeatPromised) and self.state is RunState.RESERVING:
            self._router.chooser.record_load(link.peer.host, message.load)
            self._order_prefill(message)
        elif isinstance(message, Prefilled) and self.state is RunState.PREFILLING:
            self._start_decode(message, link.peer.host)
        elif isinstance(message, AttemptFailed):
            self._handle_failure(link.peer.host, message)

    def handle_link_up(self, link: Link) -> None:
        """Resume the decode on a new link; it fails if its agent restarted and lost the output."""
        old = self._decode_link
        if self.state is not RunState.RESUMING or old is None or link.peer.host != old.peer.host:
            return
        if link.peer.boot != old.peer.boot:
            self._handle_lost_agent(old)
            return
        self._decode_link = link
        self.state = RunState.DECODING
        link.send(Resume(self.request.request, self._attempt, self._answer.offset))
        self._set_timer(STALL_TIMEOUT, self._handle_timeout)

    def handle_link_down(self, link: Link) -> None:
        """Wait for a new link to a running decode; fail an attempt that has not started it."""
        if link is self._decode_link and self.state is RunState.DECODING:
            self.state = RunState.RESUMING
            self._set_timer(RESUME_TIMEOUT, self._handle_lost_agent, link)
        else:
            self._fail_unstarted(link)

    def handle_link_silence(self, link: Link) -> None:
        """Leave an agent that may be lost, unless it runs the decode."""
        self._fail_unstarted(link)

    def _fail_unstarted(self, link: Link) -> None:
        is_unstarted = self.state in (RunState.RESERVING, RunState.PREFILLING)
        if is_unstarted and (link is self._decode_link or link is self._prefill_link):
            self._fail_attempt(link.peer.host, self._make_refusal(Refusal.BACKEND_LOST, link))

    def refuse_unstarted(self, refusal: Refusal) -> None:
        """Refuse the request as not run, unless its decode or its answer has begun."""
        if self.state in STATES_BEFORE_DECODE and not self._answer.offset:
            self._cancel_attempt()
            self._refuse(Refused(refusal, Outcome.NOT_RUN, Step.ADMISSION))

    def find_outcome(self) -> Outcome:
        """Return the outcome to report if the request were refused now."""
        if self.state in STATES_BEFORE_DECODE and not self._answer.offset:
            return self._history.outcome
        return Outcome.UNKNOWN

    def cancel(self) -> None:
        """Cancel the request because its caller is gone, and free all that is held for it."""
        if self.state is RunState.DONE:
            return
        self._cancel_attempt()
        self._router.events.emit(RequestCancelled(self.request.request))
        self._end()

    def fail(self) -> None:
        """End the request after an unexpected error, and free all that is held for it."""
        if self.state is RunState.DONE:
            return
        refused = Refused(Refusal.OUTCOME_UNKNOWN, Outcome.UNKNOWN, Step.SEAT)
        try:
            self._cancel_attempt()
        finally:
            self._refuse(refused)

    def _handle_charge(self, refused: Refused | None) -> None:
        if self.state is RunState.DONE:
            return
        if refused is None:
            self._request_slot()
        else:
            self._refuse(refused)

    # decode slot and prefill

    def _request_slot(self) -> None:
        left = self._find_patience_left()
        if left <= timedelta(0):
            self._refuse(self._make_refusal(Refusal.NO_ROOM))
            return
        if not self._check_admission():
            return
        verdict = self._router.quarantine.find_verdict(self.admitted.fingerprint)
        if verdict is QuarantineVerdict.GUILTY or self._is_crashing():
            self._refuse(self._make_refusal(Refusal.QUARANTINED))
            return
        if verdict is QuarantineVerdict.SUSPECT and self._probe is None:
            self._request_probe(left)
            return
        self._demand = self._make_demand()
        link = self._router.chooser.choose_decode(self._demand, self._failed_hosts)
        if link is None:
            self._failed_hosts.clear()
            self._back_off()
            return
        self._send_reserve(link, left)

    def _is_crashing(self) -> bool:
        if self._answer.offset:
            return False
        return self._router.crashing_texts.is_crashing(self._texts, self.request.request)

    def _send_reserve(self, link: Link, left: timedelta) -> None:
        demand = self._demand
        assert demand is not None
        cohort = self._router.quarantine.find_suspect_limit(self.admitted.fingerprint)
        expected = self._router.chooser.choose_prefill(
            demand, link.peer.data_centre, self._failed_hosts, dry_run=True
        )
        self._decode_link = link
        self._attempt = AttemptId(self._attempt + 1)
        self.state = RunState.RESERVING
        lead = timedelta(0) if expected is None else expected.lead
        link.send(make_reserve(self._make_terms(left), demand, lead, cohort))
        if cohort:
            self._set_timer(left + ANSWER_MARGIN, self._handle_timeout)
        else:
            self._set_timer(MOVE_INTERVAL, self._move_to_free_agent)

    def _move_to_free_agent(self) -> None:
        """Move a request that waits for a decode slot to another agent that has some free."""
        left = self._find_patience_left()
        if left <= -ANSWER_MARGIN:
            self._handle_timeout()
            return
        assert self._decode_link is not None
        assert self._demand is not None
        tried = {*self._failed_hosts, self._decode_link.peer.host}
        link = self._router.chooser.choose_free_decode(self._demand, tried)
        if link is None or left <= timedelta(0):
            self._set_timer(MOVE_INTERVAL, self._move_to_free_agent)
            return
        self._decode_link.send(Cancel(self.request.request, self._attempt))
        self._send_reserve(link, left)

    def _check_admission(self) -> bool:
        """Return whether the key is still valid; otherwise make the request wait, or refuse it."""
        refusal = self._router.find_refusal(self)
        if refusal is None:
            return True
        self._cancel_attempt()
        if refusal is Refusal.NOT_READY and self._find_patience_left() > timedelta(0):
            # this host may soon be able to tell again whether keys are valid
            self._back_off()
        else:
            self._refuse(Refused(refusal, Outcome.NOT_RUN, Step.ADMISSION))
        return False

    def _request_probe(self, left: timedelta) -> None:
        self.state = RunState.PROBING
        self._set_timer(left, self._request_slot)
        self._probe = self._router.quarantine.begin_probe(
            self.admitted.fingerprint, self.request.request
        )
        self._probe.addCallbacks(
            lambda _: run_guarded(self, self._request_slot), lambda failure: None
        )

    def _order_prefill(self, promise: SeatPromised) -> None:
        assert self._decode_link is not None
        assert self._demand is not None
        choice = self._router.chooser.choose_prefill(
            self._demand, self._decode_link.peer.data_centre, self._failed_hosts
        )
        if choice is None:
            self._cancel_attempt()
            self._failed_hosts.clear()
            self._back_off()
            return
        self._prefill_link = choice.link
        self.state = RunState.PREFILLING
        start_in = max(choice.delay, promise.ready_in - choice.lead)
        patience = min(max(self._find_patience_left(), ANSWER_MARGIN), MAX_PREFILL_WAIT)
        self._history.prefill_ordered = True
        self._sent_at = self._router.clock.now()
        terms = self._make_terms(patience)
        choice.link.send(make_prefill(terms, self._demand, self._answer.text, start_in))
        self._set_timer(patience + start_in + ANSWER_MARGIN, self._handle_timeout)

    def _make_demand(self) -> Demand:
        return Demand(
            self.request.request,
            self.admitted.route.model,
            self._prompt_tokens + self._answer.offset,
            self._max_tokens - self._answer.offset,
            hash_blocks(self._answer.text),
        )

    def _make_terms(self, patience: timedelta) -> AttemptTerms:
        return AttemptTerms(
            self.request.request,
            self._attempt,
            self.admitted,
            self._find_urgency_left(),
            patience,
            self._router.find_weight(self.admitted),
        )

    def _start_decode(self, done: Prefilled, host: HostId) -> None:
        assert self._decode_link is not None
        assert self._demand is not None
        self._router.chooser.record_load(host, done.load)
        self._router.chooser.record_prefill(self._demand, done, host)
        if not self._answer.offset and not self._check_admission():
            return
        self.state = RunState.DECODING
        self._sent_at = self._router.clock.now()
        self._answer.begin_attempt(self._attempt)
        offset = self._offset_before = self._answer.offset
        self._decode_link.send(make_start(done, offset, self._max_tokens - offset))
        self._set_timer(STALL_TIMEOUT, self._handle_timeout)

    # decode

    def _handle_frame(self, frame: Frame) -> None:
        is_first = not self._answer.offset
        progress = self._answer.take_frame(frame)
        if frame.imported is not None:
            self._record_transfer(frame.imported)
        if is_first and progress.tokens:
            self._router.events.emit(AnswerBegun(self.request.request))
            self._router.crashing_texts.record_answer(self._texts, self.request.request)
        if progress.finish is not None:
            self._finish(progress.finish)
            return
        if self._answer.is_ack_due:
            self._send_ack()
        # the running timer is not moved; it checks this when it fires
        self._last_frame_at = self._router.clock.now()

    def _record_transfer(self, took: timedelta | None) -> None:
        tokens = 0 if self._demand is None else self._demand.tokens
        self._router.chooser.record_transfer(self._prefill_link, self._decode_link, tokens, took)

    def _finish(self, reason: FinishReason) -> None:
        self._send_ack(end=1)
        self._router.events.emit(RequestFinished(self.request.request, self._answer.offset))
        quarantine = self._router.quarantine
        if quarantine.has_strikes(self.admitted.fingerprint):
            quarantine.clear_strikes(self.admitted.fingerprint)
        self._end()
        self._sink.finish(reason)

    def _send_ack(self, *, end: int = 0) -> None:
        if self._decode_link is not None:
            self._decode_link.send(self._answer.make_ack(self._attempt, end=end))

    # failure

    def _handle_failure(self, host: HostId, failed: AttemptFailed) -> None:
        refused = failed.refused
        if self._is_prefill_host(host) and refused.outcome is Outcome.NOT_RUN:
            self._history.prefill_ordered = False
        if refused.step is Step.TRANSFER:
            self._record_transfer(None)
        if failed.crashed:
            self._router.quarantine.record_strike(
                Strike(
                    self.admitted.fingerprint,
                    self.request.request,
                    self._attempt,
                    self.admitted.account,
                    self.admitted.route.name,
                    had_begun=self._answer.offset > self._offset_before,
                    others_unanswered=failed.others_unanswered,
                )
            )
            if not self._answer.offset:
                self._router.crashing_texts.record_crash(
                    self._texts, self.request.request, self._attempt, self._sent_at
                )
        self._fail_attempt(host, refused, started=failed.started or failed.crashed)

    def _is_prefill_host(self, host: HostId) -> bool:
        return self._prefill_link is not None and self._prefill_link.peer.host == host

    def _handle_timeout(self) -> None:
        if self.state is RunState.DECODING:
            left = self._last_frame_at + STALL_TIMEOUT - self._router.clock.now()
            if left > timedelta(0):
                self._set_timer(left, self._handle_timeout)
                return
        started = self.state is RunState.DECODING
        link = self._prefill_link if self.state is RunState.PREFILLING else self._decode_link
        assert link is not None
        refused = self._make_refusal(Refusal.DEADLINE, link)
        self._fail_attempt(link.peer.host, refused, started=started)

    def _handle_lost_agent(self, link: Link) -> None:
        refused = self._make_refusal(Refusal.BACKEND_LOST, link)
        self._fail_attempt(link.peer.host, refused, started=True)

    def _fail_attempt(self, host: HostId, refused: Refused, *, started: bool = False) -> None:
        costly = started or self.state in (RunState.DECODING, RunState.RESUMING)
        self._cancel_attempt()
        self._failed_hosts.add(host)
        next_step = self._history.record_failure(
            refused,
            self._router.clock.now(),
            started=started,
            costly=costly,
            delivered=self._answer.offset > 0,
        )
        match next_step:
            case RetryDecision.REFUSE_UNKNOWN:
                self._refuse(Refused(Refusal.OUTCOME_UNKNOWN, Outcome.UNKNOWN, Step.DECODE, host))
            case RetryDecision.REFUSE:
                self._refuse(refused)
            case RetryDecision.RETRY_IN_BUDGET:
                self._retry_within_budget(refused)
            case RetryDecision.RETRY:
                self._back_off()

    def _retry_within_budget(self, refused: Refused) -> None:
        """Retry as soon as the retry budget allows it.

        The budget keeps retries from amplifying an outage; a request waits for it until
        its patience ends.
        """
        now = self._router.clock.now()
        if self._find_patience_left() <= timedelta(0):
            self._refuse(refused)
        elif self._router.retry_budget.allow_retry(self.admitted.account, now):
            self._back_off()
        else:
            self.state = RunState.BACKING_OFF
            pause = RETRY_BUDGET_PAUSE * self._router.random_source.uniform(0.5, 1.5)
            self._set_timer(pause, self._retry_within_budget, refused)

    def _back_off(self) -> None:
        self.state = RunState.BACKING_OFF
        pause = find_backoff(self._attempt, self._router.random_source.uniform(0.5, 1.5))
        self._set_timer(pause, self._request_slot)

    def _cancel_attempt(self) -> None:
        self._history.record_abandoned()
        self._timer.cancel()
        for link in (self._decode_link, self._prefill_link):
            if link is not None:
                link.send(Cancel(self.request.request, self._attempt))
        self._decode_link = self._prefill_link = None
        if self.state is RunState.PROBING and self._probe is not None:
            self._probe.cancel()

    def _make_refusal(self, refusal: Refusal, link: Link | None = None) -> Refused:
        peer = "" if link is None else link.peer.host
        outcome = self._history.outcome
        return Refused(refusal, outcome, Step.SEAT, peer, retry_after=ANSWER_MARGIN)

    def _refuse(self, refused: Refused) -> None:
        if refused.outcome is Outcome.NOT_RUN:
            # the last attempt was not run, but an earlier one may have been
            refused = structs.replace(refused, outcome=self._history.outcome)
        self._router.events.emit(RequestRefused(self.request.request, refused))
        self._end()
        self._sink.refuse(refused)

    # end and timers

    def _end(self) -> None:
        self._timer.cancel()
        if self._probe is not None:
            self._router.quarantine.end_probe(self.admitted.fingerprint, self.request.request)
        self.state = RunState.DONE
        has_cost = self._answer.offset > 0 or self._history.may_have_run
        self._charge.settle(self._prompt_tokens + self._answer.offset if has_cost else 0)
        self._router.remove_run(self)

    def _find_urgency_left(self) -> timedelta:
        waited = self._history.find_waited(self._router.clock.now())
        return max(timedelta(0), self.admitted.route.targets.first_token - waited)

    def _find_patience_left(self) -> timedelta:
        return self._history.find_remaining_patience(self._router.clock.now())

    def _set_timer(self, delay: timedelta, call: Callable[..., None], *args: object) -> None:
        self._timer.cancel()
        self._timer = self._router.clock.call_later(delay, run_guarded, self, call, *args)
