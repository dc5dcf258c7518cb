from __future__ import annotations

import threading
import time
from pathlib import Path
from types import SimpleNamespace
from typing import Any

import pytest

from soak import Soak

START_SECONDS = 0.05


class SlowGateway:
    """A gateway whose process has ended and takes some time to start."""

    def __init__(self) -> None:
        self.starts = 0
        self.popen = SimpleNamespace(poll=lambda: 0)

    def start(self) -> None:
        time.sleep(START_SECONDS)
        self.starts += 1
        self.popen = SimpleNamespace(poll=lambda: None)


@pytest.fixture
def soak(tmp_path: Path) -> Any:
    found = Soak(1, tmp_path)
    yield found
    found.platform.close()
    for proxy in found.proxies.values():
        proxy.close()


# soak seed 1008: two overlapping stops each started the gateway, and one process was left over
def test_a_gateway_that_two_faults_ended_is_started_once(soak: Soak) -> None:
    gateway: Any = SlowGateway()
    soak.gateways.append(gateway)
    faults = [threading.Thread(target=soak.start_if_dead, args=(gateway,)) for _ in range(3)]
    for fault in faults:
        fault.start()
    for fault in faults:
        fault.join()
    assert gateway.starts == 1
