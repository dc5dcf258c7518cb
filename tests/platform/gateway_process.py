"""Runs gateways as processes against a stand-in platform, and calls them."""

from __future__ import annotations

import http.client
import json
import math
import os
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import Any

from free_ports import find_ports
from platform_standin import HOST, KEY, StandinServer, Store, StoreEndpoint, make_config

ROOT = Path(__file__).parents[2]
WAIT = 10.0


def wait_for(check: Callable[[], Any], what: str) -> Any:
    until = time.monotonic() + WAIT
    while time.monotonic() < until:
        found = check()
        if found:
            return found
        time.sleep(0.02)
    raise AssertionError(f"not in time: {what}")


class Answer:
    """An answer that was read to its end, or as far as it came.

    :ivar begun: when its head arrived.
    :ivar idle_since: from when the gateway may take its connection for idle; an answer that was not
        read at once had been sent before that.
    """

    def __init__(self, response: http.client.HTTPResponse, read_after: float = 0.0) -> None:
        self.begun = time.monotonic()
        self.status = response.status
        self.headers = {name.lower(): value for name, value in response.getheaders()}
        self.whole = True
        time.sleep(read_after)
        try:
            self.body = response.read()
        except http.client.IncompleteRead as cut:
            self.whole, self.body = False, cut.partial
        except ConnectionError:
            self.whole, self.body = False, b""
        self.idle_since = self.begun if read_after else time.monotonic()


