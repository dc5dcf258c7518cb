"""An unexpected error in the handling of a call ends that call with an answer, and no other."""

from __future__ import annotations

import http.client
import re
import time

import pytest
from gateway_process import Answer, Gateway, StandinPlatform, wait_for
from platform_standin import PLAIN, RESUMED, StandinServer

SOON = 1.5
"""Seconds within which the call ends, well before its deadline of 4 s."""

PREFIX = "lavenderrun.gateway."
ADMISSION = [
    "lavenderrun.platform._callers:PlatformCallers.decode_call",
    PREFIX + "_router:GatewayRouter._authorize",
    PREFIX + "_router:GatewayRouter._choose_service",
]
BEFORE_SEND = [
    PREFIX + "_view:FleetView.place",
    PREFIX + "_attempt:Attempt.send",
]
AFTER_SEND = [
    PREFIX + "_attempt:Attempt.head_received",
    PREFIX + "_attempt:Attempt.body_received",
    PREFIX + "_attempt:Attempt.answer_completed",
]
STREAM_ONLY = [
    PREFIX + "_engine_search:EngineSearch._take_slot",
    PREFIX + "_engine_search:EngineSearch._take_connection",
    PREFIX + "_view:FleetView.takes_calls",
    PREFIX + "_prefill_run:PrefillRun.attempt_ended",
    PREFIX + "_stream_call:StreamCall.attempt_ended",
]


def start_gateway(platform: StandinPlatform, method: str) -> Gateway:
    platform.add(StandinServer("app-1", "apps"))
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    platform.add(StandinServer("dec-1", "llm", "decode"))
    gateway = platform.wait_known(platform.add_failing_gateway(method))
    assert call(gateway, PLAIN, "before").status == 200
    assert call(gateway, RESUMED, "before").status == 200
    return gateway


def call(gateway: Gateway, path: str, request: str) -> Answer:
    if path == PLAIN:
        return gateway.call(path + "x", request=request)
    return gateway.generate(path + "x", request=request)


def fail_once(platform: StandinPlatform, gateway: Gateway, path: str) -> Answer:
    """Return the answer to a call in whose handling the method fails."""
    platform.failure.touch()
    began = time.monotonic()
    answer = call(gateway, path, "failed")
    assert time.monotonic() - began < SOON
    assert not platform.failure.exists()
    return answer


def list_runs(platform: StandinPlatform, request: str) -> list[str]:
    return [run for server in platform.servers.values() for run in server.runs if run == request]


def check_others_are_served(gateway: Gateway) -> None:
    """Check that nothing stays held: more calls in turn than an engine has slots."""
    for number in range(10):
        assert call(gateway, PLAIN, f"plain-{number}").status == 200
        assert call(gateway, RESUMED, f"stream-{number}").whole
    page = gateway.get(gateway.metrics, "/metrics").body.decode()
    assert re.search(r"^lavenderrun_gateway_queued_calls 0", page, re.M)
    assert gateway.ask_ready() == 200


# the connection was closed without an answer
@pytest.mark.parametrize("method", [*ADMISSION, *BEFORE_SEND], ids=lambda m: m.split(".")[-1])
@pytest.mark.parametrize("path", [PLAIN, RESUMED])
def test_a_call_that_fails_before_it_is_sent_is_refused_as_not_run(
    platform: StandinPlatform, method: str, path: str
) -> None:
    gateway = start_gateway(platform, method)
    answer = fail_once(platform, gateway, path)
    if method.endswith("Attempt.send"):
        assert answer.status in {502, 503}
    else:
        assert answer.status == 503
    assert not list_runs(platform, "failed")
    check_others_are_served(gateway)


# the call waited for its deadline, or its connection was closed without an answer
@pytest.mark.parametrize("method", AFTER_SEND, ids=lambda method: method.split(".")[-1])
def test_a_plain_call_that_fails_after_it_was_sent_has_an_unknown_outcome(
    platform: StandinPlatform, method: str
) -> None:
    gateway = start_gateway(platform, method)
    assert fail_once(platform, gateway, PLAIN).status == 502
    check_others_are_served(gateway)


# a stream hung, or held its decode slot for good
@pytest.mark.parametrize(
    "method", [*AFTER_SEND, *STREAM_ONLY], ids=lambda method: method.split(".")[-1]
)
def test_a_stream_that_fails_ends_soon_and_frees_its_slot(
    platform: StandinPlatform, method: str
) -> None:
    gateway = start_gateway(platform, method)
    try:
        answer = fail_once(platform, gateway, RESUMED)
    except http.client.HTTPException as error:
        pytest.fail(f"no answer: {error!r}")
    assert answer.status in {502, 503} or not answer.whole
    if answer.status == 503:
        assert not list_runs(platform, "failed")
    check_others_are_served(gateway)


# a timer that failed left the call to its deadline
def test_a_plain_call_whose_timer_fails_ends_soon(platform: StandinPlatform) -> None:
    gateway = start_gateway(platform, PREFIX + "_whole_call:WholeCall._search_after_wait")
    platform.store.remove("servers", "app-1")
    time.sleep(0.3)
    assert fail_once(platform, gateway, PLAIN).status == 503
    (line,) = wait_for(lambda: gateway.lines("call:failed"), "logged")
    assert line["request"] == "failed"
    assert line["error"].startswith("UnexpectedError at ")
