"""Equal calls on which every server crashes that runs them, sent again and again."""

from __future__ import annotations

import signal
import time

import pytest
from gateway_process import WAIT, Gateway, StandinPlatform, wait_for
from platform_standin import ORDERS, RESUMED, StandinServer

from lavenderrun.commands import main

DOWN_SECONDS = 0.5
CRASHES = 3
DEADLY = b"an order that crashes servers"
DEADLY_PART = "dead0"
ENGINE_DOWN_SECONDS = 1.2
"""An engine that answers sooner counts as one that did not crash."""

ENGINES = 6
TRIES = 6
MAX_STREAM_CRASHES = 4
"""The third crash comes in a call that has another attempt."""


@pytest.fixture
def gateways(platform: StandinPlatform) -> list[Gateway]:
    def behave(server: StandinServer, _handler: object, seen: object) -> bool:
        if getattr(seen, "body", b"") != DEADLY:
            return False
        platform.crash(server, DOWN_SECONDS)
        return True

    platform.configure()
    for number in range(4):
        platform.add(StandinServer(f"app-{number}", "apps", behave=behave))
    found = [platform.add_gateway(f"front-{number}") for number in (1, 2)]
    for gateway in found:
        platform.wait_known(gateway)
    wait_for(lambda: all(gateway.lines("peers:heard") for gateway in found), "peers heard")
    return found


def restart(gateway: Gateway, number: signal.Signals) -> None:
    known = len(gateway.lines("suspects:call_identified"))
    gateway.signal(number)
    assert gateway.popen is not None
    gateway.popen.wait(WAIT)
    gateway.start().wait_ready()
    wait_for(lambda: len(gateway.lines("suspects:call_identified")) > known, "learned")


# each restart forgot what that gateway had seen, so the call reached servers again after a rolling
# restart (review/3)
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_call_that_crashed_servers_is_refused_after_a_restart_of_each_gateway(
    platform: StandinPlatform, gateways: list[Gateway], number: signal.Signals
) -> None:
    for turn in range(CRASHES):
        gateways[turn % 2].call(ORDERS + "same", "POST", body=DEADLY, request=f"deadly-{turn}")
        time.sleep(2 * DOWN_SECONDS)
    assert len(platform.crashes) == CRASHES
    for gateway in gateways:
        restart(gateway, number)
    for turn, gateway in enumerate(gateways):
        answer = gateway.call(ORDERS + "same", "POST", body=DEADLY, request=f"again-{turn}")
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0
        assert gateway.call(ORDERS + "other", "POST", body=b"sound", request="s").status == 200
        [line] = gateway.lines("suspects:call_identified")[-1:]
        [refused] = [
            each for each in gateway.lines("call:refused") if each["request"] == f"again-{turn}"
        ]
        assert refused["crashing_call"] == line["crashing_call"]
    assert len(platform.crashes) == CRASHES


def test_explain_leads_from_a_refused_call_to_the_crashes(
    platform: StandinPlatform, gateways: list[Gateway], capsys: pytest.CaptureFixture[str]
) -> None:
    for turn in range(CRASHES + 1):
        gateways[turn % 2].call(ORDERS + "same", "POST", body=DEADLY, request=f"deadly-{turn}")
        time.sleep(2 * DOWN_SECONDS)
    logs = [str(gateway.log) for gateway in gateways]
    assert main(["explain", f"deadly-{CRASHES}", *logs]) == 0
    lines = capsys.readouterr().out.splitlines()
    dropped = [line for line in lines if "closed the connection of a call under way" in line]
    assert [f"call=deadly-{turn}" in line for turn, line in enumerate(dropped)] == [True] * CRASHES
    assert any("equal calls are refused" in line for line in lines)
    assert "reason=quarantined" in lines[-1]


# each retry had its prompt computed first, and that cleared the call of all earlier crashes
# (review/7)
def test_a_stream_that_crashes_decode_engines_is_refused_though_its_prompt_is_computed(
    platform: StandinPlatform,
) -> None:
    platform.add(StandinServer("pre-1", "llm", "prefill"))
    for number in range(ENGINES):
        engine = StandinServer(f"dec-{number}", "llm", "decode", deadly_parts={DEADLY_PART})
        engine.on_crash = lambda crashed: platform.crash(crashed, ENGINE_DOWN_SECONDS)
        platform.add(engine)
    gateways = [platform.add_gateway(f"front-{number}") for number in (1, 2)]
    for gateway in gateways:
        platform.wait_known(gateway)
    wait_for(lambda: all(gateway.lines("peers:heard") for gateway in gateways), "peers heard")
    for turn in range(TRIES):
        gateway = gateways[turn % 2]
        answer = gateway.generate(
            RESUMED + "x", ("ab", DEADLY_PART), DEADLY, request=f"deadly-{turn}"
        )
        sound = gateway.generate(RESUMED + "x", ("ab", "cd"), request=f"sound-{turn}")
        assert sound.status == 200
        assert sound.whole
        time.sleep(ENGINE_DOWN_SECONDS)
    assert CRASHES <= len(platform.crashes) <= MAX_STREAM_CRASHES
    assert answer.status == 503
