"""Service ``configuration``: the configuration that this host uses."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import datetime, timedelta
from typing import ClassVar

from twisted.internet.defer import Deferred

from lavenderrun.dispatch import RouteIndex
from lavenderrun.gateway._bounds import BoundsService
from lavenderrun.gateway._follower import TableFollower, limit_changes_wait
from lavenderrun.gateway._log import log
from lavenderrun.gateway._ports import RowChange, StoreRefusal
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore
from lavenderrun.gateway._stats import DOCUMENT_VERSION, Stats
from lavenderrun.http_server import describe_error
from lavenderrun.kernel import Kernel
from lavenderrun.types import Configuration, DocumentVersion, StoreUnavailableError


class ConfigurationService:
    """Follows the configuration table of the store; never goes back to an older version.

    :ivar current: the configuration in force, ``None`` before the first was read.
    :ivar routes: index of the routes in force.
    :ivar follower: reads the configuration table.
    """

    needs: ClassVar[tuple[str, ...]] = ("bounds", "rows")

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._rows = kernel.find("rows", RowStore)
        self._watchers: list[Callable[[Configuration], None]] = []
        self._row_watchers: list[Callable[[Sequence[RowChange], bool], None]] = []
        self._pending_refresh: tuple[datetime, Deferred[bool]] | None = None
        self.current: Configuration | None = None
        self.routes = RouteIndex(())
        table = self._rows.dialect.configuration_table
        self._bounds = kernel.find("bounds", BoundsService)
        self.follower = TableFollower(
            self._rows,
            table,
            self,
            kernel.clock,
            kernel.random_source,
            find_wait=self._find_wait,
        )
        kernel.find("stats", Stats).register_reader(
            DOCUMENT_VERSION, lambda: {(): float(self.version)}
        )

    def _find_wait(self) -> timedelta:
        bounds = self._bounds.current
        return limit_changes_wait(bounds.contact, bounds.adoption)

    @property
    def version(self) -> DocumentVersion:
        """Version of the configuration in force, zero before the first."""
        return DocumentVersion(0) if self.current is None else self.current.version

    @property
    def age(self) -> timedelta | None:
        """Time since the last successful call to the store was sent, ``None`` before the first."""
        last_success = self._rows.last_success
        return None if last_success is None else self._clock.now() - last_success

    def start(self) -> None:
        """Start to follow the configuration table."""
        self.follower.start()

    def stop(self) -> None:
        """Stop following the configuration table."""
        self.follower.stop()

    def watch(self, handler: Callable[[Configuration], None]) -> None:
        """Call *handler* with the configuration in force, if any, and with each later one."""
        self._watchers.append(handler)
        if self.current is not None:
            handler(self.current)

    def watch_rows(self, handler: Callable[[Sequence[RowChange], bool], None]) -> None:
        """Call *handler* with all rows of the table that are read.

        Its second argument tells whether these are all rows of the table, or only changed ones.
        """
        self._row_watchers.append(handler)

    def refresh(self) -> Deferred[bool]:
        """Read all changes up to now; the result tells whether that succeeded.

        Calls at the same instant share one read.
        """
        now = self._clock.now()
        if self._pending_refresh is None or self._pending_refresh[0] < now:
            self._pending_refresh = (now, Deferred.fromCoroutine(self._read_changes()))
        waiter: Deferred[bool] = Deferred()

        def resolve(result: bool) -> bool:
            waiter.callback(result)
            return result

        self._pending_refresh[1].addCallback(resolve)
        return waiter

    def replace_rows(self, rows: Sequence[RowChange]) -> None:
        """Apply all rows of the table, as ``TableListener`` requires."""
        self._apply_rows(rows, is_whole=True)

    def merge_copy(self, rows: Sequence[RowChange]) -> None:
        """Apply the rows of an older copy, as ``TableListener`` requires."""
        self._apply_rows(rows, is_whole=False)

    def change_rows(self, rows: Sequence[RowChange]) -> None:
        """Apply changed rows, as ``TableListener`` requires; skip an invalid configuration."""
        self._apply_rows(rows, is_whole=False)

    def _apply_rows(self, rows: Sequence[RowChange], *, is_whole: bool) -> None:
        for watcher in self._row_watchers:
            watcher(rows, is_whole)
        try:
            configuration = self._rows.dialect.decode_configuration(rows)
        except ValueError as error:
            log(
                "configuration:unreadable",
                "configuration: stored configuration is invalid",
                error=str(error),
            )
            return
        if configuration is not None:
            self.adopt(configuration, "store")

    def adopt(self, configuration: Configuration, source: str) -> bool:
        """Put a configuration in force if it is newer than the current one; return whether it was.

        :param source: where it came from, for the log: ``store`` or the name of a gateway.
        """
        if configuration.version <= self.version:
            return False
        self.current = configuration
        self.routes = RouteIndex(configuration.routes)
        log(
            "configuration:in_force",
            "configuration: new version in force",
            version=configuration.version,
            routes=len(configuration.routes),
            accounts=len(configuration.accounts),
            source=source,
        )
        for watcher in self._watchers:
            watcher(configuration)
        return True

    async def _read_changes(self) -> bool:
        try:
            await self.follower.catch_up()
        except (StoreUnavailableError, StoreRefusal) as error:
            log(
                "configuration:unconfirmed",
                "configuration: store could not be read",
                error=str(error),
            )
            return False
        except Exception as error:
            # calls wait for the result, whatever went wrong
            log(
                "configuration:unconfirmed",
                "configuration: store could not be read",
                error=describe_error(error),
            )
            return False
        return True


@GATEWAY_SERVICES.register("configuration")
def make_configuration(kernel: Kernel) -> ConfigurationService:
    """Make the service ``configuration``."""
    return ConfigurationService(kernel)
