"""KV cache that a prefill engine holds, when the decode engine does not serve the stream."""

from __future__ import annotations

import pytest
from gateway_process import StandinPlatform
from misbehaviour import once, reject
from platform_standin import RESUMED, STREAM, Behaviour, SeenRequest, StandinServer, make_event

EVENTS = b"".join(make_event(number) for number in range(1, 7))


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
