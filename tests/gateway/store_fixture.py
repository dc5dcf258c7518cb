"""A store without a network: answers from a list, or a table service that can break."""

from __future__ import annotations

import json
from base64 import b64decode, b64encode
from collections import deque
from datetime import UTC, datetime, timedelta
from random import Random
from types import SimpleNamespace
from typing import Any
from urllib.parse import parse_qs, urlsplit

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock as FakeTime

from lavenderrun.gateway import GATEWAY_SERVICES, HttpAnswer, HttpRequest
from lavenderrun.gateway._rows import RowStore
from lavenderrun.kernel import Clock, Kernel, ReactorClock, sleep
from lavenderrun.platform._store import TableDialect
from lavenderrun.types import GatewayBounds

START = datetime(2026, 1, 1, tzinfo=UTC)
SERVER_ROW = {
    "service": "s",
    "addr": "127.0.0.1:1",
    "zone": "here",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold-left-ms": 0,
    "seq": 1,
}
STEP_SECONDS = 0.02
BOUNDS = GatewayBounds(
    grace=timedelta(seconds=8),
    drain=timedelta(seconds=2),
    retry_ratio=0.2,
    retry_window=timedelta(seconds=10),
    retry_reserve=58,
)


class Pool:
    """Answers calls to the store from a list.

    ``None`` in the list stands for no answer; with an empty list the call waits.

    :ivar headers: headers of all answers.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.headers: list[tuple[str, str]] = []
        self.answers: deque[tuple[int, dict[str, Any]] | None] = deque()

    async def fetch(
        self, _address: str, call: HttpRequest, timeout: timedelta, **_options: timedelta
    ) -> HttpAnswer | None:
        self.calls.append(call.target)
        if not self.answers:
            unanswered: Deferred[None] = Deferred()
            await unanswered
        found = self.answers.popleft()
        return found and HttpAnswer(found[0], json.dumps(found[1]).encode(), self.headers)


class StoreFixture:
    """The service ``rows`` on a fake clock.

    :param pool: takes the calls to the store.
    """

    def __init__(self, pool: Pool | None = None, seed: int = 1) -> None:
        self.time = FakeTime()
        clock = ReactorClock(self.time, START, zero=0.0)
        settings = SimpleNamespace(store="127.0.0.1:9", bounds=BOUNDS, data_centre="here")
        self.kernel = Kernel(clock, settings, Random(seed))
        self.pool = pool or Pool()
        self.kernel.provide("pool", self.pool)
        self.kernel.provide("store_dialect", TableDialect("127.0.0.1:9"))
        self.kernel.build(["stats", "bounds", "rows"], GATEWAY_SERVICES)
        self.rows = self.kernel.find("rows", RowStore)

    def pass_time(self, seconds: float) -> None:
        """Let time pass in steps, so that timers run in their order."""
        for _ in range(round(seconds / STEP_SECONDS)):
            self.time.advance(STEP_SECONDS)

    def answer(self, version: int, *rows: dict[str, Any], status: int = 200) -> None:
        body = {"rows": list(rows), "ver": version, "truncated": False, "now-ms": 1}
        self.pool.answers.append((status, body))


def make_row(key: str, version: int, value: dict[str, Any] | None) -> dict[str, Any]:
    found: dict[str, Any] = {"key": key, "ver": version, "part": ""}
    if value is None:
        return found | {"removed": True}
    return found | {"value": b64encode(json.dumps(value).encode()).decode()}


class BreakingStore(Pool):
    """A table service whose connections break and which may answer nobody.

    :ivar is_down: whether each call fails at once.
    :ivar is_silent: whether no call is answered.
    :ivar late_by: how late each answer comes.
    :ivar era: how often the store has come back from a copy.
    """

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        self.is_silent = False
        self.era = 0
        self.late_by = timedelta(0)
        self.clock: Clock | None = None
        self._rows: dict[tuple[str, str], tuple[int, dict[str, Any] | None]] = {}
        self._version = 0
        self._pending: list[tuple[str, int, Deferred[HttpAnswer | None]]] = []
        self._held: list[Deferred[None]] | None = None

    def put(self, table: str, key: str, value: dict[str, Any] | None) -> None:
        """Write a row, or remove it when *value* is ``None``."""
        self._version += 1
        self._rows[table, key] = (self._version, value)
        pending, self._pending = self._pending, []
        for called, after, answer in pending:
            if called == table:
                answer.callback(self._read(table, after, removed=True))
            else:
                self._pending.append((called, after, answer))

    def copy(self) -> tuple[int, dict[tuple[str, str], tuple[int, dict[str, Any] | None]]]:
        """Return a copy from which the store can come back."""
        return self._version, dict(self._rows)

    def go_back(
        self, copy: tuple[int, dict[tuple[str, str], tuple[int, dict[str, Any] | None]]]
    ) -> None:
        """Come back from an older copy; versions after it are given out again."""
        self._version, self._rows = copy[0], dict(copy[1])
        self.era += 1
        self.headers = [("Store-Era", str(self.era))]
        self.break_connections()

    def break_connections(self) -> None:
        """Let all calls that wait for changes end without an answer."""
        pending, self._pending = self._pending, []
        for _, _, answer in pending:
            answer.callback(None)

    def hold(self) -> None:
        """Hold back all answers, as a link does that is cut for a moment."""
        self._held = []

    def release(self) -> None:
        """Deliver the answers that were held back."""
        held, self._held = self._held or [], None
        for answer in held:
            answer.callback(None)

    async def fetch(
        self, _address: str, call: HttpRequest, timeout: timedelta, **_options: timedelta
    ) -> HttpAnswer | None:
        self.calls.append(call.target)
        answer = await self._answer(call, timeout)
        if self._held is not None:
            held: Deferred[None] = Deferred()
            self._held.append(held)
            await held
        if self.late_by and self.clock is not None:
            await sleep(self.clock, self.late_by)
        return answer

    async def _answer(self, call: HttpRequest, timeout: timedelta) -> HttpAnswer | None:
        if self.is_silent and self.clock is not None:
            await sleep(self.clock, timeout)
            return None
        if self.is_down:
            return None
        url = urlsplit(call.target)
        if call.method == "POST":
            return self._transact(json.loads(call.body))
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if "after" not in query:
            return self._read(query["table"], 0, removed=False)
        table, after = query["table"], int(query["after"])
        if after > self._version:
            return HttpAnswer(410, b"{}", list(self.headers))
        if query["wait-ms"] == "0" or self._list_rows(table, after, removed=True):
            return self._read(table, after, removed=True)
        answer: Deferred[HttpAnswer | None] = Deferred()
        waiting = (table, after, answer)
        self._pending.append(waiting)
        if self.clock is not None:
            wait = timedelta(milliseconds=int(query["wait-ms"]))
            self.clock.call_later(wait, self._end_wait, waiting)
        return await answer

    def _transact(self, wanted: dict[str, Any]) -> HttpAnswer:
        for row in wanted["expected"]:
            version, value = self._rows.get((row["table"], row["key"]), (0, None))
            if row["ver"] != (version if value is not None else 0):
                return HttpAnswer(412, b"{}", list(self.headers))
        for row in wanted["writes"]:
            self.put(row["table"], row["key"], json.loads(b64decode(row["value"])))
        for row in wanted["deletes"]:
            self.put(row["table"], row["key"], None)
        return self._read("", 0, removed=False)

    def _end_wait(self, waiting: tuple[str, int, Deferred[HttpAnswer | None]]) -> None:
        """Answer that there are no changes, as a table service does in the end."""
        if waiting in self._pending:
            self._pending.remove(waiting)
            table, after, answer = waiting
            answer.callback(self._read(table, after, removed=True))

    def _list_rows(self, table: str, after: int, *, removed: bool) -> list[dict[str, Any]]:
        return [
            make_row(key, version, value)
            for (where, key), (version, value) in self._rows.items()
            if where == table and version > after and (removed or value is not None)
        ]

    def _read(self, table: str, after: int, *, removed: bool) -> HttpAnswer:
        rows = self._list_rows(table, after, removed=removed)
        page = {"rows": rows, "ver": self._version, "truncated": False, "now-ms": 1}
        return HttpAnswer(200, json.dumps(page).encode(), list(self.headers))
