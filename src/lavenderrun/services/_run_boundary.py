"""The boundary around the handling of one request: unexpected errors end that request only."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from eliot import log_message

from lavenderrun.http_server import describe_error
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
