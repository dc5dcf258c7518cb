"""Services that a running call uses."""

from __future__ import annotations

from dataclasses import dataclass, field

from lavenderrun.dispatch import CallDurations
from lavenderrun.gateway._decode_slot_queue import DecodeSlotQueueService
from lavenderrun.gateway._pool import ConnectionPool
from lavenderrun.gateway._ports import BackendDialect
from lavenderrun.gateway._stats import Stats
from lavenderrun.gateway._suspects import SuspectsService
from lavenderrun.gateway._view import FleetView
from lavenderrun.kernel import Clock
from lavenderrun.types import CallFailure, Headers, HeldCache


@dataclass(frozen=True)
class CallServices:
    """Services that a running call uses."""

    clock: Clock
    pool: ConnectionPool
    view: FleetView
    slot_queue: DecodeSlotQueueService
    backends: BackendDialect
    stats: Stats
    suspects: SuspectsService
    durations: CallDurations = field(default_factory=CallDurations)

    def free_cache(self, cache: HeldCache) -> None:
        """Ask the holder to free KV cache that no engine will take."""
        call = self.backends.encode_release(cache)
        self.pool.call(
            cache.source, call.method, call.target, call.headers, call.body, _IgnoredAnswer()
        )


class _IgnoredAnswer:
    """Ignores an answer; KV cache that was not freed expires by itself."""

    def head_received(self, status: int, headers: Headers) -> None:
        """Ignore the head."""

    def body_received(self, data: bytes) -> None:
        """Ignore a part of the body."""

    def answer_completed(self) -> None:
        """Ignore the end of the answer."""

    def answer_failed(self, reason: CallFailure) -> None:
        """Ignore the failure."""
