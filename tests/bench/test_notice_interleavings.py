"""Random series of notices, restarts, row changes, suspensions and outages of the store."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from random import Random
from typing import Any

import pytest

from lavenderrun.bench._gateway_fleet import STORE_ADDRESS, GatewayFleet
from lavenderrun.bench._gateway_servers import BenchServer
from lavenderrun.bench._memory_tcp import Answer, ServerNetwork
from lavenderrun.bench._time import HostClock
from lavenderrun.decisions import check_record
from lavenderrun.dispatch import DepartureNotices, ServerRests
from lavenderrun.gateway import HttpRequest
from lavenderrun.kernel import Kernel
from lavenderrun.types import Headers, HostId, HostResumed, Invariant, MemberState

SECONDS = 14.0
EVENTS = 24
RULES = {Invariant.LEAVING_SERVER_LEFT_ALONE, Invariant.REST_KEPT}


class HeldRouter:
    """The router of a host that may be suspended."""

    def __init__(self, clock: HostClock, router: Any) -> None:
        self._clock = clock
        self._router = router

    @property
    def running_count(self) -> int:
        return int(self._router.running_count)

    def submit(self, call: Any, sink: Any) -> None:
        self._clock.run(self._router.submit, call, sink)


class SeriesFleet(GatewayFleet):
    """Gateways that can be suspended, before a store that can be silent."""

    def __init__(self, seed: int) -> None:
        self.clocks: dict[HostId, HostClock] = {}
        self.is_store_out = False
        super().__init__(3, 4, seed)
        self.series = Random(f"series-{seed}")

    def schedule(self) -> None:
        steps: list[Callable[[BenchServer], None]] = [
            self.leave,
            self.rest,
            self.reject,
            self.restart,
            self.change_row,
        ]
        steps += [self.suspend, self.cut_store, self.rest, self.leave]
        for _ in range(EVENTS):
            step = self.series.choice(steps)
            self.at(self.series.uniform(1, SECONDS - 2), step, self.series.choice(self.servers))

    def leave(self, server: BenchServer) -> None:
        server.plain.faults.leaving = True

    def rest(self, server: BenchServer) -> None:
        self._reject_for(server, timedelta(seconds=self.series.uniform(0.5, 4)))

    def reject(self, server: BenchServer) -> None:
        self._reject_for(server, timedelta(0))

    def _reject_for(self, server: BenchServer, wait: timedelta) -> None:
        server.plain.faults.rest = wait
        ends = self.seconds + self.series.uniform(0.1, 1)
        self.at(ends, setattr, server.plain.faults, "rest", None)

    def restart(self, server: BenchServer) -> None:
        server.start_anew()

    def change_row(self, server: BenchServer) -> None:
        states = [MemberState.READY, MemberState.LEAVING]
        slots, state = self.series.randint(4, 12), self.series.choice(states)
        server.member = replace(server.member, slots=slots, state=state)
        server._put_row()

    def suspend(self, server: BenchServer) -> None:
        del server
        host = self.series.choice(list(self.clocks))
        self.clocks[host].pause()
        self.at(self.seconds + self.series.uniform(0.2, 3), self._resume, host)

    def _resume(self, host: HostId) -> None:
        self.emit(host, HostResumed())
        self.clocks[host].resume()

    def cut_store(self, server: BenchServer) -> None:
        del server
        self.is_store_out = True
        ends = self.seconds + self.series.uniform(0.5, 4)
        self.at(ends, setattr, self, "is_store_out", False)

    def find_router(self, host: HostId) -> Any:
        return HeldRouter(self.clocks[host], super().find_router(host))

    def _answer_store(self, host: HostId, request: HttpRequest, answer: Answer) -> None:
        def answer_unless_out(status: int, headers: Headers, body: bytes) -> None:
            if not self.is_store_out:
                answer(status, headers, body)

        self._table.handle(host, request, answer_unless_out)

    def _make_host(self, host: HostId, seed: int) -> Kernel:
        base, network = self.clock, self.network
        held: Any = HostClock(base)
        held.seconds = base.seconds
        self.clocks[host] = held
        self.clock, self.network = held, ServerNetwork(held)
        self.network.servers = network.servers
        network.listen(STORE_ADDRESS, self._answer_store)
        try:
            return super()._make_host(host, seed)
        finally:
            self.clock, self.network = base, network


def run_series(seed: int) -> SeriesFleet:
    fleet = SeriesFleet(seed)
    fleet.start()
    fleet.schedule()
    fleet.run(90, SECONDS, 8)
    fleet.finish()
    return fleet


def find_violations(fleet: SeriesFleet) -> list[Any]:
    return [v for v in check_record(fleet.record.events) if v.invariant in RULES]


# Guards against: a notice that is forgotten because of what comes between.
@pytest.mark.parametrize("seed", range(12))
def test_notices_hold_in_any_series_of_faults(seed: int) -> None:
    fleet = run_series(seed)
    assert find_violations(fleet) == []
    assert sum(observation.finished for observation in fleet.observations) > 100


# Guards against: the same, of a run that started while the host could not read its row.
@pytest.mark.parametrize("seed", [17, 19, 30, 38])
def test_notices_hold_in_series_with_a_start_that_the_host_reads_late(seed: int) -> None:
    assert find_violations(run_series(seed)) == []


# Guards against: what a run says before its row is read is forgotten when the row is read.
@pytest.mark.parametrize("notice", ["leave", "rest"])
def test_a_notice_of_a_run_whose_row_is_read_later_is_kept(notice: str) -> None:
    fleet = SeriesFleet(1)
    server = fleet.servers[0]
    fleet.start()
    fleet.at(1, setattr, fleet, "is_store_out", True)
    fleet.at(1.5, fleet.restart, server)
    if notice == "leave":
        fleet.at(2, fleet.leave, server)
    else:
        faults = server.plain.faults
        fleet.at(2, setattr, faults, "rest", timedelta(seconds=20))
        fleet.at(2.5, setattr, faults, "rest", None)
    fleet.at(3, setattr, fleet, "is_store_out", False)
    fleet.run(90, SECONDS, 8)
    fleet.finish()
    assert find_violations(fleet) == []


@pytest.mark.parametrize(
    ("kind", "method", "rule"),
    [
        (DepartureNotices, "apply", Invariant.LEAVING_SERVER_LEFT_ALONE),
        (ServerRests, "is_resting", Invariant.REST_KEPT),
    ],
)
def test_a_gateway_that_forgets_notices_is_found_in_some_series(
    monkeypatch: pytest.MonkeyPatch, kind: type, method: str, rule: Invariant
) -> None:
    if method == "apply":
        monkeypatch.setattr(kind, method, lambda _self, row: row)
    else:
        monkeypatch.setattr(kind, method, lambda *_: False)
        monkeypatch.setattr(kind, "forbids", lambda *_: False)
    found = [violation for seed in range(4) for violation in find_violations(run_series(seed))]
    assert {violation.invariant for violation in found} == {rule}
