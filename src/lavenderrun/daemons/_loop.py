"""The one loop: twisted's reactor over asyncio, which gRPC shares."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any, TextIO

from eliot import FileDestination, add_destinations
from twisted.internet import asyncioreactor
from twisted.internet.defer import Deferred
from twisted.python.failure import Failure


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


def run_until_signal(
    reactor: Any,
    start: Callable[[], Coroutine[Any, Any, None]],
    stop: Callable[[], Coroutine[Any, Any, None]],
    *,
    seconds: float | None = None,
) -> int:
    """Run *start*, then the loop until SIGINT, SIGTERM or a failed start; return the exit code.

    :param seconds: end by itself so long after the start, as by a signal.
    """
    failures: list[Failure] = []
    stopping: list[bool] = []

    def end(_: object = None) -> None:
        if stopping:
            return
        stopping.append(True)
        ended = Deferred.fromCoroutine(stop())
        ended.addErrback(failures.append)
        ended.addBoth(lambda _: reactor.stop())

    def fail(failure: Failure) -> None:
        failures.append(failure)
        end()

    def plan_end(_: None) -> None:
        if seconds is not None:
            reactor.callLater(seconds, end)

    def begin() -> None:
        # the reactor would stop at once on a signal; a planned stop drains first
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: reactor.callFromThread(end))
        Deferred.fromCoroutine(start()).addCallbacks(plan_end, fail)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    for failure in failures:
        sys.stderr.write(f"lavenderrun: {failure.getErrorMessage()}\n")
    return 1 if failures else 0
