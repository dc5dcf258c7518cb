"""What servers said about themselves in a soak run, and the calls that reached them afterwards."""

from __future__ import annotations

import math
import threading
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from http.server import BaseHTTPRequestHandler

from gateway_process import Answer
from platform_standin import SeenRequest, StandinServer
from proxy import Proxy

DRAIN_SECONDS = 2.0
REACTION_SECONDS = 0.5
MAX_REQUESTS_IN_REST = 2
LEAVING = ("Server-Leaving", "1")


@dataclass
class SentCall:
    """A call of a caller.

    :param answered: when its answer was whole, ``None`` before.
    :param server: id of the server that signed the answer.
    """

    gateway: int
    sent: float
    answered: float | None = None
    server: str = ""


@dataclass
class Rest:
    """A rejection by which a server asked for no calls."""

    request: str
    at: float
    seconds: float


@dataclass
class Notices:
    """Records notices, calls and what excuses a late call.

    :ivar departures: per server, when it began to say that it leaves and when it started anew.
    :ivar excuses: per gateway, when it was restarted or suspended.
    :ivar restarts: per gateway, when its process ended or was started anew.
    :ivar disturbances: per server, when its path was disturbed.
    """

    lock: threading.Lock = field(default_factory=threading.Lock)
    calls: dict[str, SentCall] = field(default_factory=dict)
    departures: dict[str, list[list[float]]] = field(default_factory=dict)
    rests: dict[str, list[Rest]] = field(default_factory=dict)
    excuses: dict[int, list[float]] = field(default_factory=dict)
    restarts: dict[int, list[float]] = field(default_factory=dict)
    disturbances: dict[str, list[float]] = field(default_factory=dict)

    def note_sent(self, request: str, gateway: int) -> None:
        with self.lock:
            self.calls[request] = SentCall(gateway, time.monotonic())

    def note_answer(self, request: str, answer: Answer) -> None:
        stamp = answer.headers.get("x-server-stamp", "")
        call = self.calls[request]
        call.answered, call.server = time.monotonic(), stamp.removeprefix("stamp-")

    def excuse(self, gateway: int) -> None:
        self.excuses.setdefault(gateway, []).append(time.monotonic())

    def note_restart(self, gateway: int) -> None:
        self.restarts.setdefault(gateway, []).append(time.monotonic())

    def is_excused(self, request: str, first: float, last: float) -> bool:
        """Tell whether the gateway of a call was restarted or suspended within a time."""
        call = self.calls.get(request)
        return call is None or _lies_between(self.excuses.get(call.gateway, []), first, last)

    def disturb(self, server: str) -> None:
        self.disturbances.setdefault(server, []).append(time.monotonic())

    def begin_departure(self, server: StandinServer) -> None:
        if not server.notices:
            self.departures.setdefault(server.id, []).append([time.monotonic(), float("inf")])
            server.notices = [LEAVING]

    def end_departure(self, server: StandinServer) -> bool:
        """End the notice of a server that starts anew; return whether it had one."""
        if not server.notices:
            return False
        server.notices = []
        self.departures[server.id][-1][1] = time.monotonic()
        return True

    def ask_for_rest(self, server: StandinServer, seconds: int) -> None:
        """Let a server reject all calls with a time."""

        def behave(
            server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest
        ) -> bool:
            headers = [("X-Not-Executed", "1"), ("Retry-After", str(seconds))]
            server.reply(handler, 503, b"", headers)
            rest = Rest(seen.headers["x-request-id"], time.monotonic(), seconds)
            self.rests.setdefault(server.id, []).append(rest)
            return True

        server.behave = behave

    def check(
        self,
        servers: list[StandinServer],
        proxies: Mapping[str, Proxy],
        given_up: Mapping[tuple[str, str], float] | None = None,
    ) -> Iterator[str]:
        """Yield each call that reached a server against what it had said.

        :param proxies: the paths to the servers, by their ids.
        :param given_up: requests and ids of servers whose answer their gateway did not wait for,
            and when it stopped.
        """
        for server in servers:
            for began, ended in self.departures.get(server.id, []):
                yield from self._check_departure(server, began, ended)
            for rest in self.rests.get(server.id, []):
                # a rejection that was lost on its way, or came too late, has told nothing
                is_lost = proxies[server.id].has_broken(rest.at, rest.at + REACTION_SECONDS)
                ended = (given_up or {}).get((rest.request, server.id), math.inf)
                if not is_lost and ended > rest.at:
                    yield from self._check_rest(server, rest)

    def _list_seen(self, server: StandinServer) -> list[tuple[str, float]]:
        seen = [(seen.headers.get("x-request-id", ""), seen.at) for seen in list(server.seen)]
        return [(request, at) for request, at in seen if request in self.calls]

    def _check_departure(self, server: StandinServer, began: float, ended: float) -> Iterator[str]:
        seen = [(request, at) for request, at in self._list_seen(server) if began < at < ended]
        told: dict[int, float] = {}
        for request, _ in seen:
            call = self.calls[request]
            if call.server == server.id and call.answered is not None:
                told[call.gateway] = min(told.get(call.gateway, call.answered), call.answered)
        for request, at in seen:
            call = self.calls[request]
            since = told.get(call.gateway, at)
            late = call.sent > since + DRAIN_SECONDS
            if late and not _lies_between(self.excuses.get(call.gateway, []), since, at):
                yield f"reached {server.id} {at - since:.2f} s after it said it leaves: {request}"

    def _check_rest(self, server: StandinServer, rest: Rest) -> Iterator[str]:
        call = self.calls.get(rest.request)
        if call is None:
            return
        begin, end = rest.at + REACTION_SECONDS, rest.at + rest.seconds
        # a server that has started anew has asked for no rest
        starts = [start for _, start in self.departures.get(server.id, []) if start > rest.at]
        end = min([end, *starts])
        late = [
            request
            for request, at in self._list_seen(server)
            if begin < at < end and self.calls[request].gateway == call.gateway
        ]
        disturbed = _lies_between(self.disturbances.get(server.id, []), rest.at - 1, end)
        excused = _lies_between(self.excuses.get(call.gateway, []), rest.at - 1, end)
        # a gateway that was restarted after it had sent the call heard nothing of its answer
        is_untold = _lies_between(self.restarts.get(call.gateway, []), call.sent, rest.at)
        if len(late) > MAX_REQUESTS_IN_REST and not (disturbed or excused or is_untold):
            yield f"{len(late)} calls reached {server.id} in its rest after {rest.request}: {late}"


def _lies_between(moments: list[float], first: float, last: float) -> bool:
    return any(first <= moment <= last for moment in moments)
