"""Prompts that prefill engines compute in vain."""

from __future__ import annotations

from enum import Enum

from lavenderrun.gateway._stats import UNUSED_PROMPTS, Stats
from lavenderrun.types import ServiceGroup


class UnusedReason(Enum):
    """Why no decode engine used a prompt that a prefill engine computed."""

    ENGINE_REJECTED = "engine_rejected"
    CACHE_GONE = "cache_gone"
    CALLER_GONE = "caller_gone"
    DEADLINE = "deadline"
    ENGINE_LOST = "engine_lost"
    COMPUTED_ELSEWHERE = "computed_elsewhere"
    OTHER = "other"


def count_unused_prompt(stats: Stats, service: ServiceGroup, reason: UnusedReason) -> None:
    """Count a prompt that a prefill engine computed, or was computing, in vain."""
    stats.count(UNUSED_PROMPTS, service, reason.value)
