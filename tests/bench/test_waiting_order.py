"""The order in which plain calls that wait for a resting service are sent."""

from __future__ import annotations

from datetime import timedelta
from typing import Any
from unittest.mock import MagicMock

import pytest

from lavenderrun.bench._gateway_dialects import HTTP_HOST
from lavenderrun.bench._gateway_fleet import READS, GatewayFleet
from lavenderrun.types import BackendReceived, BackendRejected, GatewayCall, RequestId

WAITING = 16
LONGEST, SHORTEST = timedelta(seconds=2), timedelta(milliseconds=400)


def submit(fleet: GatewayFleet, name: str, patience: timedelta) -> None:
    (host,) = fleet.hosts
    call = GatewayCall(
        RequestId(name), "GET", HTTP_HOST, f"{READS}{name}", [], b"", None, patience, None, None
    )
    sink: Any = MagicMock()
    fleet.find_router(host).submit(call, sink)


# Guards against: waiting calls are sent in a random order, the most urgent too late.
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_waiting_plain_calls_are_sent_by_their_deadlines(seed: int) -> None:
    fleet = GatewayFleet(1, 1, seed)
    fleet.start()
    faults = fleet.servers[0].plain.faults
    faults.rest = timedelta(milliseconds=100)
    submit(fleet, "first", LONGEST)
    fleet.clock.advance(0.01)
    faults.rest = None
    for number in range(WAITING):
        submit(fleet, f"later-{number}", LONGEST - timedelta(milliseconds=10 * number))
    submit(fleet, "urgent", SHORTEST)
    fleet.clock.advance(3)
    fleet.finish()
    seen = [event.data for event in fleet.record.events]
    assert any(isinstance(data, BackendRejected) for data in seen)
    received = [data.request for data in seen if isinstance(data, BackendReceived)]
    assert received[0] == "urgent"
