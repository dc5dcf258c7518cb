"""Servers that answer with a status that is none."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Gateway, StandinPlatform
from platform_standin import ORDERS, PLAIN, StandinServer, make_config

UPLOAD = b"u" * (4 << 20)


class EarlyServer(StandinServer):
    """Answers each call before it reads the body.

    :ivar answer_early: writes the answer and ends the connection.
    """

    answer_early: Callable[[BaseHTTPRequestHandler, str], None]

    def serve(self, handler: BaseHTTPRequestHandler) -> None:
        """Answer at once."""
        handler.close_connection = True
        with suppress(OSError):
            self.answer_early(handler, handler.headers["X-Request-Id"])


@pytest.fixture
def server(platform: StandinPlatform) -> EarlyServer:
    early = EarlyServer("app-1", "apps")
    platform.add(early)
    platform.configure(limits={**make_config(1)["limits"], "max-body-bytes": 2 * len(UPLOAD)})
    return early


@pytest.fixture
def gateway(platform: StandinPlatform, server: EarlyServer) -> Gateway:
    return platform.wait_known(platform.add_gateway())


# shows that a status that is none reaches no caller
@pytest.mark.parametrize(
    "status", ["000", "099", "600", "999", "0", "20", "2000", "-20", "2 0", "101"]
)
@pytest.mark.parametrize("length", ["Content-Length: 2\r\n", ""], ids=["length", "no length"])
def test_an_answer_without_a_valid_status_is_none(
    gateway: Gateway, server: EarlyServer, status: str, length: str
) -> None:
    def answer_early(handler: BaseHTTPRequestHandler, request: str) -> None:
        handler.rfile.read(int(handler.headers.get("Content-Length") or 0))
        head = f"X-Request-Id: {request}\r\nX-Server-Stamp: s\r\n{length}\r\n"
        handler.wfile.write(f"HTTP/1.1 {status} Odd\r\n{head}ok".encode())

    server.answer_early = answer_early
    for path, method in ((PLAIN, "GET"), (ORDERS, "POST")):
        answer = gateway.call(path + "x", method, request="r")
        assert answer.status == 502
        assert b'"outcome":"unknown"' in answer.body
        assert "x-server-stamp" not in answer.headers
