"""Faults of a soak run that break nothing: silences, changes of the configuration and stops."""

from __future__ import annotations

import random
import signal
import subprocess
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from typing import TYPE_CHECKING, Any

from platform_standin import ORDERS, PLAIN, StandinServer, make_config
from proxy import ProxyMode

if TYPE_CHECKING:
    from gateway_process import Gateway

    from soak import Soak

SILENT_SECONDS = (0.6, 1.7)
SPOKEN_SECONDS = 1.0
"""Shortest time between two silences of a server."""
UPLOAD_SECONDS = (0.6, 2.0)
UPLOAD_PARTS = 10
IDLE_MILLISECONDS = (500, 1000, 15000)
TIMEOUT_MILLISECONDS = (1500, 2500, 4000, 9000)
GAP_MILLISECONDS = (100, 300)
WEIGHTS = ((1, 1), (3, 1), (0, 1), (0, 0))
RATES = (300, 100000)
DRAIN_SECONDS = (2.0, 4.0)
LONG_WORK_SECONDS = (2.0, 4.0)

SoakFault = Callable[["Soak"], None]
SILENCES: list[SoakFault] = []


def silence(act: SoakFault) -> SoakFault:
    """Register *act* as a fault that breaks nothing."""
    SILENCES.append(act)
    return act


class Operator:
    """Writes versions of the configuration, each with one more change."""

    def __init__(self, random_source: random.Random) -> None:
        self.random_source = random_source
        self.content: dict[str, Any] = make_config(0)
        self.content["services"].append({"name": "apps-b", "max-conns": 100})

    def find_routes(self, prefixes: Sequence[str] = ()) -> list[dict[str, Any]]:
        found: list[dict[str, Any]] = self.content["routes"]
        return [each for each in found if not prefixes or each["prefix"] in prefixes]

    def write(self, soak: Soak) -> None:
        content = {name: value for name, value in self.content.items() if name != "version"}
        timeout = min(route["timeout-ms"] for route in self.find_routes()) / 1000
        now, idle = time.monotonic(), self.content["limits"]["idle-timeout-ms"] / 1000
        soak.ends.timeouts.append((now, timeout))
        soak.ends.idle_timeouts.append((now, idle))
        soak.platform.configure(**content)


