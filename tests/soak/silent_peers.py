"""Silences between the gateways of a soak run: reports that are lost, and suspended processes."""

from __future__ import annotations

import json
import socket
import threading
import time
from contextlib import suppress
from enum import Enum
from functools import partial
from typing import TYPE_CHECKING, Any

from proxy import Proxy
from silences import SILENT_SECONDS, change_quota, change_route_timeout, freeze_gateway, silence

if TYPE_CHECKING:
    from platform_standin import Store

    from soak import Soak

GATEWAYS_TABLE = "lavenderrun-gateways"
MAX_DATAGRAM = 65536
SERIES = (1, 2, 3)
SPOKEN_SECONDS = (0.2, 1.2)


class PeerSilence(Enum):
    """What is silent: a gateway's reports, its path in both directions, or its process."""

    REPORTS = "reports"
    PATH = "path"
    PROCESS = "process"


class PeerPath:
    """Forwards what other gateways send to one gateway: reports by UDP, requests by TCP.

    :param port: the gateway's own port for its peers.
    """

    def __init__(self, port: int, paths: PeerPaths) -> None:
        self._target = ("127.0.0.1", port)
        self._paths = paths
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._proxy = Proxy(f"127.0.0.1:{port}")
        host, _, own = self._proxy.address.rpartition(":")
        self._socket.bind((host, int(own)))
        threading.Thread(target=self._forward, daemon=True).start()

    @property
    def address(self) -> str:
        return self._proxy.address

    def close(self) -> None:
        self._proxy.close()
        self._socket.close()

    def _forward(self) -> None:
        with suppress(OSError):  # the run ends
            while True:
                data, (_, sender) = self._socket.recvfrom(MAX_DATAGRAM)
                if not self._paths.is_silent(sender, self._target[1]):
                    self._socket.sendto(data, self._target)


class PeerPaths:
    """The paths between all gateways; each gateway's row names its path."""

    def __init__(self, store: Store) -> None:
        self._by_port: dict[int, PeerPath] = {}
        self._silent: dict[int, tuple[float, PeerSilence]] = {}
        self.dropped = 0
        store.translate = self._translate

    def add(self, port: int) -> None:
        """Add the path to the gateway with this port before it writes its row."""
        self._by_port[port] = PeerPath(port, self)

    def silence(self, port: int, seconds: float, kind: PeerSilence) -> None:
        """Drop what a gateway sends, and for a path also what it is sent, for some time."""
        until, _ = self._silent.get(port, (0.0, kind))
        self._silent[port] = (max(until, time.monotonic() + seconds), kind)

    def is_silent(self, sender: int, receiver: int) -> bool:
        now = time.monotonic()
        sends, _ = self._silent.get(sender, (0.0, PeerSilence.REPORTS))
        receives, kind = self._silent.get(receiver, (0.0, PeerSilence.REPORTS))
        is_silent = now < sends or (kind is PeerSilence.PATH and now < receives)
        self.dropped += is_silent
        return is_silent

    def close(self) -> None:
        for path in self._by_port.values():
            path.close()

    def _translate(self, table: str, _key: str, raw: bytes) -> bytes:
        if table != GATEWAYS_TABLE:
            return raw
        row: dict[str, Any] = json.loads(raw)
        path = self._by_port.get(int(row["address"].rpartition(":")[2]))
        return raw if path is None else json.dumps({**row, "address": path.address}).encode()


@silence
def silence_peers(soak: Soak) -> None:
    """Let gateways say nothing to their peers for about a second, in series and overlapping.

    The configuration changes meanwhile.
    """
    source = soak.random_source
    for gateway in source.sample(soak.gateways, source.randint(1, len(soak.gateways))):
        kind = source.choice(list(PeerSilence))
        if kind is PeerSilence.PROCESS:
            freeze_gateway(soak)
            continue
        begins = 0.0
        for _ in range(source.choice(SERIES)):
            seconds = source.uniform(*SILENT_SECONDS)
            soak.run_later(begins, partial(soak.peer_paths.silence, gateway.peers, seconds, kind))
            begins += seconds + source.uniform(*SPOKEN_SECONDS)
    source.choice((change_quota, change_route_timeout))(soak)
