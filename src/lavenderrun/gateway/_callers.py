"""Service ``callers``: the HTTP server that callers connect to."""

from __future__ import annotations

from collections.abc import Collection
from datetime import timedelta
from typing import Any, ClassVar, Final

from lavenderrun.decoding import parse_address
from lavenderrun.dispatch import TimeLimitHistory
from lavenderrun.gateway._caller_channel import CallerChannel, CallerFactory, encode_answer
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._log import log
from lavenderrun.gateway._memory import MemoryService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import CallerDialect
from lavenderrun.gateway._registry import GATEWAY_SERVICES
from lavenderrun.gateway._router import GatewayRouter
from lavenderrun.gateway._running_call import LEAVING_RETRY_AFTER
from lavenderrun.gateway._sockets import stop_accepting
from lavenderrun.gateway._stats import OPEN_CONNECTIONS, PARTIAL, REQUESTS, UNANSWERED, Stats
from lavenderrun.http_server import RequestAccount
from lavenderrun.kernel import Kernel
from lavenderrun.types import (
    DEFAULT_HEAD_BYTES,
    Configuration,
    Outcome,
    Refusal,
    Refused,
    Step,
)

BACKLOG: Final = 512
"""Connections that may wait to be accepted when many callers connect at once."""

DEFAULT_MAX_BODY_BYTES: Final = 4 << 20
"""Largest body of a call until a configuration sets another one."""

DEFAULT_IDLE_TIMEOUT: Final = timedelta(seconds=60)
"""Idle time after which a connection is closed, until a configuration sets another one."""


class CallersService:
    """Accepts connections of callers and submits their calls to the router."""

    needs: ClassVar[tuple[str, ...]] = ("router", "configuration", "memory")

    def __init__(self, kernel: Kernel) -> None:
        self._listen: str = kernel.settings.callers
        self._configuration = kernel.find("configuration", ConfigurationService)
        self.router = kernel.find("router", GatewayRouter)
        self.dialect = kernel.find("caller_dialect", CallerDialect)
        self.account = RequestAccount(kernel.clock)
        self.memory = kernel.find("memory", MemoryService)
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES
        self.max_head_bytes = DEFAULT_HEAD_BYTES
        self._idle_timeouts = TimeLimitHistory(DEFAULT_IDLE_TIMEOUT)
        self._head_timeouts = TimeLimitHistory(DEFAULT_IDLE_TIMEOUT)
        self._port: Any = None
        self._factory: CallerFactory | None = None
        stats = kernel.find("stats", Stats)
        pool = kernel.find("pool", ConnectionPool)
        stats.register_reader(
            OPEN_CONNECTIONS,
            lambda: {
                ("callers",): float(len(self.channels)),
                ("backends",): float(pool.count_open()),
            },
        )

        stats.register_reader(REQUESTS, self.account.read_ends)
        stats.register_reader(UNANSWERED, self.account.read_unanswered)
        stats.register_reader(PARTIAL, self.account.read_partial)

    @property
    def channels(self) -> Collection[CallerChannel]:
        """The open connections of callers, in order of their arrival."""
        return self._factory.channels if self._factory is not None else ()

    def start(self) -> None:
        """Accept connections and apply each new configuration."""
        from twisted.internet import reactor  # the daemon has installed its reactor by now

        loop: Any = reactor
        host, port = parse_address(self._listen)
        self._factory = CallerFactory(self, loop.callLater)
        self._port = loop.listenTCP(port, self._factory, backlog=BACKLOG, interface=host)
        log("callers:listening", "callers: listening", address=self._listen)
        self._configuration.watch(self._configure)

    @property
    def is_reading(self) -> bool:
        """Whether a request has been read in part."""
        return any(channel.is_reading for channel in self.channels)

    def stop(self) -> None:
        """Accept no more connections and close those that are left."""
        self.stop_listening()
        self.account.is_leaving = True
        self.close_idle()

    def stop_listening(self) -> None:
        """Accept the connections that wait, and no more."""
        port, self._port = self._port, None
        if port is not None:
            stop_accepting(port)

    def refuse_unread(self) -> None:
        """Refuse the requests that were read in part."""
        refused = Refused(
            Refusal.LEAVING,
            Outcome.NOT_RUN,
            Step.ADMISSION,
            retry_after=LEAVING_RETRY_AFTER,
            detail="request not complete",
        )
        answer = encode_answer(*self.dialect.encode_refusal(None, refused))
        for channel in list(self.channels):
            channel.refuse_unread(answer)

    def encode_head_refusal(self, limit: int) -> bytes:
        """Return the answer to a request whose head is larger than *limit* bytes."""
        refused = Refused(
            Refusal.HEAD_TOO_LARGE,
            Outcome.NOT_RUN,
            Step.ADMISSION,
            detail=f"head: larger than {limit} bytes",
        )
        return encode_answer(*self.dialect.encode_refusal(None, refused))

    def close_idle(self) -> None:
        """Close each connection now, or after the answer that is under way."""
        for channel in list(self.channels):
            channel.close_when_idle()

    def find_idle_timeout(self) -> timedelta:
        """Return how long a connection may stay idle from now on."""
        return self._idle_timeouts.find(self.account.clock.now())

    def find_head_timeout(self) -> timedelta:
        """Return how long a head that begins now may take."""
        return self._head_timeouts.find(self.account.clock.now())

    def _configure(self, configuration: Configuration) -> None:
        limits, now = configuration.limits, self.account.clock.now()
        self.max_body_bytes = limits.body_bytes
        self.max_head_bytes = limits.head_bytes
        before = self.find_idle_timeout()
        self._idle_timeouts.change(limits.idle_timeout, now)
        self._head_timeouts.change(limits.head_timeout or limits.idle_timeout, now)
        # a shorter one takes effect when a connection next becomes idle
        if self.find_idle_timeout() > before:
            for channel in self.channels:
                channel.extend_idle_timeout(self.find_idle_timeout())


@GATEWAY_SERVICES.register("callers")
def make_callers(kernel: Kernel) -> CallersService:
    """Return the service ``callers``."""
    return CallersService(kernel)