def send_slowly(
    body: bytes, seconds: float, note_part: Callable[[], None] = lambda: None
) -> Iterator[bytes]:
    """Yield the parts of a body over some time; call *note_part* before each."""
    size = max(1, len(body) // UPLOAD_PARTS)
    for start in range(0, len(body), size):
        if start:
            time.sleep(seconds * size / len(body))
        note_part()
        yield body[start : start + size]


def _fall_silent(soak: Soak, servers: Sequence[StandinServer]) -> None:
    seconds, now = soak.random_source.uniform(*SILENT_SECONDS), time.monotonic()
    for server in servers:
        if soak.spoken_until.get(server.id, 0.0) + SPOKEN_SECONDS <= now:
            soak.spoken_until[server.id] = now + seconds
            server.fall_silent(seconds)


def _find_servers(soak: Soak, *, engines: bool) -> list[StandinServer]:
    servers = soak.platform.servers.values()
    return [server for server in servers if (server.stage is not None) == engines]


@silence
def silence_engine(soak: Soak) -> None:
    """Let one engine say nothing for about a second."""
    _fall_silent(soak, [soak.random_source.choice(_find_servers(soak, engines=True))])


@silence
def silence_engines(soak: Soak) -> None:
    """Let all engines say nothing at once."""
    _fall_silent(soak, _find_servers(soak, engines=True))


@silence
def silence_plain_server(soak: Soak) -> None:
    """Let one plain server say nothing for about a second."""
    _fall_silent(soak, [soak.random_source.choice(_find_servers(soak, engines=False))])


@silence
def silence_all_servers(soak: Soak) -> None:
    """Let all servers say nothing at once."""
    _fall_silent(soak, list(soak.platform.servers.values()))


@silence
def hold_store(soak: Soak) -> None:
    """Delay what the store says by about a second."""
    soak.store_proxy.set(ProxyMode.HELD)
    seconds = soak.random_source.uniform(*SILENT_SECONDS)
    soak.run_later(seconds, lambda: soak.store_proxy.set(ProxyMode.OPEN))


@silence
def drain_engine(soak: Soak) -> None:
    """Let one engine drain for some seconds, so that one is left, and start it anew."""
    server = soak.random_source.choice(_find_servers(soak, engines=True))
    if soak.draining is None and server.stage == "decode":
        soak.draining = server
        soak.announce(server, "draining")
        soak.run_later(soak.random_source.uniform(*DRAIN_SECONDS), lambda: _end_drain(soak, server))


def _end_drain(soak: Soak, server: StandinServer) -> None:
    soak.start_server_anew(server)
    soak.draining = None


@silence
def freeze_gateway(soak: Soak) -> None:
    """Suspend a gateway for about a second, while other faults go on."""
    gateway, began = soak.random_source.choice(soak.gateways), time.monotonic()
    if gateway in soak.leaving or gateway in soak.frozen:
        return
    soak.frozen.add(gateway)
    gateway.signal(signal.SIGSTOP)
    soak.excuse(gateway)

    def resume() -> None:
        gateway.signal(signal.SIGCONT)
        soak.frozen.discard(gateway)
        soak.ends.note_freeze(soak.gateways.index(gateway), began)
        soak.excuse(gateway)

    soak.run_later(soak.random_source.uniform(*SILENT_SECONDS), resume)


@silence
def change_idle_timeout(soak: Soak) -> None:
    """Lower or raise the idle timeout of connections."""
    soak.operator.content["limits"]["idle-timeout-ms"] = soak.random_source.choice(
        IDLE_MILLISECONDS
    )
    soak.operator.write(soak)


@silence
def change_route_timeout(soak: Soak) -> None:
    """Change the timeout of one route."""
    route = soak.random_source.choice(soak.operator.find_routes())
    route["timeout-ms"] = soak.random_source.choice(TIMEOUT_MILLISECONDS)
    soak.operator.write(soak)


@silence
def change_gap_objective(soak: Soak) -> None:
    """Change how long the pauses of a stream may be for its answer to be on time."""
    streams = [route for route in soak.operator.find_routes() if route["kind"] == "stream"]
    soak.random_source.choice(streams)["gap-aim-ms"] = soak.random_source.choice(GAP_MILLISECONDS)
    soak.operator.write(soak)


@silence
def change_weights(soak: Soak) -> None:
    """Split a route between two services."""
    route = soak.random_source.choice(soak.operator.find_routes((PLAIN, ORDERS)))
    weights = soak.random_source.choice(WEIGHTS)
    route.pop("service", None)
    route["split"] = [
        {"service": name, "weight": weight}
        for name, weight in zip(("apps", "apps-b"), weights, strict=True)
    ]
    soak.operator.write(soak)


@silence
def change_quota(soak: Soak) -> None:
    """Lower or raise the rate of the callers' account."""
    soak.operator.content["tenants"][0]["rate-per-s"] = soak.random_source.choice(RATES)
    soak.operator.write(soak)


@silence
def change_routes(soak: Soak) -> None:
    """Add a route that nobody calls, or remove it."""
    routes = soak.operator.content["routes"]
    if routes[-1]["name"] == "extra":
        routes.pop()
    else:
        routes.append({**routes[-1], "name": "extra", "prefix": "/extra/"})
    soak.operator.write(soak)


@silence
def stop_gateway(soak: Soak) -> None:
    """Stop a gateway as planned, while other faults go on, and restart it."""
    gateway = soak.random_source.choice(soak.gateways)
    # the grace period of a suspended process would begin when it resumes
    if gateway in soak.leaving or gateway in soak.frozen or gateway.ask_ready() == 0:
        return
    soak.leaving.add(gateway)
    soak.run_later(0.0, lambda: _stop(soak, gateway))


@silence
def stop_gateway_with_long_work(soak: Soak) -> None:
    """Stop a gateway while its calls take until near the end of the grace period."""
    seconds = soak.random_source.uniform(*LONG_WORK_SECONDS)
    soak.long_work = seconds
    stop_gateway(soak)


def _stop(soak: Soak, gateway: Gateway) -> None:
    assert gateway.popen is not None
    began = time.monotonic()
    soak.excuse(gateway)
    gateway.signal(signal.SIGTERM)
    try:
        status = gateway.popen.wait(soak.ends.grace)
        if status and not (status == -signal.SIGKILL and gateway in soak.killed):
            soak.outcomes.failures.append(f"a planned stop ended with {status}")
    except subprocess.TimeoutExpired:
        ended = time.monotonic()
        # a process that is suspended at the end of its grace period can only be killed
        if gateway not in soak.frozen:
            soak.outcomes.failures.append("a planned stop lasted longer than its grace period")
        gateway.close()
        soak.ends.note_kill(soak.gateways.index(gateway), ended)
    soak.ends.note_stop(soak.gateways.index(gateway), began)
    soak.long_work = 0.0
    soak.start_if_dead(gateway)
    soak.excuse(gateway)
    soak.leaving.discard(gateway)
    soak.killed.discard(gateway)


def start_later(seconds: float, act: Callable[[], None]) -> threading.Timer:
    """Run *act* in a thread of its own after *seconds*."""
    timer = threading.Timer(seconds, act)
    timer.start()
    return timer
