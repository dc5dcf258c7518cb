"""Service ``pages``: readiness check, metrics page and configuration for other gateways."""

from __future__ import annotations

from typing import Any, ClassVar

from twisted.web.resource import Resource
from twisted.web.server import Site

from lavenderrun.decoding import parse_address
from lavenderrun.gateway._peer_configuration import CONFIGURATION_TARGET, PeerConfigurationService
from lavenderrun.gateway._ports import CallerDialect
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.gateway._stats import Stats
from lavenderrun.kernel import Kernel

METRICS_PATH = b"/metrics"
CONFIGURATION_PATH = CONFIGURATION_TARGET.encode()


class _Page(Resource):
    """Answers a request according to its path.

    :param is_peer: whether it listens on the address for peers, which may read the configuration.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, pages: PagesService, *, is_peer: bool) -> None:
        super().__init__()
        self._pages = pages
        self._is_peer = is_peer

    def render_GET(self, request: Any) -> bytes:  # noqa: N802
        """Return the body of the answer to a GET request."""
        if request.path == METRICS_PATH:
            accept = request.getHeader("accept")
            body, headers = self._pages.stats.render([accept] if accept else [])
            for name, value in headers.items():
                request.setHeader(name, value)
            return body
        if request.path.decode("latin-1") == self._pages.readiness_target:
            request.setResponseCode(200 if self._pages.router.is_ready else 503)
            return b""
        if request.path == CONFIGURATION_PATH and self._is_peer:
            configuration = self._pages.peer_configuration.encode()
            if configuration is not None:
                return configuration
        request.setResponseCode(404)
        return b""


class PagesService:
    """Listens on the addresses for readiness checks, metrics and other gateways."""

    needs: ClassVar[tuple[str, ...]] = ("router", "second_hand")

    def __init__(self, kernel: Kernel) -> None:
        self._peers: str = kernel.settings.peers
        self._addresses: tuple[str, ...] = (
            kernel.settings.readiness,
            kernel.settings.metrics,
            self._peers,
        )
        self.peer_configuration = kernel.find("second_hand", PeerConfigurationService)
        self.router = kernel.find("router", GatewayRouter)
        self.stats = kernel.find("stats", Stats)
        self.readiness_target = kernel.find("caller_dialect", CallerDialect).readiness_target
        self._ports: list[Any] = []

    def start(self) -> None:
        """Start listening on all addresses."""
        from twisted.internet import reactor  # imported late: the daemon installs its own reactor

        loop: Any = reactor
        for address in dict.fromkeys(self._addresses):
            host, port = parse_address(address)
            site: Any = Site(_Page(self, is_peer=address == self._peers))
            site.noisy = False
            site.displayTracebacks = False
            site.log = lambda _request: None
            self._ports.append(loop.listenTCP(port, site, interface=host))

    def stop(self) -> None:
        """Stop listening on all addresses."""
        for port in self._ports:
            port.stopListening()


@GATEWAY_SERVICES.register("pages")
def make_pages(kernel: Kernel) -> PagesService:
    """Make the service ``pages``."""
    return PagesService(kernel)
