from __future__ import annotations

from free_ports import PORTS, find_ports

CALLS = 500


# two gateways of a soak drew the same port before either had bound it
def test_ports_are_found_once() -> None:
    ports = [port for _ in range(CALLS) for port in find_ports(4)]
    assert len(set(ports)) == len(ports)
    assert set(ports) <= set(PORTS)
