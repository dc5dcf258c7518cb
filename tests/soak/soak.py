"""A randomized soak test: real gateways and a stand-in platform, with injected faults.

Run by hand: ``python tests/soak/soak.py --seeds 1-50 --seconds 20``.
"""

from __future__ import annotations

import argparse
import http.client
import json
import random
import signal
import socket
import sys
import tempfile
import threading
import time
import weakref
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler
from pathlib import Path as File
from typing import Any

sys.path.insert(0, str(File(__file__).parents[1] / "platform"))
sys.path.insert(0, str(File(__file__).parent))

from deadly_parts import DeadlyParts
from gateway_process import Answer, Gateway, StandinPlatform
from lapses import LAPSES, Lapses
from notices import Notices
from platform_standin import (
    KEY,
    ORDERS,
    PLAIN,
    RESUMED,
    STREAM,
    SeenRequest,
    StandinServer,
    make_event,
)
from proxy import Proxy, ProxyMode
from readers import READERS, find_pause
from request_ends import RequestEnds, SentRequest, tell
from silences import (
    SILENCES,
    UPLOAD_SECONDS,
    Operator,
    change_gap_objective,
    change_idle_timeout,
    change_quota,
    change_routes,
    change_weights,
    drain_engine,
    send_slowly,
    silence_engine,
    silence_engines,
    silence_plain_server,
    start_later,
    stop_gateway_with_long_work,
)
from silent_peers import PeerPaths, silence_peers

CALLER_COUNT = 6
START_BATCH = 4
RECOVERY_SECONDS = 12.0
RECOVERY_CALLERS = 16
"""Gateways that are asked at the same time: one is asked for two seconds if streams have pauses."""
RESTART_SHARE = 0.5
DEADLY_SHARE = 0.25
UNTAINT_SHARE = 0.15
DOWN_SECONDS = (1.2, 2.5)
AT_MOST_ONCE = (ORDERS, STREAM)
KINDS = (PLAIN, ORDERS, STREAM, RESUMED)
NOT_RUN = {429, 503}
COMMON = "c0ffee"
GRACE_SECONDS = 8.0
SHORT_GRACE_SECONDS = 5.0
PATIENCE_SECONDS = 9.0
EVENT_PAUSE_SECONDS = 0.15
PACED_STREAM_SECONDS = 1.4
"""Time for a stream with pauses of ``EVENT_PAUSE_SECONDS``."""
DELAYED_STREAM_SECONDS = 2.0
"""Time for a stream over a proxy that delays each part."""
UPLOAD_SHARE = 0.15
HALF_CLOSED_SHARE = 0.1
UPLOAD_BYTES = 1000
BOUNDS = {
    "retry-ratio": 0.2,
    "retry-window-s": 10,
    "retry-slack": 58,
}


@dataclass
class Outcomes:
    """Answers by request id, and the failed checks."""

    lock: threading.Lock = field(default_factory=threading.Lock)
    answers: dict[str, Answer | None] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)

    def add(self, request: str, answer: Answer | None) -> None:
        with self.lock:
            self.answers[request] = answer


