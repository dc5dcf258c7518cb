"""Stand-in for the table service over HTTP, as ``docs/design/store-protocol.md`` describes."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus
from typing import Any

import msgspec
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request

from lavenderrun.kernel import Clock
from lavenderrun.standins._table import TableCore, TableFaults, Throttle
from lavenderrun.types import StoreConflictError, StoredRow

EXPECT_HEADER = "If-Match"


class TableResource(Resource):
    """HTTP resource that serves ``/tables/TABLE/rows`` and ``/tables/TABLE/rows/KEY``.

    :param faults: faults that apply to all callers.
    """

    isLeaf = True  # noqa: N815

    def __init__(self, clock: Clock, core: TableCore, faults: TableFaults) -> None:
        super().__init__()
        self.core = core
        self.faults = faults
        self._clock = clock
        self._reads = Throttle(clock)
        self._writes = Throttle(clock)

    def render(self, request: Request) -> Any:
        """Answer after the configured latency, or never while the service is down."""
        disconnects: list[Any] = []
        request.notifyFinish().addErrback(disconnects.append)
        self._clock.call_later(self.faults.latency, self._answer, request, disconnects)
        return NOT_DONE_YET

    def _answer(self, request: Request, disconnects: list[Any]) -> None:
        if self.faults.down:
            return
        method = request.method.decode("ascii")
        write = method in {"PUT", "DELETE"}
        throttle = self._writes if write else self._reads
        rate = self.faults.writes_per_second if write else self.faults.reads_per_second
        if not throttle.take(rate):
            request.responseHeaders.setRawHeaders("Retry-After", [f"{1 / (rate or 1):.3f}"])
            self._finish(request, disconnects, HTTPStatus.TOO_MANY_REQUESTS, None)
            return
        status, body = self._apply(method, request)
        if write and self.faults.take_lost_reply():
            request.loseConnection()
            return
        self._finish(request, disconnects, status, body)

    def _apply(self, method: str, request: Request) -> tuple[HTTPStatus, Any]:
        parts = [part.decode("utf-8") for part in request.postpath or []]
        match parts:
            case ["tables", table, "rows"] if method == "GET":
                return HTTPStatus.OK, self.core.scan(table)
            case ["tables", table, "rows", key]:
                return self._apply_to_row(method, request, table, key)
        return HTTPStatus.NOT_FOUND, None

    def _apply_to_row(
        self, method: str, request: Request, table: str, key: str
    ) -> tuple[HTTPStatus, Any]:
        if method == "GET":
            row = self.core.get(table, key)
            return (HTTPStatus.OK, row) if row else (HTTPStatus.NOT_FOUND, None)
        try:
            expect = int(request.getHeader(EXPECT_HEADER) or "")
        except ValueError:
            return HTTPStatus.BAD_REQUEST, None
        body = request.content.read() if request.content else b""
        calls: dict[str, Callable[[], StoredRow | None]] = {
            "PUT": lambda: self.core.put(table, key, body, expect=expect),
            "DELETE": lambda: self.core.delete(table, key, expect=expect),
        }
        if method not in calls:
            return HTTPStatus.METHOD_NOT_ALLOWED, None
        try:
            return HTTPStatus.OK, calls[method]()
        except StoreConflictError as conflict:
            return HTTPStatus.PRECONDITION_FAILED, conflict.current

    def _finish(
        self, request: Request, disconnects: list[Any], status: HTTPStatus, body: Any
    ) -> None:
        if disconnects:
            return
        request.setResponseCode(status.value)
        request.responseHeaders.setRawHeaders("Content-Type", ["application/json"])
        request.write(msgspec.json.encode(body))
        request.finish()


def make_table_resource(
    clock: Clock, *, latency: timedelta = timedelta(milliseconds=1)
) -> TableResource:
    """Return a table service without rows."""
    return TableResource(clock, TableCore(), TableFaults(latency=latency))
