"""The boundary around the handling of one request: unexpected errors end that request only."""

from __future__ import annotations

from collections.abc import Callable
from datetime import datetime, timedelta
from typing import Any, Protocol

from eliot import log_message

from lavenderrun.http_server import describe_error
from lavenderrun.kernel import Clock, Timer
from lavenderrun.types import ModelRequest, PlainRequest


class FailingRun(Protocol):
    """A request that an unexpected error can end."""

    @property
    def request(self) -> ModelRequest | PlainRequest:
        """The request that is handled."""

    def fail(self) -> None:
        """End the request with an unknown outcome and release what it holds."""


def run_guarded(run: FailingRun, call: Callable[..., Any], *args: Any) -> None:
    """Run *call*, a step in the handling of *run*, which ends if the step fails."""
    try:
        call(*args)
    except Exception as error:
        log_message(
            "router:failed",
            text="router: request failed with an unexpected error",
            request=run.request.request,
            error=describe_error(error),
        )
        run.fail()


class GuardedClock:
    """A clock for the parts of one request: errors in their timers end that request only."""

    def __init__(self, clock: Clock, run: FailingRun) -> None:
        self._clock = clock
        self._run = run

    def now(self) -> datetime:
        """Return the current time."""
        return self._clock.now()

    def call_later(self, delay: timedelta, call: Callable[..., Any], *args: Any) -> Timer:
        """Run *call* after *delay* inside the boundary of the request."""
        return self._clock.call_later(delay, run_guarded, self._run, call, *args)
