"""Service ``departure``: a planned stop that cuts no call."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar, Final

from lavenderrun.gateway._callers import CallersService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.kernel import Kernel, sleep

IDLE_AFTER: Final = timedelta(seconds=2.6)
"""When idle connections are closed: the balancer has taken this host out after two misses."""

LEAST: Final = timedelta(seconds=3.2)
"""Shortest stop: connections given before the balancer noticed are still served."""

SPARE: Final = timedelta(milliseconds=600)
"""Time kept of the grace to end the process itself."""

LOOK_EVERY: Final = timedelta(milliseconds=50)


class DepartureService:
    """Starts last, so it stops first: the rest goes on until calls have ended."""

    needs: ClassVar[tuple[str, ...]] = ("callers", "pages", "wakes")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._grace: timedelta = kernel.settings.bounds.grace
        self._router = kernel.find("router", GatewayRouter)
        self._callers = kernel.find("callers", CallersService)

    def start(self) -> None:
        """Nothing to begin."""

    async def stop(self) -> None:
        """Take no new connections, serve what runs, and end inside the grace."""
        began = self._clock.now()
        self._router.leave()
        log(
            "departure:leaving",
            "departure: not ready, serving what runs",
            running=self._router.running_count,
        )
        closed = False
        while True:
            passed = self._clock.now() - began
            if passed >= IDLE_AFTER and not closed:
                closed = True
                self._callers.close_idle()
            if passed >= LEAST and not self._router.running_count:
                break
            if passed >= self._grace - SPARE:
                log("departure:cut", "departure: grace is over", running=self._router.running_count)
                break
            await sleep(self._clock, LOOK_EVERY)
        log("departure:done", "departure: ends", running=self._router.running_count)


@GATEWAY_SERVICES.register("departure")
def make_departure(kernel: Kernel) -> DepartureService:
    """Make the service."""
    return DepartureService(kernel)
