"""Log lines: JSON on standard output, bounded in rate and never blocking."""

from __future__ import annotations

import json
import os
import select
from datetime import timedelta
from typing import Any, Final

from eliot import add_destinations, log_message

from lavenderrun.kernel import Clock

MILLISECOND: Final = timedelta(milliseconds=1)

LINES_PER_SECOND: Final = 400
"""Rate of lines that are written; about ten calls' worth of lines a millisecond of writing."""

LINES_BURST: Final = 2000
"""Lines that may come at once; the failures of a second at full load."""

LINE_MOST: Final = 4096
"""Bytes of a line; POSIX writes up to so many to a pipe at once or not at all."""


def log(kind: str, text: str, **fields: Any) -> None:
    """Write one line.

    :param kind: part and event, as ``part:event``.
    :param text: a short sentence that begins with the part.
    """
    log_message(kind, text=text, **fields)


def to_milliseconds(time: timedelta) -> int:
    """Return a time in whole milliseconds, as log lines give it."""
    return round(time / MILLISECOND)


class BoundedLog:
    """Writes lines to a descriptor while its reader keeps up; counts those it drops.

    :param descriptor: where lines go.
    """

    def __init__(self, clock: Clock, descriptor: int) -> None:
        self._clock = clock
        self._descriptor = descriptor
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)
        self._allowed = float(LINES_BURST)
        self._at = clock.now()
        self.dropped = 0
        self._untold = 0

    def open(self) -> None:
        """Take all lines of this process."""
        add_destinations(self.write)

    def write(self, message: dict[str, Any]) -> None:
        """Write one line or drop it."""
        if not (self._take() and self._tell_dropped() and self._send(message)):
            self.dropped += 1
            self._untold += 1

    def _tell_dropped(self) -> bool:
        if not self._untold:
            return True
        told = {"message_type": "log:dropped", "text": "log: lines dropped", "n": self._untold}
        if not self._send(told):
            return False
        self._untold = 0
        return True

    def _take(self) -> bool:
        now = self._clock.now()
        passed = (now - self._at).total_seconds()
        self._allowed = min(LINES_BURST, self._allowed + passed * LINES_PER_SECOND)
        self._at = now
        if self._allowed < 1:
            return False
        self._allowed -= 1
        return True

    def _send(self, message: dict[str, Any]) -> bool:
        line = json.dumps(message, default=str, separators=(",", ":")).encode()[: LINE_MOST - 1]
        if not self._poll.poll(0):
            return False
        try:
            os.write(self._descriptor, line + b"\n")
        except OSError:
            # the reader is gone; there is nowhere to tell it
            return False
        return True
