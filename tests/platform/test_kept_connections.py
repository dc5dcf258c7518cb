"""What a faulty server writes once more on a kept connection is no answer to the next call."""

from __future__ import annotations

import http.client
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler
from weakref import WeakKeyDictionary

import pytest
from gateway_process import WAIT, Gateway, StandinPlatform
from platform_standin import ORDERS, PLAIN, SeenRequest, StandinServer

REFUSAL = b"HTTP/1.1 503 Full\r\nX-Not-Executed: 1\r\n%sContent-Length: 0\r\n\r\n"
MISDIRECTED = b"HTTP/1.1 421 Other\r\n%sContent-Length: 0\r\n\r\n"
FAILURE = b"HTTP/1.1 500 Failed\r\nX-Server-Stamp: old\r\n%sContent-Length: 0\r\n\r\n"
CALLS = 12


class RepeatingServer(StandinServer):
    """Answers as it should, but writes an earlier answer first on a kept connection.

    :ivar earlier: makes the bytes of the earlier answer from the id of the earlier call.
    :ivar running: ids of calls that it ran although it had written the earlier answer.
    """

    earlier: Callable[[str], bytes]

    def __post_init__(self) -> None:
        super().__post_init__()
        self.running: list[str] = []
        # an id() of a handler that is gone may be that of a later one
        self._last: WeakKeyDictionary[BaseHTTPRequestHandler, str] = WeakKeyDictionary()

    def run(self, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> None:
        request = seen.headers["x-request-id"]
        last = self._last.get(handler)
        self._last[handler] = request
        if last is None:
            super().run(handler, seen)
            return
        self.running.append(request)
        handler.wfile.write(self.earlier(last))
        time.sleep(0.05)
        super().run(handler, seen)


# a handler's id() may be that of an earlier one, so an answer was repeated on a new connection,
# where nothing tells it from the proper one
def test_the_server_repeats_no_answer_on_a_new_connection() -> None:
    server = RepeatingServer("app-1", "apps")
    server.earlier = lambda last: b""
    for number in range(100):
        connection = http.client.HTTPConnection(server.address, timeout=WAIT)
        headers = {"X-Request-Id": f"r{number}", "X-Expect-Instance": server.id}
        connection.request("GET", PLAIN + "x", headers=headers)
        assert connection.getresponse().read()
        connection.close()
    server.close()
    assert not server.running


def make_servers(
    platform: StandinPlatform, form: bytes, *, with_id: bool
) -> tuple[Gateway, list[RepeatingServer]]:
    servers = []
    for number in (1, 2):
        server = RepeatingServer(f"app-{number}", "apps")
        line = "X-Request-Id: %s\r\n" if with_id else ""
        server.earlier = lambda last, line=line: form % (line % last if line else "").encode()  # type: ignore[misc]
        platform.add(server)
        servers.append(server)
    return platform.wait_known(platform.add_gateway()), servers


# a refusal without an id, repeated on a kept connection, was taken for the next call's answer
@pytest.mark.parametrize("with_id", [True, False], ids=["with the old id", "without an id"])
@pytest.mark.parametrize("form", [REFUSAL, MISDIRECTED, FAILURE], ids=["refusal", "421", "500"])
def test_an_earlier_answer_on_a_kept_connection_is_not_believed(
    platform: StandinPlatform, form: bytes, with_id: bool
) -> None:
    gateway, servers = make_servers(platform, form, with_id=with_id)
    for number in range(CALLS):
        answer = gateway.call(PLAIN + "x", request=f"r{number}")
        assert answer.status in {200, 502, 504}, answer.body
        assert answer.headers.get("x-server-stamp") != "old"
    assert any(server.running for server in servers)


def test_a_call_that_may_run_once_never_uses_a_kept_connection(platform: StandinPlatform) -> None:
    gateway, servers = make_servers(platform, REFUSAL, with_id=False)
    for number in range(CALLS):
        assert gateway.call(ORDERS + "1", "POST", request=f"o{number}").status == 200
    runs = [run for server in servers for run in server.runs]
    assert sorted(runs) == sorted(f"o{number}" for number in range(CALLS))
    assert not any(server.running for server in servers)


class RefusingTwice(StandinServer):
    """Refuses each call, and writes the refusal once more on the same connection."""

    def run(self, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> None:
        line = f"X-Request-Id: {seen.headers['x-request-id']}\r\n".encode()
        handler.wfile.write(REFUSAL % line)
        time.sleep(0.02)
        handler.wfile.write(REFUSAL % line)


def test_a_call_that_is_sent_again_goes_over_a_new_connection(platform: StandinPlatform) -> None:
    platform.add(RefusingTwice("app-1", "apps"))
    platform.add(StandinServer("app-2", "apps"))
    gateway = platform.wait_known(platform.add_gateway())
    for number in range(CALLS):
        answer = gateway.call(PLAIN + "x", request=f"r{number}")
        assert answer.status == 200
        assert answer.body == b"body of app-2"
    for number in range(CALLS):
        order = gateway.call(ORDERS + "1", "POST", request=f"o{number}")
        runs = platform.servers["app-2"].runs.count(f"o{number}")
        assert (order.status, runs) in {(200, 1), (503, 0)}
