"""Service ``second_hand``: reads the configuration from a peer during a store outage.

The transferred configuration contains digests of API keys, never the keys.
"""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar, Final

import msgspec
from twisted.internet.defer import Deferred

from lavenderrun.decoding import decode_json
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._peer_messages import PeerReport
from lavenderrun.gateway._peers import PeersService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import HttpRequest
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._rows import RowStore, StoreState
from lavenderrun.kernel import Kernel
from lavenderrun.types import Configuration

CONFIGURATION_TARGET: Final = "/configuration"
ANSWER_TIMEOUT: Final = timedelta(milliseconds=800)
"""Longest wait for another gateway's answer; its next peer report triggers another request."""

OK: Final = 200


class PeerConfigurationService:
    """Fetches a newer configuration from a gateway that reports one while the store is lost."""

    needs: ClassVar[tuple[str, ...]] = ("configuration", "peers", "pool", "rows")

    def __init__(self, kernel: Kernel) -> None:
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._peers = kernel.find("peers", PeersService)
        self._pool = kernel.find("pool", ConnectionPool)
        self._rows = kernel.find("rows", RowStore)
        self._request: Deferred[None] | None = None

    def start(self) -> None:
        """Start to watch peer reports."""
        self._peers.watch(self._check_report)

    def stop(self) -> None:
        """Cancel a request that is in progress."""
        if self._request is not None:
            self._request.cancel()

    def encode(self) -> bytes | None:
        """Return the configuration in force as JSON for another gateway, ``None`` without one."""
        current = self._configuration.current
        return None if current is None else msgspec.json.encode(current)

    def _check_report(self, report: PeerReport) -> None:
        is_lost = self._rows.state is StoreState.LOST
        if (
            not is_lost
            or self._request is not None
            or report.version <= self._configuration.version
        ):
            return
        address = self._peers.find_address(report.host)
        if address is not None:
            self._request = Deferred.fromCoroutine(self._fetch_configuration(report.host, address))
            self._request.addBoth(self._note_request_end)

    async def _fetch_configuration(self, peer: str, address: str) -> None:
        call = HttpRequest("GET", CONFIGURATION_TARGET, [("Host", address)])
        answer = await self._pool.fetch(address, call, ANSWER_TIMEOUT)
        if answer is None or answer[0] != OK:
            log("second_hand:no_answer", "second_hand: peer did not answer", peer=peer)
            return
        try:
            configuration = decode_json(answer[1], Configuration)
        except ValueError as error:
            log(
                "second_hand:unreadable",
                "second_hand: answer of peer is malformed",
                error=str(error),
            )
            return
        self._configuration.adopt(configuration, peer)

    def _note_request_end(self, failure: object) -> None:
        self._request = None
        if failure is not None:
            log(
                "second_hand:failed",
                "second_hand: request failed unexpectedly",
                error=repr(failure),
            )


@GATEWAY_SERVICES.register("second_hand")
def make_peer_configuration(kernel: Kernel) -> PeerConfigurationService:
    """Make the service ``second_hand``."""
    return PeerConfigurationService(kernel)
