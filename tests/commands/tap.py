"""A TCP relay that records every byte between a daemon and an outside system."""

from __future__ import annotations

import select
import socket
from socketserver import BaseRequestHandler, ThreadingTCPServer
from threading import Thread

CHUNK_BYTES = 1 << 16
POLL_SECONDS = 0.02


class Tap:
    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.target = (host, int(port))
        self.seen: list[bytes] = []
        tap = self

        class Relay(BaseRequestHandler):
            def handle(self) -> None:
                with socket.create_connection(tap.target) as there:
                    tap.relay(self.request, there)

        self._server = ThreadingTCPServer(("127.0.0.1", 0), Relay)
        self._server.daemon_threads = True
        Thread(target=self._server.serve_forever, args=(POLL_SECONDS,), daemon=True).start()
        self.address = f"127.0.0.1:{self._server.server_address[1]}"

    def relay(self, here: socket.socket, there: socket.socket) -> None:
        targets = {here: there, there: here}
        while True:
            for source in select.select([here, there], [], [])[0]:
                data = source.recv(CHUNK_BYTES)
                if not data:
                    return
                self.seen.append(data)
                targets[source].sendall(data)

    def close(self) -> None:
        self._server.shutdown()
        self._server.server_close()
