"""Facts that gateways must not lose: which call crashes servers, and which servers are gone."""

from __future__ import annotations

import signal
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler
from typing import TYPE_CHECKING

from platform_standin import ORDERS, SeenRequest, StandinServer
from proxy import ProxyMode

if TYPE_CHECKING:
    from soak import Soak

CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
REACTION_SECONDS = 0.3
LAST_FREE_CRASH = 3
MAX_RETRIES = 3
HELD_SECONDS = (0.4, 2.4)
CALM_SECONDS = (0.0, 3.0)
SERVED_ON_SECONDS = 6.0
DEADLY_PAUSE_SECONDS = 0.3
STOP_SECONDS = 15.0
DEADLY = b"an order that crashes servers"
LAPSES: list[Callable[[Soak], None]] = []


def lapse(act: Callable[[Soak], None]) -> Callable[[Soak], None]:
    """Register a fault after which gateways must know what they knew before."""
    LAPSES.append(act)
    return act


@dataclass
class Departure:
    """A server whose row was removed without a notice.

    :param healed: when the path to the store was whole again.
    :param back: when its row was there again.
    """

    server: StandinServer
    healed: float
    removed: float
    back: float = float("inf")


@dataclass
class Lapses:
    """Records crashes under one call, and servers that left without a notice."""

    crashes: list[float] = field(default_factory=list)
    departures: list[Departure] = field(default_factory=list)
    sender: threading.Thread | None = None

    def note_row(self, server: StandinServer) -> None:
        """Record that the row of a server is there again, also as it has crashed and restarted."""
        for departure in self.departures:
            if departure.server is server:
                departure.back = min(departure.back, time.monotonic())

    def check(self, soak: Soak) -> Iterator[str]:
        """Yield each way in which a gateway acted as if it had forgotten."""
        yield from self._check_crashes(soak)
        for departure in self.departures:
            yield from self._check_departure(soak, departure)

    def _check_crashes(self, soak: Soak) -> Iterator[str]:
        if len(self.crashes) < LAST_FREE_CRASH:
            return
        since = sorted(self.crashes)[LAST_FREE_CRASH - 1] + CONTACT_SECONDS
        late = [
            seen.headers["x-request-id"]
            for server in soak.platform.servers.values()
            for seen in list(server.seen)
            if seen.body == DEADLY and self._is_in_touch(soak, seen, since)
        ]
        if len(late) > MAX_RETRIES:
            yield f"a call reached servers again after {len(self.crashes)} crashes: {late}"

    def _check_departure(self, soak: Soak, departure: Departure) -> Iterator[str]:
        due = departure.removed + DRAIN_SECONDS + REACTION_SECONDS
        in_touch = departure.healed + CONTACT_SECONDS
        for seen in list(departure.server.seen):
            is_late = due < seen.at < departure.back
            if is_late and self._is_in_touch(soak, seen, in_touch):
                after = seen.at - departure.removed
                yield f"reached {departure.server.id} {after:.2f} s after it was gone"

    def _is_in_touch(self, soak: Soak, seen: SeenRequest, since: float) -> bool:
        """Tell whether a call was sent after *since* to a gateway that ran undisturbed."""
        request = seen.headers.get("x-request-id", "")
        call = soak.notices.calls.get(request)
        if call is None or call.sent < since:
            return False
        return not soak.notices.is_excused(request, call.sent - CONTACT_SECONDS, seen.at)


@lapse
def send_deadly_order(soak: Soak) -> None:
    """Let one order crash each server that runs it, and send it again and again."""
    if soak.lapses.sender is not None:
        return

    def behave(server: StandinServer, _handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        if seen.body != DEADLY:
            return False
        soak.lapses.crashes.append(time.monotonic())
        soak.crash_server(server)
        return True

    def send() -> None:
        number = 0
        while not soak.stopping.wait(DEADLY_PAUSE_SECONDS):
            number += 1
            index = number % len(soak.gateways)
            request = f"deadly-{number}"
            soak.notices.note_sent(request, index)
            with suppress(Exception):
                soak.gateways[index].call(ORDERS + "same", "POST", body=DEADLY, request=request)

    for server in soak.platform.servers.values():
        if server.stage is None:
            server.behave = behave
    soak.lapses.sender = threading.Thread(target=send)
    soak.lapses.sender.start()


@lapse
def restart_gateways_in_turn(soak: Soak) -> None:
    """Stop each gateway as planned and start it again, one after the other."""
    for gateway in soak.gateways:
        gateway.signal(signal.SIGTERM)
        assert gateway.popen is not None
        if gateway.popen.wait(STOP_SECONDS) != 0:
            soak.outcomes.failures.append("a planned stop ended with an error")
        soak.start_if_dead(gateway)
        soak.platform.wait_known(gateway)
        time.sleep(soak.random_source.uniform(0.5, 1.5))


@lapse
def leave_after_held_answers(soak: Soak) -> None:
    """Hold back what the store answers for a moment; then a server leaves without a notice."""
    random_source = soak.random_source
    soak.store_proxy.set(ProxyMode.HELD)
    time.sleep(random_source.uniform(*HELD_SECONDS))
    soak.store_proxy.set(ProxyMode.OPEN)
    healed = time.monotonic()
    time.sleep(random_source.uniform(*CALM_SECONDS))
    server = soak.platform.servers[random_source.choice(["app-1", "app-2"])]
    soak.platform.store.remove("servers", server.id)
    soak.lapses.departures.append(Departure(server, healed, time.monotonic()))
    time.sleep(SERVED_ON_SECONDS)
    soak.announce(server)
