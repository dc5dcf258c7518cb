"""Passes the events of a stream on to its caller, whatever attempts they come from."""

from __future__ import annotations

from collections.abc import Callable

from lavenderrun.dispatch import SMALL_BYTES, HolderKind
from lavenderrun.gateway._attempt import Attempt
from lavenderrun.gateway._event_split import MAX_EVENT_BYTES, EventSplitter
from lavenderrun.gateway._memory import Holding, MemoryService
from lavenderrun.gateway._stream_timing import StreamTiming
from lavenderrun.kernel import Clock
from lavenderrun.types import AnswerHead, CallSink


class EventRelay:
    """Passes whole events on, each once.

    :param memory: grants room for unfinished events that are large.
    :param on_progress: called when an event with data has arrived, before it is passed on.
    :ivar has_progressed: whether an event with data has arrived.
    :ivar is_begun: whether the answer to the caller has begun.
    """

    def __init__(
        self,
        clock: Clock,
        sink: CallSink,
        timing: StreamTiming,
        resume_after: str | None,
        on_progress: Callable[[], None],
        memory: MemoryService,
    ) -> None:
        self._clock = clock
        self._sink = sink
        self._timing = timing
        self._on_progress = on_progress
        self._memory = memory
        self._holding: Holding | None = None
        self._splitter = EventSplitter()
        self._splitter.last_id = resume_after
        self._content_type = ""
        self.has_progressed = False
        self.is_begun = False

    @property
    def last_id(self) -> str | None:
        """Id of the last whole event, ``None`` before the first."""
        return self._splitter.last_id

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an unfinished event is buffered."""
        return self._splitter.is_between_events

    def note_break(self) -> None:
        """Record that the events to come are those of another attempt."""
        self._splitter.note_break()
        self.end_holding()

    def take_head(self, attempt: Attempt, head: AnswerHead) -> None:
        """Begin the answer, or reject an answer of another type than the one begun."""
        content_type = _find_content_type(head)
        if not self.is_begun:
            self._content_type = content_type
            self.is_begun = True
            self._sink.begin(head.status, head.headers)
        elif content_type != self._content_type:
            attempt.reject_foreign()

    def take_body(self, attempt: Attempt, data: bytes) -> None:
        """Pass on the whole events that *data* completes."""
        whole = self._splitter.add(data)
        if self._splitter.has_progressed:
            self.has_progressed = True
            attempt.note_progress()
            self._timing.observe_event(self._clock.now())
            self._on_progress()
        if self._splitter.has_repeated:
            attempt.reject_foreign()
            return
        if whole:
            self._sink.write(whole)
        if self._splitter.is_oversized:
            self._reject_event(attempt, MAX_EVENT_BYTES)
        elif self._splitter.partial_bytes > SMALL_BYTES or self._holding is not None:
            self._hold_event(attempt)

    def _hold_event(self, attempt: Attempt) -> None:
        """Count a large unfinished event; without room its stream breaks off."""
        if self._holding is None:
            server = attempt.member.id
            self._holding = self._memory.hold(HolderKind.EVENT, server, MAX_EVENT_BYTES)
        size = self._splitter.partial_bytes
        if size <= SMALL_BYTES:
            self.end_holding()
        elif not self._holding.add(size - self._holding.holder.held):
            self._memory.log_refusal(self._holding, None)
            self._reject_event(attempt, SMALL_BYTES)

    def _reject_event(self, attempt: Attempt, limit: int) -> None:
        self._splitter.drop_partial_event()
        self.end_holding()
        attempt.reject_oversized("event", limit)

    def end_holding(self) -> None:
        """Give back the room of an unfinished event."""
        if self._holding is not None:
            self._holding.end()
            self._holding = None


def _find_content_type(head: AnswerHead) -> str:
    values = (value for name, value in head.headers if name.lower() == "content-type")
    return next(values, "").partition(";")[0].strip().lower()
