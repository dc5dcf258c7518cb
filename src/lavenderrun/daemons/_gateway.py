"""The gateway daemon: an entry that reads backend servers from the store and calls them."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any, Final

from lavenderrun.daemons._allocator import return_large_blocks
from lavenderrun.daemons._signals import run_until_signal
from lavenderrun.gateway import (
    GATEWAY_SERVICES,
    LINES_DROPPED,
    BoundedLog,
    BoundsService,
    Stats,
    log,
)
from lavenderrun.kernel import Clock, Kernel, ReactorClock
from lavenderrun.platform import SettingsError, read_platform_settings
from lavenderrun.types import GatewaySettings

GATEWAY_SERVICE_NAMES: Final = (
    "stats",
    "bounds",
    "memory",
    "store_dialect",
    "caller_dialect",
    "backend_dialect",
    "loop",
    "pool",
    "rows",
    "configuration",
    "members",
    "evacuations",
    "peers",
    "suspects",
    "cold_servers",
    "view",
    "reports",
    "sums",
    "second_hand",
    "seats",
    "wakes",
    "roles",
    "router",
    "callers",
    "connection_watch",
    "pages",
    "departure",
)
"""Names of a gateway's services, in the order in which they are built."""

EXIT_INVALID_SETTINGS: Final = 2


class GatewayDaemon:
    """A gateway process.

    :param read_settings: reads the settings file again for a reload.
    :param bounded_log: log whose dropped lines are counted in a metric.
    """

    def __init__(
        self,
        clock: Clock,
        settings: GatewaySettings,
        read_settings: Callable[[], GatewaySettings],
        bounded_log: BoundedLog,
    ) -> None:
        self.kernel = Kernel(clock, settings)
        self._settings = settings
        self._read_settings = read_settings
        self.kernel.build(GATEWAY_SERVICE_NAMES, GATEWAY_SERVICES)
        stats = self.kernel.find("stats", Stats)
        stats.register_reader(LINES_DROPPED, lambda: {(): float(bounded_log.dropped)})

    async def start(self) -> None:
        """Start all services."""
        await self.kernel.start()
        log("daemon:started", "daemon: started", host=self._settings.host)

    async def stop(self) -> None:
        """Stop as planned: drain, then stop all services."""
        # settings may change without a signal, and the grace period is theirs
        self.reload()
        await self.kernel.stop()
        log("daemon:stopped", "daemon: stopped", host=self._settings.host)

    def reload(self) -> None:
        """Read the settings again, apply the bounds, and log which fields changed.

        Addresses apply after a restart.
        """
        try:
            found = self._read_settings()
        except (OSError, SettingsError) as error:
            log("daemon:reload_failed", "daemon: settings can not be read", error=str(error))
            return
        changed = [
            name
            for name in GatewaySettings.__dataclass_fields__
            if getattr(found, name) != getattr(self._settings, name)
        ]
        self._settings = found
        self.kernel.find("bounds", BoundsService).apply(found.bounds)
        log("daemon:reloaded", "daemon: settings reloaded", changed=changed)


def run_gateway(path: Path, *, metrics_port: int) -> int:
    """Run a gateway with a settings file until a signal; return the exit code.

    :param metrics_port: port of the metrics page.
    """
    from twisted.internet import reactor

    loop: Any = reactor

    def read_settings() -> GatewaySettings:
        return read_platform_settings(path.read_bytes(), metrics_port=metrics_port)

    return_large_blocks()
    clock = ReactorClock.starting_now(loop)
    bounded_log = BoundedLog(clock, sys.stdout.fileno())
    bounded_log.open()
    try:
        daemon = GatewayDaemon(clock, read_settings(), read_settings, bounded_log)
    except OSError as error:
        sys.stderr.write(f"{path}: can not be read: {error.strerror}\n")
        return EXIT_INVALID_SETTINGS
    except SettingsError as error:
        sys.stderr.write(f"{path}: {error}\n")
        return EXIT_INVALID_SETTINGS
    signal.signal(signal.SIGHUP, lambda *_: loop.callFromThread(daemon.reload))
    code = run_until_signal(loop, daemon.start, daemon.stop)
    # the interpreter resets other handlers on its way out, and a reload would end it with an error
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return code
