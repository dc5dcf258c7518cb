"""The store is away for a moment and comes back from an older copy, beside calls of callers."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

import pytest
from gateway_process import Gateway, StandinPlatform, wait_for
from platform_standin import ORDERS, PLAIN, StandinServer, make_config

AWAY_SECONDS = 0.5
READ_SECONDS = 0.3
BOUND_SECONDS = 2.0
CALLS = 30


@pytest.fixture
def gateways(platform: StandinPlatform) -> list[Gateway]:
    platform.configure()
    for number in range(3):
        platform.add(StandinServer(f"app-{number}", "apps"))
    found = [platform.add_gateway(f"front-{number}") for number in (1, 2)]
    for gateway in found:
        platform.wait_known(gateway)
    return found


def return_from(platform: StandinPlatform, copy: Any, write: Callable[[], None]) -> None:
    """Let the store come back from *copy*.

    :param write: writes rows before the store answers.
    """
    platform.store.refuse(refusing=True)
    time.sleep(AWAY_SECONDS)
    platform.store.go_back(copy)
    write()
    platform.store.refuse(refusing=False)


# gateways went on from the version that they knew and never read what was written below it: the
# server got 14 of 30 calls, and the route was not served
@pytest.mark.parametrize("writes", [0, 4, 20])
def test_what_is_written_after_a_return_is_in_force_at_all_gateways(
    platform: StandinPlatform, gateways: list[Gateway], writes: int
) -> None:
    copy = platform.store.copy()
    leaving = platform.servers["app-0"]
    # the gateways read versions that the store then loses
    for number in range(3):
        platform.store.put("servers", leaving.id, leaving.entry(seq=2 + number))
    platform.configure()
    time.sleep(READ_SECONDS)
    routes = make_config(9)["routes"]
    plain = next(route for route in routes if route["prefix"] == PLAIN)
    added = {**plain, "name": "added", "prefix": "/added/"}

    def write() -> None:
        platform.store.put("servers", leaving.id, leaving.entry(state="draining"))
        platform.configure(routes=[*routes, added])
        for number in range(writes):
            platform.store.put("other", f"row-{number}", {})

    return_from(platform, copy, write)
    time.sleep(BOUND_SECONDS)
    before = len(leaving.runs)
    for number in range(CALLS):
        gateway = gateways[number % 2]
        path, method = (PLAIN, "GET") if number % 3 else (ORDERS, "POST")
        answer = gateway.call(path + "x", method, body=b"", request=f"call-{number}")
        assert answer.status == 200
        assert gateway.call("/added/x", request=f"added-{number}").status == 200
    assert len(leaving.runs) == before
    for gateway in gateways:
        [line] = gateway.lines("store:new_era")
        assert (line["era_before"], line["era"]) == (0, 1)


# shows that hosts write their own rows again
def test_gateways_know_each_other_after_the_store_lost_their_rows(
    platform: StandinPlatform, gateways: list[Gateway]
) -> None:
    table = "lavenderrun-gateways"
    version, rows = platform.store.copy()
    copy = version, {key: row for key, row in rows.items() if key[0] != table}
    return_from(platform, copy, lambda: None)
    wait_for(
        lambda: (
            {key for where, key in platform.store.copy()[1] if where == table}
            == {"front-1", "front-2"}
        ),
        "rows written again",
    )
    assert [gateway.call(PLAIN + "x").status for gateway in gateways] == [200, 200]


# a host that started after a return knew the older copy alone, and served a key that was taken away
def test_a_host_that_starts_after_a_return_has_the_newer_configuration(
    platform: StandinPlatform, gateways: list[Gateway]
) -> None:
    copy = platform.store.copy()
    accounts = make_config(1)["tenants"]
    accounts[0]["api-keys"] = ["another-key"]
    platform.configure(tenants=accounts)
    wait_for(
        lambda: all(len(gateway.lines("configuration:in_force")) == 2 for gateway in gateways),
        "key is known",
    )
    return_from(platform, copy, lambda: None)
    started = platform.wait_known(platform.add_gateway("front-3"))
    wait_for(lambda: len(started.lines("configuration:in_force")) == 2, "key is known")
    assert started.lines("configuration:in_force")[1]["source"] in {"front-1", "front-2"}
    assert started.call(PLAIN + "x", key="another-key").status == 200
    assert started.call(PLAIN + "x").status == 401
