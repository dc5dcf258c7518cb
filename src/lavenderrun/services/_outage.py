"""What an agent remembers of a backend server that is down."""

from __future__ import annotations

from datetime import datetime, timedelta

from lavenderrun.kernel import Clock
from lavenderrun.types import BackendCrashError, BackendDownError, Outcome, Refusal, Refused, Step

PAUSE = timedelta(milliseconds=500)
TRIAL = timedelta(seconds=2)
"""Time that one request has to show that the backend server is back."""


class Outage:
    """Refuses new work after the backend server died or could not be reached.

    After each :data:`PAUSE` one request is let in as a trial; the others wait for its word, so that
    a backend server that is still down costs one prefill a pause and not many.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: datetime | None = None

    def turn_away(self) -> bool:
        """Return whether new work is refused now; a request that is let in may be the trial."""
        if self._until is None:
            return False
        now = self._clock.now()
        if now < self._until:
            return True
        self._until = now + TRIAL
        return False

    def note(self, error: BaseException | None) -> None:
        """Take a failure of the backend server."""
        if isinstance(error, BackendCrashError | BackendDownError):
            self._until = self._clock.now() + PAUSE

    def end(self) -> None:
        """Take a sign that the backend server works."""
        self._until = None

    def refuse(self, step: Step) -> Refused:
        """Return the refusal of new work."""
        return Refused(Refusal.BACKEND_LOST, Outcome.NOT_RUN, step, retry_after=PAUSE)
