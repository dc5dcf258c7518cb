"""The event loop of a process: twisted's reactor on asyncio, which gRPC uses too."""

from __future__ import annotations

import asyncio
import os
import sys
from typing import Any, TextIO

from eliot import FileDestination, add_destinations
from twisted.internet import asyncioreactor


def install_loop() -> Any:
    """Install and return the reactor; call this before importing ``twisted.internet.reactor``."""
    # without it, gRPC writes to standard error when a peer stops as planned
    os.environ.setdefault("GRPC_VERBOSITY", "ERROR")
    if "twisted.internet.reactor" not in sys.modules:
        loop = asyncio.new_event_loop()
        asyncio.set_event_loop(loop)
        asyncioreactor.install(loop)
    from twisted.internet import reactor  # must come after the installation

    return reactor


def open_log(file: TextIO | None) -> None:
    """Write log lines as JSON to *file*; drop them if it is ``None``."""
    add_destinations(_drop if file is None else FileDestination(file=file))


def _drop(_message: dict[str, Any]) -> None:
    """Discard a log line."""