class Soak:
    """One soak run with one seed.

    :param hosts: number of gateways.
    :param faults: the faults to inject, ``None`` for those that break something.
    :ivar spoken_until: until when each server that fell silent last says nothing.
    :ivar leaving: gateways that are being stopped.
    :ivar killed: those among them that were killed meanwhile.
    :ivar frozen: gateways that are suspended.
    :ivar draining: the engine that drains.
    :ivar long_work: how long plain servers work on a call, in seconds.
    :ivar callers_pause: whether some callers stop reading answers of plain servers for a while.
    """

    def __init__(
        self,
        seed: int,
        folder: File,
        hosts: int = 2,
        faults: Sequence[FaultAction] | None = None,
    ) -> None:
        self.hosts = hosts
        self._faults = FAULTS if faults is None else faults
        self._is_patient = any(fault in SILENCES for fault in self._faults)
        self.patience = PATIENCE_SECONDS if self._is_patient else 4.0
        self.random_source = random.Random(seed)
        self.seed = seed
        self.platform = StandinPlatform(folder)
        self.operator = Operator(self.random_source)
        self.ends = (
            RequestEnds(SHORT_GRACE_SECONDS, PACED_STREAM_SECONDS)
            if self._is_patient
            else RequestEnds(GRACE_SECONDS, DELAYED_STREAM_SECONDS)
        )
        self.operator.write(self)
        self.lapses = Lapses()
        self.spoken_until: dict[str, float] = {}
        self.leaving: set[Gateway] = set()
        self.killed: set[Gateway] = set()
        self.frozen: set[Gateway] = set()
        self.long_work = 0.0
        self.callers_pause = False
        self._opened: weakref.WeakKeyDictionary[http.client.HTTPConnection, float] = (
            weakref.WeakKeyDictionary()
        )
        self.draining: StandinServer | None = None
        self.proxies: dict[str, Proxy] = {}
        self.starts: Counter[str] = Counter()
        for name, service, stage in (
            ("app-1", "apps", None),
            ("app-2", "apps", None),
            ("app-3", "apps-b", None),
            ("pre-1", "llm", "prefill"),
            ("dec-1", "llm", "decode"),
            ("dec-2", "llm", "decode"),
        ):
            server = StandinServer(name, service, stage, names_request=True)
            if self._is_patient:
                server.pause, server.behave = EVENT_PAUSE_SECONDS, self._work
            self.platform.servers[name] = server
            server.on_crash = self._crash_on_part
            self.proxies[name] = Proxy(server.address)
            self.announce(server)
        self.store_proxy = Proxy(self.platform.store.address)
        self.proxies["store"] = self.store_proxy
        self.peer_paths = PeerPaths(self.platform.store)
        self.gateways: list[Gateway] = []
        self.outcomes = Outcomes()
        self.notices = Notices()
        self.deadly = DeadlyParts()
        self._down: set[str] = set()
        self._restarts: list[threading.Timer] = []
        self._pending: list[threading.Timer] = []
        self._crash_count = 0
        self._starting = threading.Lock()
        self.stopping = threading.Event()
        self.injected: list[str] = []

    def announce(self, server: StandinServer, state: str = "ready") -> None:
        address = self.proxies[server.id].address
        entry = server.entry(addr=address, state=state, born=self.starts[server.id])
        self.lapses.note_row(server)
        self.platform.store.put("servers", server.id, entry)

    def _crash_on_part(self, server: StandinServer) -> None:
        if self.crash_server(server):
            self.deadly.note_crash(server)

    def crash_server(self, server: StandinServer) -> bool:
        """Let a server end and start again some seconds later; return whether it was up."""
        with self.outcomes.lock:
            # a call that was still in progress when the server crashed ends with it
            if server.id in self._down:
                return False
            self._down.add(server.id)
        self.notices.disturb(server.id)
        self.proxies[server.id].crash()
        down = random.Random(self._crash_count).uniform(*DOWN_SECONDS)
        self._crash_count += 1
        self._restarts.append(start_later(down, lambda: self._restart_server(server)))
        return True

    def run_later(self, seconds: float, act: Callable[[], None]) -> None:
        """Run *act* after *seconds*, before the repair at the end of the run."""
        self._pending.append(start_later(seconds, act))

    def _work(
        self, server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
    ) -> bool:
        if server.stage is None:
            time.sleep(self.long_work)
        return False

    def _restart_server(self, server: StandinServer) -> None:
        self.proxies[server.id].start_again()
        self._down.discard(server.id)
        self.notices.disturb(server.id)
        self.notices.end_departure(server)
        self.starts[server.id] += 1
        self.announce(server)

    def run(self, seconds: float) -> list[str]:
        """Inject faults for *seconds*, check recovery and answers, and return the failed checks."""
        try:
            for name in (f"front-{number + 1}" for number in range(self.hosts)):
                bounds = {**BOUNDS, "grace-s": self.ends.grace}
                gateway = Gateway(
                    self.platform.folder, self.store_proxy.address, name, bounds=bounds
                )
                self.peer_paths.add(gateway.peers)
                gateway.start()
                self.platform.gateways.append(gateway)
                self.gateways.append(gateway)
                if len(self.gateways) % START_BATCH == 0:
                    self._wait_known()
            self._wait_known()
            callers = [threading.Thread(target=self._call, args=(n,)) for n in range(CALLER_COUNT)]
            for caller in callers:
                caller.start()
            self._inject_faults(time.monotonic() + seconds)
            self._repair_all()
            self._check_recovery()
            self.stopping.set()
            for caller in callers:
                caller.join(20)
            time.sleep(0.5)  # an execution that arrives late must be counted as well
            self._check()
        finally:
            self.stopping.set()
            if self.lapses.sender is not None:
                self.lapses.sender.join()
            for timer in (*self._restarts, *self._pending):
                timer.cancel()
                timer.join()
            self.platform.close()
            self.peer_paths.close()
            for proxy in self.proxies.values():
                proxy.close()
        return self.outcomes.failures

    def _wait_known(self) -> None:
        for gateway in self.gateways:
            self.platform.wait_known(gateway)

    def _call(self, number: int) -> None:
        random_source = random.Random(self.seed * 1000 + number)
        connections: dict[int, tuple[http.client.HTTPConnection, float | None]] = {}
        count = 0
        while not self.stopping.is_set():
            count += 1
            kind, index = random_source.choice(KINDS), random_source.randrange(len(self.gateways))
            gateway = self.gateways[index]
            request = f"{kind.strip('/')}-{number}-{count}"
            part = self.deadly.current
            if part and kind in (STREAM, RESUMED) and random_source.random() < DEADLY_SHARE:
                request += f"-{part}"
            kept = connections.pop(index, None)
            connection, idle_since = (gateway.connect(), None) if kept is None else kept
            self.notices.note_sent(request, index)
            seconds = random_source.uniform(*UPLOAD_SECONDS)
            is_slow = self._is_patient and random_source.random() < UPLOAD_SHARE
            half_closes = self._is_patient and random_source.random() < HALF_CLOSED_SHARE
            answer = self._exchange(
                gateway,
                kind,
                request,
                connection,
                idle_since=idle_since,
                upload=seconds if is_slow else 0.0,
                half_closes=half_closes,
            )
            if answer is None:
                time.sleep(0.05)
                continue
            self.notices.note_answer(request, answer)
            may_keep = answer.headers.get("connection") != "close" and not half_closes
            if answer.whole and may_keep:
                connections[index] = (connection, answer.idle_since)
            time.sleep(random_source.random() * 0.05)

    def _exchange(
        self,
        gateway: Gateway,
        kind: str,
        request: str,
        connection: http.client.HTTPConnection,
        idle_since: float | None = None,
        upload: float = 0.0,
        *,
        half_closes: bool = False,
    ) -> Answer | None:
        """Send a request and record its end; return the answer, ``None`` without one.

        :param half_closes: whether the caller closes its writing side after the request.
        """
        answer, sent = None, None
        try:
            if connection.sock is None:
                connection.connect()
                self._opened[connection] = time.monotonic()
            index, opened = self.gateways.index(gateway), self._opened[connection]
            sent = self.ends.begin(request, index, opened, idle_since)
            answer = self._send(
                gateway, kind, request, connection, sent, upload, half_closes=half_closes
            )
            sent.answer = answer
        except (OSError, http.client.HTTPException) as error:
            connection.close()
            if sent is not None:
                sent.error = type(error).__name__
        if sent is not None:
            sent.ended = time.monotonic()
        self.outcomes.add(request, answer)
        return answer

    def _send(
        self,
        gateway: Gateway,
        kind: str,
        request: str,
        connection: http.client.HTTPConnection,
        sent: SentRequest,
        upload: float,
        *,
        half_closes: bool,
    ) -> Answer:
        def note_sent() -> None:
            sent.sent = time.monotonic()
            if half_closes:
                with suppress(OSError):  # reset meanwhile
                    connection.sock.shutdown(socket.SHUT_WR)

        headers = {"X-Deadline-Ms": str(round(self.patience * 1000))}
        given: dict[str, Any] = {
            "request": request,
            "connection": connection,
            "on_sent": note_sent,
            "headers": headers,
        }
        body: bytes | Iterator[bytes] = request.encode()
        if upload and kind != PLAIN:
            # calls with equal bodies count as one call that is repeated
            body = send_slowly(request.encode().ljust(UPLOAD_BYTES), upload, sent.note_part)
            headers["Content-Length"] = str(UPLOAD_BYTES)
        if kind in (STREAM, RESUMED):
            part = request.rpartition("-")[2]
            parts = (COMMON, part, "f0") if part.startswith("dead") else (COMMON, "e0")
            return gateway.generate(kind + "x", parts, body, **given)
        if kind == ORDERS:
            return gateway.call(kind + "x", "POST", body=body, **given)
        pause = find_pause(request) if self.callers_pause else 0.0
        return gateway.call(kind + "x", read_after=pause, **given)

    def _inject_faults(self, until: float) -> None:
        while time.monotonic() < until:
            fault = self.random_source.choice(self._faults)
            self.injected.append(f"{tell(time.monotonic())} {fault.__name__}")
            fault(self)
            time.sleep(self.random_source.uniform(0.05, 0.8))

    def _repair_all(self) -> None:
        for timer in self._pending:
            timer.join()
        self.deadly.end()
        self.callers_pause = False
        self.operator = Operator(self.random_source)
        self.operator.write(self)
        for proxy in self.proxies.values():
            proxy.set(ProxyMode.OPEN)
        for server in self.platform.servers.values():
            server.behave = None
            self.start_server_anew(server)
        for gateway in self.gateways:
            with suppress(ProcessLookupError):
                gateway.signal(signal.SIGCONT)
            self.start_if_dead(gateway)

    def start_if_dead(self, gateway: Gateway) -> None:
        """Start a gateway whose process has ended, once if several faults ended it."""
        with self._starting:
            if gateway.popen is None or gateway.popen.poll() is not None:
                gateway.start()
                self.excuse(gateway)
                self.notices.note_restart(self.gateways.index(gateway))

    def start_server_anew(self, server: StandinServer) -> None:
        if self.notices.end_departure(server):
            self.starts[server.id] += 1
        self.announce(server)

    def excuse(self, gateway: Gateway) -> None:
        """Record that a gateway is restarted or suspended, and so knows less than it was told."""
        self.notices.excuse(self.gateways.index(gateway))

    def _check_recovery(self) -> None:
        until = time.monotonic() + RECOVERY_SECONDS
        with ThreadPoolExecutor(RECOVERY_CALLERS) as callers:
            for failures in callers.map(lambda g: self._check_recovered(g, until), self.gateways):
                self.outcomes.failures.extend(failures)

    def _check_recovered(self, gateway: Gateway, until: float) -> list[str]:
        return [
            f"not served again: {kind} at {gateway.settings.stem}"
            for kind in KINDS
            if not self._recovers(gateway, kind, until)
        ]

    def _recovers(self, gateway: Gateway, kind: str, until: float) -> bool:
        attempt = 0
        while time.monotonic() < until:
            attempt += 1
            request = f"{kind.strip('/')}-r-{gateway.settings.stem}-{attempt}"
            connection = gateway.connect()
            answer = self._exchange(gateway, kind, request, connection)
            connection.close()
            if answer is not None and answer.status == 200 and answer.whole:
                return True
            time.sleep(0.1)
        return False

    def _check(self) -> None:
        runs = Counter(run for server in self.platform.servers.values() for run in server.runs)
        for request, answer in self.outcomes.answers.items():
            kind = f"/{request.partition('-')[0]}/"
            if kind in AT_MOST_ONCE and runs[request] > 1:
                self.outcomes.failures.append(f"ran {runs[request]} times: {request}")
            if answer is not None:
                self._check_status(kind, request, answer, runs[request])
        self._check_servers()
        self.outcomes.failures.extend(self.ends.check(self.platform.servers, self.proxies))
        for gateway in self.gateways:
            for line in gateway.list_unanswered():
                self.outcomes.failures.append(f"logged as unanswered: {line}")
        servers = list(self.platform.servers.values())
        given_up = {
            attempt: at
            for gateway in self.gateways
            for attempt, at in gateway.list_given_up().items()
        }
        self.outcomes.failures.extend(self.notices.check(servers, self.proxies, given_up))
        self.outcomes.failures.extend(self.deadly.check(servers, self.notices))
        self.outcomes.failures.extend(self.lapses.check(self))

    def _check_status(self, kind: str, request: str, answer: Answer, runs: int) -> None:
        self.outcomes.failures.extend(self.deadly.check_answer(request, answer))
        if kind in AT_MOST_ONCE and answer.status in NOT_RUN and runs:
            self.outcomes.failures.append(f"refused as not run, and ran: {request}")
        if answer.status == 200:
            self._check_answer(kind, request, answer)
        elif answer.status not in {429, 500, 502, 503, 504}:
            self.outcomes.failures.append(f"denied with {answer.status}: {request}")

    def _check_servers(self) -> None:
        for server in self.platform.servers.values():
            for seen in server.seen:
                if KEY in str(seen.headers):
                    self.outcomes.failures.append(f"key passed on to {server.id}")
                if "x-request-id" in seen.headers and seen.headers.get("x-tenant") != "talleres":
                    self.outcomes.failures.append(f"wrong account at {server.id}")

    def _check_answer(self, kind: str, request: str, answer: Answer) -> None:
        if answer.headers.get("x-request-id") != request:
            self.outcomes.failures.append(f"answer to another call: {request}")
        if kind in (STREAM, RESUMED):
            events = b"".join(make_event(number, request) for number in range(1, 7))
            good = answer.body == events if answer.whole else events.startswith(answer.body)
        else:
            good = answer.whole and answer.body.startswith(b"body of app-")
        if not good:
            self.outcomes.failures.append(f"spoiled answer: {request} {answer.body!r}")


