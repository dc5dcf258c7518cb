"""Waits for unfinished work when a service stops."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred

from lavenderrun.kernel import Clock, Timer

DRAIN_LIMIT = timedelta(seconds=120)


class Drain:
    """Waits until a stopping service has no unfinished work, or until a time limit.

    :param is_busy: returns whether work is unfinished.
    :param limit: longest wait; ``None`` where the submitter of the work bounds the wait.
    """

    def __init__(
        self,
        clock: Clock,
        is_busy: Callable[[], bool],
        limit: timedelta | None = DRAIN_LIMIT,
    ) -> None:
        self._clock = clock
        self._is_busy = is_busy
        self._max_wait = limit
        self._done: Deferred[None] | None = None
        self._limit_timer: Timer | None = None

    @property
    def is_draining(self) -> bool:
        """Whether the service is stopping."""
        return self._done is not None

    def start(self) -> Deferred[None]:
        """Start to wait; the result fires when the work is finished or the limit has passed."""
        done = self._done = Deferred()
        if self._max_wait is not None:
            self._limit_timer = self._clock.call_later(self._max_wait, self._finish)
        self.finish_if_idle()
        return done

    def finish_if_idle(self) -> None:
        """End the wait if no work is left; call it whenever a piece of work ends."""
        if self._done is not None and not self._is_busy():
            self._finish()

    def _finish(self) -> None:
        assert self._done is not None
        if self._limit_timer is not None:
            self._limit_timer.cancel()
        if not self._done.called:
            self._done.callback(None)
