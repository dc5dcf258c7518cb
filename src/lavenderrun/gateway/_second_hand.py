"""Service ``second_hand``: a host that the store does not answer asks another gateway.

What is asked for holds digests of keys only, as the configuration in memory does.
"""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar, Final

import msgspec
from twisted.internet.defer import Deferred

from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._peers import PeersService, Report
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import HttpRequest
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore, StoreState
from lavenderrun.kernel import Kernel
from lavenderrun.types import Configuration

TARGET: Final = "/configuration"
ASK_TIMEOUT: Final = timedelta(milliseconds=800)
"""Longest wait for another gateway's answer; the next report asks again."""

OK: Final = 200


class SecondHandService:
    """Adopts a newer configuration that another gateway reports."""

    needs: ClassVar[tuple[str, ...]] = ("configuration", "peers", "pool", "rows")

    def __init__(self, kernel: Kernel) -> None:
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._peers = kernel.find("peers", PeersService)
        self._pool = kernel.find("pool", ConnectionPool)
        self._rows = kernel.find("rows", RowStore)
        self._asking: Deferred[None] | None = None

    def start(self) -> None:
        """Begin to take reports."""
        self._peers.watch(self._hear)

    def stop(self) -> None:
        """Ask no more."""
        if self._asking is not None:
            self._asking.cancel()

    def encode(self) -> bytes | None:
        """Return the configuration in force for another gateway, ``None`` without one."""
        current = self._configuration.current
        return None if current is None else msgspec.json.encode(current)

    def _hear(self, report: Report) -> None:
        is_lost = self._rows.state is StoreState.LOST
        if not is_lost or self._asking is not None or report.version <= self._configuration.version:
            return
        address = self._peers.find_address(report.host)
        if address is not None:
            self._asking = Deferred.fromCoroutine(self._ask(report.host, address))
            self._asking.addBoth(self._settle)

    async def _ask(self, peer: str, address: str) -> None:
        call = HttpRequest("GET", TARGET, [("Host", address)])
        answer = await self._pool.fetch(address, call, ASK_TIMEOUT)
        if answer is None or answer[0] != OK:
            log("second_hand:no_answer", "second_hand: peer did not answer", peer=peer)
            return
        try:
            found = msgspec.json.decode(answer[1], type=Configuration)
        except msgspec.DecodeError as error:
            log("second_hand:unreadable", "second_hand: answer can not be read", error=str(error))
            return
        self._configuration.adopt(found, peer)

    def _settle(self, failure: object) -> None:
        self._asking = None
        if failure is not None:
            log("second_hand:failed", "second_hand: ended by a fault", error=repr(failure))


@GATEWAY_SERVICES.register("second_hand")
def make_second_hand(kernel: Kernel) -> SecondHandService:
    """Make the service."""
    return SecondHandService(kernel)
