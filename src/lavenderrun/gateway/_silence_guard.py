"""Keeps a silent attempt of a stream until another engine has taken the stream on."""

from __future__ import annotations

from collections.abc import Callable

from lavenderrun.dispatch import SilenceLimits
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._call_log import CallLog
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._decode_place import DecodePlace
from lavenderrun.gateway._move_result import MoveResult
from lavenderrun.gateway._running_call import AdmittedCall
from lavenderrun.gateway._silence_watch import SilenceWatch
from lavenderrun.gateway._stream_move import StreamMove
from lavenderrun.gateway._stream_sender import StreamSender
from lavenderrun.types import Member


class SilenceGuard:
    """Watches a stream's present attempt and moves the stream when that is silent for too long.

    :param tried: servers that the stream was sent to.
    :param take_resend: uses one resend of the budget, returns whether there was one.
    :param note_unknown: called when another engine may have run the stream and is left.
    :param on_moved: called with the attempt that replaces the silent one.
    """

    def __init__(
        self,
        services: CallServices,
        admitted: AdmittedCall,
        call_log: CallLog,
        sender: StreamSender,
        tried: list[Member],
        take_resend: Callable[[], bool],
        note_unknown: Callable[[], None],
        on_moved: Callable[[Attempt, DecodePlace], None],
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._call_log = call_log
        self._sender = sender
        self._tried = tried
        self._take_resend = take_resend
        self._note_unknown = note_unknown
        self._on_moved = on_moved
        self._member: Member | None = None
        self._watch = SilenceWatch(
            services,
            admitted,
            call_log,
            services.view.silence,
            lambda: admitted.access.route.attempts - len(tried),
            self._has_resend,
            self._begin_move,
            may_move=admitted.access.route.is_idempotent,
        )
        self._move: StreamMove | None = None

    def begin(self, member: Member) -> None:
        """Watch an attempt that is sent to *member* now."""
        self._member = member
        self._watch.begin(member)

    def note_head(self) -> None:
        """Record that the engine began to answer."""
        self._watch.note_head()
        self._drop_move(MoveResult.SPOKE)

    def note_event(self) -> None:
        """Record that an event with data has arrived."""
        self._watch.note_event()
        self._drop_move(MoveResult.SPOKE)

    def pause(self) -> None:
        """Watch nothing while the answer is not read, because the caller does not read."""
        self._drop_move(MoveResult.PAUSED)
        self._watch.pause()

    def resume(self) -> None:
        """Go on to watch the attempt."""
        self._watch.resume()

    def replace_ended(self) -> bool:
        """Let another engine that has the stream go on instead of the ended attempt.

        :returns: whether there is one.
        """
        if self._move is None or not self._move.was_sent:
            return False
        self._move.take_over()
        return True

    def is_engine_silent(self) -> bool:
        """Tell whether the engine is silent to all its streams."""
        return self._watch.is_engine_silent()

    def end(self) -> None:
        """Watch no attempt, and drop a move."""
        if self._move is not None:
            self._move.abandon(MoveResult.ENDED)
            self._move = None
        self._watch.end()

    def _has_resend(self) -> bool:
        resends, now = self._services.view.resends, self._services.clock.now()
        return resends.count_remaining(self._admitted.service, now) >= 1

    def _begin_move(self, limits: SilenceLimits) -> None:
        if self._member is None:
            return
        self._move = StreamMove(
            self._services,
            self._admitted,
            self._call_log,
            self._sender,
            self._member,
            self._tried,
            limits,
            self._take_resend,
            self._note_unknown,
            self._take_moved,
            self._keep_silent,
        )
        self._move.start()

    def _take_moved(self, attempt: Attempt, place: DecodePlace) -> None:
        self._move = None
        self._on_moved(attempt, place)

    def _keep_silent(self) -> None:
        self._move = None
        self._watch.look_again()

    def _drop_move(self, result: MoveResult) -> None:
        if self._move is not None:
            self._move.abandon(result)
            self._keep_silent()
