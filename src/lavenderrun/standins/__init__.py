"""Stand-ins for engines, plain services and the platform's store."""

from __future__ import annotations

from lavenderrun.standins._engine_cache import CacheChange, CacheEvent, hash_blocks
from lavenderrun.standins._engine_model import EngineLoad, EngineModel, EngineSpeed
from lavenderrun.standins._fabric import KV_BYTES_A_TOKEN, Fabric
from lavenderrun.standins._text import (
    MEAN_TOKENS,
    POISON_DECODE,
    POISON_PREFILL,
    count_tokens,
    expected_tokens,
)

__all__ = [
    "KV_BYTES_A_TOKEN",
    "MEAN_TOKENS",
    "POISON_DECODE",
    "POISON_PREFILL",
    "CacheChange",
    "CacheEvent",
    "EngineLoad",
    "EngineModel",
    "EngineSpeed",
    "Fabric",
    "count_tokens",
    "expected_tokens",
    "hash_blocks",
]
