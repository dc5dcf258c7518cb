"""What the scripts of this review share: a small deployment on loopback, and the record."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "tests" / "platform"))

from free_ports import find_ports  # noqa: E402
from gateway_process import StandinPlatform, wait_for  # noqa: E402

HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {
    "seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 3000, "ack-ms": 4000, "catch-up-s": 4,
    "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "config-ms": 2000,
    "rollback-slack-ms": 250, "skew-max-ms": 5000, "strict-revoke": False, "revoke-ms": 5000,
    "retry-ratio": 0.2, "retry-window-s": 10, "retry-slack": 58, "quota-window-s": 8,
    "quota-over": 0.1, "quota-slack": 190000, "recover-s": 12, "transit-ms": 120,
    "again-s": 6.9, "fencing": True, "lease-ms": 3000, "thaw-ms": 300,
}
"""The bounds of the sheet for sntra-pedidos."""


def has_trouble() -> bool:
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began = time.monotonic()
        self.write(f"trouble {'on' if has_trouble() else 'off'}")

    def write(self, line: str) -> None:
        self._file.write(f"{time.monotonic() - self._began:8.3f}  {line}\n")
        self._file.flush()


class DeployedGateway:
    """One gateway process, started with the command of deploy/system.toml."""

    def __init__(self, folder: Path, store: str, name: str, **changes: Any) -> None:
        self.name = name
        self.front, self.ready, self.peers, self.metrics = find_ports(4)
        self.log, self.errors = folder / f"{name}.log", folder / f"{name}.err"
        self.path = folder / f"{name}.json"
        settings = {
            "node": name, "role": "gateway", "class": "front", "serves": ["front"],
            "ip": "127.0.0.1", "zone": "here", "region": "here", "zones": {"here": "here"},
            "listen": {"front": f"127.0.0.1:{self.front}", "ready": f"127.0.0.1:{self.ready}"},
            "port-range": [self.peers, self.peers + 15], "seeds": [], "bootstrap": True,
            "counts-as-loss": False,
            "limits": {"cpu-share": 0.817, "cores": 1, "memory-mb": 150, "max-fds": 4100,
                       "link-mbps": 1000.0, "disk-mb": 0},
            "data-dir": None, "discovery": "platform", "entry": "vip", "beat-ms": 1200,
            "tolerate": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"addr": store, "form": "table", "writes-per-s": 400,
                         "reads-per-s": 2000, "tx-ms": 3.0, "part-writes-s": 300,
                         "row-bytes": 65536, "across": True, "history-s": 20},
        }
        self.path.write_text(json.dumps({**settings, **changes}))
        self.popen: subprocess.Popen[bytes] | None = None

    def start(self) -> DeployedGateway:
        kept = {n: os.environ[n] for n in ("PATH", "HOME", "LANG") if n in os.environ}
        with self.log.open("ab") as out, self.errors.open("ab") as err:
            self.popen = subprocess.Popen(
                ["python3", "deploy/gateway.py", str(self.metrics)],
                cwd=ROOT, stdout=out, stderr=err,
                env={**kept, "LAVENDERRUN_SETTINGS": str(self.path), "PYTHONPATH": "target/deps",
                     "PYTHONDONTWRITEBYTECODE": "1"},
            )
        return self

    def lines(self, kind: str = "") -> list[dict[str, Any]]:
        found = []
        for line in self.log.read_text().splitlines():
            if line.endswith("}"):
                found.append(json.loads(line))
        return [line for line in found if line["message_type"].startswith(kind)]

    def is_ready(self) -> bool:
        import http.client

        connection = http.client.HTTPConnection("127.0.0.1", self.ready, timeout=1)
        try:
            connection.request("GET", "/api/readyz")
            return connection.getresponse().status == 200
        except OSError:
            return False
        finally:
            connection.close()

    def wait_known(self, servers: set[str]) -> DeployedGateway:
        wait_for(self.is_ready, f"{self.name} ready")
        wait_for(
            lambda: {line["member"] for line in self.lines("members:changed")} >= servers,
            f"{self.name} knows the servers",
        )
        return self

    def signal(self, number: int) -> None:
        assert self.popen is not None
        self.popen.send_signal(number)

    def close(self) -> None:
        if self.popen is not None and self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
            self.popen.wait(10)


class Deployment:
    """The stand-in platform with servers, and gateways as the deploy file starts them."""

    def __init__(self) -> None:
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = Path(self._folder.name)
        self.platform = StandinPlatform(self.folder)
        self.gateways: list[DeployedGateway] = []

    def add_gateway(self, name: str, store: str = "", **changes: Any) -> DeployedGateway:
        address = store or self.platform.store.address
        gateway = DeployedGateway(self.folder, address, name, **changes).start()
        self.gateways.append(gateway)
        return gateway

    def wait_known(self) -> None:
        for gateway in self.gateways:
            gateway.wait_known(set(self.platform.servers))

    def close(self) -> None:
        for gateway in self.gateways:
            gateway.close()
        self.platform.close()
        self._folder.cleanup()


def run_case(play: Any, folder: Path) -> None:
    """Play a case and exit as the issue asks: 1 broken, 0 held, 2 not run."""
    record = Record(folder)
    deployment = Deployment()
    try:
        broken = play(deployment, record)
        record.write("RULE BROKEN" if broken else "rule held")
        code = BROKEN if broken else HELD
    except BaseException as error:  # noqa: BLE001
        record.write(f"could not run: {error!r}")
        code = NOT_RUN
    finally:
        deployment.close()
    sys.stdout.flush()
    os._exit(code)
