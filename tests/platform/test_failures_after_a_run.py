"""Backend servers that run a call and then answer with a failure."""

from __future__ import annotations

from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import Gateway, StandinPlatform
from platform_standin import (
    ORDERS,
    PLAIN,
    RESUMED,
    STREAM,
    Behaviour,
    SeenRequest,
    StandinServer,
)

DENYING_STATUSES = [408, 429, 503]
OTHER_STATUSES = [201, 400, 403, 404, 409, 422, 500, 502, 504]


def run_and_answer(status: int) -> Behaviour:
    """Return a behaviour that runs a call and answers it with *status*."""

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        if seen.headers.get("x-stage") == "prefill":
            return False
        request = seen.headers["x-request-id"]
        server.runs.append(request)
        headers = [*server.sign(request), ("Retry-After", "0.1")]
        server.reply(handler, status, b"ran and failed", headers)
        return True

    return behave


@pytest.fixture
def gateway(platform: StandinPlatform) -> Gateway:
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    platform.add(StandinServer("dec-1", "llm", "decode"))
    return platform.wait_known(platform.add_gateway())


# the caller was told that its order had not run, and sent it again: it was confirmed twice
@pytest.mark.parametrize("status", DENYING_STATUSES)
@pytest.mark.parametrize("method", ["POST", "GET"])
def test_an_order_that_ran_is_never_answered_as_not_run(
    platform: StandinPlatform, gateway: Gateway, status: int, method: str
) -> None:
    server = platform.servers["app-1"]
    server.behave = run_and_answer(status)
    answer = gateway.call(ORDERS + "1", method, body=b"coil 5.5 mm" if method == "POST" else b"")
    assert answer.status == 502
    assert b'"outcome":"unknown"' in answer.body
    assert not {"retry-after", "x-server-stamp"} & set(answer.headers)
    assert server.runs == ["r1"]
    (line,) = gateway.lines("call:replaced")
    assert (line["member"], line["status"]) == ("app-1", status)


# as above, for a stream that may run once
@pytest.mark.parametrize("status", DENYING_STATUSES)
def test_a_stream_that_ran_and_may_not_be_repeated_is_never_answered_as_not_run(
    platform: StandinPlatform, gateway: Gateway, status: int
) -> None:
    engine = platform.servers["dec-1"]
    engine.behave = run_and_answer(status)
    answer = gateway.generate(STREAM + "x")
    assert answer.status == 502
    assert b'"outcome":"unknown"' in answer.body
    assert engine.runs == ["r1"]
    (line,) = gateway.lines("call:replaced")
    assert (line["member"], line["status"]) == ("dec-1", status)


# guards against a failure that denies nothing being replaced
@pytest.mark.parametrize("status", OTHER_STATUSES)
def test_other_answers_to_an_order_are_passed_on_unchanged(
    platform: StandinPlatform, gateway: Gateway, status: int
) -> None:
    platform.servers["app-1"].behave = run_and_answer(status)
    answer = gateway.call(ORDERS + "1", "POST", body=b"coil 5.5 mm")
    assert (answer.status, answer.body) == (status, b"ran and failed")
    assert answer.headers["x-server-stamp"] == "stamp-app-1"


# guards against a failure being replaced although sending the call again does no harm
@pytest.mark.parametrize("status", DENYING_STATUSES)
@pytest.mark.parametrize("path", [PLAIN, RESUMED])
def test_failures_of_calls_that_may_be_repeated_are_passed_on_unchanged(
    platform: StandinPlatform, gateway: Gateway, status: int, path: str
) -> None:
    for server in platform.servers.values():
        server.behave = run_and_answer(status)
    answer = gateway.call(path + "x") if path == PLAIN else gateway.generate(path + "x")
    assert (answer.status, answer.body) == (status, b"ran and failed")


# guards against a true rejection being taken for a failure
@pytest.mark.parametrize("status", DENYING_STATUSES)
def test_a_rejected_order_is_refused_as_not_run(
    platform: StandinPlatform, gateway: Gateway, status: int
) -> None:
    def reject(server: StandinServer, handler: BaseHTTPRequestHandler, _: SeenRequest) -> bool:
        server.reply(handler, status, b"", [("X-Not-Executed", "1")])
        return True

    platform.servers["app-1"].behave = reject
    answer = gateway.call(ORDERS + "1", "POST", body=b"coil 5.5 mm")
    assert answer.status == 503
    assert b'"outcome":"not-run"' in answer.body
