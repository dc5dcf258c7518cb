"""Small stand-ins for outside systems and for the network between hosts."""

from __future__ import annotations

from lavenderrun.standins._memory_transport import MemoryNetwork, MemoryPipe, MemoryTransport

__all__ = ["MemoryNetwork", "MemoryPipe", "MemoryTransport"]
