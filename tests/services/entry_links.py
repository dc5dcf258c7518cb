from __future__ import annotations

from typing import Any


class EntryLinks:
    """The service ``links`` of an entry; a test delivers what comes over them."""

    def __init__(self) -> None:
        self.handlers: dict[type, Any] = {}
        self.live: list[Any] = []
        self.on_up: Any = None

    def subscribe(self, kind: type, handler: Any) -> None:
        self.handlers[kind] = handler

    def watch(self, on_up: Any, _on_down: Any) -> None:
        self.on_up = on_up

    def list_live(self) -> list[Any]:
        return self.live
