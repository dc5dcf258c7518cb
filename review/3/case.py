"""A request that crashes workers, repeated while two gateways are stopped and started in turn."""

from __future__ import annotations

import signal
import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from harness import BOUNDS, TROUBLE, Case, Gateway, run_case  # noqa: E402
from platform_standin import ORDERS, StandinServer  # noqa: E402

CONTACT = BOUNDS["contact-ms"] / 1000
GRACE = BOUNDS["grace-s"]
DOWN = 2.0  # "the worker is back after some seconds"
MOST_RETRIES = 3
DEADLY = b"an order that crashes workers"
LENGTH = 45.0


def play(case: Case) -> bool:
    crashes: list[float] = []
    runs: list[tuple[str, float]] = []
    timers: list[threading.Timer] = []

    def behave(server: StandinServer, handler, seen) -> bool:
        if seen.body != DEADLY:
            time.sleep(0.09)
            return False
        request = seen.headers["x-request-id"]
        case.record(f"server {server.id}: begins {request} and crashes")
        runs.append((request, seen.at))
        server.crash()
        crashes.append(time.monotonic())

        def start_again() -> None:
            server.start_again()
            case.store.put("servers", server.id, server.entry(born=1 + len(crashes)))
            case.record(f"server {server.id}: started again")

        timers.append(threading.Timer(DOWN, start_again))
        timers[-1].start()
        return True

    case.configure()
    for name in ("app-a", "app-b", "app-c"):
        case.add(StandinServer(name, "apps", behave=behave))
    gateways = [case.add_gateway(name=name) for name in ("front-1", "front-2")]
    for gateway in gateways:
        case.wait_known(gateway)
    time.sleep(CONTACT)

    began = time.monotonic()
    disturbed = {gateway: began - CONTACT for gateway in gateways}
    stopping: set[Gateway] = set()
    sent: dict[str, float] = {}
    in_touch: dict[str, bool] = {}
    stopped = threading.Event()

    def is_in_touch(gateway: Gateway) -> bool:
        return gateway not in stopping and time.monotonic() > disturbed[gateway] + CONTACT

    def repeat() -> None:
        number = 0
        while not stopped.is_set():
            number += 1
            gateway = gateways[number % 2]
            if not is_in_touch(gateway):
                gateway = gateways[(number + 1) % 2]
            request = f"deadly-{number}"
            sent[request], in_touch[request] = time.monotonic(), is_in_touch(gateway)
            case.call(gateway, ORDERS + "same", request, "POST", DEADLY)
            time.sleep(0.7)

    client = threading.Thread(target=repeat)
    client.start()
    case.wait(lambda: len(crashes) >= 3, "three crashes", 20)
    time.sleep(CONTACT + 1)

    if TROUBLE:
        for gateway in gateways:
            stopping.add(gateway)
            case.record(f"trouble: SIGTERM to {gateway.name}")
            gateway.popen.send_signal(signal.SIGTERM)
            gateway.popen.wait(GRACE)
            gateway.start()
            disturbed[gateway] = time.monotonic()
            case.record(f"trouble: {gateway.name} started again")
            case.wait(gateway.is_ready, "gateway ready again")
            stopping.discard(gateway)
            time.sleep(CONTACT + 5)
    time.sleep(max(0.0, began + LENGTH - time.monotonic()))
    stopped.set()
    client.join()
    for timer in timers:
        timer.join()

    third = crashes[2]
    retries = [
        request
        for request, _ in runs
        if sent[request] > third + CONTACT and in_touch[request]
    ]
    case.record(f"crashes: {len(crashes)}; retries that reached a worker: {retries}")
    return len(retries) > MOST_RETRIES


if __name__ == "__main__":
    run_case(__file__, play)