class Gateway:
    """One gateway process, ``deploy/gateway.py``, on loopback."""

    def __init__(self, folder: Path, store: str, name: str = "front-1", **changes: Any) -> None:
        self.front, self.ready, self.peers, self.metrics = find_ports(4)
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.errors = folder / f"{name}.err"
        self.settings.write_text(json.dumps({**self.make_settings(name, store), **changes}))
        self.popen: subprocess.Popen[bytes] | None = None
        self.program = ROOT / "deploy" / "gateway.py"
        self.environment: dict[str, str] = {}

    def make_settings(self, name: str, store: str) -> dict[str, Any]:
        return {
            "node": name,
            "ip": "127.0.0.1",
            "zone": "here",
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "port-range": [self.peers, self.peers + 1],
            "bounds": {
                "grace-s": 8,
                "retry-ratio": 0.2,
                "retry-window-s": 10,
                "retry-slack": 58,
            },
            "platform": {"addr": store},
        }

    def start(self) -> Gateway:
        with self.log.open("ab") as out, self.errors.open("ab") as err:
            self.popen = subprocess.Popen(
                [sys.executable, str(self.program), str(self.metrics)],
                stdout=out,
                stderr=err,
                env={
                    **os.environ,
                    **self.environment,
                    "LAVENDERRUN_SETTINGS": str(self.settings),
                },
            )
        return self

    def wait_ready(self) -> Gateway:
        wait_for(lambda: self.ask_ready() == 200, "ready")
        return self

    def ask_ready(self) -> int:
        try:
            return self.get(self.ready, "/api/readyz").status
        except OSError:
            return 0

    def get(self, port: int, path: str) -> Answer:
        connection = http.client.HTTPConnection("127.0.0.1", port, timeout=WAIT)
        try:
            connection.request("GET", path)
            return Answer(connection.getresponse())
        finally:
            connection.close()

    def connect(self) -> http.client.HTTPConnection:
        return http.client.HTTPConnection("127.0.0.1", self.front, timeout=WAIT)

    def call(
        self,
        path: str,
        method: str = "GET",
        *,
        key: str | None = KEY,
        request: str = "r1",
        body: bytes | Iterable[bytes] = b"",
        headers: dict[str, str] | None = None,
        connection: http.client.HTTPConnection | None = None,
        on_sent: Callable[[], None] = lambda: None,
        read_after: float = 0.0,
    ) -> Answer:
        """Call the gateway.

        :param body: body, or its parts, each sent when it is due.
        :param on_sent: called when the whole request is sent.
        :param read_after: seconds for which the body is not read once its head has arrived.
        """
        given = {"Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": "4000"}
        if key is not None:
            given["Authorization"] = f"Bearer {key}"
        own = connection or self.connect()
        try:
            own.request(method, path, body or None, {**given, **(headers or {})})
            on_sent()
            return Answer(own.getresponse(), read_after)
        finally:
            if connection is None:
                own.close()

    def generate(
        self,
        path: str,
        parts: Sequence[str] = ("ab",),
        body: bytes | Iterable[bytes] = b"a prompt",
        headers: dict[str, str] | None = None,
        **given: Any,
    ) -> Answer:
        prefix = ",".join(f"{part}:100" for part in parts)
        sizes = {"X-Model": "m", "X-Token-Count": "100,50", "X-Prefix-Hash": prefix}
        return self.call(path, "POST", body=body, headers={**sizes, **(headers or {})}, **given)

    def lines(self, kind: str = "") -> list[dict[str, Any]]:
        found = [json.loads(line) for line in self.log.read_text().splitlines()]
        return [line for line in found if line["message_type"].startswith(kind)]

    def list_unanswered(self) -> list[dict[str, Any]]:
        """Return the log lines of requests that were read whole and ended without an answer."""
        return self.lines("requests:unanswered")

    def list_given_up(self) -> dict[tuple[str, str], float]:
        """Return requests and servers whose connections all ended before an answer began.

        :returns: when the last of them ended, by the steady clock.
        """
        steady = time.monotonic() - time.time()
        ended: dict[tuple[str, str], float] = {}
        for line in self.lines("call:attempt"):
            attempt = (line["request"], line["member"])
            has_begun = line["status"] is not None
            at = math.inf if has_begun else line["timestamp"] + steady
            ended[attempt] = max(ended.get(attempt, -math.inf), at)
        return {attempt: at for attempt, at in ended.items() if at < math.inf}

    def signal(self, number: int) -> None:
        assert self.popen is not None
        self.popen.send_signal(number)

    def close(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait(WAIT)


class StandinPlatform:
    """The stand-in platform with its backend servers and gateways."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.store = Store()
        self.servers: dict[str, StandinServer] = {}
        self.gateways: list[Gateway] = []
        self.crashes: list[float] = []
        self._down: set[str] = set()
        self._restarts: list[threading.Timer] = []
        self._version = 1

    def configure(self, **changes: Any) -> None:
        self._version += 3
        self.store.put("op", "config", make_config(self._version, **changes))

    def add(self, server: StandinServer) -> StandinServer:
        self.servers[server.id] = server
        self.store.put("servers", server.id, server.entry())
        return server

    def crash(self, server: StandinServer, down_seconds: float) -> None:
        """Let a server crash and start again some time later, under the same id."""
        if server.id in self._down:
            return
        self._down.add(server.id)
        self.crashes.append(time.monotonic())
        server.crash()

        def start_again() -> None:
            server.start_again()
            self._down.discard(server.id)
            row = server.entry(born=1 + len(self.crashes))
            self.store.put("servers", server.id, row)

        restart = threading.Timer(down_seconds, start_again)
        self._restarts.append(restart)
        restart.start()

    def add_gateway(
        self, name: str = "front-1", endpoint: StoreEndpoint | None = None, **changes: Any
    ) -> Gateway:
        """Start a gateway; *changes* are those of its settings."""
        address = self.store.address if endpoint is None else endpoint.address
        gateway = Gateway(self.folder, address, name, **changes).start()
        self.gateways.append(gateway)
        return gateway

    def add_failing_gateway(self, method: str) -> Gateway:
        """Start a gateway in which a method can be made to fail once by the file ``failure``.

        :param method: the method's name as ``module:class.method``.
        """
        gateway = Gateway(self.folder, self.store.address)
        gateway.program = Path(__file__).with_name("failing_gateway.py")
        gateway.environment = {"FAILING_METHOD": method, "FAILURE_FILE": str(self.failure)}
        self.gateways.append(gateway.start())
        return gateway

    @property
    def failure(self) -> Path:
        """The file that makes the method fail; it is gone after the failure."""
        return self.folder / "failure"

    def wait_known(self, gateway: Gateway) -> Gateway:
        """Wait until the gateway is ready and has read the row of every server."""
        gateway.wait_ready()

        def knows() -> bool:
            seen = {line["member"] for line in gateway.lines("members:changed")}
            return seen >= set(self.servers)

        wait_for(knows, "servers known")
        return gateway

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.close()
        for restart in self._restarts:
            restart.cancel()
            restart.join()
        for server in self.servers.values():
            server.close()
        self.store.close()
