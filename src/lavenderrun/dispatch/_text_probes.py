"""Lets single requests with a refused text through, to find out whether it crashes servers."""

from __future__ import annotations

from datetime import UTC, datetime, timedelta
from typing import Final

from lavenderrun.dispatch._crash_evidence import CRASH_LIMIT, QUARANTINE_TIME
from lavenderrun.types import RequestId

FIRST_PROBE_PAUSE: Final = timedelta(seconds=60)
"""Time from the crash that identifies a text to its first probe; it doubles with each crash."""

MAX_PROBE_TIME: Final = timedelta(seconds=60)
"""Time after which a probe that has neither an answer nor a crash blocks others no more."""


def find_probe_pause(crashes: int) -> timedelta:
    """Return the time from the last of some separate crashes with a text to its next probe."""
    # an exponent beyond this one is cut off by the quarantine in any case
    doublings = min(max(0, crashes - CRASH_LIMIT), 10)
    return min(FIRST_PROBE_PAUSE * (1 << doublings), QUARANTINE_TIME)


class TextProbes:
    """Keeps to one probe at a time."""

    def __init__(self) -> None:
        self._running: RequestId | None = None
        self._began = datetime.min.replace(tzinfo=UTC)

    def begin(self, request: RequestId, due: datetime, now: datetime) -> bool:
        """Tell whether *request* may run as the probe; one that runs may be sent again.

        :param due: when the text may be probed next.
        """
        if self._running == request:
            return True
        if now < due or (self._running is not None and now - self._began < MAX_PROBE_TIME):
            return False
        self._running, self._began = request, now
        return True

    def end(self, request: RequestId) -> None:
        """Note that *request* began to be answered, or crashed a server."""
        if self._running == request:
            self._running = None
