"""One call at its agent: the body as it comes in, the reply as it goes out."""

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
WINDOW_BYTES = 128 << 10
"""Reply bytes on their way to the entry before the backend server is held back."""
KEPT_BYTES = 64 << 10
"""Reply bytes of a call that may not be repeated, kept for a caller's next try."""


class JobState(Enum):
    """Where a call is at its agent."""

    RECEIVING = "receiving"
    QUEUED = "queued"
    RUNNING = "running"
    ENDED = "ended"


class PlainJob:
    """A call; takes the reply from the backend server as its ``ReplySink``.

    :ivar kept_bytes: size of the reply when the call ended.
    :param ended: called once at the reply's end or its refusal.
    """

    def __init__(self, link: Link, call: Call, ended: Callable[[PlainJob], None]) -> None:
        self.call = call
        self.key: JobKey = (call.request, call.attempt)
        self.state = JobState.RECEIVING if call.more else JobState.QUEUED
        self.link: Link | None = link
        self.running: BackendTask | None = None
        self.refused: Refused | None = None
        self.is_whole = False
        self.kept_bytes = 0
        self._ended = ended
        self._body = [call.body]
        self._size = len(call.body)
        self._head: ReplyHead | None = None
        self._reply = bytearray()
        self._base = 0
        self._sent = 0
        self._acked = 0
        self._slow = False

    @property
    def is_once(self) -> bool:
        """Whether the call may not be repeated."""
        return self.call.repeatability is Repeatability.AT_MOST_ONCE

    @property
    def is_acked(self) -> bool:
        """Whether the entry holds the whole reply."""
        return self.is_whole and self._acked > self._sent

    def take_body(self, part: CallBody) -> bool:
        """Take a part of the call's body; return whether the body is whole now."""
        if self.state is not JobState.RECEIVING or part.offset != self._size:
            return False
        self._body.append(part.data)
        self._size += len(part.data)
        if part.last:
            self.state = JobState.QUEUED
        return part.last

    @property
    def body_bytes(self) -> int:
        """Bytes of the call's body that the agent holds."""
        return self._size if self._body else 0

    def take_whole_body(self) -> bytes:
        """Return the whole body and hold it no longer."""
        body = b"".join(self._body)
        self._body.clear()
        return body

    # the reply, from the backend server

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Send status and headers on."""
        self._head = ReplyHead(*self.key, status, headers)
        self._send(self._head)

    def put_body(self, data: bytes) -> None:
        """Send a part of the body on and keep it until the entry has it."""
        self._reply += data
        for start in range(0, len(data), PART_BYTES):
            part = data[start : start + PART_BYTES]
            self._send(ReplyBody(*self.key, self._sent, part, last=False))
            self._sent += len(part)
        self._pace()

    def finish(self) -> None:
        """Send the end on."""
        self.is_whole = True
        self.kept_bytes = len(self._reply)
        self._send(ReplyBody(*self.key, self._sent, b"", last=True))
        self._ended(self)

    def refuse(self, refused: Refused) -> None:
        """Keep the refusal for the agent to send."""
        self.refused = refused
        self._ended(self)

    # the entry

    def take_ack(self, offset: int) -> None:
        """Drop what the entry holds."""
        self._acked = max(self._acked, offset)
        if not self.is_once or self._sent > KEPT_BYTES:
            drop = min(self._acked, self._sent) - self._base
            if drop > 0:
                del self._reply[:drop]
                self._base += drop
        self._pace()

    def resume(self, link: Link, offset: int) -> bool:
        """Send all from *offset* on over *link*; return ``False`` when it is gone."""
        if offset < self._base:
            return False
        self.link = link
        self._acked = max(self._acked, offset)
        if self._head is not None:
            self._send(self._head)
            rest = bytes(self._reply[offset - self._base :])
            for start in range(0, len(rest), PART_BYTES):
                part = rest[start : start + PART_BYTES]
                self._send(ReplyBody(*self.key, offset + start, part, last=False))
            if self.is_whole:
                self._send(ReplyBody(*self.key, self._sent, b"", last=True))
        self._pace()
        return True

    def detach(self) -> None:
        """Send nothing more; the reply is kept as far as it may be."""
        self.link = None
        self._pace()

    def _pace(self) -> None:
        slow = self.link is not None and self._sent - self._acked > WINDOW_BYTES
        if self.link is None:
            # no one reads: a reply that is too large to keep is let through and dropped
            excess = len(self._reply) - KEPT_BYTES
            if excess > 0:
                del self._reply[:excess]
                self._base += excess
        if slow != self._slow and isinstance(self.running, PausableHandle):
            self._slow = slow
            self.running.pace(slow=slow)

    def _send(self, message: Message) -> None:
        if self.link is not None:
            self.link.send(message)