BREAKING_FAULT_MODES = [mode for mode in ProxyMode if mode is not ProxyMode.HELD]

FaultAction = Callable[[Soak], None]
FAULTS: list[FaultAction] = []


def fault(act: FaultAction) -> FaultAction:
    """Register *act* as a fault to inject."""
    FAULTS.append(act)
    return act


@fault
def change_proxy_mode(soak: Soak) -> None:
    """Set a random mode on one random proxy, of a server or the store."""
    name = soak.random_source.choice(sorted(soak.proxies))
    proxy = soak.proxies[name]
    soak.notices.disturb(name)
    mode = soak.random_source.choice(BREAKING_FAULT_MODES)
    soak.injected[-1] += f" {name} {mode.value}"
    proxy.set(mode)


@fault
def open_all_proxies(soak: Soak) -> None:
    """Open all proxies."""
    for name, proxy in soak.proxies.items():
        soak.notices.disturb(name)
        proxy.set(ProxyMode.OPEN)


@fault
def pause_gateway(soak: Soak) -> None:
    """Suspend a gateway process for up to two seconds."""
    gateway = soak.random_source.choice(soak.gateways)
    soak.excuse(gateway)
    began = time.monotonic()
    soak.frozen.add(gateway)
    gateway.signal(signal.SIGSTOP)
    time.sleep(soak.random_source.uniform(0.1, 2.0))
    gateway.signal(signal.SIGCONT)
    soak.frozen.discard(gateway)
    soak.ends.note_freeze(soak.gateways.index(gateway), began)
    soak.excuse(gateway)


