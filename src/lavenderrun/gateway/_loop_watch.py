"""Service ``loop``: after a late turn of the event loop, sockets are read before calls are sent.

What callers and servers did during the delay lies unread then: a caller may be gone whose call a
timer or an earlier event is about to send.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, ClassVar, Final

from lavenderrun.gateway._log import log, to_milliseconds
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import LATE_SENDS, Stats
from lavenderrun.kernel import Clock, Kernel, Timer

BEAT_INTERVAL: Final = timedelta(milliseconds=50)
"""Interval of the timer that shows that the loop turns."""

MAX_BEAT_AGE: Final = timedelta(milliseconds=100)
"""Age of the last beat from which the loop is late. Each delay of that length is noticed, and none
shorter than the difference to ``BEAT_INTERVAL``."""

NO_DELAY: Final = timedelta(0)


class LoopWatch:
    """Notices late turns by the clock and holds back sends until sockets have been read."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, clock: Clock, stats: Stats | None = None) -> None:
        self._clock = clock
        self._stats = stats
        self._beat_at: datetime | None = None
        self._timer: Timer | None = None
        self._is_late = False
        self._late_by = NO_DELAY
        self._deferred: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()

    def start(self) -> None:
        """Start to watch the loop."""
        self._beat()

    def stop(self) -> None:
        """Stop watching the loop."""
        self._beat_at = None
        if self._timer is not None:
            self._timer.cancel()

    def is_late(self) -> bool:
        """Tell whether sockets are to be read before anything is sent."""
        self._check()
        return self._is_late

    def run_after_reads(self, call: Callable[..., None], *args: Any) -> None:
        """Run *call* now, or after the next reads when the loop is late."""
        if not self.is_late():
            call(*args)
            return
        if self._stats is not None:
            self._stats.count(LATE_SENDS)
        self._deferred.append((call, args))

    def _beat(self) -> None:
        self._check()
        self._beat_at = self._clock.now()
        self._timer = self._clock.call_later(BEAT_INTERVAL, self._beat)

    def _check(self) -> None:
        if self._is_late or self._beat_at is None:
            return
        age = self._clock.now() - self._beat_at
        if age < MAX_BEAT_AGE:
            return
        self._is_late, self._late_by = True, age - BEAT_INTERVAL
        # a timer that is set while events are handled runs before the next reads, a second one
        # set by it runs after them
        self._clock.call_later(NO_DELAY, self._clock.call_later, NO_DELAY, self._run_deferred)

    def _run_deferred(self) -> None:
        """Run what was held back, once: a loop that is always late still sends."""
        self._is_late = False
        if self._beat_at is not None:
            self._beat_at = self._clock.now()
        if not self._deferred:
            return
        log(
            "loop:late",
            "loop: turn was late, sockets were read before calls are sent",
            late_ms=to_milliseconds(self._late_by),
            sends=len(self._deferred),
        )
        deferred, self._deferred = self._deferred, deque()
        while deferred:
            call, args = deferred.popleft()
            try:
                call(*args)
            except Exception:
                self._deferred.extendleft(reversed(deferred))
                self._clock.call_later(NO_DELAY, self._run_deferred)
                raise


@GATEWAY_SERVICES.register("loop")
def make_loop_watch(kernel: Kernel) -> LoopWatch:
    """Make the service ``loop``."""
    return LoopWatch(kernel.clock, kernel.find("stats", Stats))
