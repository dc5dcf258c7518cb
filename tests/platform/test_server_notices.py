"""What a backend server says about itself in its answers binds the gateway that got them."""

from __future__ import annotations

import time
from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Gateway, StandinPlatform, wait_for
from misbehaviour import reject
from platform_standin import ORDERS, PLAIN, RESUMED, STREAM, SeenRequest, StandinServer

DRAIN_SECONDS = 2.0
REST_SECONDS = 1.0
REACTION_SECONDS = 0.5
MAX_REQUESTS_IN_REST = 2
LEAVING = ("Server-Leaving", "1")
MAX_AGE_MS = 60_000
LEAVERS = ("app-1", "pre-1", "dec-1")


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    for number in (1, 2, 3):
        platform.add(StandinServer(f"app-{number}", "apps"))
        platform.add(StandinServer(f"pre-{number}", "llm", "prefill"))
        platform.add(StandinServer(f"dec-{number}", "llm", "decode"))
    return platform.wait_known(platform.add_gateway())


def call_all_kinds(gateway: Gateway, seconds: float, name: str) -> list[int]:
    """Call all kinds of routes for some time and return the statuses."""
    until = time.monotonic() + seconds
    statuses: list[int] = []
    while time.monotonic() < until:
        request = f"{name}{len(statuses)}"
        statuses.append(gateway.call(PLAIN + "x", request=request).status)
        statuses.append(gateway.call(ORDERS + "1", "POST", request=f"{request}o").status)
        statuses.append(gateway.generate(STREAM + "x", request=f"{request}s").status)
        statuses.append(gateway.generate(RESUMED + "x", request=f"{request}r").status)
        time.sleep(0.02)
    return statuses


def list_late_requests(server: StandinServer) -> list[str]:
    """Return requests that reached a server later than it allows after its first answer."""
    first = min((seen.at for seen in server.seen), default=0.0)
    return [seen.path for seen in server.seen if seen.at > first + DRAIN_SECONDS]


# the gateway read the state of a server in the store only, not in the server's own answers
@pytest.mark.parametrize("store", ["reached", "lost"])
def test_no_call_reaches_a_server_two_seconds_after_its_answer_said_it_leaves(
    platform: StandinPlatform, gateway: Gateway, store: str
) -> None:
    for name in LEAVERS:
        platform.servers[name].notices = [LEAVING]
    platform.store.refuse(refusing=store == "lost")
    statuses = call_all_kinds(gateway, DRAIN_SECONDS + 1.0, "q")
    assert set(statuses) == {200}
    for name in LEAVERS:
        assert platform.servers[name].seen, name
        assert list_late_requests(platform.servers[name]) == []


def test_a_rejection_says_that_the_server_leaves_as_well(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for name in LEAVERS:
        platform.servers[name].notices = [LEAVING]
        platform.servers[name].behave = reject
    call_all_kinds(gateway, DRAIN_SECONDS + 1.0, "q")
    for name in LEAVERS:
        assert platform.servers[name].seen, name
        assert list_late_requests(platform.servers[name]) == []


def test_another_gateway_learns_that_a_server_leaves_and_callers_see_nothing_of_it(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    endpoint = platform.store.add_endpoint()
    other = platform.wait_known(platform.add_gateway("front-2", endpoint))
    wait_for(lambda: other.lines("peers:heard") and gateway.lines("peers:heard"), "peers")
    endpoint.refusing = True
    server = platform.servers["app-1"]
    server.notices = [LEAVING]
    while not server.seen:
        answer = gateway.call(PLAIN + "x")
        assert answer.status == 200
    assert "server-leaving" not in answer.headers
    wait_for(
        lambda: any(line["state"] == "leaving" for line in other.lines("members:changed")),
        "notice heard",
    )
    heard = next(line for line in other.lines("members:changed") if line["state"] == "leaving")
    assert heard["told_by"] == "front-1"
    for number in range(9):
        assert other.call(PLAIN + "x", request=f"o{number}").status == 200
    assert len(server.seen) == 1


def test_calls_are_refused_as_not_run_when_all_servers_say_they_leave(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for name in ("app-1", "app-2", "app-3"):
        platform.servers[name].notices = [LEAVING]
    answers = [gateway.call(PLAIN + "x", request=f"a{number}") for number in range(5)]
    assert [answer.status for answer in answers] == [200, 200, 200, 503, 503]
    assert float(answers[-1].headers["retry-after"]) > 0
    notices = gateway.lines("call:notices")[-1]["notices"]
    assert {(each["member"], each["says"], each["told_by"]) for each in notices} == {
        (f"app-{number}", "leaving", "front-1") for number in (1, 2, 3)
    }
    assert all(0 <= each["age_ms"] < MAX_AGE_MS for each in notices)
    platform.add(StandinServer("app-4", "apps"))
    platform.wait_known(gateway)
    assert gateway.call(PLAIN + "x", request="new").status == 200


def ask_for_rest(
    server: StandinServer, handler: BaseHTTPRequestHandler, _seen: SeenRequest
) -> bool:
    server.reply(handler, 503, b"", [("X-Not-Executed", "1"), ("Retry-After", "1")])
    return True


def ask_for_long_rest(
    server: StandinServer, handler: BaseHTTPRequestHandler, _seen: SeenRequest
) -> bool:
    server.reply(handler, 503, b"", [("X-Not-Executed", "1"), ("Retry-After", "30")])
    return True


def count_in_rests(server: StandinServer) -> int:
    """Return the most requests that reached a server in one of the rests it asked for."""
    times = [seen.at for seen in server.seen if seen.path != "/api/report"]
    return max(
        sum(at + REACTION_SECONDS < other < at + REST_SECONDS for other in times) for at in times
    )


# a rejection with a time was followed by further calls, as any other rejection
def test_no_call_reaches_a_server_while_it_asks_for_none(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    for name in LEAVERS:
        platform.servers[name].behave = ask_for_rest
    call_all_kinds(gateway, 3 * REST_SECONDS, "q")
    for name in LEAVERS:
        assert platform.servers[name].seen, name
        assert count_in_rests(platform.servers[name]) <= MAX_REQUESTS_IN_REST
    for name in LEAVERS:
        platform.servers[name].behave = None
    time.sleep(2 * REST_SECONDS)
    before = {name: len(platform.servers[name].seen) for name in LEAVERS}
    statuses = call_all_kinds(gateway, REST_SECONDS, "later")
    assert set(statuses) == {200}
    for name in LEAVERS:
        assert len(platform.servers[name].seen) > before[name], name


def test_calls_are_refused_at_once_while_all_servers_ask_for_none(
    platform: StandinPlatform, gateway: Gateway
) -> None:
    names = [name for name in platform.servers if not name.startswith("pre")]
    for name in names:
        platform.servers[name].behave = ask_for_long_rest
    for number in range(4):
        gateway.call(PLAIN + "x", request=f"first{number}")
        gateway.generate(RESUMED + "x", request=f"stream{number}")
    began = time.monotonic()
    answers = [gateway.call(PLAIN + "x", request=f"p{number}") for number in range(5)]
    answers += [gateway.generate(STREAM + "x", request=f"s{number}") for number in range(5)]
    assert time.monotonic() - began < 1.0
    assert {answer.status for answer in answers} == {503}
    waits = [float(answer.headers["retry-after"]) for answer in answers]
    assert min(waits) > 20
    assert max(waits) - min(waits) > 1
