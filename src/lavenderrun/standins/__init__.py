"""Small stand-ins for outside systems and for the network between hosts."""

from __future__ import annotations

from lavenderrun.standins._memory_transport import MemoryNetwork, MemoryPipe, MemoryTransport
from lavenderrun.standins._table import MemoryStore, TableCore, TableFaults
from lavenderrun.standins._table_http import TableResource, make_table_resource

__all__ = [
    "MemoryNetwork",
    "MemoryPipe",
    "MemoryStore",
    "MemoryTransport",
    "TableCore",
    "TableFaults",
    "TableResource",
    "make_table_resource",
]
