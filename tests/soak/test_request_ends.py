from __future__ import annotations

import time
from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any, cast

import pytest
from platform_standin import SeenRequest, StandinServer
from proxy import Proxy
from request_ends import RequestEnds, SentRequest


class Path:
    """One engine behind a proxy, and the ends of requests at one gateway."""

    def __init__(self) -> None:
        self.server = StandinServer("dec-1", "llm", "decode")
        self.proxy = Proxy(self.server.address)
        self.ends = RequestEnds(8.0, 2.0, timeouts=[(0.0, 4.0)], idle_timeouts=[(0.0, 15.0)])

    def begin(self) -> SentRequest:
        self.server.seen.append(SeenRequest("POST", "/gen/x", {"x-request-id": "gen-1"}, b""))
        return self.ends.begin("gen-1", 0, time.monotonic(), None)

    def check_broken_off(self, request: SentRequest) -> list[str]:
        """Return the failed checks of a request whose answer began and is broken off now."""
        headers = {"x-server-stamp": "stamp-dec-1"}
        now = time.monotonic()
        request.answer = cast("Any", SimpleNamespace(whole=False, headers=headers, begun=now))
        request.sent = request.ended = now
        return list(self.ends.check({"dec-1": self.server}, {"dec-1": self.proxy}))


@pytest.fixture
def path() -> Iterator[Path]:
    found = Path()
    yield found
    found.proxy.close()
    found.server.close()


# soak seed 608: the thread of a caller went on some milliseconds after its request had left, and
# its server had crashed in between
def test_a_path_may_break_before_the_caller_notes_that_its_request_is_sent(path: Path) -> None:
    request = path.begin()
    path.proxy.crash()
    time.sleep(0.01)
    assert path.check_broken_off(request) == []


def test_a_path_that_broke_before_the_last_part_was_sent_explains_nothing(path: Path) -> None:
    request = path.begin()
    path.proxy.crash()
    time.sleep(0.1)
    request.note_part()
    assert len(path.check_broken_off(request)) == 1


def test_an_answer_broken_off_while_its_path_is_whole_is_reported(path: Path) -> None:
    path.proxy.crash()
    time.sleep(0.1)
    assert len(path.check_broken_off(path.begin())) == 1
