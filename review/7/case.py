"""A stream that crashes each decode engine is never refused, as its prefill clears it."""

from __future__ import annotations

import asyncio
import json
import os
import socket
import sys
import time
from contextlib import suppress
from pathlib import Path
from typing import Any

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from deployment import (  # noqa: E402
    BOUNDS,
    CLIENT_HOST,
    KEY,
    TROUBLE,
    Gateway,
    Message,
    Record,
    Store,
    Worker,
    encode,
    make_configuration,
    read_body,
    read_head,
    run_case,
)

GATEWAYS, PREFILLS, DECODES = 3, 2, 6
CONTACT_S = BOUNDS["contact-ms"] / 1000
DARK_S, PAUSE_S, TRIES = 3.0, 0.5, 12
PATIENCE_S = 3.6
"""Gap after which a client abandons a stream: four times the objective of 900 ms."""
DEADLY = "deadly sample"
EVENTS, EVENT_S = 8, 0.03
DARK = os.environ.get("DARK") == "1"
"""With DARK=1 an engine's machine goes dark instead of the end of its process."""
NO_PREFILL = os.environ.get("NO_PREFILL") == "1"
"""With NO_PREFILL=1 there are no prefill engines, and decode engines read the prompts themselves."""


class Engine(Worker):
    """A model worker of one stage; a certain request crashes it when it runs."""

    def __init__(self, record: Record, name: str, stage: str, store: Store) -> None:
        super().__init__(record, name, "llm", 0.0)
        self._stage, self._store = stage, store
        self.crashes: list[tuple[float, str]] = []

    def entry(self, state: str = "ready") -> dict[str, Any]:
        models = [{"name": "m", "version": 1, "adapters": []}]
        return {**super().entry(state), "slots": 64, "stage": self._stage, "models": models}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_head(reader)) is not None:
                if not await read_body(reader, request):
                    break
                if not await self._handle(request, writer):
                    break
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        path, name = request.first[1], request.find("x-request-id") or ""
        expected = request.find("x-expect-instance")
        is_prefill = request.find("x-stage") == "prefill"
        if path == "/api/report":
            report = {"stage": self._stage, "models": [], "busy": False, "seq": 0, "waiting": 0,
                      "running": 0, "kv-used": 0, "kv-total": 38202, "kv-handles": 0}  # fmt: skip
            writer.write(encode(200, [], json.dumps(report).encode()))
        elif path.startswith("/api/"):
            # handles are forgotten by themselves; an order would be carried out by a sound worker
            status = 409 if path == "/api/order" else 200
            writer.write(encode(status, [], b""))
        elif expected not in {None, self.name} or is_prefill != (self._stage == "prefill"):
            writer.write(encode(421, [("X-Not-Executed", "1"), ("X-Request-Id", name)], b""))
        elif is_prefill:
            await asyncio.sleep(0.09)
            found = {"kv-handle": name.encode().hex()[:12], "tokens": 3000, "version": 1}
            headers = [("Content-Type", "application/json"), ("X-Request-Id", name)]
            writer.write(encode(200, headers, json.dumps(found).encode()))
        else:
            return await self._run(request, writer, name)
        await writer.drain()
        return True

    async def _run(self, request: Message, writer: asyncio.StreamWriter, name: str) -> bool:
        self._record.write(f"engine {self.name} runs {name}")
        if TROUBLE and request.body.decode() == DEADLY:
            self.crashes.append((self._record.now(), name))
            crash = self._go_dark if DARK else self._end_process
            asyncio.get_running_loop().create_task(crash())
            await asyncio.sleep(60)
            return False
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", f"X-Request-Id: {name}",
                 f"X-Server-Stamp: {self.name}.{name}", "X-Weight-Versions: 1",
                 "Transfer-Encoding: chunked", "", ""]  # fmt: skip
        writer.write("\r\n".join(lines).encode())
        first = int(request.find("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            event = f"id: {number}\ndata: piece {number} of {name}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True

    async def _end_process(self) -> None:
        port = int(self.address.rpartition(":")[2])
        await asyncio.sleep(0.03)
        self.end()
        await asyncio.sleep(DARK_S)
        await self._start_again(port)

    async def _start_again(self, port: int) -> None:
        self._born = int(time.time() * 1000)
        await self.start(port)
        await self._store.put("servers", self.name, self.entry())

    async def _go_dark(self) -> None:
        self._record.write(f"engine {self.name} crashes, its machine is dark")
        port = int(self.address.rpartition(":")[2])
        for writer in self._writers:
            writer.transport.pause_reading()
        if self._server is not None:
            self._server.close()
        # a listener whose queue is full: the kernel drops the first packet of each new connection
        dark = socket.socket()
        dark.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        dark.bind((self._host, port))
        dark.listen(0)
        fillers = [socket.socket() for _ in range(3)]
        for filler in fillers:
            filler.setblocking(False)
            with suppress(BlockingIOError):
                filler.connect((self._host, port))
        await asyncio.sleep(DARK_S)
        for each in (*fillers, dark):
            each.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await self._start_again(port)


async def stream(gateway: Gateway, name: str, body: str) -> str:
    """Send a stream as a client does, which leaves after ``PATIENCE_S`` without an event."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection(gateway.ip, gateway.front)
        last = body.encode().hex()[:16]
        lines = [
            "POST /explain/x HTTP/1.1", f"Host: {CLIENT_HOST}", f"X-Request-Id: {name}",
            "X-Model: m", "X-Token-Count: 3000,69", f"X-Prefix-Hash: 5c1e07a2:200,{last}:2800",
            "X-Deadline-Ms: 14000", f"Authorization: Bearer {KEY}", f"Content-Length: {len(body)}",
        ]  # fmt: skip
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
        answer = await asyncio.wait_for(read_head(reader), PATIENCE_S)
        if answer is None:
            return "closed"
        is_whole = await asyncio.wait_for(read_body(reader, answer), PATIENCE_S)
        pieces = answer.body.count(b"data:")
        return f"{answer.first[1]}, {pieces} events" if is_whole else "cut"
    except TimeoutError:
        return "nothing and leaves"
    except OSError:
        return "closed"
    finally:
        if writer is not None:
            writer.close()


async def run(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    store = Store(record)
    await store.start()
    engines = [Engine(record, f"i-pre-{n}", "prefill", store) for n in range(0 if NO_PREFILL else PREFILLS)]
    engines += [Engine(record, f"i-dec-{n}", "decode", store) for n in range(DECODES)]
    route = {
        "name": "explain", "host": CLIENT_HOST, "prefix": "/explain/", "kind": "stream",
        "timeout-ms": 14000, "slo-ms": 900, "priority": 1, "service": "llm", "attempts": 2,
        "public": False, "sticky": True, "resumable": True, "gap-aim-ms": 300,
    }  # fmt: skip
    engine = {"slots": 64, "kv-tokens": 38202, "kv-token-bytes": 18432, "link-mbps": 740000.0,
              "kv-hold-s": 0.5, "swap-s": 6.0, "models": [{"name": "m"}]}  # fmt: skip
    service = {"name": "llm", "health-path": "/healthz", "max-conns": 370, "engine": engine}
    await store.put("op", "config", make_configuration(4, routes=[route], services=[service]))
    for each in engines:
        await each.start()
        await store.put("servers", each.name, each.entry())
    for number in range(GATEWAYS):
        gateway = Gateway(record, folder, f"front-{number}", f"127.0.7.{number + 1}", store.address)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(CONTACT_S + 0.5)
    for number in range(TRIES):
        gateway = gateways[number % GATEWAYS]
        for name, body in ((f"deadly-{number}", DEADLY), (f"sound-{number}", "sound sample")):
            record.write(f"client sends {name} to {gateway.name}")
            record.write(f"client gets {await stream(gateway, name, body)} for {name}")
        await asyncio.sleep(PAUSE_S)
    crashes = sorted(crash for each in engines for crash in each.crashes)
    late = [c for c in crashes if len(crashes) > 3 and c[0] > crashes[2][0] + CONTACT_S]
    retries = sorted({name for _, name in late})
    record.write(f"retries that reached engines later than contact-ms after the third: {retries}")
    print(f"{len(crashes)} crashes, {len(retries)} retries later than contact-ms after the third")
    return len(retries) > 3


sys.exit(run_case(run, HERE))
