"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

import re
from typing import Final

EVENT_END: Final = re.compile(rb"\n(?:\n|\r\n|\r(?=[^\n]))|\r\r\n?")
"""Two ends of lines: CR, LF or CRLF. A CR after an LF may still be half of a CRLF."""

LONGEST_EVENT_END: Final = 4

MAX_EVENT_BYTES: Final = 1 << 20
"""Largest event: some hundred tokens take a few kilobytes."""

MAX_EVENT_PIECES: Final = 1 << 14
"""Largest number of pieces in which an event may arrive: each costs processor time."""

DATA_LINE: Final = re.compile(rb"data:(?<![^\r\n]data:)")
ID_LINE: Final = re.compile(rb"id:(?<![^\r\n]id:)[ ]?([^\r\n]*)")
"""Fields at the beginning of a line. A pattern that begins with its name is found several times as
fast."""


class EventSplitter:
    """Returns whole events only and keeps the id of the last one.

    :ivar last_id: id of the last whole event, ``None`` before the first.
    :ivar has_repeated: whether the events that followed a break began with one from before it.
    :ivar has_progressed: whether the last call of :meth:`add` completed an event with data, and not
        only comments, which keep a connection open.
    """

    def __init__(self) -> None:
        self._partial = bytearray()
        self._pieces = 0
        self.has_progressed = False
        self.last_id: str | None = None
        self.has_repeated = False
        self._is_first_after_break = False

    @property
    def is_oversized(self) -> bool:
        """Whether the unfinished event has more bytes or pieces than an event may have."""
        return len(self._partial) > MAX_EVENT_BYTES or self._pieces > MAX_EVENT_PIECES

    @property
    def partial_bytes(self) -> int:
        """Bytes of the unfinished event."""
        return len(self._partial)

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an unfinished event is buffered."""
        return not self._partial

    def add(self, data: bytes) -> bytes:
        """Return the whole events that *data* completes and buffer the rest."""
        # what was searched before holds no end, but may hold the beginning of one
        start = max(0, len(self._partial) - LONGEST_EVENT_END)
        self._partial += data
        self._pieces += 1
        end = 0
        for match in EVENT_END.finditer(self._partial, start):
            end = match.end()
        whole = bytes(self._partial[:end])
        del self._partial[:end]
        if end:
            self._pieces = 0
        self.has_progressed = DATA_LINE.search(whole) is not None
        ids = [found.decode("latin-1") for found in ID_LINE.findall(whole)]
        if not ids:
            return whole
        if self._is_first_after_break and _is_repeated(ids[0], self.last_id):
            self.has_repeated = True
            return b""
        self._is_first_after_break = False
        self.last_id = ids[-1]
        return whole

    def note_break(self) -> None:
        """Record that the events to come are those of another answer, which goes on with these."""
        self.drop_partial_event()
        self.has_repeated = False
        self._is_first_after_break = True

    def drop_partial_event(self) -> None:
        """Drop the buffered part of an event that will not be completed."""
        self._partial.clear()
        self._pieces = 0


def _is_repeated(event_id: str, last_id: str | None) -> bool:
    if last_id is None or not (event_id.isdecimal() and last_id.isdecimal()):
        return event_id == last_id
    return int(event_id) <= int(last_id)
