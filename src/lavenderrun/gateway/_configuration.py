"""Service ``configuration``: the configuration in force on this host."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from datetime import datetime, timedelta
from typing import ClassVar

from twisted.internet.defer import Deferred

from lavenderrun.dispatch import RouteIndex
from lavenderrun.gateway._follower import Follower
from lavenderrun.gateway._log import log
from lavenderrun.gateway._ports import RowChange, StoreRefusal
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore
from lavenderrun.gateway._stats import DOCUMENT_VERSION, Stats
from lavenderrun.kernel import Kernel
from lavenderrun.types import Configuration, DocumentVersion, StoreUnavailableError


class ConfigurationService:
    """Follows the store; a version in force is never replaced by an older one.

    :ivar current: ``None`` before the first was read.
    :ivar routes: index of its routes.
    """

    needs: ClassVar[tuple[str, ...]] = ("rows",)

    def __init__(self, kernel: Kernel) -> None:
        self._clock = kernel.clock
        self._rows = kernel.find("rows", RowStore)
        self._watchers: list[Callable[[Configuration], None]] = []
        self._check: tuple[datetime, Deferred[bool]] | None = None
        self.current: Configuration | None = None
        self.routes = RouteIndex(())
        table = self._rows.dialect.configuration_table
        self.follower = Follower(self._rows, table, self, kernel.clock, kernel.random_source)
        kernel.find("stats", Stats).register_reader(
            DOCUMENT_VERSION, lambda: {(): float(self.version)}
        )

    @property
    def version(self) -> DocumentVersion:
        """The version in force, zero before the first."""
        return DocumentVersion(0) if self.current is None else self.current.version

    @property
    def age(self) -> timedelta | None:
        """Time since the newest answered call to the store was sent, ``None`` before any."""
        answered = self._rows.answered
        return None if answered is None else self._clock.now() - answered

    def start(self) -> None:
        """Begin to follow."""
        self.follower.start()

    def stop(self) -> None:
        """Follow no more."""
        self.follower.stop()

    def watch(self, handler: Callable[[Configuration], None]) -> None:
        """Call *handler* for the configuration in force, if any, and for each later one."""
        self._watchers.append(handler)
        if self.current is not None:
            handler(self.current)

    def refresh(self) -> Deferred[bool]:
        """Read changes up to now; fires with whether that succeeded.

        A read that began in this same instant serves all who ask.
        """
        now = self._clock.now()
        if self._check is None or self._check[0] < now:
            self._check = (now, Deferred.fromCoroutine(self._catch_up()))
        answer: Deferred[bool] = Deferred()

        def tell(result: bool) -> bool:
            answer.callback(result)
            return result

        self._check[1].addCallback(tell)
        return answer

    def replace(self, rows: Sequence[RowChange]) -> None:
        """Take all rows; see ``TableReader``."""
        self.change(rows)

    def change(self, rows: Sequence[RowChange]) -> None:
        """Take changed rows; see ``TableReader``."""
        try:
            found = self._rows.dialect.decode_configuration(rows)
        except ValueError as error:
            log("configuration:unreadable", "configuration: can not be read", error=str(error))
            return
        if found is not None:
            self.adopt(found, "store")

    def adopt(self, found: Configuration, source: str) -> bool:
        """Put *found* in force when it is newer; return whether it was."""
        if found.version <= self.version:
            return False
        self.current = found
        self.routes = RouteIndex(found.routes)
        log(
            "configuration:in_force",
            "configuration: version in force",
            version=found.version,
            routes=len(found.routes),
            accounts=len(found.accounts),
            source=source,
        )
        for watcher in self._watchers:
            watcher(found)
        return True

    async def _catch_up(self) -> bool:
        try:
            await self.follower.catch_up()
        except (StoreUnavailableError, StoreRefusal) as error:
            log("configuration:unconfirmed", "configuration: store not read", error=str(error))
            return False
        return True


@GATEWAY_SERVICES.register("configuration")
def make_configuration(kernel: Kernel) -> ConfigurationService:
    """Make the service."""
    return ConfigurationService(kernel)
