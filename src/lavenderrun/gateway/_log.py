"""Log lines as JSON on standard output, limited in rate and never blocking."""

from __future__ import annotations

import json
import os
import select
from collections.abc import Mapping
from datetime import timedelta
from typing import Any, Final

from eliot import add_destinations, log_message

from lavenderrun.dispatch import LineSelection
from lavenderrun.gateway._log_traits import find_traits
from lavenderrun.kernel import Clock

MILLISECOND: Final = timedelta(milliseconds=1)

MAX_LINES_PER_SECOND: Final = 400
"""Sustained rate of lines; writing the lines of about ten calls takes a millisecond."""

MAX_LINES_AT_ONCE: Final = 2000
"""Lines that may be written at once: the failures of one second at full load."""

MAX_LINE_BYTES: Final = 4096
"""Longest line, with its newline; a write of up to 4096 bytes to a pipe is atomic."""


MAX_LOGGED_IDS: Final = 20
"""Ids of one kind in a line: a caller may send any number, and a line that is too long is cut."""


def log(kind: str, text: str, **fields: Any) -> None:
    """Write one log line.

    :param kind: component and event, as ``component:event``.
    :param text: a short sentence that begins with the component.
    :param fields: further fields of the line.
    """
    log_message(kind, text=text, **fields)


def to_milliseconds(time: timedelta) -> int:
    """Return *time* in milliseconds, rounded, for a field of a log line."""
    return round(time / MILLISECOND)


class BoundedLog:
    """Writes log lines to a file descriptor; drops and counts those that exceed the rate or block.

    :class:`LineSelection` chooses the lines that are dropped. A line of a call that lacks earlier
    ones says how many.

    :param descriptor: the file descriptor to write to.
    :ivar dropped: lines dropped since the start.
    """

    def __init__(self, clock: Clock, descriptor: int) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._selection = LineSelection(MAX_LINES_PER_SECOND, MAX_LINES_AT_ONCE, clock.now())
        self.dropped = 0
        self._unreported = 0

    def open(self) -> None:
        """Receive all log lines of this process from now on."""
        add_destinations(self.write)

    def write(self, message: dict[str, Any]) -> None:
        """Write one line, or drop it when the rate is exceeded or the reader is slow."""
        traits = find_traits(message)
        if not self._selection.take(traits, self._clock.now()):
            self._count_dropped()
        else:
            missing = self._selection.count_dropped(traits.call)
            line = {**message, "call_lines_dropped": missing} if missing else message
            if not (self._report_dropped(line) and self._write_line(line)):
                self._selection.note_dropped(traits)
                self._count_dropped()
        self._selection.forget(traits)

    def _count_dropped(self) -> None:
        self.dropped += 1
        self._unreported += 1

    def _report_dropped(self, before: Mapping[str, Any]) -> bool:
        """Write how many lines were dropped, with the time of the line that follows."""
        if not self._unreported:
            return True
        notice = {
            "timestamp": before.get("timestamp", self._clock.now().timestamp()),
            "message_type": "log:dropped",
            "text": "log: lines dropped",
            "n": self._unreported,
        }
        if not self._write_line(notice):
            return False
        self._unreported = 0
        return True

    def _write_line(self, message: Mapping[str, Any]) -> bool:
        line = json.dumps(message, default=str, separators=(",", ":")).encode()[
            : MAX_LINE_BYTES - 1
        ]
        if not self._poll.poll(0):
            return False
        try:
            os.write(self._descriptor, line + b"\n")
        except OSError:
            # the reader is gone, so this can't be logged
            return False
        return True
