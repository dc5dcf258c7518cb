"""Service ``bounds``: the limits that the deployment sets, which may change while it runs."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.kernel import Kernel
from lavenderrun.types import GatewayBounds


class BoundsService:
    """Holds the bounds in force.

    :ivar current: the bounds of the settings as they were last read.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self, kernel: Kernel) -> None:
        self.current: GatewayBounds = kernel.settings.bounds
        self._watchers: list[Callable[[GatewayBounds], None]] = []

    def start(self) -> None:
        """Do nothing: the bounds are in force from the beginning."""

    def stop(self) -> None:
        """Do nothing: the bounds stay in force until the end."""

    def watch(self, watcher: Callable[[GatewayBounds], None]) -> None:
        """Call *watcher* with the current bounds, and with others when they change."""
        self._watchers.append(watcher)
        watcher(self.current)

    def apply(self, bounds: GatewayBounds) -> None:
        """Put other bounds in force."""
        if bounds == self.current:
            return
        self.current = bounds
        for watcher in self._watchers:
            watcher(bounds)


@GATEWAY_SERVICES.register("bounds")
def make_bounds(kernel: Kernel) -> BoundsService:
    """Make the service ``bounds``."""
    return BoundsService(kernel)
