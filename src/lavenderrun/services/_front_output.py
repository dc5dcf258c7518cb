"""Buffered output, of bounded size, to a caller that may read slowly."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from eliot import log_message
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import FrontSettings


@implementer(IPushProducer)
class CallerOutput:
    """Writes the answer of one HTTP request; buffers at most ``settings.buffer`` for a slow caller.

    :param on_lost: called once when the caller has disconnected or was dropped.
    :param on_pause: called with ``True`` when the caller stops reading, ``False`` when it resumes.
    """

    def __init__(
        self,
        request: Any,
        settings: FrontSettings,
        clock: Clock,
        *,
        on_lost: Callable[[], None],
        on_pause: Callable[[bool], None],
    ) -> None:
        self._request = request
        self._settings = settings
        self._clock = clock
        self._on_lost = on_lost
        self._on_pause = on_pause
        self._buffer: list[bytes] = []
        self._buffered_size = 0
        self._paused = False
        self._end_action: Callable[[], None] | None = None
        self._is_producer = False
        self._closed = False
        self._stall_timer: Timer | None = None
        request.notifyFinish().addErrback(self._note_lost)

    @property
    def is_paused(self) -> bool:
        """Whether the caller reads too slowly, so that output is buffered."""
        return self._paused

    def count_buffered(self, size: int) -> None:
        """Count *size* bytes held in the sink itself; drop the caller when the buffer is full."""
        self._buffered_size += size
        if self._buffered_size > self._settings.buffer:
            self._drop_caller("front: caller dropped: it reads too slowly and its buffer is full")

    def write(self, data: bytes) -> None:
        """Send or buffer *data*; drop the caller when the buffer is full."""
        if self._closed:
            return
        if not self._is_producer:
            self._is_producer = True
            self._request.registerProducer(self, True)
        if not self._paused:
            self._request.write(data)
            return
        self._buffer.append(data)
        self.count_buffered(len(data))

    def finish(self) -> None:
        """End the answer once the buffer is sent."""
        self._end(self._finish)

    def close_incomplete(self) -> None:
        """Close the connection once the buffer is sent; the caller sees an incomplete answer."""
        self._end(self._lose_connection)

    def pauseProducing(self) -> None:  # noqa: N802
        """Start to buffer and start the stall timer."""
        if self._closed or self._paused:
            return
        self._paused = True
        text = "front: caller dropped: it read nothing within the stall time"
        self._stall_timer = self._clock.call_later(self._settings.stall, self._drop_caller, text)
        self._on_pause(True)

    def resumeProducing(self) -> None:  # noqa: N802
        """Send the buffer and stop the stall timer."""
        if self._closed or not self._paused:
            return
        self._paused = False
        self._cancel_stall_timer()
        buffered, self._buffer, self._buffered_size = self._buffer, [], 0
        if buffered:
            self._request.write(b"".join(buffered))
        if self._paused:
            return
        if self._end_action is not None:
            self._run_end_action(self._end_action)
        else:
            self._on_pause(False)

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing; ``notifyFinish`` of the request reports the lost connection."""

    def _end(self, end_action: Callable[[], None]) -> None:
        if self._closed or self._end_action is not None:
            return
        self._end_action = end_action
        if not self._paused:
            self._run_end_action(end_action)

    def _run_end_action(self, end_action: Callable[[], None]) -> None:
        self._closed = True
        self._unregister_producer()
        end_action()

    def _finish(self) -> None:
        self._request.finish()

    def _lose_connection(self) -> None:
        self._request.channel.loseConnection()

    def _drop_caller(self, text: str) -> None:
        log_message("front:caller_dropped", text=text, request=self._request.id)
        self._request.channel.forceAbortClient()
        self._note_lost(None)

    def _note_lost(self, _reason: object) -> None:
        if self._closed:
            return
        self._closed = True
        self._cancel_stall_timer()
        self._buffer.clear()
        self._on_lost()

    def _unregister_producer(self) -> None:
        if self._is_producer:
            self._is_producer = False
            self._request.unregisterProducer()

    def _cancel_stall_timer(self) -> None:
        if self._stall_timer is not None:
            self._stall_timer.cancel()
            self._stall_timer = None
