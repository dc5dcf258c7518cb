"""Service ``record``: writes each event as one log line and passes it to watchers."""

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
    WorkFailed,
)

LOG_TEXTS: dict[type[EventData], str] = {
    RequestAccepted: "router: request accepted",
    AnswerBegun: "router: answer started",
    RequestFinished: "router: request finished",
    RequestRefused: "router: request refused",
    RequestCancelled: "router: caller disconnected",
    Routed: "router: host chosen",
    SeatTaken: "seats: decode slot reserved",
    SeatFreed: "seats: decode slot freed",
    PrefillStarted: "prefill: started",
    PrefillDone: "prefill: exported",
    PrefillUsed: "prefill: result imported",
    PrefillWasted: "prefill: result not used",
    ExportHeld: "prefill: export held",
    ExportFreed: "prefill: export freed",
    BackendRun: "backend: work submitted",
    BackendEnded: "backend: work ended",
    BackendCrashed: "backend: crashed",
    WorkFailed: "agent: call failed with an unexpected error",
    TokensGranted: "limits: account charged",
    TokensReturned: "limits: unused tokens returned",
    DocumentInForce: "document: version in force",
    HostLeaving: "host: takes no new work",
    Placed: "orders: order to a backend server",
}
"""Text of the log line of each kind of event; its prefix names the part of the program."""


class RecordService:
    """Logs events and passes them to watchers.

    Events hold neither API keys nor bodies, so log lines don't either.
    """

    needs: ClassVar[tuple[str, ...]] = ()

    def __init__(self) -> None:
        self._watchers: list[Callable[[Event], None]] = []

    def start(self) -> None:
        """Do nothing; the service holds no resources."""

    def stop(self) -> None:
        """Do nothing; the service holds no resources."""

    def watch(self, watcher: Callable[[Event], None]) -> None:
        """Call *watcher* with each later event."""
        self._watchers.append(watcher)

    def emit(self, event: Event) -> None:
        """Log one event and pass it to all watchers."""
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
    """Return the service that records events."""
    return RecordService()
