"""Measures the first-token latency and the CPU time that an entry adds, on loopback.

The entry runs in its own process, so that its CPU time is separate from that of the agents, the
stand-ins and the caller. Calls through it alternate with direct calls to the engines.
"""

from __future__ import annotations

import http.client
import json
import os
import statistics
import subprocess
import sys
import time
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lavenderrun.bench._loopback_hosts import KEY, LOOPBACK, MODEL, OutsideAddresses

COMMAND = "loopback"
LATENCY_CALLS = 200
SHORT_CALLS = 400
STREAMS = 16
STREAM_TOKENS = 2000
IDLE_SECONDS = 5.0
READY_SECONDS = 20.0
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PROMPT = "heat record 5150 " * 20


class LoopbackFigures(msgspec.Struct, frozen=True):
    """Result of one run: latencies in milliseconds, CPU time of the entry in microseconds.

    :param added_p50: median first-token latency through the entry minus that of direct calls.
    :param cpu_a_request: CPU time per request with one output token.
    :param cpu_a_frame: CPU time per streamed frame.
    :param frames: number of frames over which *cpu_a_frame* was measured.
    :param idle_share: CPU time of the idle entry as a share of one core.
    :param resident: resident memory of the entry in MiB after the run.
    """

    direct_p50: float
    through_p50: float
    through_p95: float
    added_p50: float
    cpu_a_request: float
    cpu_a_frame: float
    frames: int
    idle_share: float
    resident: float


@dataclass(frozen=True)
class Stream:
    """What a caller observed of one streamed answer.

    :param first: seconds from the call to the first token.
    :param frames: number of server-sent events with tokens.
    """

    first: float
    frames: int


