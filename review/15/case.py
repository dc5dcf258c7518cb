"""The operator raises the limit of header bytes, and callers use it."""

from __future__ import annotations

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib3"))

from harness import Deployment, Record, has_trouble, run_case  # noqa: E402
from platform_standin import HOST, KEY, PLAIN, StandinServer  # noqa: E402

OLD_LIMIT, NEW_LIMIT = 16384, 32768
USUAL, LONG = 200, 20
SMALL_LINE, LONG_LINE = 100, 9000
CALM, IN_FORCE = 3.5, 3.0


def make_limits(header_bytes: int) -> dict[str, int]:
    return {
        "header-bytes": header_bytes, "max-body-bytes": 4194304, "header-timeout-ms": 3000,
        "idle-timeout-ms": 15000,
    }


def call(port: int, request: str, line: int) -> tuple[int, int]:
    """Send a request with two cookies of *line* bytes; return its header bytes and the status."""
    head = (
        f"GET {PLAIN}x HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {request}\r\n"
        f"X-Deadline-Ms: 1500\r\nAuthorization: Bearer {KEY}\r\n"
        f"X-Draft: {'a' * line}\r\nX-Layout: {'b' * line}\r\n\r\n"
    ).encode()
    with socket.create_connection(("127.0.0.1", port), 3) as connection:
        connection.sendall(head)
        answer = b""
        while b"\r\n" not in answer:
            piece = connection.recv(4096)
            if not piece:
                return len(head), 0
            answer += piece
    return len(head), int(answer.split()[1])


def play(deployment: Deployment, record: Record) -> bool:
    platform = deployment.platform
    platform.configure(limits=make_limits(OLD_LIMIT))
    for name in ("i-a1", "i-a2", "i-a3"):
        platform.add(StandinServer(name, "apps"))
    gateways = [deployment.add_gateway(f"front-{n}") for n in (1, 2)]
    deployment.wait_known()
    time.sleep(CALM)
    if has_trouble():
        platform.configure(limits=make_limits(NEW_LIMIT))
        record.write(f"configuration with header-bytes {NEW_LIMIT} acknowledged")
    time.sleep(IN_FORCE)
    denied, sent = 0, 0
    long_line = LONG_LINE if has_trouble() else SMALL_LINE
    for line, count in ((SMALL_LINE, USUAL), (long_line, LONG)):
        statuses: dict[int, int] = {}
        size = 0
        for number in range(count):
            size, status = call(gateways[number % 2].front, f"r{line}-{number}", line)
            statuses[status] = statuses.get(status, 0) + 1
            denied += 300 <= status < 500 and status not in {408, 421, 429}
            sent += 1
        record.write(f"{count} requests with {size} header bytes: statuses {statuses}")
    ran = sum(len(server.runs) for server in platform.servers.values())
    record.write(f"{sent} sent, {ran} run, {denied} denied; allowed {5 + sent / 500:.1f}")
    return denied > 5 + sent / 500


if __name__ == "__main__":
    run_case(play, Path(__file__).parent)
