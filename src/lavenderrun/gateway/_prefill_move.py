"""Move of a prompt from a silent prefill engine to another one, while the silent run is kept."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from lavenderrun.dispatch import EXPECTED_FACTOR, MIN_SUSPICION
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._move_result import LATE_READ_TIME, MoveResult
from lavenderrun.gateway._prefill_run import CallContextFactory, PrefillRun
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._stats import STREAM_MOVES
from lavenderrun.gateway._watch_timer import WatchTimer
from lavenderrun.types import HeldCache, Member


def find_move_time(expected: timedelta) -> timedelta:
    """Return after which time without an answer the move of a prompt has failed."""
    return max(MIN_SUSPICION, expected * EXPECTED_FACTOR)


def record_move(
    services: CallServices,
    admitted: AdmittedCall,
    call_log: CallLog,
    silent: Member,
    other: Member | None,
    result: MoveResult,
) -> None:
    """Record the end of a move of a prompt.

    :param other: the other prefill engine, ``None`` when it was the decode engine.
    """
    is_moved = result is MoveResult.MOVED
    services.view.prefill_silence.end_move(silent.id, is_moved=is_moved)
    services.stats.count(STREAM_MOVES, admitted.service, result.value)
    call_log.write(
        "move",
        "move from a silent prefill engine ended",
        silent=silent.id,
        member=None if other is None else other.id,
        result=result.value,
    )


class PrefillMove:
    """One try to move a prompt; the silent run stays until the other engine has answered.

    :param silent: the silent engine.
    :param other: the engine that computes the prompt, too.
    :param on_taken: called with the KV cache that the other engine holds.
    :param on_failed: called when the other engine does not compute the prompt in time.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        silent: Member,
        other: Member,
        on_taken: Callable[[HeldCache], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._silent = silent
        self._other = other
        self._on_taken = on_taken
        self._on_failed = on_failed
        self._timer = WatchTimer(services.clock)
        self._is_over = False
        self._take_end: Callable[[PrefillRun], None] = self._take_result
        self._run = PrefillRun(services, admitted, call_log, other, lambda run: self._take_end(run))

    def start(self, make_context: CallContextFactory) -> None:
        """Send the prompt to the other engine."""
        tracker = self._services.view.prefill_silence
        tracker.begin_move(self._silent.id)
        tracker.begin_stream(self._other.id, self._services.clock.now())
        self._timer.start(find_move_time(self._run.expected), self._give_up)
        self._run.send(make_context)

    def abandon(self, result: MoveResult) -> None:
        """End the move; the other engine drops the prompt."""
        if not self._is_over:
            self._run.abandon()
            self._end(result)

    def take_over(self, on_end: Callable[[PrefillRun], None]) -> PrefillRun:
        """Return the run at the other engine, which goes on alone.

        :param on_end: called at its end.
        """
        self._take_end = on_end
        self._end(MoveResult.ENDED)
        return self._run

    def _take_result(self, run: PrefillRun) -> None:
        if run.has_head:
            now = self._services.clock.now()
            self._services.view.prefill_silence.note_sign(self._other.id, now)
        if run.cache is None:
            self._end(MoveResult.REJECTED)
            self._on_failed()
        else:
            self._end(MoveResult.MOVED)
            self._on_taken(run.cache)

    def _give_up(self) -> None:
        """End a move to an engine that is silent, too, so that others may follow."""
        if self._timer.is_late:
            # this process did not run, so what has come is read first
            self._services.view.prefill_silence.note_stall(self._services.clock.now())
            self._timer.start(LATE_READ_TIME, self._give_up)
            return
        self.abandon(MoveResult.NO_ANSWER)
        self._on_failed()

    def _end(self, result: MoveResult) -> None:
        self._is_over = True
        self._timer.cancel()
        self._services.view.prefill_silence.end_stream(self._other.id)
        record_move(
            self._services, self._admitted, self._call_log, self._silent, self._other, result
        )
