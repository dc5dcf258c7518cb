"""A gateway that the store does not answer gets the configuration from another one."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any

import msgspec
import pytest
from store_fixture import StoreFixture
from test_followers import make_configuration_rows

from lavenderrun.gateway import HttpRequest
from lavenderrun.gateway._configuration import ConfigurationService
from lavenderrun.gateway._peer_configuration import PeerConfigurationService
from lavenderrun.gateway._peer_messages import PeerReport
from lavenderrun.gateway._rows import StoreState
from lavenderrun.kernel import Clock, sleep
from lavenderrun.types import BootId, DocumentVersion, HostId

REPORT_SECONDS = 0.1
CONFIG_BOUND_SECONDS = 2.0
HOSTS = ("h2", "h3", "h4", "h5")


class Peers:
    """Other gateways, whose reports come one after the other."""

    def __init__(self) -> None:
        self.watchers: list[Callable[[PeerReport], None]] = []
        self.watch = self.watchers.append

    def find_address(self, host: HostId) -> str:
        return host

    def report(self, host: str, version: int) -> None:
        for watcher in self.watchers:
            watcher(PeerReport(HostId(host), BootId("b"), DocumentVersion(version), {}, {}))


class SlowPool:
    """Connects and answers late.

    :param connecting: seconds to open a connection, by address; ``None`` for ever.
    """

    def __init__(self, clock: Clock, answer: bytes, connecting: dict[str, float | None]) -> None:
        self.asked: list[str] = []
        self.asked_at_once = 0
        self._clock = clock
        self._answer = answer
        self._connecting = connecting
        self._pending = 0

    async def fetch(
        self,
        address: str,
        _call: HttpRequest,
        timeout: timedelta,
        connect_timeout: timedelta = timedelta(milliseconds=200),
    ) -> tuple[int, bytes] | None:
        self.asked.append(address)
        self._pending += 1
        self.asked_at_once = max(self.asked_at_once, self._pending)
        try:
            connecting = self._connecting[address]
            if connecting is None or timedelta(seconds=connecting) > connect_timeout:
                await sleep(self._clock, min(timeout, connect_timeout))
                return None
            # the answer takes another round trip
            needed = timedelta(seconds=2 * connecting)
            await sleep(self._clock, min(needed, timeout))
            return None if needed > timeout else (200, self._answer)
        finally:
            self._pending -= 1


def start(
    connecting: dict[str, float | None], seed: int = 1
) -> tuple[StoreFixture, Peers, SlowPool, Any]:
    fixture, peers = StoreFixture(seed=seed), Peers()
    configuration = ConfigurationService(fixture.kernel)
    configuration.change_rows(make_configuration_rows(2))
    answer = msgspec.json.encode(configuration.current)
    configuration.current = None
    configuration.change_rows(make_configuration_rows(1))
    fixture.rows.state = StoreState.LOST
    pool = SlowPool(fixture.kernel.clock, answer, connecting)
    for name, service in (("configuration", configuration), ("peers", peers)):
        fixture.kernel.provide(name, service)
    second_hand = PeerConfigurationService(fixture.kernel)
    second_hand._pool = pool  # type: ignore[assignment]
    second_hand.start()
    return fixture, peers, pool, configuration


def find_adoption_time(fixture: StoreFixture, peers: Peers, configuration: Any) -> float | None:
    """Return after how many seconds of reports the second version is in force."""
    for number in range(round(CONFIG_BOUND_SECONDS / REPORT_SECONDS)):
        peers.report(HOSTS[number % len(HOSTS)], 2)
        fixture.pass_time(REPORT_SECONDS)
        if configuration.version == 2:
            return (number + 1) * REPORT_SECONDS
    return None


# each other gateway was given 200 ms to connect to, so on a full link none was reached: keys that
# had been taken away were served for 3.4 s
@pytest.mark.parametrize("connecting", [0.05, 0.25, 0.5, 0.8])
def test_a_newer_configuration_is_fetched_over_a_full_link(connecting: float) -> None:
    fixture, peers, _, configuration = start(dict.fromkeys(HOSTS, connecting))
    assert find_adoption_time(fixture, peers, configuration) is not None


def test_another_gateway_is_asked_while_the_first_does_not_answer() -> None:
    connecting: dict[str, float | None] = {"h2": None, "h3": 0.1, "h4": 0.1, "h5": 0.1}
    fixture, peers, pool, configuration = start(connecting)
    took = find_adoption_time(fixture, peers, configuration)
    assert took is not None
    assert took < 1
    assert pool.asked[0] == "h2"
    assert len(pool.asked) == 2


# shows that a full link is not filled with requests
def test_no_more_than_two_gateways_are_asked_at_the_same_time() -> None:
    fixture, peers, pool, configuration = start(dict.fromkeys(HOSTS))
    assert find_adoption_time(fixture, peers, configuration) is None
    assert pool.asked_at_once == 2


def test_no_gateway_is_asked_while_the_store_answers_or_has_nothing_newer() -> None:
    fixture, peers, pool, _ = start(dict.fromkeys(HOSTS, 0.1))
    peers.report("h2", 1)
    fixture.rows.state = StoreState.REACHED
    peers.report("h2", 2)
    assert pool.asked == []


# the store answered each call of a gateway with 429, which is no outage: the gateway asked no other
# one and served keys that had been taken away for as long as that lasted
@pytest.mark.parametrize("state", [StoreState.REACHED, StoreState.UNKNOWN])
def test_a_newer_configuration_is_fetched_while_the_store_refuses_calls(state: StoreState) -> None:
    fixture, peers, _, configuration = start(dict.fromkeys(HOSTS, 0.1))
    fixture.rows.state = state
    took = find_adoption_time(fixture, peers, configuration)
    assert took is not None
    assert took < CONFIG_BOUND_SECONDS / 2


# shows that changes in quick succession, each read a moment late, lead to no requests
def test_no_gateway_is_asked_while_the_store_tells_of_changes() -> None:
    fixture, peers, pool, configuration = start(dict.fromkeys(HOSTS, 0.1))
    fixture.rows.state = StoreState.REACHED
    for version in range(2, 12):
        peers.report("h2", version + 1)
        fixture.pass_time(0.2)
        configuration.change_rows(make_configuration_rows(version))
    assert pool.asked == []


# shows that all hosts that the store refuses do not ask the first one that reports at once
def test_hosts_that_the_store_refuses_ask_at_different_times() -> None:
    times = set()
    for seed in range(20):
        fixture, peers, _, configuration = start(dict.fromkeys(HOSTS, 0.01), seed)
        fixture.rows.state = StoreState.REACHED
        times.add(find_adoption_time(fixture, peers, configuration))
    assert len(times) >= 3
