"""Records events of this host."""

from __future__ import annotations

from lavenderrun.kernel import Clock, Kernel
from lavenderrun.types import Event, EventData, HostId, Record


class EventEmitter:
    """Adds this host's name and the current time to events and records them."""

    def __init__(self, record: Record, clock: Clock, host: HostId) -> None:
        self._record = record
        self._clock = clock
        self._host = host

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> EventEmitter:
        """Return an emitter for the ``record`` service of *kernel*."""
        host = kernel.settings.hello().host
        return cls(kernel.find("record", Record), kernel.clock, host)

    def emit(self, data: EventData) -> None:
        """Record one event that happens now."""
        self._record.emit(Event(self._clock.now(), self._host, data))
