"""The boundary around an agent's work on one call: unexpected errors end that call only."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from typing import Any, Protocol, TypeVar

from eliot import log_message

from lavenderrun.decisions import JobKey
from lavenderrun.http_server import describe_error
from lavenderrun.services._event_emitter import EventEmitter
from lavenderrun.types import (
    AttemptId,
    BackendId,
    Link,
    Message,
    Refused,
    ReplySink,
    RequestId,
    WorkFailed,
)

M = TypeVar("M", bound=Message)
Fail = Callable[[JobKey, Link | None], None]


class AttemptMessage(Protocol):
    """What messages about an attempt have in common."""

    request: RequestId
    attempt: AttemptId


class JobBoundary:
    """Passes unexpected errors in the work on a call to its agent, which ends the call.

    :param fail: ends the call and tells its entry the true outcome; the link is the one over which
        a message came, ``None`` where the error was met elsewhere.
    """

    def __init__(self, events: EventEmitter, backend: BackendId, fail: Fail) -> None:
        self._events = events
        self._backend = backend
        self._fail = fail

    def guard(
        self, handler: Callable[[Link, M], None], fail: Fail | None = None
    ) -> Callable[[Link, M], None]:
        """Return *handler* for messages about attempts, with its errors passed to *fail*."""

        def run(link: Link, message: M) -> None:
            about: Any = message
            key: JobKey = (about.request, about.attempt)
            try:
                handler(link, message)
            except Exception as error:
                self._end(key, link, error, fail or self._fail)

        return run

    def run(self, key: JobKey, call: Callable[..., None], *args: Any) -> None:
        """Run *call*, a step in the work on a call."""
        try:
            call(*args)
        except Exception as error:
            self._end(key, None, error, self._fail)

    def _end(self, key: JobKey, link: Link | None, error: Exception, fail: Fail) -> None:
        failed = WorkFailed(*key, self._backend, describe_error(error))
        for step in (partial(self._events.emit, failed), partial(fail, key, link)):
            try:
                step()
            except Exception as further:
                log_message(
                    "agent:failed",
                    text="agent: a failed call could not be ended in order",
                    request=key[0],
                    attempt=key[1],
                    error=describe_error(further),
                )


class GuardedReplySink:
    """A sink whose errors are handled by *run*."""

    def __init__(self, sink: ReplySink, run: Callable[..., None]) -> None:
        self._sink = sink
        self._run = run

    def put_head(self, status: int, headers: list[tuple[str, str]]) -> None:
        """Pass status and headers on."""
        self._run(self._sink.put_head, status, headers)

    def put_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        self._run(self._sink.put_body, data)

    def finish(self) -> None:
        """Pass the end on."""
        self._run(self._sink.finish)

    def refuse(self, refused: Refused) -> None:
        """Pass the refusal on."""
        self._run(self._sink.refuse, refused)
