"""A worker leaves after the store was silent for 0.3 s; the gateways do not hear of it in time."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib2"))

from deployment import (  # noqa: E402
    BOUNDS,
    TROUBLE,
    Gateway,
    Record,
    Store,
    Worker,
    ask,
    make_configuration,
    make_request,
    run_case,
)

GATEWAYS = 5
REQUESTS_PER_S = 12  # at each gateway; the site sends 90 a second to five
DRAIN_S, CONTACT_S = BOUNDS["drain-ms"] / 1000, BOUNDS["contact-ms"] / 1000
SILENT_AFTER_S, SILENT_S = 0.04, 0.3
LINGER_S = 0.6


async def send(record: Record, gateway: Gateway, name: str, ends: dict[str, str]) -> None:
    record.write(f"client sends {name} to {gateway.name}")
    answer = await ask(gateway.ip, gateway.front, make_request("/publish/x", name, 1500, "layout"))
    ends[name] = "closed" if answer is None else answer.first[1]
    record.write(f"client gets {ends[name]} for {name}")


async def load(record: Record, gateway: Gateway, ends: dict[str, str]) -> None:
    calls: set[asyncio.Task[None]] = set()
    number = 0
    while True:
        number += 1
        call = asyncio.create_task(send(record, gateway, f"{gateway.name}-{number}", ends))
        calls.add(call)
        call.add_done_callback(calls.discard)
        await asyncio.sleep(1 / REQUESTS_PER_S)


async def run(record: Record, folder: Path, gateways: list[Gateway]) -> bool:
    store = Store(record)
    await store.start()
    apps = [Worker(record, f"i-app-{n}", "app", 0.09) for n in range(3)]
    others = [Worker(record, f"i-other-{n}", "other", 0.09) for n in range(2)]
    await store.put("op", "config", make_configuration(4))
    for worker in (*apps, *others):
        await worker.start()
        await store.put("servers", worker.name, worker.entry())
    for number in range(GATEWAYS):
        gateway = Gateway(record, folder, f"front-{number}", f"127.0.1.{number + 1}", store.address)
        gateways.append(gateway)
        gateway.start()
    for gateway in gateways:
        await gateway.wait_ready()
    await asyncio.sleep(3.5)
    ends: dict[str, str] = {}
    clients = [asyncio.create_task(load(record, gateway, ends)) for gateway in gateways]
    await asyncio.sleep(1.0)
    # planned work: a worker of another service leaves
    await store.put("servers", others[0].name, others[0].entry("draining"))
    await asyncio.sleep(SILENT_AFTER_S)
    if TROUBLE:
        store.silent = True
        record.write("store is silent")
    await asyncio.sleep(SILENT_S)
    store.silent = False
    record.write("store answers")
    await asyncio.sleep(CONTACT_S + 0.06)
    # all gateways are in touch; planned work: a worker leaves
    leaving = apps[0]
    await store.put("servers", leaving.name, leaving.entry("draining"))
    acknowledged = record.now()
    await asyncio.sleep(DRAIN_S + LINGER_S)
    leaving.end()
    await store.put("servers", leaving.name, None)
    await asyncio.sleep(2.0)
    for client in clients:
        client.cancel()
    await asyncio.sleep(1.6)
    late = [name for at, name in leaving.runs if at > acknowledged + DRAIN_S]
    lost = [name for name in leaving.lost if ends.get(name) != "200"]
    record.write(f"reached {leaving.name} later than drain-ms after the acknowledgement: {late}")
    record.write(f"running there when it ended and never answered: {lost}")
    print(f"{len(late)} late requests, {len(lost)} of them lost, {len(ends)} requests in all")
    return bool(late)


sys.exit(run_case(run, HERE))
