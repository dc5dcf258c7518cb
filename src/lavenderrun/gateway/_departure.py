"""Service ``departure``: graceful shutdown that lets running calls finish."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar, Final

from lavenderrun.gateway._callers import CallersService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.kernel import Kernel, sleep

CLOSE_IDLE_AFTER: Final = timedelta(seconds=2.6)
"""When idle connections are closed; by then the load balancer has removed this host, after two
failed readiness checks."""

MIN_DURATION: Final = timedelta(seconds=3.2)
"""Shortest shutdown; serves connections that arrive before the load balancer removes this host."""

EXIT_MARGIN: Final = timedelta(milliseconds=600)
"""Part of the grace period that is kept for the exit of the process."""

CHECK_INTERVAL: Final = timedelta(milliseconds=50)


class DepartureService:
    """Delays the shutdown until calls have ended; starts last, so it stops first."""

    needs: ClassVar[tuple[str, ...]] = ("callers", "pages", "wakes")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._grace: timedelta = kernel.settings.bounds.grace
        self._router = kernel.find("router", GatewayRouter)
        self._callers = kernel.find("callers", CallersService)

    def start(self) -> None:
        """Do nothing; the service acts only at shutdown."""

    async def stop(self) -> None:
        """Report not ready, let running calls finish, and return within the grace period."""
        started = self._clock.now()
        self._router.leave()
        log(
            "departure:leaving",
            "departure: not ready, finishing running calls",
            running=self._router.running_count,
        )
        idle_closed = False
        while True:
            elapsed = self._clock.now() - started
            if elapsed >= CLOSE_IDLE_AFTER and not idle_closed:
                idle_closed = True
                self._callers.close_idle()
            if elapsed >= MIN_DURATION and not self._router.running_count:
                break
            if elapsed >= self._grace - EXIT_MARGIN:
                log(
                    "departure:cut",
                    "departure: grace period is over",
                    running=self._router.running_count,
                )
                break
            await sleep(self._clock, CHECK_INTERVAL)
        log("departure:done", "departure: shutdown complete", running=self._router.running_count)


@GATEWAY_SERVICES.register("departure")
def make_departure(kernel: Kernel) -> DepartureService:
    """Make the service ``departure``."""
    return DepartureService(kernel)
