"""What a running call uses."""

from __future__ import annotations

from dataclasses import dataclass

from lavenderrun.gateway._decode_slot_queue import DecodeSlotQueueService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import BackendDialect
from lavenderrun.gateway._stats import Stats
from lavenderrun.gateway._view import FleetView
from lavenderrun.kernel import Clock
from lavenderrun.types import CallFailure, Headers, HeldCache


@dataclass(frozen=True)
class CallServices:
    """Services that a running call uses."""

    clock: Clock
    pool: ConnectionPool
    view: FleetView
    seats: DecodeSlotQueueService
    backends: BackendDialect
    stats: Stats

    def free_cache(self, cache: HeldCache) -> None:
        """Let the holder free KV cache that nobody will take."""
        call = self.backends.encode_release(cache)
        self.pool.call(cache.source, call.method, call.target, call.headers, call.body, _Ignore())


class _Ignore:
    """Takes an answer that tells nothing: what was held lapses by itself."""

    def headed(self, status: int, headers: Headers) -> None:
        """See ``Receiver``."""

    def received(self, data: bytes) -> None:
        """See ``Receiver``."""

    def ended(self) -> None:
        """See ``Receiver``."""

    def broken(self, reason: CallFailure) -> None:
        """See ``Receiver``."""
