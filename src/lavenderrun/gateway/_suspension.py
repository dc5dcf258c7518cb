"""Service ``wakes``: detects that the host was suspended and refreshes what it knows."""

from __future__ import annotations

import time
from collections.abc import Callable
from datetime import datetime, timedelta
from typing import ClassVar, Final

from lavenderrun.dispatch import SuspensionSeries
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log, to_milliseconds
from lavenderrun.gateway._members import MembersService
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._stats import LOOP_LAG, Stats
from lavenderrun.kernel import Kernel, Timer

CHECK_INTERVAL: Final = timedelta(milliseconds=250)
"""Interval between two comparisons of the clocks."""

MIN_SUSPENSION: Final = timedelta(milliseconds=500)
"""Clock difference that counts as a suspension; a busy event loop stays below it."""


class SuspensionService:
    """Detects suspensions: CLOCK_BOOTTIME advances during them, the clock of the timers doesn't.

    After a suspension it closes idle connections and repeats pending calls to the store, as their
    connections may be dead. A loop that goes on to be late is busy, not suspended. It also measures
    the lag of the event loop.

    :ivar read_boot_time: returns the seconds since the host's start, suspensions included.
    """

    needs: ClassVar[tuple[str, ...]] = ("configuration", "members", "peers", "pool")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._stats = kernel.find("stats", Stats)
        self._pool = kernel.find("pool", ConnectionPool)
        self._followers = (
            kernel.find("configuration", ConfigurationService).follower,
            kernel.find("members", MembersService).follower,
            kernel.find("peers", PeersService).follower,
        )
        self._timer: Timer | None = None
        self._due: datetime = self._clock.now()
        self._boot_time = 0.0
        self._checked: datetime = self._clock.now()
        self._series = SuspensionSeries()
        self._watchers: list[Callable[[], None]] = []
        self.read_boot_time: Callable[[], float] = lambda: time.clock_gettime(time.CLOCK_BOOTTIME)

    def start(self) -> None:
        """Start to compare the clocks."""
        self._boot_time = self.read_boot_time()
        self._checked = self._clock.now()
        self._schedule_check()

    def watch(self, watcher: Callable[[], None]) -> None:
        """Call *watcher* after each suspension."""
        self._watchers.append(watcher)

    def stop(self) -> None:
        """Stop comparing the clocks."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_check(self) -> None:
        self._due = self._clock.now() + CHECK_INTERVAL
        self._timer = self._clock.call_later(CHECK_INTERVAL, self._check_regularly)

    def _check_regularly(self) -> None:
        self._stats.observe(LOOP_LAG, max(timedelta(0), self._clock.now() - self._due))
        self.check()
        self._schedule_check()

    def check(self) -> None:
        """Compare the clocks now, for an action that must not follow a suspension unnoticed."""
        boot_time, now = self.read_boot_time(), self._clock.now()
        elapsed, passed = now - self._checked, timedelta(seconds=boot_time - self._boot_time)
        suspended = passed - min(elapsed, CHECK_INTERVAL)
        self._boot_time, self._checked = boot_time, now
        if suspended <= MIN_SUSPENSION:
            self._series.note_run(elapsed)
            return
        is_host_suspended = passed - elapsed > MIN_SUSPENSION
        # restarted in each late turn, the followers would never read an answer
        if not self._series.note_late_turn() and not is_host_suspended:
            return
        log("wakes:woken", "wakes: host was suspended", gap_ms=to_milliseconds(suspended))
        self._pool.close_idle()
        for follower in self._followers:
            follower.restart()
        for watcher in self._watchers:
            watcher()


@GATEWAY_SERVICES.register("wakes")
def make_suspension(kernel: Kernel) -> SuspensionService:
    """Make the service ``wakes``."""
    return SuspensionService(kernel)
