"""Runs a daemon on its event loop until a signal."""

from __future__ import annotations

import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure


def run_until_signal(
    reactor: Any,
    start: Callable[[], Coroutine[Any, Any, None]],
    stop: Callable[[], Coroutine[Any, Any, None]],
    *,
    seconds: float | None = None,
) -> int:
    """Run *start*, and *stop* on SIGINT, SIGTERM or a failed start; return the exit code.

    :param seconds: stop this many seconds after the start, as on a signal; ``None`` for never.
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
        # the reactor's own signal handlers would stop it at once, without a drain
        for number in (signal.SIGINT, signal.SIGTERM):
            signal.signal(number, lambda *_: reactor.callFromThread(end))
        Deferred.fromCoroutine(start()).addCallbacks(plan_end, fail)

    reactor.callWhenRunning(begin)
    reactor.run(installSignalHandlers=False)
    for failure in failures:
        sys.stderr.write(f"lavenderrun: {failure.getErrorMessage()}\n")
    return 1 if failures else 0
