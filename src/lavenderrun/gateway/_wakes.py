"""Service ``wakes``: notices that the host was suspended and has everything asked anew."""

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

LOOK_EVERY: Final = timedelta(milliseconds=250)
"""How often the clocks are compared."""

GAP_LEAST: Final = timedelta(milliseconds=500)
"""A jump that is taken for a suspension; a busy loop stays below."""


class WakesService:
    """Compares the clock that counts suspended time with the one that does not."""

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
        self._boot = 0.0

    def start(self) -> None:
        """Begin to look."""
        self._boot = time.clock_gettime(time.CLOCK_BOOTTIME)
        self._plan()

    def stop(self) -> None:
        """Look no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _plan(self) -> None:
        self._due = self._clock.now() + LOOK_EVERY
        self._timer = self._clock.call_later(LOOK_EVERY, self._look)

    def _look(self) -> None:
        boot = time.clock_gettime(time.CLOCK_BOOTTIME)
        gap = timedelta(seconds=boot - self._boot) - LOOK_EVERY
        self._boot = boot
        self._stats.observe(LOOP_LAG, max(timedelta(0), self._clock.now() - self._due))
        if gap > GAP_LEAST:
            log(
                "wakes:woken",
                "wakes: host stood still",
                gap_ms=to_milliseconds(gap),
            )
            self._pool.close_idle()
            for follower in self._followers:
                follower.restart()
        self._plan()


@GATEWAY_SERVICES.register("wakes")
def make_wakes(kernel: Kernel) -> WakesService:
    """Make the service."""
    return WakesService(kernel)
