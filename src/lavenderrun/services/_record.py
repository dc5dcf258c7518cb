"""Service ``record``: writes each event as one log line and hands it to watchers."""

from __future__ import annotations

from collections.abc import Callable
from typing import ClassVar

import msgspec
from eliot import log_message

from lavenderrun.kernel import SERVICES, Kernel
from lavenderrun.types import (
    AnswerBegun,
    BackendCrashed,
    BackendEnded,
    BackendRun,
    DocumentInForce,
    Event,
    EventData,
    ExportFreed,
    ExportHeld,
    HostLeaving,
    Placed,
    PrefillDone,
    PrefillStarted,
    PrefillUsed,
    PrefillWasted,
    RequestAccepted,
    RequestCancelled,
    RequestFinished,
    RequestRefused,
    Routed,
    SeatFreed,
    SeatTaken,
    TokensGranted,
    TokensReturned,
)

LOG_TEXTS: dict[type[EventData], str] = {
    RequestAccepted: "router: request accepted",
    AnswerBegun: "router: answer begun",
    RequestFinished: "router: request finished",
    RequestRefused: "router: request refused",
    RequestCancelled: "router: caller is gone",
    Routed: "router: host chosen",
    SeatTaken: "seats: seat promised",
    SeatFreed: "seats: seat freed",
    PrefillStarted: "prefill: started",
    PrefillDone: "prefill: exported",
    PrefillUsed: "prefill: result imported",
    PrefillWasted: "prefill: result not used",
    ExportHeld: "prefill: export held",
    ExportFreed: "prefill: export freed",
    BackendRun: "backend: work handed over",
    BackendEnded: "backend: work ended",
    BackendCrashed: "backend: crashed",
    TokensGranted: "limits: account charged",
    TokensReturned: "limits: unused part returned",
    DocumentInForce: "document: version in force",
    HostLeaving: "host: takes no new work",
    Placed: "orders: backend server ordered",
}
"""The sentence of each kind of event; the prefix names the part."""


class RecordService:
    """Takes events; see ``Record``. An event holds no key and no body, so neither does a line."""

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self._watchers: list[Callable[[Event], None]] = []

    def start(self) -> None:
        """Nothing to begin."""

    def stop(self) -> None:
        """Nothing to end."""

    def watch(self, watcher: Callable[[Event], None]) -> None:
        """Call *watcher* with each event."""
        self._watchers.append(watcher)

    def emit(self, event: Event) -> None:
        """Log one event and hand it on."""
        kind = type(event.data)
        fields = msgspec.to_builtins(event.data)
        name = fields.pop("type", kind.__name__)
        log_message(
            f"record:{name}", text=LOG_TEXTS.get(kind, f"record: {name}"), host=event.host, **fields
        )
        for watcher in self._watchers:
            watcher(event)


@SERVICES.register("record")
def make_record(_kernel: Kernel) -> RecordService:
    """Make the service."""
    return RecordService()
