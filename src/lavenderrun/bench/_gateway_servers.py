"""Plain servers and the table service of a gateway benchmark, as HTTP servers without a network."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta

import msgspec

from lavenderrun.bench._gateway_dialects import (
    CONFIGURATION_TABLE,
    MEMBERS_TABLE,
    REQUEST_HEADER,
    RUNNING_HEADER,
    SERVED_BY_HEADER,
    SLOTS_HEADER,
    find_header,
)
from lavenderrun.bench._memory_tcp import Answer
from lavenderrun.bench._time import EventClock
from lavenderrun.gateway import HttpRequest, RowChange, RowPage
from lavenderrun.standins import MemoryPlain
from lavenderrun.types import (
    BackendReceived,
    BackendRejected,
    BackendStarted,
    EventData,
    Headers,
    HostId,
    Member,
    Refused,
    RequestId,
)

Emit = Callable[[HostId, EventData], None]
PLATFORM = HostId("platform")


class BenchTable:
    """A table service that is read only by hosts; feeds are answered on a change or in time."""

    def __init__(self, clock: EventClock) -> None:
        self._clock = clock
        self._version = 0
        self._tables: dict[str, dict[str, RowChange]] = {}
        self._waiting: list[Callable[[], bool]] = []

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row and answer the feeds that wait for a change of its table."""
        self._version += 1
        self._tables.setdefault(table, {})[key] = RowChange(key, value, self._version)
        self._waiting = [answer_change for answer_change in self._waiting if not answer_change()]

    def handle(self, _host: HostId, request: HttpRequest, answer: Answer) -> None:
        """Answer a read, or a feed once there is a change or its wait is over."""
        _, table, *feed = request.target.split("/")
        after, wait = (int(feed[0]), float(feed[1])) if feed else (0, 0.0)
        is_over = False

        def end() -> None:
            nonlocal is_over
            if not is_over:
                is_over = True
                self._answer_rows(table, after, answer)

        def answer_change() -> bool:
            if self._list_rows(table, after):
                end()
            return is_over

        if not answer_change():
            self._waiting.append(answer_change)
            self._clock.call_later(timedelta(seconds=wait), end)

    def _list_rows(self, table: str, after: int) -> list[RowChange]:
        return [row for row in self._tables.get(table, {}).values() if row.version > after]

    def _answer_rows(self, table: str, after: int, answer: Answer) -> None:
        body = msgspec.msgpack.encode(RowPage(self._list_rows(table, after), self._version))
        answer(200, [("Content-Length", str(len(body)))], body)


class BenchServer:
    """A plain server with its row; records each call that reaches it.

    :ivar peak: most calls that it ran at once since it was last set to zero.
    """

    def __init__(self, member: Member, plain: MemoryPlain, table: BenchTable, emit: Emit) -> None:
        self.member = member
        self.plain = plain
        self.peak = 0
        self._table = table
        self._emit = emit
        self._put_row()

    @property
    def name(self) -> str:
        """Id and run of the server, as its answers carry them."""
        return f"{self.member.id}/{self.member.started}"

    def start_anew(self) -> None:
        """Begin a new run, which has asked for nothing."""
        self.member = replace(self.member, started=self.member.started + 1)
        self.plain.faults.leaving, self.plain.faults.rest = False, None
        self._emit(PLATFORM, BackendStarted(self.member.id))
        self._put_row()

    def handle(self, host: HostId, request: HttpRequest, answer: Answer) -> None:
        """Record a call and run it, or reject it when the server wants none."""
        name = RequestId(find_header(request.headers, REQUEST_HEADER) or "")
        rest = self.plain.faults.rest
        if rest is None:
            self._emit(host, BackendReceived(name, self.member.id))
        else:
            self._emit(host, BackendRejected(name, self.member.id, rest))
        sink = _AnswerSink(self._make_headers, answer)
        self.plain.call(name, request.method, request.target, [], request.body, sink)
        self.peak = max(self.peak, self.plain.running)

    def _make_headers(self) -> Headers:
        return [
            (SERVED_BY_HEADER, self.name),
            (RUNNING_HEADER, str(self.plain.running)),
            (SLOTS_HEADER, str(self.member.slots)),
        ]

    def _put_row(self) -> None:
        self._table.put(MEMBERS_TABLE, self.member.id, msgspec.msgpack.encode(self.member))


class _AnswerSink:
    """Collects a reply and answers with it; a broken reply is not answered."""

    def __init__(self, make_headers: Callable[[], Headers], answer: Answer) -> None:
        self._answer = answer
        self._status = 0
        self._make_headers = make_headers
        self._headers: Headers = []
        self._body = b""

    def put_head(self, status: int, headers: Headers) -> None:
        self._status, self._headers = status, [*headers, *self._make_headers()]

    def put_body(self, data: bytes) -> None:
        self._body += data

    def finish(self) -> None:
        self._answer(self._status, self._headers, self._body)

    def refuse(self, refused: Refused) -> None:
        """Leave the call unanswered."""


def put_configuration(table: BenchTable) -> None:
    """Write the row that stands for the only configuration."""
    table.put(CONFIGURATION_TABLE, "current", b"")
