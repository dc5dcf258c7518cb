"""Service ``wakes``: tells the time that this process ran from the time of a suspension."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import ClassVar

from eliot import log_message

from lavenderrun.decisions import ALIVE_INTERVAL, RunTime
from lavenderrun.kernel import SERVICES, Clock, Kernel, Timer


class WakesService:
    """Notes at regular intervals that the process runs; a late note ends a suspension.

    Every read notes it too, so that nothing is decided after a suspension before it is known.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._run_time = RunTime(clock.now())
        self._watchers: list[Callable[[], None]] = []
        self._timer: Timer | None = None

    def start(self) -> None:
        """Begin to note that the process runs."""
        self._run_time = RunTime(self._clock.now())
        self._note_regularly()

    def stop(self) -> None:
        """Stop noting it."""
        if self._timer is not None:
            self._timer.cancel()

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call *watcher* after each suspension."""
        self._watchers.append(watcher)

    def measure_run_time(self) -> timedelta:
        """Return the time that this process ran, without suspensions."""
        self._note_alive()
        return self._run_time.measure()

    def is_settling(self) -> bool:
        """Tell whether what came during a suspension may be unread: open links may be closed."""
        self._note_alive()
        return self._run_time.is_settling()

    def has_unread(self) -> bool:
        """Tell whether this process was late, so that what peers sent may not be read yet."""
        self._note_alive()
        return self._run_time.has_unread()

    def _note_regularly(self) -> None:
        self._timer = self._clock.call_later(ALIVE_INTERVAL, self._note_regularly)
        self._note_alive()

    def _note_alive(self) -> None:
        suspended = self._run_time.note_alive(self._clock.now())
        if not suspended:
            return
        log_message(
            "wakes:woken",
            text="wakes: process was suspended",
            gap_ms=round(suspended / timedelta(milliseconds=1)),
        )
        for watcher in self._watchers:
            watcher()


@SERVICES.register("wakes")
def make_wakes(kernel: Kernel) -> WakesService:
    """Make the service ``wakes``."""
    return WakesService(kernel.clock)
