"""A worker fails some orders with 503 after it has run them; callers take 503 for a promise."""

from __future__ import annotations

import http.client
import sys
import threading
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib3"))

from harness import Deployment, Record, has_trouble, run_case  # noqa: E402
from platform_standin import HOST, KEY, ORDERS, SeenRequest, StandinServer  # noqa: E402

CLIENTS, ORDERS_EACH, PAUSE = 6, 40, 0.1
FAIL_SHARE = 0.4
DEADLINE_MS = 1500
CALM = 3.5
PROMISES = {408, 421, 429, 503}


class Desk:
    """The plain workers: what they ran, and which one fails a part of its requests."""

    def __init__(self, record: Record, failing: str) -> None:
        self._record = record
        self._failing = failing
        self._lock = threading.Lock()
        self._seen = 0
        self.ran: dict[str, str] = {}
        self.orders: dict[str, list[str]] = {}

    def confirm(self, server: StandinServer, handler: Any, seen: SeenRequest) -> bool:
        """Run an order; the failing worker says afterwards that it is unavailable."""
        request, order = seen.headers["x-request-id"], seen.path.rpartition("/")[2]
        with self._lock:
            fails = False
            if server.id == self._failing:
                self._seen += 1
                fails = int(self._seen * FAIL_SHARE) > int((self._seen - 1) * FAIL_SHARE)
            self.ran[request] = server.id
            self.orders.setdefault(order, []).append(request)
        server.runs.append(request)
        time.sleep(0.03)
        status = 503 if fails else 200
        self._record.write(f"{server.id} ran {request} ({order}), answers {status}")
        server.reply(handler, status, b"confirmed" if not fails else b"", server.sign(request))
        return True


class Client(threading.Thread):
    """One client that sends orders and repeats an order only after a promise, once."""

    def __init__(self, number: int, port: int, record: Record) -> None:
        super().__init__(daemon=True)
        self.number, self.port, self.record = number, port, record
        self.answers: dict[str, int] = {}

    def run(self) -> None:
        for number in range(ORDERS_EACH):
            order = f"order-{self.number}-{number}"
            status, wait = self._send(order, f"{order}.1")
            if status in PROMISES:
                time.sleep(wait)
                self._send(order, f"{order}.2")
            time.sleep(PAUSE)

    def _send(self, order: str, request: str) -> tuple[int, float]:
        connection = http.client.HTTPConnection("127.0.0.1", self.port, timeout=3)
        headers = {
            "Host": HOST, "X-Request-Id": request, "X-Deadline-Ms": str(DEADLINE_MS),
            "Authorization": f"Bearer {KEY}",
        }
        try:
            connection.request("POST", f"{ORDERS}{order}", b"coil 5.5 mm", headers)
            response = connection.getresponse()
            response.read()
            status, wait = response.status, float(response.getheader("Retry-After") or 0)
        except OSError:
            status, wait = 0, 0.0
        finally:
            connection.close()
        self.answers[request] = status
        if status != 200:
            self.record.write(f"{request} answered {status}")
        return status, min(wait, DEADLINE_MS / 3000)


def play(deployment: Deployment, record: Record) -> bool:
    platform = deployment.platform
    platform.configure()
    desk = Desk(record, "i-a1" if has_trouble() else "")
    for number in range(1, 4):
        platform.add(StandinServer(f"i-a{number}", "apps", behave=desk.confirm))
    for number, stage in enumerate(("prefill", "decode", "decode", "decode", "decode")):
        platform.add(StandinServer(f"i-e{number}", "llm", stage))
    gateways = [deployment.add_gateway(f"front-{n}") for n in (1, 2)]
    deployment.wait_known()
    time.sleep(CALM)
    clients = [Client(n, gateways[n % 2].front, record) for n in range(CLIENTS)]
    for client in clients:
        client.start()
    for client in clients:
        client.join(60)
    answers = {r: status for client in clients for r, status in client.answers.items()}
    broken = [r for r, status in answers.items() if status in PROMISES and r in desk.ran]
    twice = {o: runs for o, runs in desk.orders.items() if len(runs) > 1}
    record.write(f"{len(answers)} requests; ran although refused as not run: {broken}")
    record.write(f"orders that were confirmed twice after the promise: {sorted(twice)}")
    return bool(broken)


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
