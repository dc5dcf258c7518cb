"""Speed, limits and load of the stand-in engine."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from lavenderrun.standins._text import MEAN_TOKENS


@dataclass(frozen=True)
class EngineSpeed:
    """Speed and limits of an engine.

    :param slots: number of decode slots.
    :param kv_blocks: KV blocks of memory.
    :param cached_kv_blocks: KV blocks of the prefix cache.
    :param step: fixed time of a decode step.
    :param step_per_slot: time that each running request adds to a decode step.
    :param prefill: fixed time of a prefill.
    :param prefill_per_token: time that each uncached token adds to a prefill.
    :param max_steps_per_event: largest number of decode steps that one clock event stands for.
    :param mean_tokens: mean length of an answer in tokens.
    :param export_lifetime: time after which an export is freed.
    :param load_lag: age of the reported load.
    :param restart: time from a crash until calls are accepted again.
    """

    slots: int = 20
    kv_blocks: int = 640
    cached_kv_blocks: int = 256
    step: timedelta = timedelta(milliseconds=12)
    step_per_slot: timedelta = timedelta(microseconds=400)
    prefill: timedelta = timedelta(milliseconds=8)
    prefill_per_token: timedelta = timedelta(microseconds=50)
    max_steps_per_event: int = 4
    mean_tokens: int = MEAN_TOKENS
    export_lifetime: timedelta = timedelta(milliseconds=800)
    load_lag: timedelta = timedelta(milliseconds=300)
    restart: timedelta = timedelta(seconds=3)

    def compute_step_time(self, running: int) -> timedelta:
        """Return the time of a decode step with *running* requests."""
        return self.step + running * self.step_per_slot

    def compute_prefill_time(self, tokens: int) -> timedelta:
        """Return the time of a prefill with *tokens* uncached tokens."""
        return self.prefill + tokens * self.prefill_per_token


@dataclass(frozen=True)
class EngineLoad:
    """Load that an engine reports: running decodes, queued prefills and free memory."""

    running: int
    queued: int
    free_kv_blocks: int
