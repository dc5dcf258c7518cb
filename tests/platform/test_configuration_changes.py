"""A change of the configuration touches no request under way, and each call gets an answer."""

from __future__ import annotations

from typing import Any

import pytest
from gateway_process import Gateway, StandinPlatform, wait_for
from platform_standin import PLAIN, StandinServer, make_config


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("other-1", "others"))
    return platform.wait_known(platform.add_gateway())


def configure(platform: StandinPlatform, gateway: Gateway, **changes: Any) -> None:
    """Put a new version in force at the gateway."""
    before = len(gateway.lines("configuration:in_force"))
    platform.configure(**changes)
    wait_for(lambda: len(gateway.lines("configuration:in_force")) > before, "version in force")


def split(*weights: float) -> list[dict[str, Any]]:
    """Return routes of which the plain one is split by *weights*."""
    services = [
        {"service": service, "weight": weight}
        for service, weight in zip(("apps", "others"), weights, strict=False)
    ]
    routes: list[dict[str, Any]] = make_config(1)["routes"]
    for route in routes:
        if route["prefix"] == PLAIN:
            route["split"] = services
    return routes


# the connection of each call was closed without an answer
@pytest.mark.parametrize("weights", [(0, 0), (0,)])
def test_a_route_whose_services_all_have_no_weight_is_refused_with_when_to_return(
    platform: StandinPlatform, gateway: Gateway, weights: tuple[float, ...]
) -> None:
    configure(platform, gateway, routes=split(*weights))
    answer = gateway.call(PLAIN + "x")
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert not [server for server in platform.servers.values() if server.runs]
    configure(platform, gateway)
    assert gateway.call(PLAIN + "x").status == 200


def test_a_service_without_weight_gets_no_call(platform: StandinPlatform, gateway: Gateway) -> None:
    configure(platform, gateway, routes=split(0, 0.5))
    for number in range(20):
        assert gateway.call(PLAIN + "x", request=f"call-{number}").status == 200
    assert not platform.servers["app-1"].runs
    assert len(platform.servers["other-1"].runs) == 20