@fault
def kill_gateway(soak: Soak) -> None:
    """Kill a gateway and restart it."""
    gateway = soak.random_source.choice(soak.gateways)
    soak.excuse(gateway)
    began = time.monotonic()
    is_leaving = gateway in soak.leaving
    if is_leaving:
        soak.killed.add(gateway)
    gateway.close()
    soak.notices.note_restart(soak.gateways.index(gateway))
    soak.ends.note_kill(soak.gateways.index(gateway), began)
    time.sleep(soak.random_source.uniform(0.0, 0.5))
    if not is_leaving:
        soak.start_if_dead(gateway)


@fault
def restart_gateway(soak: Soak) -> None:
    """Stop a gateway as planned and restart it; it must exit without an error."""
    gateway = soak.random_source.choice(soak.gateways)
    # a process that does not listen yet has no calls to finish and may be ended by the signal
    was_up = gateway.ask_ready() != 0
    began = time.monotonic()
    gateway.signal(signal.SIGTERM)
    assert gateway.popen is not None
    if gateway.popen.wait(15) != 0 and was_up:
        soak.outcomes.failures.append("a planned stop ended with an error")
    soak.ends.note_stop(soak.gateways.index(gateway), began)
    soak.start_if_dead(gateway)


@fault
def reload_gateway(soak: Soak) -> None:
    """Signal a gateway to reload its settings."""
    soak.random_source.choice(soak.gateways).signal(signal.SIGHUP)


