"""Circuit breaker of an agent for a backend server that is down."""

from __future__ import annotations

from datetime import datetime, timedelta

from lavenderrun.kernel import Clock
from lavenderrun.types import BackendCrashError, BackendDownError, Outcome, Refusal, Refused, Step

OPEN_TIME = timedelta(milliseconds=500)
"""Time that new work is refused before one request is let in as a trial."""
TRIAL_TIME = timedelta(seconds=2)
"""Time that the trial request has to show that the backend server works again."""


class BackendCircuitBreaker:
    """Refuses new work after the backend server crashed or could not be reached.

    After each :data:`OPEN_TIME` one request is let in as a trial and the others are still refused,
    so that a backend server that stays down wastes only one prefill in each such time.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open_until: datetime | None = None

    def should_reject(self) -> bool:
        """Return whether to refuse new work now; ``False`` while it is down lets the trial in."""
        if self._open_until is None:
            return False
        now = self._clock.now()
        if now < self._open_until:
            return True
        self._open_until = now + TRIAL_TIME
        return False

    def record_failure(self, error: BaseException | None) -> None:
        """Refuse new work from now on if *error* says that the backend server is down."""
        if isinstance(error, BackendCrashError | BackendDownError):
            self._open_until = self._clock.now() + OPEN_TIME

    def record_success(self) -> None:
        """Accept new work again: the backend server works."""
        self._open_until = None

    def make_refusal(self, step: Step) -> Refused:
        """Return the refusal of new work at *step*."""
        return Refused(Refusal.BACKEND_LOST, Outcome.NOT_RUN, step, retry_after=OPEN_TIME)
