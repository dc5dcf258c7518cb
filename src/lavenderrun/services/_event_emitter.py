"""Puts events on the record with this host's name and time."""

from __future__ import annotations

from lavenderrun.kernel import Clock, Kernel
from lavenderrun.types import Event, EventData, HostId, Record


class EventEmitter:
    """Shorthand for one host's events."""

    def __init__(self, record: Record, clock: Clock, host: HostId) -> None:
        self._record = record
        self._clock = clock
        self._host = host

    @classmethod
    def from_kernel(cls, kernel: Kernel) -> EventEmitter:
        """Return the emitter of a kernel with a ``record`` service."""
        host = kernel.settings.hello().host
        return cls(kernel.find("record", Record), kernel.clock, host)

    def emit(self, what: EventData) -> None:
        """Put one event on the record."""
        self._record.emit(Event(self._clock.now(), self._host, what))
