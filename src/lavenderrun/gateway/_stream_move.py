"""Move of a stream from a silent engine to another one, while the silent attempt is kept."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Final

from lavenderrun.dispatch import CallRequirements, SilenceLimits, keeps_silent_engine
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._connection import Connection
from lavenderrun.gateway._decode_place import DecodePlace
from lavenderrun.gateway._decode_slot_queue import DecodeSlotReservation
from lavenderrun.gateway._engine_search import count_required_tokens
from lavenderrun.gateway._move_result import LATE_READ_TIME, MoveResult
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._stats import STREAM_MOVES
from lavenderrun.gateway._stream_sender import StreamSender
from lavenderrun.gateway._watch_timer import WatchTimer
from lavenderrun.types import AnswerKind, Member

MAX_OVERLAP: Final = timedelta(milliseconds=300)
"""Longest time for which two engines have the stream at once."""


class StreamMove:
    """One try to move a stream; the silent attempt stays until another engine answers.

    The slot is reserved and the connection opened before anything is sent, and nothing is sent if
    the silent engine speaks until then.

    :param silent: the silent engine.
    :param tried: servers that the stream was sent to.
    :param take_resend: uses one resend of the budget, returns whether there was one.
    :param note_unknown: called when a new engine that may have run the stream is left.
    :param on_taken: called when the new attempt replaces the silent one.
    :param on_failed: called when the silent attempt stays.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        sender: StreamSender,
        silent: Member,
        tried: list[Member],
        limits: SilenceLimits,
        take_resend: Callable[[], bool],
        note_unknown: Callable[[], None],
        on_taken: Callable[[Attempt, DecodePlace], None],
        on_failed: Callable[[], None],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._sender = sender
        self._silent = silent
        self._tried = tried
        self._limits = limits
        self._take_resend = take_resend
        self._note_unknown = note_unknown
        self._on_taken = on_taken
        self._on_failed = on_failed
        self._is_over = False
        self._silent_before = timedelta(0)
        self._new_engine: Member | None = None
        self._slot: DecodeSlotReservation | None = None
        self._place: DecodePlace | None = None
        self._attempt: Attempt | None = None
        self._timer = WatchTimer(services.clock)

    @property
    def was_sent(self) -> bool:
        """Whether the new engine has the stream."""
        return self._attempt is not None and self._attempt.sent

    def start(self) -> None:
        """Reserve a slot at another engine that is not silent itself, and connect."""
        self._services.view.silence.begin_move(self._silent.id)
        now = self._services.clock.now()
        self._silent_before = self._services.view.silence.measure_engine_silence(
            self._silent.id, now
        )
        silent = self._services.view.silence.list_silent(self._limits.quiet, now)
        requirements = CallRequirements(
            tokens=count_required_tokens(self._admitted),
            tried=silent | {member.id for member in self._tried},
            computes_prompt=bool(self._admitted.call.size and self._admitted.call.size.prompt),
        )
        self._slot = self._services.slot_queue.reserve_now(self._admitted.service, requirements)
        if self._slot is None:
            self._fail(MoveResult.NO_ROOM)
            return
        self._services.pool.open(self._slot.member.address, self._take_connection, self._slot)

    def abandon(self, result: MoveResult) -> None:
        """End the move; the new engine drops the stream if it has it."""
        self._end(result)

    def take_over(self) -> None:
        """Let the new attempt replace the silent one now."""
        attempt, place = self._attempt, self._place
        if attempt is None or place is None:
            return
        self._attempt = self._place = None
        self._end(MoveResult.MOVED)
        self._on_taken(attempt, place)

    def _take_connection(self, connection: Connection | None, slot: DecodeSlotReservation) -> None:
        if self._is_over:
            if connection is not None:
                connection.abort()
            return
        if connection is None:
            self._services.view.health.pause_after_failure(
                slot.member.id, self._services.clock.now()
            )
            self._fail(MoveResult.UNREACHABLE)
            return
        self._slot = None
        self._place = DecodePlace(slot, connection)
        if not self._services.view.takes_calls(slot.member):
            self._fail(MoveResult.TAKES_NO_CALLS)
        elif not self._take_resend():
            self._fail(MoveResult.NO_RESEND)
        else:
            self._send(self._place)

    def _send(self, place: DecodePlace) -> None:
        self._attempt = self._sender.make_attempt(place, self)
        self._timer.start(MAX_OVERLAP, self._end_overlap)
        self._new_engine = place.member
        self._services.view.silence.begin_stream(place.member.id, self._services.clock.now())
        self._sender.send(self._attempt, place, None)

    def head_received(self, attempt: Attempt) -> None:
        """Let the new engine go on if it serves the stream, else keep the silent one."""
        if attempt.head is not None and attempt.head.kind is AnswerKind.SERVED:
            self.take_over()
        else:
            self._fail(MoveResult.REJECTED)

    def body_received(self, attempt: Attempt, data: bytes) -> None:
        """Ignore the body of a rejection."""

    def attempt_ended(self, attempt: Attempt) -> None:
        """Keep the silent attempt, because the new engine does not take the stream on."""
        self._attempt = None
        self._leave(attempt)
        self._fail(MoveResult.REJECTED)

    def _leave(self, attempt: Attempt) -> None:
        if not attempt.sent:
            self._tried.remove(attempt.member)
        elif attempt.outcome.may_have_run:
            self._note_unknown()

    def _end_overlap(self) -> None:
        if self._is_over or self._place is None:
            return
        now = self._services.clock.now()
        if self._timer.is_late:
            # this process did not run, so what has come is read first
            self._services.view.silence.note_stall(now)
            self._silent_before = timedelta(0)
            self._timer.start(LATE_READ_TIME, self._end_overlap)
            return
        if not self.was_sent:
            self._fail(MoveResult.NO_ANSWER)
            return
        view = self._services.view
        old = view.silence.measure_engine_silence(self._silent.id, now)
        new = view.silence.measure_engine_silence(self._place.member.id, now)
        if keeps_silent_engine(self._silent_before, old, new, self._limits):
            self._fail(MoveResult.NO_ANSWER)
        else:
            self.take_over()

    def _fail(self, result: MoveResult) -> None:
        if not self._is_over:
            self._end(result)
            self._on_failed()

    def _end(self, result: MoveResult) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._timer.cancel()
        self._services.view.silence.end_move(self._silent.id, is_moved=result is MoveResult.MOVED)
        if self._new_engine is not None:
            self._services.view.silence.end_stream(self._new_engine.id)
        self._release()
        self._services.stats.count(STREAM_MOVES, self._admitted.service, result.value)
        self._call_log.write(
            "move",
            "move from a silent engine ended",
            silent=self._silent.id,
            member=None if self._new_engine is None else self._new_engine.id,
            result=result.value,
        )

    def _release(self) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            self._leave(attempt)
            attempt.abandon()
        if self._place is not None:
            self._place.release()
            self._place = None
        if self._slot is not None:
            self._slot.free()
            self._slot = None
