"""Scenarios in which sound servers and hosts say nothing for about a second and go on."""

from __future__ import annotations

import random
from collections.abc import Callable

from lavenderrun.bench._fleet import Fleet
from lavenderrun.bench._hosts import BenchHost
from lavenderrun.bench._scenarios import RECOVERY_UNTIL_SECONDS, SCENARIOS, Plan, make_deployment
from lavenderrun.bench._scenarios_operators import submit_document
from lavenderrun.kernel import Registry
from lavenderrun.standins import EngineModel, MemoryPlain
from lavenderrun.types import BackendRole

FIRST_AT_SECONDS = 10.0
"""Time from the start of the load to the first silence."""
SERIES_SECONDS = 15.0
SILENT_SECONDS = (0.6, 1.7)
LAST_ENDS_AT_SECONDS = FIRST_AT_SECONDS + SERIES_SECONDS + SILENT_SECONDS[1]
INTERVAL_SECONDS = (0.3, 1.6)
"""Shortest and longest time between the starts of two silences; their series overlap."""
SILENCE_LOAD = 0.6
RATE_FACTORS = (1.0, 1.5)

Silence = Callable[[Fleet, random.Random], None]
SILENCES: Registry[Silence] = Registry("silence")


@SCENARIOS.register("short-silences")
def plan_short_silences() -> Plan:
    """Engines, plain servers, hosts and the table service fall silent, documents change."""

    def script(fleet: Fleet) -> None:
        random_source = random.Random(f"silences-{fleet.seed}")
        at = FIRST_AT_SECONDS
        while at < FIRST_AT_SECONDS + SERIES_SECONDS:
            silence = SILENCES.find(random_source.choice(SILENCES.names()))
            fleet.at(at, silence, fleet, random_source)
            at += random_source.uniform(*INTERVAL_SECONDS)

    return Plan(
        make_deployment("wire"),
        load=SILENCE_LOAD,
        seconds=LAST_ENDS_AT_SECONDS + RECOVERY_UNTIL_SECONDS,
        script=script,
        fault_at=FIRST_AT_SECONDS,
        fault_until=LAST_ENDS_AT_SECONDS,
    )


@SILENCES.register("engine")
def silence_engine(fleet: Fleet, random_source: random.Random) -> None:
    """Let one engine make no progress."""
    _freeze(fleet, random_source, random_source.choice(list(fleet.engines.values())))


@SILENCES.register("decode-engines")
def silence_decode_engines(fleet: Fleet, random_source: random.Random) -> None:
    """Let all decode engines make no progress at once."""
    engines = [
        fleet.engines[each.id]
        for each in fleet.document.backends
        if each.id in fleet.engines and each.role is BackendRole.DECODE
    ]
    _freeze(fleet, random_source, *engines)


@SILENCES.register("plain-server")
def silence_plain_server(fleet: Fleet, random_source: random.Random) -> None:
    """Let one server of the plain service make no progress."""
    _freeze(fleet, random_source, random_source.choice(list(fleet.plain_servers.values())))


@SILENCES.register("store")
def silence_store(fleet: Fleet, random_source: random.Random) -> None:
    """Let the table service answer nothing."""
    fleet.store_faults.down = True
    until = fleet.seconds + random_source.uniform(*SILENT_SECONDS)
    fleet.at(until, setattr, fleet.store_faults, "down", False)


@SILENCES.register("entry")
def silence_entry(fleet: Fleet, random_source: random.Random) -> None:
    """Suspend an entry."""
    _suspend(fleet, random_source, random_source.choice(fleet.entries))


@SILENCES.register("agent")
def silence_agent(fleet: Fleet, random_source: random.Random) -> None:
    """Suspend an agent, while its backend server goes on."""
    _suspend(fleet, random_source, random_source.choice(fleet.agents))


@SILENCES.register("document")
def change_rates(fleet: Fleet, random_source: random.Random) -> None:
    """Change the rates of all accounts."""
    factor = random_source.choice(RATE_FACTORS)
    accounts = [
        account.model_copy(
            update={
                "rate": account.rate.model_copy(
                    update={"requests_per_second": account.rate.requests_per_second * factor}
                )
            }
        )
        for account in fleet.document.accounts
    ]
    changed = fleet.document.model_copy(update={"accounts": accounts})
    submit_document(fleet, random_source.choice(fleet.entries), changed)


def _freeze(
    fleet: Fleet, random_source: random.Random, *servers: EngineModel | MemoryPlain
) -> None:
    seconds = random_source.uniform(*SILENT_SECONDS)
    for server in servers:
        server.freeze()
        fleet.at(fleet.seconds + seconds, server.thaw)


def _suspend(fleet: Fleet, random_source: random.Random, host: BenchHost) -> None:
    host.pause()
    fleet.at(fleet.seconds + random_source.uniform(*SILENT_SECONDS), host.resume)
