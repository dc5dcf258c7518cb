"""Stand-ins for outside systems on ports of their own."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from twisted.web.server import Site

from lavenderrun.kernel import ReactorClock, Registry
from lavenderrun.standins import (
    EngineModel,
    EngineResource,
    Fabric,
    PlainResource,
    make_table_resource,
)
from lavenderrun.types import DataCentre

LOOPBACK = "127.0.0.1"
DATA_CENTRE = DataCentre("loopback")

STANDINS: Registry[Callable[[Standins], Any]] = Registry("stand-in")


class Standins:
    """Serves stand-ins; its engines reach one another's exports."""

    def __init__(self, reactor: Any) -> None:
        self.clock = ReactorClock.starting_now(reactor)
        self.fabric = Fabric(self.clock)
        self._reactor = reactor
        self._ports: list[Any] = []

    @property
    def count(self) -> int:
        """How many are served."""
        return len(self._ports)

    def serve(self, kind: str, port: int) -> str:
        """Serve one stand-in and return its address; port zero takes a free one."""
        site = Site(STANDINS.find(kind)(self))
        listening = self._reactor.listenTCP(port, site, interface=LOOPBACK)
        self._ports.append(listening)
        return f"{LOOPBACK}:{listening.getHost().port}"

    async def stop(self) -> None:
        """Close all ports."""
        for port in self._ports:
            await port.stopListening()


@STANDINS.register("engine")
def make_engine(standins: Standins) -> EngineResource:
    """Make an engine."""
    name = f"engine-{standins.count}"
    model = EngineModel(
        standins.clock, standins.fabric, name, DATA_CENTRE, random_source=Random(name)
    )
    return EngineResource(model)


@STANDINS.register("plain")
def make_plain(standins: Standins) -> PlainResource:
    """Make a plain service."""
    return PlainResource(standins.clock)


@STANDINS.register("table")
def make_table(standins: Standins) -> Any:
    """Make a table service."""
    return make_table_resource(standins.clock)
