"""A worker leaves shortly after a cut of two seconds between one gateway and the store."""

from __future__ import annotations

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))

from harness import BOUNDS, TROUBLE, Case, run_case  # noqa: E402
from platform_standin import ORDERS, StandinServer  # noqa: E402
from proxy import Proxy, ProxyMode  # noqa: E402

FEED_WAIT = 5.0  # the gateway's own wait for changes: the answer to a quiet feed comes then
CUT = 2.0  # site file: core_cut, 4 to 7.6 s
DRAIN, CONTACT = BOUNDS["drain-ms"] / 1000, BOUNDS["contact-ms"] / 1000
LINGER = 1.5  # the worker serves on for drain-ms "and a little longer"
WORK = 0.09  # sheet: 90 ms a request


def work(server, handler, seen) -> bool:
    """Take the time of the sheet, then answer as usual."""
    time.sleep(WORK)
    return False


def play(case: Case) -> bool:
    feeds: list[float] = []
    answer = case.store.answer

    def note_feed(endpoint, path, body):
        if path.startswith("/api/rows-feed") and "table=op&" in path:
            feeds.append(time.monotonic())
        return answer(endpoint, path, body)

    case.store.answer = note_feed
    link = Proxy(case.store.address)
    case.configure()
    leaving = case.add(StandinServer("app-a", "apps", behave=work))
    case.add(StandinServer("app-b", "apps", behave=work))
    gateway = case.add_gateway(link.address)
    case.wait_known(gateway)
    case.wait(lambda: bool(feeds), "the gateway follows the configuration")

    # the cut covers the moment at which the store answers a feed without changes
    time.sleep(max(0.0, feeds[-1] + FEED_WAIT - CUT / 2 - 0.1 - time.monotonic()))
    if TROUBLE:
        link.set(ProxyMode.HELD)
        case.record("trouble: the link between the gateway and the store is cut")
    time.sleep(CUT)
    link.set(ProxyMode.OPEN)
    healed = time.monotonic()
    case.record("trouble: the link is whole again")
    in_touch = healed + CONTACT

    time.sleep(1.5)
    case.store.remove("servers", leaving.id)
    acknowledged = time.monotonic()
    case.record(f"server {leaving.id}: the store has acknowledged that its entry is removed")
    exits = threading.Timer(DRAIN + LINGER, leaving.crash)
    exits.start()

    results: list[tuple[str, float, int]] = []
    calls: list[threading.Thread] = []

    def call(number: int) -> None:
        sent = time.monotonic()
        request = f"order-{number}"
        found = case.call(gateway, f"{ORDERS}{number}", request, "POST", b"an order")
        results.append((request, sent, found.status))

    number = 0
    while time.monotonic() < acknowledged + DRAIN + LINGER + 2.5:
        number += 1
        calls.append(threading.Thread(target=call, args=(number,)))
        calls[-1].start()
        time.sleep(0.08)
    for thread in calls:
        thread.join()
    exits.join()

    sent_at = {request: sent for request, sent, _ in results}
    late = []
    for seen in leaving.seen:
        request = seen.headers.get("x-request-id", "")
        after = seen.at - acknowledged
        case.record(f"server {leaving.id}: runs {request}, {after:.3f} s after the end", seen.at)
        if after > DRAIN and sent_at.get(request, 0.0) > in_touch:
            late.append(request)
    failed = [r for r, sent, status in results if sent > in_touch and status not in {200, 503}]
    case.record(f"requests that reached {leaving.id} later than drain-ms: {len(late)}: {late}")
    case.record(f"requests sent in touch that failed: {len(failed)}: {failed}")
    return bool(late)


if __name__ == "__main__":
    run_case(__file__, play)
