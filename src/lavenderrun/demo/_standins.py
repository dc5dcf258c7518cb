"""Serves stand-ins for outside systems, each on its own port."""

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
    """Stand-ins in one process, whose engines can pull each other's exports."""

    def __init__(self, reactor: Any) -> None:
        self.clock = ReactorClock.starting_now(reactor)
        self.fabric = Fabric(self.clock)
        self._reactor = reactor
        self._ports: list[Any] = []

    @property
    def count(self) -> int:
        """Number of served stand-ins."""
        return len(self._ports)

    def serve(self, kind: str, port: int) -> str:
        """Serve one stand-in and return its address.

        :param kind: name of a registered stand-in.
        :param port: port to listen on; 0 takes a free one.
        """
        site = Site(STANDINS.find(kind)(self))
        listening = self._reactor.listenTCP(port, site, interface=LOOPBACK)
        self._ports.append(listening)
        return f"{LOOPBACK}:{listening.getHost().port}"

    async def stop(self) -> None:
        """Close all ports."""
        for port in self._ports:
            await port.stopListening()


@STANDINS.register("engine")
def make_engine_standin(standins: Standins) -> EngineResource:
    """Return a stand-in engine."""
    name = f"engine-{standins.count}"
    model = EngineModel(
        standins.clock, standins.fabric, name, DATA_CENTRE, random_source=Random(name)
    )
    return EngineResource(model)


@STANDINS.register("plain")
def make_plain_standin(standins: Standins) -> PlainResource:
    """Return a stand-in plain service."""
    return PlainResource(standins.clock)


@STANDINS.register("table")
def make_table_standin(standins: Standins) -> Any:
    """Return a stand-in table service."""
    return make_table_resource(standins.clock)
