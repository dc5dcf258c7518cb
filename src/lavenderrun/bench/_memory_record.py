"""The ``record`` service of a benchmark, kept in memory."""

from __future__ import annotations

from typing import ClassVar

from lavenderrun.types import Event


class MemoryRecord:
    """A ``record`` service that keeps every event in memory, in the order of emission."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self.events: list[Event] = []

    def start(self) -> None:
        """Do nothing; the list needs no setup."""

    def stop(self) -> None:
        """Do nothing; the events stay readable."""

    def emit(self, event: Event) -> None:
        """Append one event."""
        self.events.append(event)
