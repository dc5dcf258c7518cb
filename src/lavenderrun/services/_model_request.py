"""One model request on its way: charge, seat, prefill, decode, resume and retry."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import TYPE_CHECKING

from msgspec import structs
from twisted.internet.defer import Deferred

from lavenderrun.decisions import (
    AttemptHistory,
    RetryDecision,
    estimate_tokens,
    find_backoff,
    hash_blocks,
)
from lavenderrun.services._agent_chooser import Demand
from lavenderrun.services._model_answer import ModelAnswer
from lavenderrun.services._model_charge import RequestCharge
from lavenderrun.services._model_orders import (
    OrderTerms,
    make_prefill,
    make_reserve,
    make_start,
)
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
BUDGET_PAUSE = timedelta(milliseconds=300)
RESUME_GRACE = timedelta(seconds=2)
MOVE_AFTER = timedelta(milliseconds=100)
"""Wait for a seat after which a free one elsewhere is looked for, again and again."""
STALL_TIMEOUT = timedelta(seconds=5)
PREFILL_PATIENCE = timedelta(seconds=2)
"""Longest wait of a prefill, for a promised seat is not kept longer."""


class RunState(Enum):
    """What a model request waits for."""

    CHARGING = "charging"
    BACKING_OFF = "backing_off"
    PROBING = "probing"
    SEATING = "seating"
    PREFILLING = "prefilling"
    DECODING = "decoding"
    RESUMING = "resuming"
    DONE = "done"


WAITING = (
    RunState.CHARGING,
    RunState.BACKING_OFF,
    RunState.PROBING,
    RunState.SEATING,
    RunState.PREFILLING,
)


class ModelRun:
    """State of one model request; ends in exactly one of answer, refusal and cancel."""

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
        self._failed_hosts: set[HostId] = set()
        self._demand: Demand | None = None
        self._decoder: Link | None = None
        self._prefiller: Link | None = None
        self._charge = RequestCharge(router.limits)
        self._heard_at = request.arrived
        self._probe: Deferred[None] | None = None
        route = admitted.route
        self._tries = AttemptHistory(request.arrived, route.patience, route.repeatability)
        self._timer = router.clock.call_later(timedelta(0), lambda: None)

    def begin(self) -> None:
        """Charge the account, then seek a seat."""
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
            self._seek_seat()
            return
        tokens = self._prompt_tokens + self._max_tokens
        self._charge.begin(account, tokens, self.admitted.route.patience, self._take_charge)

    def take(self, link: Link, message: Message) -> None:
        """Take an agent's message; those of earlier attempts are dropped."""
        if self.state is RunState.DONE or message.attempt != self._attempt:  # type: ignore[attr-defined]
            return
        if isinstance(message, Frame):
            self._take_frame(message)
        elif isinstance(message, SeatPromised) and self.state is RunState.SEATING:
            self._router.chooser.note_load(link.peer.host, message.load)
            self._take_seat(message)
        elif isinstance(message, Prefilled) and self.state is RunState.PREFILLING:
            self._take_prefill(message, link.peer.host)
        elif isinstance(message, AttemptFailed):
            self._take_failure(link.peer.host, message)

    def link_up(self, link: Link) -> None:
        """Resume on the new link, unless the agent has lost its memory with a restart."""
        old = self._decoder
        if self.state is not RunState.RESUMING or old is None or link.peer.host != old.peer.host:
            return
        if link.peer.boot != old.peer.boot:
            self._lose(old)
            return
        self._decoder = link
        self.state = RunState.DECODING
        link.send(Resume(self.request.request, self._attempt, self._answer.offset))
        self._expect(STALL_TIMEOUT, self._stall)

    def link_down(self, link: Link) -> None:
        """Wait for a new link to the decode agent; give up what has not begun."""
        if link is self._decoder and self.state is RunState.DECODING:
            self.state = RunState.RESUMING
            self._expect(RESUME_GRACE, self._lose, link)
        elif self.state in (RunState.SEATING, RunState.PREFILLING) and (
            link is self._decoder or link is self._prefiller
        ):
            self._fail_attempt(link.peer.host, self._refuse_with(Refusal.BACKEND_LOST, link))

    def withdraw(self, refusal: Refusal) -> None:
        """Refuse the request as not run unless its answer has begun."""
        if self.state in WAITING and not self._answer.offset:
            self._drop_attempt()
            self._refuse(Refused(refusal, Outcome.NOT_RUN, Step.ADMISSION))

    def cancel(self) -> None:
        """The caller is gone; free all that is held for it."""
        if self.state is RunState.DONE:
            return
        self._drop_attempt()
        self._router.events.emit(RequestCancelled(self.request.request))
        self._end()

    def _take_charge(self, refused: Refused | None) -> None:
        if self.state is RunState.DONE:
            return
        if refused is None:
            self._seek_seat()
        else:
            self._refuse(refused)

    # seat and prefill

    def _seek_seat(self) -> None:
        left = self._patience_left()
        if left <= timedelta(0):
            self._refuse(self._refuse_with(Refusal.NO_ROOM))
            return
        if not self._may_start():
            return
        verdict = self._router.quarantine.find_verdict(self.admitted.fingerprint)
        if verdict is QuarantineVerdict.GUILTY:
            self._refuse(self._refuse_with(Refusal.QUARANTINED))
            return
        if verdict is QuarantineVerdict.SUSPECT and self._probe is None:
            self._seek_probe(left)
            return
        self._demand = self._describe()
        link = self._router.chooser.choose_decode(self._demand, self._failed_hosts)
        if link is None:
            self._failed_hosts.clear()
            self._back_off()
            return
        self._reserve(link, left)

    def _reserve(self, link: Link, left: timedelta) -> None:
        demand = self._demand
        assert demand is not None
        cohort = self._router.quarantine.find_suspect_limit(self.admitted.fingerprint)
        expected = self._router.chooser.choose_prefill(
            demand, link.peer.data_centre, self._failed_hosts, ask=True
        )
        self._decoder = link
        self._attempt = AttemptId(self._attempt + 1)
        self.state = RunState.SEATING
        lead = timedelta(0) if expected is None else expected.lead
        link.send(make_reserve(self._make_terms(left), demand, lead, cohort))
        if cohort:
            self._expect(left + ANSWER_MARGIN, self._stall)
        else:
            self._expect(MOVE_AFTER, self._reconsider)

    def _reconsider(self) -> None:
        """Move a request that waits for a seat to an agent that has some free."""
        left = self._patience_left()
        if left <= -ANSWER_MARGIN:
            self._stall()
            return
        assert self._decoder is not None
        assert self._demand is not None
        tried = {*self._failed_hosts, self._decoder.peer.host}
        link = self._router.chooser.find_free(self._demand, tried)
        if link is None or left <= timedelta(0):
            self._expect(MOVE_AFTER, self._reconsider)
            return
        self._decoder.send(Cancel(self.request.request, self._attempt))
        self._reserve(link, left)

    def _may_start(self) -> bool:
        """Return whether the key holds; without it the request waits or is refused."""
        fault = self._router.find_refusal(self)
        if fault is None:
            return True
        self._drop_attempt()
        if fault is Refusal.NOT_READY and self._patience_left() > timedelta(0):
            # the host may soon know again whether keys are still valid
            self._back_off()
        else:
            self._refuse(Refused(fault, Outcome.NOT_RUN, Step.ADMISSION))
        return False

    def _seek_probe(self, left: timedelta) -> None:
        self.state = RunState.PROBING
        self._expect(left, self._seek_seat)
        self._probe = self._router.quarantine.begin_probe(
            self.admitted.fingerprint, self.request.request
        )
        self._probe.addCallbacks(lambda _: self._seek_seat(), lambda failure: None)

    def _take_seat(self, promise: SeatPromised) -> None:
        assert self._decoder is not None
        assert self._demand is not None
        choice = self._router.chooser.choose_prefill(
            self._demand, self._decoder.peer.data_centre, self._failed_hosts
        )
        if choice is None:
            self._drop_attempt()
            self._failed_hosts.clear()
            self._back_off()
            return
        self._prefiller = choice.link
        self.state = RunState.PREFILLING
        start_in = max(choice.hold, promise.ready_in - choice.lead)
        patience = min(max(self._patience_left(), ANSWER_MARGIN), PREFILL_PATIENCE)
        self._tries.prefill_ordered = True
        terms = self._make_terms(patience)
        choice.link.send(make_prefill(terms, self._demand, self._answer.text, start_in))
        self._expect(patience + start_in + ANSWER_MARGIN, self._stall)

    def _describe(self) -> Demand:
        return Demand(
            self.request.request,
            self.admitted.route.model,
            self._prompt_tokens + self._answer.offset,
            self._max_tokens - self._answer.offset,
            hash_blocks(self._answer.text),
        )

    def _make_terms(self, patience: timedelta) -> OrderTerms:
        return OrderTerms(
            self.request.request,
            self._attempt,
            self.admitted,
            self._urgency_left(),
            patience,
            self._router.weigh(self.admitted),
        )

    def _take_prefill(self, done: Prefilled, host: HostId) -> None:
        assert self._decoder is not None
        assert self._demand is not None
        self._router.chooser.note_load(host, done.load)
        self._router.chooser.learn_prefill(self._demand, done, host)
        if not self._answer.offset and not self._may_start():
            return
        self.state = RunState.DECODING
        self._answer.begin(self._attempt)
        offset = self._answer.offset
        self._decoder.send(make_start(done, offset, self._max_tokens - offset))
        self._expect(STALL_TIMEOUT, self._stall)

    # decode

    def _take_frame(self, frame: Frame) -> None:
        fresh = not self._answer.offset
        progress = self._answer.take(frame)
        if frame.imported is not None:
            self._learn_transfer(frame.imported)
        if fresh and progress.tokens:
            self._router.events.emit(AnswerBegun(self.request.request))
        if progress.finish is not None:
            self._finish(progress.finish)
            return
        if self._answer.is_ack_due:
            self._ack()
        # the timer stands; it looks at this when it fires
        self._heard_at = self._router.clock.now()

    def _learn_transfer(self, took: timedelta | None) -> None:
        tokens = 0 if self._demand is None else self._demand.tokens
        self._router.chooser.learn_transfer(self._prefiller, self._decoder, tokens, took)

    def _finish(self, reason: FinishReason) -> None:
        self._ack(end=1)
        self._router.events.emit(RequestFinished(self.request.request, self._answer.offset))
        quarantine = self._router.quarantine
        if quarantine.find_verdict(self.admitted.fingerprint) is not QuarantineVerdict.CLEAR:
            quarantine.clear_strikes(self.admitted.fingerprint)
        self._end()
        self._sink.finish(reason)

    def _ack(self, *, end: int = 0) -> None:
        if self._decoder is not None:
            self._decoder.send(self._answer.make_ack(self._attempt, end=end))

    # failure

    def _take_failure(self, host: HostId, failed: AttemptFailed) -> None:
        refused = failed.refused
        if self._is_prefiller(host) and refused.outcome is Outcome.NOT_RUN:
            self._tries.prefill_ordered = False
        if refused.step is Step.TRANSFER:
            self._learn_transfer(None)
        if failed.crashed:
            self._router.quarantine.record_strike(
                Strike(
                    self.admitted.fingerprint,
                    self.request.request,
                    self._attempt,
                    self.admitted.account,
                    self.admitted.route.name,
                )
            )
        self._fail_attempt(host, refused, started=failed.started or failed.crashed)

    def _is_prefiller(self, host: HostId) -> bool:
        return self._prefiller is not None and self._prefiller.peer.host == host

    def _stall(self) -> None:
        if self.state is RunState.DECODING:
            left = self._heard_at + STALL_TIMEOUT - self._router.clock.now()
            if left > timedelta(0):
                self._expect(left, self._stall)
                return
        started = self.state is RunState.DECODING
        link = self._prefiller if self.state is RunState.PREFILLING else self._decoder
        assert link is not None
        refused = self._refuse_with(Refusal.DEADLINE, link)
        self._fail_attempt(link.peer.host, refused, started=started)

    def _lose(self, link: Link) -> None:
        refused = self._refuse_with(Refusal.BACKEND_LOST, link)
        self._fail_attempt(link.peer.host, refused, started=True)

    def _fail_attempt(self, host: HostId, refused: Refused, *, started: bool = False) -> None:
        costly = started or self.state in (RunState.DECODING, RunState.RESUMING)
        self._drop_attempt()
        self._failed_hosts.add(host)
        next_step = self._tries.record_failure(
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
                self._await_retry(refused)
            case RetryDecision.RETRY:
                self._back_off()

    def _await_retry(self, refused: Refused) -> None:
        """Retry once the budget allows it; an outage is not amplified and no request is lost."""
        now = self._router.clock.now()
        if self._patience_left() <= timedelta(0):
            self._refuse(refused)
        elif self._router.retries.allow_retry(self.admitted.account, now):
            self._back_off()
        else:
            self.state = RunState.BACKING_OFF
            pause = BUDGET_PAUSE * self._router.random_source.uniform(0.5, 1.5)
            self._expect(pause, self._await_retry, refused)

    def _back_off(self) -> None:
        self.state = RunState.BACKING_OFF
        pause = find_backoff(self._attempt, self._router.random_source.uniform(0.5, 1.5))
        self._expect(pause, self._seek_seat)

    def _drop_attempt(self) -> None:
        self._tries.record_abandoned()
        self._timer.cancel()
        for link in (self._decoder, self._prefiller):
            if link is not None:
                link.send(Cancel(self.request.request, self._attempt))
        self._decoder = self._prefiller = None
        if self.state is RunState.PROBING and self._probe is not None:
            self._probe.cancel()

    def _refuse_with(self, refusal: Refusal, link: Link | None = None) -> Refused:
        peer = "" if link is None else link.peer.host
        outcome = self._tries.outcome
        return Refused(refusal, outcome, Step.SEAT, peer, retry_after=ANSWER_MARGIN)

    def _refuse(self, refused: Refused) -> None:
        if refused.outcome is Outcome.NOT_RUN:
            # the last attempt was not run, but an earlier one may have been
            refused = structs.replace(refused, outcome=self._tries.outcome)
        self._router.events.emit(RequestRefused(self.request.request, refused))
        self._end()
        self._sink.refuse(refused)

    # ends

    def _end(self) -> None:
        self._timer.cancel()
        if self._probe is not None:
            self._router.quarantine.end_probe(self.admitted.fingerprint, self.request.request)
        self.state = RunState.DONE
        spent = self._answer.offset > 0 or self._tries.may_have_run
        self._charge.end(self._prompt_tokens + self._answer.offset if spent else 0)
        self._router.forget(self)

    def _urgency_left(self) -> timedelta:
        waited = self._tries.find_waited(self._router.clock.now())
        return max(timedelta(0), self.admitted.route.targets.first_token - waited)

    def _patience_left(self) -> timedelta:
        return self._tries.find_remaining_patience(self._router.clock.now())

    def _expect(self, delay: timedelta, call: Callable[..., None], *args: object) -> None:
        self._timer.cancel()
        self._timer = self._router.clock.call_later(delay, call, *args)
