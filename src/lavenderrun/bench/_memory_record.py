"""The record of a benchmark."""

from __future__ import annotations

from typing import ClassVar

from lavenderrun.types import Event


class MemoryRecord:
    """The ``record`` service of all hosts: keeps every event in order."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self.events: list[Event] = []

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def emit(self, event: Event) -> None:
        """Keep one event."""
        self.events.append(event)