@fault
def change_configuration(soak: Soak) -> None:
    """Publish a new version of the same configuration."""
    soak.operator.write(soak)


@fault
def announce_server(soak: Soak) -> None:
    """Announce a random server as draining, or as ready."""
    server = soak.random_source.choice(sorted(soak.platform.servers.values(), key=lambda w: w.id))
    soak.announce(server, soak.random_source.choice(["ready", "draining"]))


@fault
def say_leaving(soak: Soak) -> None:
    """Let a server say in its answers that it leaves, while its row stays as it is."""
    servers = soak.platform.servers
    leaving = [server for server in servers.values() if server.notices]
    if leaving and soak.random_source.random() < RESTART_SHARE:
        soak.start_server_anew(leaving[0])
        return
    soak.notices.begin_departure(soak.random_source.choice(list(servers.values())))


@fault
def ask_for_rest(soak: Soak) -> None:
    """Let a server reject calls for some time and ask for none in it; end that of others."""
    for server in soak.platform.servers.values():
        server.behave = None
    server = soak.random_source.choice(list(soak.platform.servers.values()))
    soak.notices.ask_for_rest(server, soak.random_source.randint(1, 3))


@fault
def taint_prompts(soak: Soak) -> None:
    """Let some prompts have a part on which engines crash, or none."""
    if soak.deadly.current:
        if soak.random_source.random() < UNTAINT_SHARE:
            soak.deadly.end()
    else:
        soak.deadly.begin(list(soak.platform.servers.values()))


