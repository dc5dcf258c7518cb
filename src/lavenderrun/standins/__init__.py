"""Stand-ins for engines, the plain service, the table service and the network."""

from __future__ import annotations

from lavenderrun.standins._engine_cache import CacheChange, CacheEvent, hash_blocks
from lavenderrun.standins._engine_http import EngineResource
from lavenderrun.standins._engine_model import EngineModel
from lavenderrun.standins._engine_speed import EngineLoad, EngineSpeed
from lavenderrun.standins._fabric import KV_BYTES_PER_TOKEN, Fabric
from lavenderrun.standins._memory_transport import MemoryNetwork, MemoryPipe, MemoryTransport
from lavenderrun.standins._plain import (
    LEAVING_HEADER,
    REJECTED,
    REST_HEADER,
    MemoryPlain,
    PlainCore,
    PlainFaults,
    PlainResource,
)
from lavenderrun.standins._table import MemoryStore, TableCore, TableFaults
from lavenderrun.standins._table_http import TableResource, make_table_resource
from lavenderrun.standins._text import (
    MEAN_TOKENS,
    POISON_DECODE,
    POISON_PREFILL,
    count_tokens,
    expected_tokens,
)

__all__ = [
    "KV_BYTES_PER_TOKEN",
    "LEAVING_HEADER",
    "MEAN_TOKENS",
    "POISON_DECODE",
    "POISON_PREFILL",
    "REJECTED",
    "REST_HEADER",
    "CacheChange",
    "CacheEvent",
    "EngineLoad",
    "EngineModel",
    "EngineResource",
    "EngineSpeed",
    "Fabric",
    "MemoryNetwork",
    "MemoryPipe",
    "MemoryPlain",
    "MemoryStore",
    "MemoryTransport",
    "PlainCore",
    "PlainFaults",
    "PlainResource",
    "TableCore",
    "TableFaults",
    "TableResource",
    "count_tokens",
    "expected_tokens",
    "hash_blocks",
    "make_table_resource",
]
