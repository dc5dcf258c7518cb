"""KV cache that a prefill engine holds, when the decode engine does not serve the stream."""

from __future__ import annotations

from http.server import BaseHTTPRequestHandler

import pytest
from gateway_process import StandinPlatform
from misbehaviour import once, reject, run_and_reset
from platform_standin import RESUMED, STREAM, Behaviour, SeenRequest, StandinServer, make_event

EVENTS = b"".join(make_event(number) for number in range(1, 7))


def fail(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
    server.reply(handler, 500, b"", server.sign(seen.headers["x-request-id"]))
    return True


def add_servers(platform: StandinPlatform, decodes: int, behave: Behaviour) -> list[StandinServer]:
    """Add decode engines of which one behaves so once, and a prefill engine, which is the last."""
    engines = [
        platform.add(StandinServer(f"dec-{number}", "llm", "decode")) for number in range(decodes)
    ]
    for engine in engines:
        engine.behave = behave
    return [*engines, platform.add(StandinServer("pre-1", "llm", "prefill"))]


def list_prompts(server: StandinServer) -> list[SeenRequest]:
    return [seen for seen in server.seen if not seen.path.startswith("/api/")]


# the cache was freed when the first engine broke, and the second one computed the prompt again
@pytest.mark.parametrize("behave", [run_and_reset, reject, fail])
def test_the_cache_goes_to_the_next_engine_when_one_does_not_begin_to_answer(
    platform: StandinPlatform, behave: Behaviour
) -> None:
    *decodes, prefill = add_servers(platform, 3, once(behave))
    gateway = platform.wait_known(platform.add_gateway())
    answer = gateway.generate(RESUMED + "x")
    assert (answer.whole, answer.status, answer.body) == (True, 200, EVENTS)
    first, second = [seen for engine in decodes for seen in list_prompts(engine)]
    assert first.headers["x-kv-source"] == second.headers["x-kv-source"]
    assert len(list_prompts(prefill)) == 1


# an engine that may have taken the cache was followed by one that had to wait for it
def test_a_cache_that_a_broken_engine_took_is_offered_once_more_only(
    platform: StandinPlatform,
) -> None:
    lost = once(run_and_reset)

    def behave(server: StandinServer, handler: BaseHTTPRequestHandler, seen: SeenRequest) -> bool:
        if lost(server, handler, seen):
            return True
        return "x-kv-source" in seen.headers and reject(server, handler, seen)

    *decodes, _ = add_servers(platform, 2, behave)
    gateway = platform.wait_known(platform.add_gateway())
    answer = gateway.generate(RESUMED + "x")
    assert (answer.whole, answer.status, answer.body) == (True, 200, EVENTS)
    offers = ["x-kv-source" in seen.headers for engine in decodes for seen in list_prompts(engine)]
    assert sorted(offers) == [False, True, True]


# the stream was refused, because no other engine was there to take the cache
@pytest.mark.parametrize("path", [RESUMED, STREAM])
def test_the_only_engine_is_offered_the_cache_again_after_a_rejection(
    platform: StandinPlatform, path: str
) -> None:
    decode, prefill = add_servers(platform, 1, once(reject))
    gateway = platform.wait_known(platform.add_gateway())
    answer = gateway.generate(path + "x")
    assert (answer.whole, answer.status, answer.body) == (True, 200, EVENTS)
    assert all("x-kv-source" in seen.headers for seen in list_prompts(decode))
    assert len(list_prompts(prefill)) == 1
