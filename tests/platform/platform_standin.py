"""A stand-in platform on loopback: the table service, plain backend servers and engines."""

from __future__ import annotations

import base64
import json
import socket
import threading
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from free_ports import find_ports
from lost_hosts import drop_data

STREAM, RESUMED, PLAIN, ORDERS = "/gen/", "/again/", "/look/", "/order/"
HOST = "front.example"
KEY, OTHER_KEY = "key-of-talleres", "key-of-molinos"


def read_all(handler: BaseHTTPRequestHandler) -> bytes:
    return handler.rfile.read(int(handler.headers.get("Content-Length") or 0))


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Print nothing: callers reset connections on purpose."""


class StoreEndpoint:
    """One address of the store, which can refuse all calls or answer none.

    :ivar refusal: status with which it refuses them.
    """

    def __init__(self, store: Store) -> None:
        self.refusing = False
        self.refusal = 503
        self.silent = False
        endpoint = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_: Any) -> None:
                pass

            def do_GET(self) -> None:
                self._reply(*store.answer(endpoint, self.path, b""))

            def do_POST(self) -> None:
                self._reply(*store.answer(endpoint, self.path, read_all(self)))

            def _reply(self, status: int, found: dict[str, Any]) -> None:
                body = json.dumps(found).encode()
                while endpoint.silent:
                    time.sleep(0.05)
                with suppress(OSError):
                    self.send_response(status)
                    self.send_header("Content-Length", str(len(body)))
                    self.send_header("Store-Era", str(store.era))
                    self.end_headers()
                    self.wfile.write(body)

        self._server = _Server(("127.0.0.1", 0), Handler)
        threading.Thread(target=self._server.serve_forever, args=(0.02,), daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._server.server_address[1]}"

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()


class Store:
    """The table service: rows with versions, delayed change requests and transactions.

    :ivar translate: changes what a client writes, by table, key and value.
    :ivar era: how often the store has come back from a copy.
    """

    def __init__(self) -> None:
        self.translate: Callable[[str, str, bytes], bytes] = lambda _table, _key, raw: raw
        self.rows: dict[tuple[str, str], tuple[int, bytes | None]] = {}
        self.version = 0
        self.era = 0
        self.history_from = 0
        self._changed = threading.Condition()
        self.endpoints = [StoreEndpoint(self)]

    @property
    def address(self) -> str:
        return self.endpoints[0].address

    def refuse(self, *, refusing: bool) -> None:
        self.endpoints[0].refusing = refusing

    def add_endpoint(self) -> StoreEndpoint:
        self.endpoints.append(StoreEndpoint(self))
        return self.endpoints[-1]

    def put(self, table: str, key: str, value: Any) -> None:
        raw = value if isinstance(value, bytes) else json.dumps(value).encode()
        with self._changed:
            self._write(table, key, raw)

    def remove(self, table: str, key: str) -> None:
        with self._changed:
            self._write(table, key, None)

    def copy(self) -> tuple[int, dict[tuple[str, str], tuple[int, bytes | None]]]:
        """Return a copy from which the store can come back."""
        with self._changed:
            return self.version, dict(self.rows)

    def go_back(self, copy: tuple[int, dict[tuple[str, str], tuple[int, bytes | None]]]) -> None:
        """Come back from an older copy; versions after it are given out again."""
        with self._changed:
            self.version, self.rows = copy[0], dict(copy[1])
            self.era += 1
            self._changed.notify_all()

    def forget_history(self) -> None:
        with self._changed:
            self.version += 1
            self.history_from = self.version
            self._changed.notify_all()

    def close(self) -> None:
        for endpoint in self.endpoints:
            endpoint.close()

    def answer(self, endpoint: StoreEndpoint, path: str, body: bytes) -> tuple[int, dict[str, Any]]:
        url = urlsplit(path)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        with self._changed:
            if endpoint.refusing:
                return endpoint.refusal, {}
            if url.path == "/api/rows-tx":
                return self._transact(json.loads(body))
            if url.path == "/api/rows-feed":
                return self._feed(endpoint, query)
            return 200, self._page(query["table"], after=0, removed=False)

    def _write(self, table: str, key: str, raw: bytes | None) -> None:
        self.version += 1
        self.rows[table, key] = (self.version, raw)
        self._changed.notify_all()

    def _transact(self, wanted: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for row in wanted["expected"]:
            version, raw = self.rows.get((row["table"], row["key"]), (0, None))
            if row["ver"] != (version if raw is not None else 0):
                return 412, {"rows": [], "ver": self.version}
        for row in wanted["writes"]:
            raw = base64.b64decode(row["value"])
            self._write(row["table"], row["key"], self.translate(row["table"], row["key"], raw))
        for row in wanted["deletes"]:
            self._write(row["table"], row["key"], None)
        return 200, {"ver": self.version, "now-ms": 1}

    def _feed(self, endpoint: StoreEndpoint, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        until, era = time.monotonic() + int(query["wait-ms"]) / 1000, self.era
        while True:
            if endpoint.refusing:
                return endpoint.refusal, {}
            # no call outlives the store that it waits in
            if era != self.era:
                return 503, {}
            if not self.history_from <= int(query["after"]) <= self.version:
                return 410, {}
            page = self._page(query["table"], after=int(query["after"]), removed=True)
            left = until - time.monotonic()
            if page["rows"] or left <= 0:
                return 200, page
            self._changed.wait(left)

    def _page(self, table: str, *, after: int, removed: bool) -> dict[str, Any]:
        rows = []
        for (where, key), (version, raw) in sorted(self.rows.items()):
            if where != table or version <= after or (raw is None and not removed):
                continue
            row = {"table": table, "part": "", "key": key, "ver": version}
            if raw is None:
                row["removed"] = True
            else:
                row["value"] = base64.b64encode(raw).decode()
            rows.append(row)
        return {"rows": rows, "truncated": False, "ver": self.version, "now-ms": 1}


@dataclass
class SeenRequest:
    """A request as a backend server received it."""

    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float = field(default_factory=time.monotonic)

    @property
    def parts(self) -> set[str]:
        """Parts of the prompt."""
        prefix = self.headers.get("x-prefix-hash", "")
        return {entry.partition(":")[0] for entry in prefix.split(",") if entry}


Behaviour = Callable[["StandinServer", BaseHTTPRequestHandler, SeenRequest], bool]


@dataclass
class StandinServer:
    """A backend server.

    :param behave: may answer a call instead of the server; returns whether it did.
    :param notices: headers in all its answers that say something about the server.
    :param deadly_parts: parts of prompts on which it crashes when it begins to answer.
    :param on_crash: called then; lets the server crash.
    :param names_request: its events name the request that they answer.
    :param reads_after: seconds for which it does not read the body of a request.
    """

    id: str
    service: str
    stage: str | None = None
    events: int = 6
    pause: float = 0.01
    behave: Behaviour | None = None
    notices: list[tuple[str, str]] = field(default_factory=list)
    deadly_parts: set[str] = field(default_factory=set)
    on_crash: Callable[[StandinServer], None] | None = None
    names_request: bool = False
    reads_after: float = 0.0
    seen: list[SeenRequest] = field(default_factory=list)
    runs: list[str] = field(default_factory=list)

    def __post_init__(self) -> None:
        server = self
        self._silent_until = 0.0
        self.silences: list[tuple[float, float]] = []
        self._connections: set[socket.socket] = set()

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"
            wbufsize = 0

            def setup(self) -> None:
                super().setup()
                server._connections.add(self.connection)

            def finish(self) -> None:
                server._connections.discard(self.connection)
                super().finish()

            def log_message(self, *_: Any) -> None:
                pass

            def do_GET(self) -> None:
                server.serve(self)

            def do_POST(self) -> None:
                server.serve(self)

            def do_DELETE(self) -> None:
                server.serve(self)

        self._handler = Handler
        # a port that other processes on this machine take while nothing listens would answer
        self._listen(*find_ports(1))

    def _listen(self, port: int) -> None:
        self._server = _Server(("127.0.0.1", port), self._handler)
        self._port = self._server.server_address[1]
        threading.Thread(target=self._server.serve_forever, args=(0.02,), daemon=True).start()

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self._port}"

    def crash(self) -> None:
        """End like a process that dies: nothing listens and all connections are closed."""
        self.stop_listening()
        for connection in list(self._connections):
            with suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def start_again(self) -> None:
        """Listen again at the same address, as another run of the server."""
        self._server.shutdown()
        self._listen(self._port)

    def entry(self, **changes: Any) -> dict[str, Any]:
        found: dict[str, Any] = {
            "service": self.service,
            "addr": self.address,
            "zone": "here",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold-left-ms": 0,
            "seq": 1,
            "born": 1,
        }
        if self.stage is not None:
            found["stage"] = self.stage
        return {**found, **changes}

    def stop_listening(self) -> None:
        """Accept no more connections, like a crashed server."""
        self._server.socket.close()

    def lose_host(self) -> None:
        """Acknowledge nothing that comes over new connections, as if the host were gone."""
        drop_data(self._server.socket)

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()

    def fall_silent(self, seconds: float) -> None:
        """Send nothing for some time; connections stay open and answers go on where they were."""
        now = time.monotonic()
        self._silent_until = max(self._silent_until, now + seconds)
        self.silences.append((now, self._silent_until))

    def _wait_while_silent(self) -> None:
        while (left := self._silent_until - time.monotonic()) > 0:
            time.sleep(left)

    def serve(self, handler: BaseHTTPRequestHandler) -> None:
        headers = {name.lower(): value for name, value in handler.headers.items()}
        time.sleep(self.reads_after)
        seen = SeenRequest(handler.command, handler.path, headers, read_all(handler))
        self.seen.append(seen)
        self._wait_while_silent()
        with suppress(OSError):
            if handler.path == "/api/order" or handler.path.startswith("/api/kv-handle/"):
                self.reply(handler, 200, b"", [])
            elif handler.path == "/api/report":
                state = {"stage": self.stage, "busy": False, "seq": 0}
                self.reply(handler, 200, json.dumps(state).encode(), [])
            elif headers.get("x-expect-instance") != self.id:
                self.reply(handler, 421, b"", [])
            elif self.behave is None or not self.behave(self, handler, seen):
                self.run(handler, seen)

    def run(self, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> None:
        request = seen.headers["x-request-id"]
        if seen.headers.get("x-stage") == "prefill":
            body = json.dumps({"kv-handle": f"h{len(self.seen)}", "tokens": 5, "version": 1})
            self.reply(handler, 200, body.encode(), [("X-Request-Id", request)])
            return
        self.runs.append(request)
        if self.stage is None:
            self.reply(handler, 200, b"body of " + self.id.encode(), self.sign(request))
            return
        if self.on_crash is not None and self.deadly_parts & seen.parts:
            self.stream(handler, seen, 0)
            self.on_crash(self)
            return
        self.stream(handler, seen, self.events)
        self._wait_while_silent()
        handler.wfile.write(b"0\r\n\r\n")

    def sign(self, request: str) -> list[tuple[str, str]]:
        return [("X-Request-Id", request), ("X-Server-Stamp", f"stamp-{self.id}")]

    def stream(self, handler: BaseHTTPRequestHandler, seen: SeenRequest, until: int) -> None:
        handler.send_response(200)
        handler.send_header("Content-Type", "text/event-stream")
        handler.send_header("Transfer-Encoding", "chunked")
        for name, value in (*self.sign(seen.headers["x-request-id"]), *self.notices):
            handler.send_header(name, value)
        handler.end_headers()
        first, request = int(seen.headers.get("last-event-id", "0")) + 1, ""
        if self.names_request:
            request = seen.headers["x-request-id"]
        self.write_events(handler, first, until, request)

    def write_events(
        self, handler: BaseHTTPRequestHandler, first: int, last: int, request: str = ""
    ) -> None:
        for number in range(first, last + 1):
            self._wait_while_silent()
            event = make_event(number, request)
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(event), event))
            time.sleep(self.pause)

    def reply(
        self,
        handler: BaseHTTPRequestHandler,
        status: int,
        body: bytes,
        headers: list[tuple[str, str]],
    ) -> None:
        handler.send_response(status)
        handler.send_header("Content-Length", str(len(body)))
        for name, value in (*headers, *self.notices):
            handler.send_header(name, value)
        handler.end_headers()
        handler.wfile.write(body)


def make_event(number: int, request: str = "") -> bytes:
    """Return an event of a stream, which may name its request."""
    return f"id: {number}\ndata: {request or 'piece'} {number}\n\n".encode()


def reset(handler: BaseHTTPRequestHandler) -> None:
    """Close a connection with a reset."""
    linger = b"\1\0\0\0\0\0\0\0"
    handler.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    handler.close_connection = True
    handler.connection.close()


def make_config(version: int, **changes: Any) -> dict[str, Any]:
    def route(prefix: str, kind: str, **more: Any) -> dict[str, Any]:
        base = {
            "name": f"r{prefix.strip('/')}",
            "host": HOST,
            "prefix": prefix,
            "kind": kind,
            "timeout-ms": 4000,
            "slo-ms": 500,
            "priority": 1,
            "service": "apps",
            "attempts": 2,
            "public": False,
            "sticky": False,
        }
        return {**base, **more}

    found: dict[str, Any] = {
        "version": version,
        "routes": [
            route(STREAM, "stream", service="llm", attempts=1, sticky=True, resumable=False),
            route(RESUMED, "stream", service="llm", sticky=True, resumable=True),
            route(PLAIN, "safe"),
            route(ORDERS, "unsafe", attempts=1),
            route("/open/", "safe", public=True),
        ],
        "services": [
            {
                "name": "llm",
                "max-conns": 100,
                "engine": {"slots": 8, "kv-tokens": 9000, "kv-hold-s": 0.5},
            },
            {"name": "apps", "max-conns": 100},
        ],
        "limits": {"idle-timeout-ms": 15000, "max-body-bytes": 100000},
        "tenants": [
            {
                "name": "talleres",
                "api-keys": [KEY],
                "priority": 1,
                "unit": "tokens",
                "plain-tokens": 10,
                "rate-per-s": 100000,
                "burst": 100000,
            },
            {
                "name": "molinos",
                "api-keys": [OTHER_KEY],
                "unit": "tokens",
                "plain-tokens": 10,
                "rate-per-s": 1,
                "burst": 25,
            },
        ],
    }
    return {**found, **changes}