class Process:
    """A child process of the measurement; starting it waits until it is ready.

    :param arguments: arguments of the sub-command ``loopback``.
    :ivar ready: the line that the process printed when it was ready.
    :raises RuntimeError: the process ended before it was ready.
    """

    def __init__(self, *arguments: str) -> None:
        command = [sys.executable, "-m", "lavenderrun", COMMAND, *arguments]
        self._child = subprocess.Popen(command, stdout=subprocess.PIPE, text=True)
        assert self._child.stdout is not None
        line = self._child.stdout.readline()
        if not line:
            msg = f"loopback: process {arguments[1]} did not start"
            raise RuntimeError(msg)
        self.ready = line

    def cpu(self) -> float:
        """Return the CPU time used so far, in seconds."""
        fields = Path(f"/proc/{self._child.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND

    def resident(self) -> float:
        """Return the resident memory in MiB."""
        pages = int(Path(f"/proc/{self._child.pid}/statm").read_text().split()[1])
        return pages * os.sysconf("SC_PAGE_SIZE") / (1 << 20)

    def stop(self) -> None:
        """Terminate the process and wait for its end."""
        self._child.terminate()
        self._child.wait()


class Caller:
    """Makes blocking calls on persistent connections.

    :param port: port of the entry.
    :param outside: addresses of the engines.
    """

    def __init__(self, port: int, outside: OutsideAddresses) -> None:
        self._entry = http.client.HTTPConnection(LOOPBACK, port)
        self._prefill = _connect(outside.prefill)
        self._decode = _connect(outside.decode)
        self._calls = 0

    def call_through(self, tokens: int) -> Stream:
        """Stream an answer through the entry."""
        body = {"model": MODEL, "prompt": PROMPT, "max_tokens": tokens, "stream": True}
        began = time.perf_counter()
        headers = {"Authorization": f"Bearer {KEY}"}
        self._entry.request("POST", "/v1/completions", json.dumps(body), headers)
        return _read_stream(self._entry, began)

    def call_directly(self, tokens: int) -> Stream:
        """Stream an answer from the engines, without the entry."""
        self._calls += 1
        request = f"direct-{self._calls}"
        began = time.perf_counter()
        prefill = {"request": request, "model": MODEL, "text": PROMPT}
        self._prefill.request("POST", "/prefill", json.dumps(prefill))
        export = json.loads(self._prefill.getresponse().read())
        decode = {"request": request, "model": MODEL, "max_tokens": tokens}
        decode |= {"handle": export["handle"], "source": export["source"]}
        self._decode.request("POST", "/decode", json.dumps(decode))
        return _read_stream(self._decode, began)


def run_loopback() -> LoopbackFigures:
    """Start the processes, measure the entry, and stop the processes."""
    outside = Process("--role", "outside")
    try:
        addresses = msgspec.json.decode(outside.ready, type=OutsideAddresses)
        entry = Process("--role", "entry", "--table", addresses.table)
        try:
            return measure_entry(entry, int(entry.ready), addresses)
        finally:
            entry.stop()
    finally:
        outside.stop()


def measure_entry(entry: Process, port: int, outside: OutsideAddresses) -> LoopbackFigures:
    """Measure the entry that listens on *port*."""
    caller = Caller(port, outside)
    _wait_ready(caller)
    direct, through = [], []
    for _ in range(LATENCY_CALLS):
        direct.append(caller.call_directly(1).first * 1e3)
        through.append(caller.call_through(1).first * 1e3)
    idle = _measure_idle(entry)
    short = _measure_cpu(entry, lambda: [caller.call_through(1) for _ in range(SHORT_CALLS)], idle)
    per_request = short.cpu / SHORT_CALLS
    streams = _measure_cpu(entry, lambda: _stream_together(port, outside), idle)
    per_frame = (streams.cpu - STREAMS * per_request) / streams.frames
    direct_p50, through_p50 = statistics.median(direct), statistics.median(through)
    return LoopbackFigures(
        direct_p50=round(direct_p50, 3),
        through_p50=round(through_p50, 3),
        through_p95=round(statistics.quantiles(through, n=20)[-1], 3),
        added_p50=round(through_p50 - direct_p50, 3),
        cpu_a_request=round(per_request * 1e6, 1),
        cpu_a_frame=round(per_frame * 1e6, 1),
        frames=streams.frames,
        idle_share=round(idle, 4),
        resident=round(entry.resident(), 1),
    )


@dataclass(frozen=True)
class EntryUsage:
    """CPU seconds of the entry above its idle share, and the number of frames it sent."""

    cpu: float
    frames: int


def _measure_cpu(entry: Process, work: Callable[[], list[Stream]], idle: float) -> EntryUsage:
    cpu, began = entry.cpu(), time.perf_counter()
    streams = work()
    seconds = time.perf_counter() - began
    return EntryUsage(entry.cpu() - cpu - idle * seconds, sum(each.frames for each in streams))


def _measure_idle(entry: Process) -> float:
    cpu = entry.cpu()
    time.sleep(IDLE_SECONDS)
    return (entry.cpu() - cpu) / IDLE_SECONDS


def _stream_together(port: int, outside: OutsideAddresses) -> list[Stream]:
    with ThreadPoolExecutor(STREAMS) as pool:
        callers = [Caller(port, outside) for _ in range(STREAMS)]
        return list(pool.map(lambda each: each.call_through(STREAM_TOKENS), callers))


def _wait_ready(caller: Caller) -> None:
    deadline = time.perf_counter() + READY_SECONDS
    while True:
        try:
            caller.call_through(1)
        except ConnectionError:
            if time.perf_counter() > deadline:
                raise
            time.sleep(0.2)
        else:
            return


def _connect(address: str) -> http.client.HTTPConnection:
    host, _, port = address.rpartition(":")
    return http.client.HTTPConnection(host, int(port))


def _read_stream(connection: http.client.HTTPConnection, began: float) -> Stream:
    response = connection.getresponse()
    if response.status != 200:
        response.read()
        msg = f"loopback: status {response.status}"
        raise ConnectionError(msg)
    first, frames = 0.0, 0
    for line in response:
        if line.startswith(b"data: ") and not line.startswith(b"data: [DONE]"):
            first = first or time.perf_counter() - began
            frames += 1
    return Stream(first, frames)