@fault
def forget_history(soak: Soak) -> None:
    """Make the store drop its change history."""
    soak.platform.store.forget_history()


FAULT_FAMILIES: dict[str, Sequence[FaultAction]] = {
    "breaks": FAULTS,
    "silences": [*SILENCES, reload_gateway],
    "engines": [silence_engine, silence_engines, drain_engine, drain_engine, change_gap_objective],
    "uploads": [change_idle_timeout, change_quota, change_routes],
    "grace": [stop_gateway_with_long_work, silence_plain_server],
    "weights": [change_weights, silence_plain_server],
    "peers": [silence_peers, silence_engine, change_routes],
    "lapses": LAPSES,
    "readers": [*READERS, restart_gateway, reload_gateway, change_configuration, pause_gateway],
    "all": [*FAULTS, *SILENCES],
}


def run_seed(
    seed: int,
    seconds: float,
    folder: File,
    hosts: int = 2,
    faults: Sequence[FaultAction] | None = None,
) -> tuple[list[str], Counter[str]]:
    """Run one seed; return the failed checks and the number of calls by status."""
    soak = Soak(seed, folder, hosts, faults)
    failures = soak.run(seconds)
    (folder / "faults.txt").write_text("\n".join(soak.injected))
    statuses = Counter(
        "cut" if answer is None or not answer.whole else str(answer.status)
        for answer in soak.outcomes.answers.values()
    )
    return failures, statuses


def main() -> int:
    """Run the seeds given on the command line; return the number of failed seeds."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1-5", metavar="FIRST-LAST")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--faults", default="breaks", choices=sorted(FAULT_FAMILIES))
    parser.add_argument("--hosts", type=int, default=2, help="number of gateways")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        folder = File(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        failures, statuses = run_seed(
            seed, args.seconds, folder, args.hosts, FAULT_FAMILIES[args.faults]
        )
        failed += bool(failures)
        outcomes = {"seed": seed, "faults": failures[:10], "ends": statuses, "logs": str(folder)}
        print(json.dumps(outcomes), flush=True)
    return failed


if __name__ == "__main__":
    sys.exit(main())
