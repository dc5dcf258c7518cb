"""The one loop: twisted's reactor over asyncio, which gRPC shares."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Any, TextIO

from eliot import FileDestination, add_destinations
from twisted.internet import asyncioreactor


def install_loop() -> Any:
    """Install and return the reactor; call it before any import of ``twisted.internet.reactor``."""
    # a peer's planned stop is no news for standard error
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    if "twisted.internet.reactor" not in sys.modules:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor  # must come after the installation

    return reactor


def open_log(file: TextIO | None) -> None:
    """Write log lines as JSON to *file*, or nowhere."""
    add_destinations(_drop if file is None else FileDestination(file=file))


def _drop(_message: dict[str, Any]) -> None:
    """Take a log line that nobody reads."""
