"""One call on its agent: the body received from the entry and the reply sent to it."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from lavenderrun.decisions import JobKey
from lavenderrun.types import (
    BackendTask,
    Call,
    CallBody,
    Link,
    Message,
    PausableHandle,
    Refused,
    Repeatability,
    ReplyBody,
    ReplyHead,
)

PART_BYTES = 64 << 10
REPLY_WINDOW_BYTES = 128 << 10
"""Unacknowledged reply bytes above which reading from the backend server pauses."""
MAX_KEPT_REPLY_BYTES = 64 << 10
"""Reply bytes that are kept for a retry or while no entry is connected."""


class JobState(Enum):
    """State of a call on its agent."""

    RECEIVING = "receiving"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class PlainJob:
    """A call on its agent, and the ``ReplySink`` for its reply from the backend server.

    :ivar is_sound: whether each part of the reply was kept and sent without an unexpected error.
    :ivar kept_bytes: bytes of the reply that were held when the call finished.
    :param link: link to the entry, ``None`` once detached.
    :param on_end: called once, at the end of the reply or its refusal.
    """

    def __init__(self, link: Link, call: Call, on_end: Callable[[PlainJob], None]) -> None:
        self.call = call
        self.key: JobKey = (call.request, call.attempt)
        self.state = JobState.RECEIVING if call.more else JobState.QUEUED
        self.link: Link | None = link
        self.running: BackendTask | None = None
        self.refused: Refused | None = None
        self.is_whole = False
        self.is_sound = True
        self.kept_bytes = 0
        self._on_end = on_end
        self._body = [call.body]
        self._body_size = len(call.body)
        self._head: ReplyHead | None = None
        self._reply = bytearray()
        self._reply_start = 0
        self._sent_bytes = 0
        self._acked_offset = 0
        self._is_paused = False

    @property
    def is_at_most_once(self) -> bool:
        """Whether the call may not be repeated."""
        return self.call.repeatability is Repeatability.AT_MOST_ONCE

    @property
    def is_acked(self) -> bool:
        """Whether the entry has acknowledged the whole reply."""
        return self.is_whole and self._acked_offset > self._sent_bytes

    def take_body(self, part: CallBody) -> bool:
        """Append a part of the call's body; return whether it was the last one.

        A part at another offset than expected is ignored.
        """
        if self.state is not JobState.RECEIVING or part.offset != self._body_size:
            return False
        self._body.append(part.data)
        self._body_size += len(part.data)
        if part.last:
            self.state = JobState.QUEUED
        return part.last

    @property
    def body_bytes(self) -> int:
        """Bytes of the call's body that the agent holds."""
        return self._body_size if self._body else 0

    def release_body(self) -> bytes:
        """Return the body and drop it from the job."""
        body = b"".join(self._body)
        self._body.clear()
        return body

    # the reply, from the backend server

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers to the entry."""
        self._head = ReplyHead(*self.key, status, headers)
        self._send(self._head)

    def put_body(self, data: bytes) -> None:
        """Send a part of the body to the entry, and keep it until it is acknowledged."""
        self._reply += data
        for start in range(0, len(data), PART_BYTES):
            part = data[start : start + PART_BYTES]
            self._send(ReplyBody(*self.key, self._sent_bytes, part, last=False))
            self._sent_bytes += len(part)
        self._update_pause()

    def finish(self) -> None:
        """Send the end of the reply to the entry."""
        self.is_whole = True
        self.kept_bytes = len(self._reply)
        self._send(ReplyBody(*self.key, self._sent_bytes, b"", last=True))
        self._on_end(self)

    def refuse(self, refused: Refused) -> None:
        """Keep the refusal for the agent to send."""
        self.refused = refused
        self._on_end(self)

    # the entry

    def take_ack(self, offset: int) -> None:
        """Drop acknowledged bytes, unless the reply is kept for a retry.

        :param offset: bytes of the body that the entry has; one more acknowledges the end.
        """
        self._acked_offset = max(self._acked_offset, offset)
        if not self.is_at_most_once or self._sent_bytes > MAX_KEPT_REPLY_BYTES:
            drop = min(self._acked_offset, self._sent_bytes) - self._reply_start
            if drop > 0:
                del self._reply[:drop]
                self._reply_start += drop
        self._update_pause()

    def resume(self, link: Link, offset: int) -> bool:
        """Send the reply from *offset* over *link*; return ``False`` when it is no longer kept."""
        if offset < self._reply_start:
            return False
        self.link = link
        self._acked_offset = max(self._acked_offset, offset)
        if self._head is not None:
            self._send(self._head)
            rest = bytes(self._reply[offset - self._reply_start :])
            for start in range(0, len(rest), PART_BYTES):
                part = rest[start : start + PART_BYTES]
                self._send(ReplyBody(*self.key, offset + start, part, last=False))
            if self.is_whole:
                self._send(ReplyBody(*self.key, self._sent_bytes, b"", last=True))
        self._update_pause()
        return True

    def detach(self) -> None:
        """Send nothing more; keep the reply up to a limit."""
        self.link = None
        self._update_pause()

    def _update_pause(self) -> None:
        slow = self.link is not None and self._sent_bytes - self._acked_offset > REPLY_WINDOW_BYTES
        if self.link is None:
            # without an entry the call is never paused; bytes beyond the limit are dropped
            excess = len(self._reply) - MAX_KEPT_REPLY_BYTES
            if excess > 0:
                del self._reply[:excess]
                self._reply_start += excess
        if slow != self._is_paused and isinstance(self.running, PausableHandle):
            self._is_paused = slow
            self.running.pace(slow=slow)

    def _send(self, message: Message) -> None:
        if self.link is not None:
            self.link.send(message)
