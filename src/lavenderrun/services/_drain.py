"""Waiting for work in hand when a service stops."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from twisted.internet.defer import Deferred

from lavenderrun.kernel import Clock, Timer

DRAIN_LIMIT = timedelta(seconds=120)


class Drain:
    """Fires once nothing is in hand any more, at the latest after a limit.

    :param is_busy: whether work is in hand.
    :param limit: ``None`` where those who give the work bound the wait.
    """

    def __init__(
        self,
        clock: Clock,
        is_busy: Callable[[], bool],
        limit: timedelta | None = DRAIN_LIMIT,
    ) -> None:
        self._clock = clock
        self._is_busy = is_busy
        self._limit_after = limit
        self._done: Deferred[None] | None = None
        self._limit: Timer | None = None

    @property
    def is_draining(self) -> bool:
        """Whether the service is stopping."""
        return self._done is not None

    def start(self) -> Deferred[None]:
        """Begin to wait."""
        done = self._done = Deferred()
        if self._limit_after is not None:
            self._limit = self._clock.call_later(self._limit_after, self._end)
        self.finish_if_idle()
        return done

    def finish_if_idle(self) -> None:
        """Look whether work is still in hand; call it whenever some ends."""
        if self._done is not None and not self._is_busy():
            self._end()

    def _end(self) -> None:
        assert self._done is not None
        if self._limit is not None:
            self._limit.cancel()
        if not self._done.called:
            self._done.callback(None)
