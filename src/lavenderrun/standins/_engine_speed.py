"""Costs, limits and load of the stand-in engine."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from lavenderrun.standins._text import MEAN_TOKENS


@dataclass(frozen=True)
class EngineSpeed:
    """Costs and limits of an engine.

    :param step: time of a decode step with an empty batch.
    :param step_per_slot: what each running request adds to a step.
    :param prefill: fixed part of a prefill.
    :param prefill_a_token: what each token that is not cached adds.
    :param burst: most decode steps that one event of the clock stands for.
    :param export_life: how long an export is kept.
    :param load_lag: age of the load that the engine reports.
    :param restart: time from a crash until calls are taken again.
    """

    slots: int = 20
    kv_blocks: int = 640
    cached_kv_blocks: int = 256
    step: timedelta = timedelta(milliseconds=12)
    step_per_slot: timedelta = timedelta(microseconds=400)
    prefill: timedelta = timedelta(milliseconds=8)
    prefill_a_token: timedelta = timedelta(microseconds=50)
    burst: int = 4
    mean_tokens: int = MEAN_TOKENS
    export_life: timedelta = timedelta(milliseconds=800)
    load_lag: timedelta = timedelta(milliseconds=300)
    restart: timedelta = timedelta(seconds=3)

    def time_step(self, running: int) -> timedelta:
        """Return the time of a decode step with *running* requests."""
        return self.step + running * self.step_per_slot

    def time_prefill(self, tokens: int) -> timedelta:
        """Return the time of a prefill of *tokens* that are not cached."""
        return self.prefill + tokens * self.prefill_a_token


@dataclass(frozen=True)
class EngineLoad:
    """What an engine reports of itself, late."""

    running: int
    queued: int
    free_kv_blocks: int
