"""Service ``departure``: graceful shutdown that answers every call before the process ends."""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar, Final

from lavenderrun.dispatch import GracePeriod
from lavenderrun.gateway._bounds import BoundsService
from lavenderrun.gateway._callers import CallersService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.gateway._suspension import SuspensionService
from lavenderrun.kernel import Kernel, sleep

CLOSE_IDLE_AFTER: Final = timedelta(seconds=2.6)
"""When idle connections are closed; by then the load balancer has removed this host, after two
failed readiness checks."""

MIN_DURATION: Final = timedelta(seconds=3.2)
"""Shortest shutdown; serves connections that arrive before the load balancer removes this host."""

MIN_WRITE_TIME: Final = timedelta(milliseconds=100)
"""Shortest time in which the last answers are written, also after a suspension of the host."""

LAST_READ_TIME: Final = timedelta(milliseconds=300)
"""Time in which requests on the last accepted connections are read and refused."""

CHECK_INTERVAL: Final = timedelta(milliseconds=50)


class DepartureService:
    """Delays the shutdown until calls have ended; starts last, so it stops first."""

    needs: ClassVar[tuple[str, ...]] = ("bounds", "callers", "pages", "wakes")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._bounds = kernel.find("bounds", BoundsService)
        self._router = kernel.find("router", GatewayRouter)
        self._callers = kernel.find("callers", CallersService)
        self._suspension = kernel.find("wakes", SuspensionService)
        self._began = 0.0

    def start(self) -> None:
        """Do nothing; the service acts only at shutdown."""

    async def stop(self) -> None:
        """Report not ready, let running calls finish, and answer the others in time."""
        self._began = self._suspension.read_boot_time()
        self._router.leave(self._find_grace, self._find_elapsed)
        log(
            "departure:leaving",
            "departure: not ready, finishing running calls",
            running=self._router.running_count,
        )
        await self._finish_calls()
        self._router.answer_remaining()
        await self._write_answers()
        log("departure:done", "departure: shutdown complete", open=len(self._callers.channels))

    async def _finish_calls(self) -> None:
        idle_closed = False
        while True:
            elapsed = self._find_elapsed()
            if elapsed >= CLOSE_IDLE_AFTER and not idle_closed:
                idle_closed = True
                self._callers.close_idle()
            if elapsed >= MIN_DURATION and not self._is_busy():
                return
            if elapsed >= self._find_grace().answers_at:
                log(
                    "departure:cut",
                    "departure: grace period is over",
                    running=self._router.running_count,
                )
                return
            self._router.refuse_late()
            await sleep(self._clock, CHECK_INTERVAL)

    def _is_busy(self) -> bool:
        return bool(self._router.running_count) or self._callers.is_reading

    async def _write_answers(self) -> None:
        self._callers.stop_listening()
        left = max(timedelta(0), self._find_grace().exits_at - self._find_elapsed())
        await sleep(self._clock, min(LAST_READ_TIME, left / 2))
        self._callers.refuse_unread()
        self._callers.close_idle()
        until = max(self._find_grace().exits_at, self._find_elapsed() + MIN_WRITE_TIME)
        while self._callers.channels and self._find_elapsed() < until:
            await sleep(self._clock, CHECK_INTERVAL)

    def _find_grace(self) -> GracePeriod:
        # the bounds may change while the host stops
        return GracePeriod(self._bounds.current.grace)

    def _find_elapsed(self) -> timedelta:
        # the clock of the timers stands still while the host is suspended, the grace period doesn't
        return timedelta(seconds=self._suspension.read_boot_time() - self._began)


@GATEWAY_SERVICES.register("departure")
def make_departure(kernel: Kernel) -> DepartureService:
    """Make the service ``departure``."""
    return DepartureService(kernel)
