"""Service ``second_hand``: reads the configuration from a peer when the store does not tell it.

The transferred configuration contains digests of API keys, never the keys.
"""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import ClassVar, Final

import msgspec
from twisted.internet.defer import CancelledError, Deferred

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
from lavenderrun.types import Configuration, DocumentVersion, HostId

CONFIGURATION_TARGET: Final = "/configuration"
ANSWER_TIMEOUT: Final = timedelta(seconds=2)
"""Longest wait for another gateway's answer, the time to connect included: on a full link each
round trip takes some hundred milliseconds."""

MAX_REQUESTS: Final = 2
"""Gateways that are asked at the same time, as the first one may be out of reach itself."""

NEXT_REQUEST_DELAY: Final = timedelta(milliseconds=300)
"""Time after which another gateway is asked, too."""

MIN_OWN_READ_TIME: Final = timedelta(milliseconds=300)
"""Shortest time that the store has to tell of a version once another gateway reports it. It may
refuse each call of this host, or answer late, and still count as reached."""

MAX_OWN_READ_TIME: Final = timedelta(milliseconds=600)
"""Longest such time; hosts that the store refuses differ in it, so that they ask different ones."""

OK: Final = 200


class PeerConfigurationService:
    """Fetches a newer configuration from gateways that report one.

    While the store is lost it does so at once, else when the store has had the time to tell of a
    newer version itself.
    """

    needs: ClassVar[tuple[str, ...]] = ("configuration", "peers", "pool", "rows")

    def __init__(self, kernel: Kernel) -> None:
        self._configuration = kernel.find("configuration", ConfigurationService)
        self._peers = kernel.find("peers", PeersService)
        self._pool = kernel.find("pool", ConnectionPool)
        self._rows = kernel.find("rows", RowStore)
        self._clock = kernel.clock
        self._requests: dict[HostId, Deferred[None]] = {}
        self._last_began: datetime = kernel.clock.now()
        self._random = kernel.random_source
        # version in force when a newer one was first reported, and until when the store may tell it
        self._outdated_version: DocumentVersion | None = None
        self._own_read_due: datetime = kernel.clock.now()

    def start(self) -> None:
        """Start to watch peer reports."""
        self._peers.watch(self._check_report)

    def stop(self) -> None:
        """Cancel the requests that are in progress."""
        for request in list(self._requests.values()):
            request.cancel()

    def encode(self) -> bytes | None:
        """Return the configuration in force as JSON for another gateway, ``None`` without one."""
        current = self._configuration.current
        return None if current is None else msgspec.json.encode(current)

    def _check_report(self, report: PeerReport) -> None:
        if report.version <= self._configuration.version or not self._is_store_late():
            return
        address = self._peers.find_address(report.host)
        if address is None or not self._may_request(report.host):
            return
        self._last_began = self._clock.now()
        request = Deferred.fromCoroutine(self._fetch_configuration(report.host, address))
        self._requests[report.host] = request
        request.addBoth(self._note_request_end, report.host)

    def _is_store_late(self) -> bool:
        """Tell whether the store has had the time to tell of a version that is newer."""
        if self._rows.state is StoreState.LOST:
            return True
        now = self._clock.now()
        if self._outdated_version != self._configuration.version:
            spread = (MAX_OWN_READ_TIME - MIN_OWN_READ_TIME) * self._random.random()
            self._outdated_version = self._configuration.version
            self._own_read_due = now + MIN_OWN_READ_TIME + spread
        return now >= self._own_read_due

    def _may_request(self, host: HostId) -> bool:
        if not self._requests:
            return True
        is_due = self._clock.now() - self._last_began >= NEXT_REQUEST_DELAY
        return is_due and len(self._requests) < MAX_REQUESTS and host not in self._requests

    async def _fetch_configuration(self, peer: str, address: str) -> None:
        call = HttpRequest("GET", CONFIGURATION_TARGET, [("Host", address)])
        answer = await self._pool.fetch(
            address, call, ANSWER_TIMEOUT, connect_timeout=ANSWER_TIMEOUT
        )
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
        if self._configuration.adopt(configuration, peer):
            for host, request in list(self._requests.items()):
                if host != peer:
                    request.cancel()

    def _note_request_end(self, result: object, host: HostId) -> None:
        self._requests.pop(host, None)
        error = getattr(result, "value", None)
        if error is not None and not isinstance(error, CancelledError):
            log(
                "second_hand:failed",
                "second_hand: request failed unexpectedly",
                error=repr(error),
            )


@GATEWAY_SERVICES.register("second_hand")
def make_peer_configuration(kernel: Kernel) -> PeerConfigurationService:
    """Make the service ``second_hand``."""
    return PeerConfigurationService(kernel)
