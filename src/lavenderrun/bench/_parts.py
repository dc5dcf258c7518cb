"""Settings and small parts of a benchmark's hosts."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import ClassVar

from twisted.internet.defer import Deferred, succeed

from lavenderrun.types import AccountId, Charge, Document, DocumentVersion, Event, Hello, Refused


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


class FixedDocument:
    """A ``document`` service with one version that never changes."""

    needs: ClassVar[tuple[str, ...]] = ()
    version = DocumentVersion(1)
    is_fresh = True

    def __init__(self, document: Document) -> None:
        self.current = document

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def watch(self, handler: Callable[[Document], None]) -> None:
        """Call *handler* with the only version."""
        handler(self.current)


class OpenLimits:
    """A ``limits`` service that grants everything."""

    needs: ClassVar[tuple[str, ...]] = ()

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def charge(
        self, account: AccountId, requests: float, tokens: float, patience: timedelta
    ) -> Deferred[Charge | Refused]:
        """Grant at once."""
        del patience
        return succeed(Charge(account, requests, tokens))

    def give_back(self, charge: Charge, tokens: float) -> None:
        """Take nothing back."""
