"""Service ``wakes``: detects that the host was suspended and refreshes what it knows."""

from __future__ import annotations

import time
from datetime import datetime, timedelta
from typing import ClassVar, Final

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
    connections may be dead. It also measures the lag of the event loop.
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

    def start(self) -> None:
        """Start to compare the clocks."""
        self._boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._schedule_check()

    def stop(self) -> None:
        """Stop comparing the clocks."""
        if self._timer is not None:
            self._timer.cancel()

    def _schedule_check(self) -> None:
        self._due = self._clock.now() + CHECK_INTERVAL
        self._timer = self._clock.call_later(CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        boot_time = time.clock_gettime(time.CLOCK_BOOTTIME)
        suspended = timedelta(seconds=boot_time - self._boot_time) - CHECK_INTERVAL
        self._boot_time = boot_time
        self._stats.observe(LOOP_LAG, max(timedelta(0), self._clock.now() - self._due))
        if suspended > MIN_SUSPENSION:
            log(
                "wakes:woken",
                "wakes: host was suspended",
                gap_ms=to_milliseconds(suspended),
            )
            self._pool.close_idle()
            for follower in self._followers:
                follower.restart()
        self._schedule_check()


@GATEWAY_SERVICES.register("wakes")
def make_suspension(kernel: Kernel) -> SuspensionService:
    """Make the service ``wakes``."""
    return SuspensionService(kernel)
