"""KV cache of a stream's prompt that a prefill engine holds for a decode engine."""

from __future__ import annotations

from datetime import datetime, timedelta
from typing import Final

from lavenderrun.dispatch import CacheState
from lavenderrun.gateway._call_services import CallServices
from lavenderrun.gateway._prefill import PrefillStep
from lavenderrun.gateway._unused_prompts import UnusedReason, count_unused_prompt
from lavenderrun.types import HeldCache, ServiceGroup

CACHE_LIFETIME_SHARE: Final = 0.7
"""Share of the lifetime of held KV cache within which it is still offered to an engine."""

CACHE_RETRY_PAUSE: Final = timedelta(milliseconds=70)
"""Pause before held KV cache is offered to the same engine again: some tens of decode steps."""


class PromptCache:
    """The held KV cache of one stream.

    :ivar held: where the cache is held, ``None`` without one.
    :ivar unused_reason: why the prompt is unused if the cache is given up next.
    """

    def __init__(self, services: CallServices, service: ServiceGroup, arrived: datetime) -> None:
        self._services = services
        self._service = service
        self._offered_until = arrived
        self._offered: HeldCache | None = None
        self._is_doubtful = False
        self._late: PrefillStep | None = None
        self.held: HeldCache | None = None
        self.unused_reason = UnusedReason.OTHER

    def hold(self, cache: HeldCache | None) -> None:
        """Keep what a prefill step returned."""
        self._free(UnusedReason.CACHE_GONE)
        lifetime = self._services.view.find_export_lifetime(self._service)
        self.held, self._is_doubtful = cache, False
        self._offered_until = self._services.clock.now() + lifetime * CACHE_LIFETIME_SHARE

    @property
    def state(self) -> CacheState:
        """Whether there is a cache, and whether it may still be offered to another engine."""
        if self.held is None:
            return CacheState.NONE
        if self._services.clock.now() >= self._offered_until:
            return CacheState.EXPIRING
        return CacheState.DOUBTFUL if self._is_doubtful else CacheState.OFFERED

    @property
    def is_worth_offering(self) -> bool:
        """Whether an engine may still import the cache."""
        return self.state in {CacheState.OFFERED, CacheState.DOUBTFUL}

    @property
    def outlasts_pause(self) -> bool:
        """Whether the cache may still be offered after ``CACHE_RETRY_PAUSE``."""
        return self._services.clock.now() + CACHE_RETRY_PAUSE < self._offered_until

    def expect(self, late: PrefillStep) -> None:
        """Keep a silent prefill until an engine that computes the prompt has answered."""
        self._late = late
        late.on_late = self._take_late

    def _take_late(self, cache: HeldCache | None) -> None:
        self._late = None
        if cache is not None:
            self.hold(cache)

    def _end_late(self, *, is_taken: bool) -> None:
        late, self._late = self._late, None
        if late is not None:
            late.end_left(is_taken=is_taken)

    def offer(self) -> HeldCache | None:
        """Return the cache for a send to an engine, ``None`` without one."""
        self._offered = self.held
        return self.held

    def note_lost(self) -> None:
        """Record that the engine to which the cache was offered may have begun the stream."""
        self._is_doubtful = self._is_doubtful or self.held is self._offered
        self.unused_reason = UnusedReason.ENGINE_LOST

    def note_answered(self) -> None:
        """Forget the cache, because an engine imported it or has computed the prompt itself."""
        self._end_late(is_taken=True)
        if self.held is self._offered:
            self.held = None
        self.give_up(UnusedReason.COMPUTED_ELSEWHERE)

    def note_rejected(self, *, had_hold: bool) -> None:
        """Record that an engine did not run the stream; with a hold it had the memory for it."""
        is_gone = had_hold or self.state is CacheState.EXPIRING
        self.unused_reason = UnusedReason.CACHE_GONE if is_gone else UnusedReason.ENGINE_REJECTED

    def give_up(self, reason: UnusedReason | None = None) -> None:
        """Ask the holder to free the cache, and drop a silent prefill.

        :param reason: why the prompt is unused, ``None`` for what was recorded last.
        """
        self._end_late(is_taken=False)
        self._free(reason or self.unused_reason)

    def count_unused(self, reason: UnusedReason | None = None) -> None:
        """Count a prompt that a prefill engine computed, or was computing, in vain."""
        reason = reason or self.unused_reason
        count_unused_prompt(self._services.stats, self._service, reason)

    def _free(self, reason: UnusedReason) -> None:
        cache, self.held = self.held, None
        if cache is not None:
            self.count_unused(reason)
            self._services.free_cache(cache)
