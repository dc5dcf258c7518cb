"""What gateways tell each other when there is much to tell."""

from __future__ import annotations

import time
from functools import partial
from typing import Any

import pytest
from gateway_process import Gateway, StandinPlatform, wait_for
from platform_standin import KEY, PLAIN, StandinServer, make_config

ACCOUNTS = 300
BURST_CALLS = 4


def make_accounts() -> list[dict[str, Any]]:
    """Return many accounts, the first of which may make few calls."""
    accounts: list[dict[str, Any]] = make_config(1)["tenants"][:1]
    accounts[0].update({"unit": "requests", "rate-per-s": 0.1, "burst": BURST_CALLS})
    for number in range(ACCOUNTS):
        name = f"customer-with-a-usual-name-{number:04}"
        account = {"name": name, "api-keys": [f"key-{number}"], "unit": "requests"}
        accounts.append({**account, "rate-per-s": 100, "burst": 100})
    return accounts


@pytest.fixture
def gateways(platform: StandinPlatform) -> list[Gateway]:
    platform.configure(tenants=make_accounts())
    platform.add(StandinServer("app-1", "apps"))
    found = [platform.add_gateway(f"front-{number}") for number in (1, 2)]
    for gateway in found:
        platform.wait_known(gateway)
        wait_for(partial(gateway.lines, "peers:heard"), "the other gateway heard")
    return found


# over 8,192 bytes a report was cut where it was read: its host counted as lost for as long as that
# lasted, and each host admitted the share of both
def test_a_report_of_many_accounts_is_read_by_the_other_gateway(gateways: list[Gateway]) -> None:
    first, second = gateways
    connection = first.connect()
    for number in range(ACCOUNTS):
        key = f"key-{number}"
        assert first.call(PLAIN + "x", key=key, request=key, connection=connection).status == 200
    connection.close()
    for number in range(BURST_CALLS):
        assert first.call(PLAIN + "x", key=KEY, request=f"own-{number}").status == 200
    time.sleep(1.5)
    assert second.call(PLAIN + "x", key=KEY, request="beyond").status == 429
    for gateway in gateways:
        assert not gateway.lines("peers:unreadable")
        assert not gateway.lines("peers:lost")
