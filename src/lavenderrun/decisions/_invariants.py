"""Checks of what must always hold, over the event record of a run.

Each check stands in :data:`INVARIANT_CHECKS` under the value of its :class:`Invariant` member.
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

H = TypeVar("H", bound=EventData)


@dataclass(frozen=True)
class Violation:
    """One breach of an invariant.

    :param subject: the request, host or account concerned.
    """

    invariant: Invariant
    at: datetime
    subject: str
    text: str


class RecordIndex:
    """The events of a whole run in the order in which they happened.

    :param events: the record; hosts share one time line.
    """

    def __init__(self, events: Sequence[Event]) -> None:
        self.events = events
        self.end = events[-1].at if events else datetime.min
        self._kinds: dict[type[EventData], list[Event]] = {}
        for event in events:
            self._kinds.setdefault(type(event.data), []).append(event)

    def select(self, kind: type[H]) -> Iterator[tuple[Event, H]]:
        """Yield the events of *kind* with their content."""
        for event in self._kinds.get(kind, ()):
            assert isinstance(event.data, kind)
            yield event, event.data

    def find_end_of_life(self, host: HostId, after: datetime) -> datetime | None:
        """Return when the life that *host* had at *after* ended, ``None`` when it did not."""
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
    """Return all violations in a record, in the order of the invariants."""
    index = RecordIndex(events)
    return [
        violation
        for invariant in Invariant
        for violation in INVARIANT_CHECKS.find(invariant.value)(index)
    ]
