"""Runs a small fleet of real processes on loopback, configured by TOML files."""

from __future__ import annotations

import hashlib
import json
import os
import select
import signal
import subprocess
import sys
from dataclasses import asdict
from pathlib import Path
from ssl import create_default_context
from typing import Any
from urllib.error import HTTPError
from urllib.request import Request, urlopen

from authority import CertificateAuthority
from free_ports import find_ports
from tap import Tap

CALLER_KEY = "lr-marker-caller-key"
OPERATOR_KEY = "op-marker-operator-key"
TIMEOUT_SECONDS = 15.0


def digest(key: str) -> str:
    return "sha256:" + hashlib.sha256(key.encode()).hexdigest()


class Process:
    def __init__(self, folder: Path, name: str, *arguments: str) -> None:
        self.name = name
        self.log = folder / f"{name}.log"
        with self.log.open("wb") as log:
            self.popen = subprocess.Popen(
                [sys.executable, "-m", "lavenderrun", *arguments],
                stdout=subprocess.PIPE,
                stderr=log,
                cwd=folder,
                env={**os.environ, "LAVENDERRUN_OPERATOR_KEY": OPERATOR_KEY},
            )

    def read_line(self) -> dict[str, Any]:
        """Return the JSON of the line that the process prints when it is ready."""
        assert self.popen.stdout is not None
        readable, _, _ = select.select([self.popen.stdout], [], [], TIMEOUT_SECONDS)
        line = self.popen.stdout.readline().decode() if readable else ""
        assert line, f"{self.name}: {self.log.read_text()[-2000:]}"
        found: dict[str, Any] = json.loads(line.partition(" ")[2])
        return found

    def terminate(self) -> int:
        self.popen.send_signal(signal.SIGTERM)
        return self.popen.wait(TIMEOUT_SECONDS)

    def kill(self) -> None:
        if self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait(TIMEOUT_SECONDS)
        if self.popen.stdout is not None:
            self.popen.stdout.close()


DOCUMENT = """\
[[accounts]]
id = "talleres"
keys = ["{digest}"]
  [accounts.rate]
  requests_per_second = 500
  request_burst = 500
  tokens_per_second = 1e6
  token_burst = 1e6

[[models]]
name = "acta"

[[model_routes]]
name = "summaries"
model = "acta"

[[plain_routes]]
name = "orders"
prefix = "/orders"
service = "order-desk"
"""
BACKEND = """
[[backends]]
id = "{id}"
group = "{group}"
role = "{role}"
data_centre = "talca"
agent = "127.0.0.1:{port}"
"""
HOST = """\
[host]
id = "{id}"
data_centre = "talca"
listen = "127.0.0.1:{port}"
authority = "{authority}"
certificate = "{certificate}"
private_key = "{private_key}"
"""
ENTRY = """
[store]
url = "http://{table}"

[admin]
certificate = "{certificate}"
private_key = "{private_key}"
operators = {{ ana = "{digest}" }}
"""
AGENT = """
[serves]
id = "{id}"
group = "{group}"
role = "{role}"

[backend]
address = "{address}"

[metrics]
listen = "127.0.0.1:0"
"""
SERVED_BACKENDS = (
    ("p1", "acta", "prefill"),
    ("d1", "acta", "decode"),
    ("o1", "order-desk", "plain"),
)


class SmallFleet:
    """One entry, three agents and one process with stand-ins for all outside systems."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.authority = CertificateAuthority(folder, "authority")
        self.processes: list[Process] = []
        self.entry: dict[str, Any] = {}
        self.agents: list[dict[str, Any]] = []
        self.taps: list[Tap] = []

    def start(self) -> None:
        ports = find_ports(4)
        wanted = ("table", "engine", "engine", "plain")
        standins = self._run("standins", "standin", *wanted).read_line()
        outside = [*standins["engine"], *standins["plain"], *standins["table"]]
        self.taps = [Tap(address) for address in outside]
        *addresses, table = [tap.address for tap in self.taps]
        document = DOCUMENT.format(digest=digest(CALLER_KEY))
        agents = []
        for (name, group, role), address, port in zip(
            SERVED_BACKENDS, addresses, ports[1:], strict=True
        ):
            values = {"id": name, "group": group, "role": role, "address": address, "port": port}
            document += BACKEND.format(**values)
            text = self._make_host(f"host-{name}", port) + AGENT.format(**values)
            agents.append(self._run_daemon("agent", name, text))
        (self.folder / "fleet.toml").write_text(document)
        text = self._make_host("entry-1", ports[0])
        text += ENTRY.format(
            table=table, digest=digest(OPERATOR_KEY), **asdict(self.authority.sign("admin"))
        )
        entry = self._run_daemon("entry", "entry", text)
        self.agents = [agent.read_line() for agent in agents]
        self.entry = entry.read_line()

    def stop(self) -> None:
        for process in self.processes:
            process.kill()
        for tap in self.taps:
            tap.close()

    def run(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a sub-command and wait for its end."""
        return subprocess.run(
            [sys.executable, "-m", "lavenderrun", *arguments],
            capture_output=True,
            text=True,
            timeout=TIMEOUT_SECONDS,
            check=False,
            cwd=self.folder,
            env={**os.environ, "LAVENDERRUN_OPERATOR_KEY": OPERATOR_KEY},
        )

    def fetch(
        self, url: str, key: str = "", body: bytes | None = None, method: str | None = None
    ) -> tuple[int, str, str]:
        """Make an HTTP call; return status, body and the text of all headers."""
        headers = {"Authorization": f"Bearer {key}"} if key else {}
        request = Request(url, body, headers, method=method)
        secure = create_default_context(cafile=self.authority.path)
        try:
            with urlopen(request, timeout=TIMEOUT_SECONDS, context=secure) as answer:
                return answer.status, answer.read().decode(), str(answer.headers)
        except HTTPError as error:
            with error:
                return error.code, error.read().decode(), str(error.headers)

    def operate(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run a sub-command that calls the operators' API of the entry."""
        url = ("--url", self.entry["admin"], "--authority", self.authority.path)
        return self.run(*arguments, *url)

    def _make_host(self, name: str, port: int) -> str:
        signed = asdict(self.authority.sign(name))
        return HOST.format(id=name, port=port, authority=self.authority.path, **signed)

    def _run_daemon(self, command: str, name: str, text: str) -> Process:
        file = self.folder / f"{name}.toml"
        file.write_text(text)
        return self._run(name, command, "--settings", str(file))

    def _run(self, name: str, *arguments: str) -> Process:
        process = Process(self.folder, name, *arguments)
        self.processes.append(process)
        return process
