"""What can still end when a host was ordered to stop, and when the rest is answered."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from typing import Final

ADMISSION_TIME: Final = timedelta(seconds=3)
"""Time after the order to stop during which calls are admitted: connections still arrive until the
load balancer has removed the host."""

ANSWER_SHARE: Final = 1 / 8
"""Share of the grace period at its end in which no call runs any more."""

MIN_ANSWER_TIME: Final = timedelta(milliseconds=300)
"""Shortest time in which answers are written and the process ends."""

MAX_ANSWER_TIME: Final = timedelta(seconds=1)
"""Longest time in which answers are written and the process ends."""

EXIT_SHARE: Final = 0.5
"""Share of the time for answers that is kept for the exit of the process."""


MIN_EXIT_TIME: Final = timedelta(milliseconds=350)
"""Shortest time that is kept for the exit of the process."""


@dataclass(frozen=True)
class GracePeriod:
    """The time between the order to stop and the end of the process by force.

    All times are counted from the order to stop, suspensions of the host included.

    :param length: time after which the process is killed.
    """

    length: timedelta

    @property
    def answers_at(self) -> timedelta:
        """When the calls that still run are answered."""
        return max(timedelta(0), self.length - self._answer_time)

    @property
    def exits_at(self) -> timedelta:
        """When the process ends although answers may not have been written."""
        exit_time = max(self._answer_time * EXIT_SHARE, MIN_EXIT_TIME)
        return max(self.answers_at, self.length - exit_time)

    @property
    def _answer_time(self) -> timedelta:
        return min(max(self.length * ANSWER_SHARE, MIN_ANSWER_TIME), MAX_ANSWER_TIME)

    def may_admit(self, elapsed: timedelta, duration: timedelta, time_left: timedelta) -> bool:
        """Tell whether a new call is admitted; see :meth:`can_end` for the parameters."""
        return elapsed <= ADMISSION_TIME and self.can_end(elapsed, duration, time_left)

    def can_end(self, elapsed: timedelta, duration: timedelta, time_left: timedelta) -> bool:
        """Tell whether a call that is sent now can be expected to end.

        :param elapsed: time since the order to stop.
        :param duration: time that the call is expected to take.
        :param time_left: time until its deadline, at which it is answered in any case.
        """
        return elapsed + min(duration, time_left) <= self.answers_at
