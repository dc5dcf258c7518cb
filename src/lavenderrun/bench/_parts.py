"""Settings and small parts of a benchmark's hosts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import ClassVar

from lavenderrun.types import Event, Hello


@dataclass(frozen=True)
class BenchSettings:
    """Settings of one host.

    :param policies: chosen policies by part; the rest are the defaults.
    """

    greeting: Hello
    backend_seats: int
    policies: dict[str, str] = field(default_factory=dict)
    backend_pieces: int = 640

    def hello(self) -> Hello:
        """Return this host's greeting."""
        return self.greeting

    def seats(self) -> int:
        """Return the requests that the backend server runs at once."""
        return self.backend_seats

    def pieces(self) -> int:
        """Return the pieces of KV cache of the backend server."""
        return self.backend_pieces


class RecordList:
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
