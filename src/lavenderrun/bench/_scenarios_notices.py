"""Scenarios in which servers say in their answers that they leave, or want no calls for a time."""

from __future__ import annotations

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import NamedTuple

from lavenderrun.bench._gateway_fleet import GatewayFleet
from lavenderrun.bench._gateway_plans import GatewayPlan
from lavenderrun.bench._gateway_servers import BenchServer
from lavenderrun.bench._scenarios import RECOVERY_UNTIL_SECONDS, SCENARIOS
from lavenderrun.types import BackendId, BackendRejected, HostId

FIRST_AT_SECONDS = 4.0
"""Time from the start of the load to the first notice."""
REST_SECONDS = 3.0
SHED_SECONDS = 0.6
SHED_INTERVAL_SECONDS = 2.0
"""Time in which a server rejects all calls."""
RETURN_SECONDS = 3.0
"""Time after the rests within which all callers that were refused are back."""
NEW_START_SECONDS = 4.0
LAST_ENDS_AT_SECONDS = FIRST_AT_SECONDS + SHED_SECONDS + REST_SECONDS
CALLS_PER_SERVER = 20.0
"""Calls a second for each server, a quarter of what it can run: three times as many fit when those
that were refused come back."""
HEARD_WITHIN = timedelta(milliseconds=5)
"""Time from a rejected call's arrival at its server until its host has the answer."""


class _AskedRest(NamedTuple):
    server: BackendId
    asked: datetime
    ends: datetime


@SCENARIOS.register("leaving-notices")
def plan_leaving_notices() -> GatewayPlan:
    """Servers say in their answers only that they leave; one of them starts anew."""

    def script(fleet: GatewayFleet) -> None:
        first, second, *_ = fleet.servers
        fleet.at(FIRST_AT_SECONDS, _leave, first)
        fleet.at(FIRST_AT_SECONDS + 1, _leave, second)
        fleet.at(FIRST_AT_SECONDS + NEW_START_SECONDS, first.start_anew)

    return GatewayPlan(script)


@SCENARIOS.register("resting-server")
def plan_resting_server() -> GatewayPlan:
    """One server after the other rejects calls and asks for none for some seconds."""

    def script(fleet: GatewayFleet) -> None:
        for number, server in enumerate(fleet.servers):
            at = FIRST_AT_SECONDS + number * SHED_INTERVAL_SECONDS
            fleet.at(at, _shed, fleet, server)

    return GatewayPlan(script)


@SCENARIOS.register("resting-service")
def plan_resting_service() -> GatewayPlan:
    """All servers of a service ask five hosts at once for no calls for some seconds."""
    return _plan_resting_service(hosts=5, servers=4)


@SCENARIOS.register("resting-service-large")
def plan_resting_service_large() -> GatewayPlan:
    """All servers of a service ask 68 hosts at once for no calls for some seconds."""
    return _plan_resting_service(hosts=68, servers=6)


def _plan_resting_service(hosts: int, servers: int) -> GatewayPlan:
    def script(fleet: GatewayFleet) -> None:
        for server in fleet.servers:
            fleet.at(FIRST_AT_SECONDS, _shed, fleet, server)
        fleet.at(FIRST_AT_SECONDS + SHED_SECONDS, _reset_peaks, fleet)
        fleet.at(LAST_ENDS_AT_SECONDS + RETURN_SECONDS, _measure_return, fleet)

    return GatewayPlan(
        script,
        hosts=hosts,
        servers=servers,
        per_second=servers * CALLS_PER_SERVER,
        seconds=LAST_ENDS_AT_SECONDS + RECOVERY_UNTIL_SECONDS,
        fault_at=FIRST_AT_SECONDS,
        fault_until=LAST_ENDS_AT_SECONDS,
    )


def _leave(server: BenchServer) -> None:
    server.plain.faults.leaving = True


def _shed(fleet: GatewayFleet, server: BenchServer) -> None:
    server.plain.faults.rest = timedelta(seconds=REST_SECONDS)
    fleet.at(fleet.seconds + SHED_SECONDS, setattr, server.plain.faults, "rest", None)


def _reset_peaks(fleet: GatewayFleet) -> None:
    for server in fleet.servers:
        server.peak = 0


def _measure_return(fleet: GatewayFleet) -> None:
    """Measure how calls came back after the rests, and how they were refused meanwhile."""
    slots = fleet.servers[0].member.slots
    fleet.extra["return_peak"] = max(server.peak for server in fleet.servers) / slots
    rests = _list_rests(fleet)
    found = []
    for observation in fleet.observations:
        for host, at, waited, refused in observation.refusals:
            end = _find_first_end(rests.get(host, ()), len(fleet.servers), at)
            if end is not None and at < end:
                advised = at + (refused.retry_after or timedelta(0))
                found.append((waited.total_seconds(), advised < end - HEARD_WITHIN))
    fleet.extra["rest_refusals"] = len(found)
    fleet.extra["refused_after"] = max((waited for waited, _ in found), default=0.0)
    fleet.extra["advised_too_early"] = sum(is_early for _, is_early in found)


def _list_rests(fleet: GatewayFleet) -> dict[HostId, list[_AskedRest]]:
    rests: dict[HostId, list[_AskedRest]] = {}
    for event in fleet.record.events:
        if isinstance(event.data, BackendRejected):
            rest = _AskedRest(event.data.backend, event.at, event.at + event.data.rest)
            rests.setdefault(event.host, []).append(rest)
    return rests


def _find_first_end(rests: Sequence[_AskedRest], servers: int, now: datetime) -> datetime | None:
    """Return when the first server of a host may be called again, if all have asked it by *now*."""
    ends = {rest.server: rest.ends for rest in rests if rest.asked + HEARD_WITHIN < now}
    return min(ends.values()) if len(ends) == servers else None
