"""Watches the silence of one stream, and tells when it is to be moved to another engine."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch import (
    SilenceEvidence,
    SilenceLimits,
    SilenceTracker,
    SilenceVerdict,
    decide_on_silence,
    find_patience,
    find_retry_pause,
    find_silence_limits,
)
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._log import to_milliseconds
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._stats import SILENCES
from lavenderrun.gateway._watch_timer import WatchTimer
from lavenderrun.types import Member

JITTER_SHARE: Final = 0.5
"""Random part added to a pause, as a share of it."""


class SilenceWatch:
    """Weighs the silence of a stream's present attempt, or of its prefill.

    :param tracker: what is known of the engines that may serve it.
    :param may_move: whether it may be moved at all.
    :param count_attempts_left: returns how many more servers the stream may be sent to.
    :param has_resend: tells whether the budget allows a resend.
    :param on_move: called when the stream is to be moved; :meth:`look_again` follows a failure.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        tracker: SilenceTracker,
        count_attempts_left: Callable[[], int],
        has_resend: Callable[[], bool],
        on_move: Callable[[SilenceLimits], None],
        *,
        may_move: bool,
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._tracker = tracker
        self._count_attempts_left = count_attempts_left
        self._has_resend = has_resend
        self._may_move = may_move
        self._expected = timedelta(0)
        self._on_move = on_move
        self._patience = find_patience(
            admitted.access.route.objective, admitted.access.route.gap_objective
        )
        self._member: Member | None = None
        self._last_event = admitted.arrived
        self._timer = WatchTimer(services.clock)
        self._verdict = SilenceVerdict.NOT_LONG
        self._was_shared = False
        self._failed_moves = 0
        self._paused: Member | None = None

    def begin(self, member: Member, expected: timedelta = timedelta(0)) -> None:
        """Watch an attempt that is sent to *member* now.

        :param expected: time expected until it sends something.
        """
        self.end()
        self._expected = expected
        now = self._services.clock.now()
        self._member, self._last_event, self._paused = member, now, None
        self._tracker.begin_stream(member.id, now)
        if self._may_move:
            self._timer.start(self._find_limits(now).suspicion, self._weigh)

    def note_head(self) -> None:
        """Record that the engine began to answer."""
        if self._member is not None:
            self._note_sign(self._member)

    def _note_sign(self, member: Member) -> None:
        self._tracker.note_sign(member.id, self._services.clock.now())
        self._services.view.health.note_sign(member.id)

    def note_event(self) -> None:
        """Record that an event with data has arrived."""
        if self._member is None:
            return
        self._note_sign(self._member)
        now = self._services.clock.now()
        if self._verdict is not SilenceVerdict.NOT_LONG:
            self._verdict = SilenceVerdict.NOT_LONG
            self._count("spoke")
            self._call_log.write(
                "spoke",
                "silent engine went on",
                member=self._member.id,
                silent_ms=to_milliseconds(now - self._last_event),
            )
        self._last_event, self._was_shared, self._failed_moves = now, False, 0

    def pause(self) -> None:
        """Watch nothing while the answer is not read, because the caller does not read."""
        paused = self._member
        self.end()
        self._paused = paused

    def resume(self) -> None:
        """Go on to watch the attempt."""
        if self._paused is not None:
            self.begin(self._paused)

    def end(self) -> None:
        """Watch no attempt."""
        self._timer.cancel()
        self._verdict = SilenceVerdict.NOT_LONG
        self._was_shared, self._failed_moves = False, 0
        self._paused = None
        member, self._member = self._member, None
        if member is not None:
            self._tracker.end_stream(member.id)

    def is_engine_silent(self) -> bool:
        """Tell whether the engine is silent to all its streams."""
        if self._member is None:
            return False
        now = self._services.clock.now()
        silent = self._tracker.measure_engine_silence(self._member.id, now)
        return silent >= self._find_limits(now).quiet

    def look_again(self, *, has_failed: bool = True) -> None:
        """Weigh the silence again after a pause, which is longer after each failed move."""
        if self._member is not None and self._may_move:
            self._timer.start(self._add_jitter(find_retry_pause(self._failed_moves)), self._weigh)
            self._failed_moves += has_failed

    def _add_jitter(self, pause: timedelta) -> timedelta:
        return pause * (1 + JITTER_SHARE * self._services.random_source.random())

    def _find_limits(self, now: datetime) -> SilenceLimits:
        began = now - self._tracker.measure_silence(self._last_event, now)
        return find_silence_limits(self._patience, self._admitted.deadline - began, self._expected)

    def _weigh(self) -> None:
        member, now = self._member, self._services.clock.now()
        if member is None:
            return
        self._services.suspension.check()
        silence = self._tracker
        if self._timer.is_late:
            silence.note_stall(now)
        limits = self._find_limits(now)
        evidence = SilenceEvidence(
            silence.measure_silence(self._last_event, now),
            limits,
            self._admitted.deadline - now,
            silence.gather_evidence(member.id, limits.quiet, now),
            has_attempts=self._count_attempts_left() > 0,
            has_resend=self._has_resend(),
            was_shared=self._was_shared,
        )
        decision = decide_on_silence(evidence)
        if decision.verdict is SilenceVerdict.SHARED:
            self._was_shared = True
        if decision.verdict is not self._verdict:
            self._verdict = decision.verdict
            self._log(member, evidence)
        if decision.verdict is SilenceVerdict.MOVE:
            self._on_move(limits)
        elif decision.verdict is SilenceVerdict.NOT_LONG:
            self._timer.start(decision.review_after, self._weigh)
        else:
            self._timer.start(self._add_jitter(decision.review_after), self._weigh)

    def _log(self, member: Member, evidence: SilenceEvidence) -> None:
        if self._verdict is SilenceVerdict.NOT_LONG:
            return
        engine = evidence.engine
        self._count(self._verdict.value)
        self._call_log.write(
            "silent",
            "engine is silent",
            member=member.id,
            verdict=self._verdict.value,
            silent_ms=to_milliseconds(evidence.silent),
            suspicion_ms=to_milliseconds(evidence.limits.suspicion),
            certainty_ms=to_milliseconds(evidence.limits.certainty),
            left_ms=to_milliseconds(evidence.left),
            engine_silent_ms=to_milliseconds(engine.silent),
            silent_others=engine.silent_others,
            speaking_others=engine.speaking_others,
            moving=engine.moving,
            moved=engine.moved,
        )

    def _count(self, step: str) -> None:
        self._services.stats.count(SILENCES, self._admitted.service, step)
