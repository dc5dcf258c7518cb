from __future__ import annotations

import socket
import subprocess
import sys
from pathlib import Path

import free_ports
import pytest
from free_ports import PORTS, find_ports
from platform_standin import StandinServer

CALLS = 500


# two gateways of a soak drew the same port before either had bound it
def test_ports_are_found_once() -> None:
    ports = [port for _ in range(CALLS) for port in find_ports(4)]
    assert len(set(ports)) == len(ports)
    assert set(ports) <= set(PORTS)


# gateways receive peer reports over UDP
@pytest.mark.parametrize("kind", [socket.SOCK_STREAM, socket.SOCK_DGRAM])
def test_a_port_in_use_is_not_found(
    monkeypatch: pytest.MonkeyPatch, kind: socket.SocketKind
) -> None:
    free, taken = find_ports(2)
    monkeypatch.setattr(free_ports, "PORTS", [free, taken])
    monkeypatch.setattr(free_ports, "_recent", [])
    with socket.socket(type=kind) as holder:
        holder.bind(("127.0.0.1", taken))
        for _ in range(20):
            assert find_ports(1) == [free]
            free_ports._recent.clear()


# a stand-in of another test run took the port of one that had stopped, and answered its calls
def test_stand_ins_keep_to_ports_that_the_system_gives_to_nobody() -> None:
    server = StandinServer("app-1", "apps")
    server.close()
    assert int(server.address.rpartition(":")[2]) in PORTS


# two soak runs side by side drew the same port, and a gateway of one was not ready within 10 s
def test_a_port_that_another_test_run_found_is_not_found(monkeypatch: pytest.MonkeyPatch) -> None:
    find = "from free_ports import find_ports; print(*find_ports(1), flush=True); input()"
    with subprocess.Popen(
        [sys.executable, "-c", find],
        cwd=Path(free_ports.__file__).parent,
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
    ) as other:
        assert other.stdin is not None
        assert other.stdout is not None
        taken, (free,) = int(other.stdout.readline()), find_ports(1)
        monkeypatch.setattr(free_ports, "PORTS", [free, taken])
        monkeypatch.setattr(free_ports, "_recent", [])
        for _ in range(20):
            assert find_ports(1) == [free]
            free_ports._recent.clear()
        other.stdin.write(b"\n")
