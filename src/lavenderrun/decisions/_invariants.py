"""Index of recorded events and registry of the invariant checks that run over it.

Each check is registered in :data:`INVARIANT_CHECKS` under the value of its :class:`Invariant`.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass
from datetime import datetime
from typing import TypeVar

from lavenderrun.kernel import Registry
from lavenderrun.types import (
    Event,
    EventData,
    HostId,
    HostLost,
    HostStarted,
    HostStopped,
    Invariant,
)

Data = TypeVar("Data", bound=EventData)


@dataclass(frozen=True)
class Violation:
    """Violation of an invariant.

    :param at: when it happened.
    :param subject: the request, host or account concerned.
    :param text: what happened to the subject.
    """

    invariant: Invariant
    at: datetime
    subject: str
    text: str


class RecordIndex:
    """Events of a whole run, indexed by kind.

    :param events: all events in order of time, with one clock for all hosts.
    """

    def __init__(self, events: Sequence[Event]) -> None:
        self.events = events
        self.end = events[-1].at if events else datetime.min
        self._kinds: dict[type[EventData], list[Event]] = {}
        for event in events:
            self._kinds.setdefault(type(event.data), []).append(event)

    def select(self, kind: type[Data]) -> Iterator[tuple[Event, Data]]:
        """Yield the events of *kind*, each with its data."""
        for event in self._kinds.get(kind, ()):
            assert isinstance(event.data, kind)
            yield event, event.data

    def find_host_end(self, host: HostId, after: datetime) -> datetime | None:
        """Return when *host* was first lost, stopped or started after *after*, if it ever was."""
        ends = [
            event.at
            for kind in (HostLost, HostStopped, HostStarted)
            for event, _ in self.select(kind)
            if event.host == host and event.at > after
        ]
        return min(ends, default=None)


Check = Callable[[RecordIndex], Iterable[Violation]]

INVARIANT_CHECKS: Registry[Check] = Registry("invariant check")


def check_record(events: Sequence[Event]) -> list[Violation]:
    """Return all violations in *events*, in the order of the invariants."""
    index = RecordIndex(events)
    return [
        violation
        for invariant in Invariant
        for violation in INVARIANT_CHECKS.find(invariant.value)(index)
    ]
