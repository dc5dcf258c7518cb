"""A loopback proxy that can delay, reset or silence connections, or drop the answers."""

from __future__ import annotations

import asyncio
import math
import socket
import struct
import threading
import time
from contextlib import suppress
from enum import Enum


class ProxyMode(Enum):
    """How a proxy treats its connections.

    RESET resets all connections; NO_ANSWERS drops what the target sends; SILENT drops everything;
    HELD delivers everything when it ends. A connection that has lost bytes is reset by the next
    ones that are not dropped.
    """

    OPEN = "open"
    SLOW = "slow"
    RESET = "reset"
    NO_ANSWERS = "no_answers"
    SILENT = "silent"
    HELD = "held"


BREAKING_MODES = frozenset({ProxyMode.RESET, ProxyMode.NO_ANSWERS, ProxyMode.SILENT})
"""Modes in which answers are lost."""

DELAY_SECONDS = 0.15
HELD_CHECK_SECONDS = 0.02
CHUNK_BYTES = 65536
# SO_LINGER with a timeout of zero: a close resets the connection
LINGER_ZERO = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections to *target* on an event loop in its own thread."""

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self.mode = ProxyMode.OPEN
        self._breaks: list[tuple[float, float]] = []
        self._loop = asyncio.new_event_loop()
        self._writers: set[asyncio.StreamWriter] = set()
        self._ready = threading.Event()
        self.address = ""
        threading.Thread(target=self._run, daemon=True).start()
        self._ready.wait(5)

    def set(self, mode: ProxyMode) -> None:
        now = time.monotonic()
        if self._breaks and self._breaks[-1][1] == math.inf:
            self._breaks[-1] = (self._breaks[-1][0], now)
        if mode in BREAKING_MODES:
            self._breaks.append((now, math.inf))
        self.mode = mode
        if mode is ProxyMode.RESET:
            self._loop.call_soon_threadsafe(self._reset_all, now)

    def has_broken(self, first: float, last: float) -> bool:
        """Tell whether answers were lost within a time."""
        return any(began <= last and first <= ended for began, ended in self._breaks)

    def crash(self) -> None:
        """Close the listening socket and all connections, as the end of the target would."""
        self._loop.call_soon_threadsafe(self._close_all, time.monotonic())

    def start_again(self) -> None:
        """Listen again at the same address."""
        asyncio.run_coroutine_threadsafe(self._listen(self._port), self._loop).result(5)

    def _close_all(self, ordered: float) -> None:
        self._server.close()
        for writer in list(self._writers):
            writer.close()
        self._note_break(ordered)

    def _note_break(self, ordered: float) -> None:
        """Record that the connections, which were to be closed at *ordered*, are closed now."""
        # the last entry belongs to the present mode
        self._breaks.insert(0, (ordered, time.monotonic()))

    async def _listen(self, port: int) -> None:
        self._server = await asyncio.start_server(self._forward, "127.0.0.1", port)

    def close(self) -> None:
        self._loop.call_soon_threadsafe(self._loop.stop)

    def _run(self) -> None:
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._listen(0))
        host, self._port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{self._port}"
        self._ready.set()
        self._loop.run_forever()
        tasks = asyncio.all_tasks(self._loop)
        for task in tasks:
            task.cancel()
        self._loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self._loop.close()

    def _reset_all(self, ordered: float) -> None:
        for writer in list(self._writers):
            _reset(writer)
        self._note_break(ordered)

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            if self.mode is ProxyMode.RESET:
                self._reset_all(time.monotonic())
                return
            far_reader, far_writer = await asyncio.open_connection(*self._target)
            self._writers.add(far_writer)
            try:
                await asyncio.gather(
                    self._pump(reader, far_writer, answers=False),
                    self._pump(far_reader, writer, answers=True),
                )
            finally:
                self._writers.discard(far_writer)
                far_writer.close()
        except (OSError, asyncio.CancelledError):
            pass  # the target is down or the run ends; the client sees a closed connection
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        has_lost = False
        while data := await reader.read(CHUNK_BYTES):
            if self.mode is ProxyMode.SLOW:
                await asyncio.sleep(DELAY_SECONDS)
            if self.mode is ProxyMode.SILENT or (answers and self.mode is ProxyMode.NO_ANSWERS):
                has_lost = True
                continue
            while self.mode is ProxyMode.HELD:
                await asyncio.sleep(HELD_CHECK_SECONDS)
            if has_lost:
                break
            writer.write(data)
            await writer.drain()
        if has_lost:
            # TCP never delivers what follows lost bytes
            _reset(writer)
            return
        with suppress(OSError):
            writer.write_eof()


def _reset(writer: asyncio.StreamWriter) -> None:
    found: socket.socket | None = writer.get_extra_info("socket")
    with suppress(OSError):
        if found is not None:
            found.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
    writer.transport.abort()
