from __future__ import annotations

from collections.abc import Iterator

import pytest
from notices import Notices, Rest
from platform_standin import SeenRequest, StandinServer

REST_SECONDS = 3
SECONDS_TO_NEW_START = 1.8


@pytest.fixture
def server() -> Iterator[StandinServer]:
    server = StandinServer("app-1", "apps")
    yield server
    server.close()


def check_calls(server: StandinServer, at: float, *, starts_anew: bool) -> list[str]:
    """Check three calls that reach a server *at* seconds after it asked for no calls."""
    notices = Notices()
    notices.note_sent("rejected", 0)
    notices.rests["app-1"] = [Rest("rejected", 100.0, REST_SECONDS)]
    if starts_anew:
        notices.departures["app-1"] = [[90.0, 100.0 + SECONDS_TO_NEW_START]]
    for number in range(3):
        notices.note_sent(f"late-{number}", 0)
        headers = {"x-request-id": f"late-{number}"}
        server.seen.append(SeenRequest("GET", "/look/x", headers, b"", 100.0 + at))
    return list(notices.check([server]))


# soak seed 30: the server had started anew 0.05 s before the calls
@pytest.mark.parametrize(
    ("at", "starts_anew", "is_late"),
    [(1.0, False, True), (2.0, False, True), (1.0, True, True), (2.0, True, False)],
)
def test_a_rest_ends_when_its_server_starts_anew(
    server: StandinServer, at: float, starts_anew: bool, is_late: bool
) -> None:
    failures = check_calls(server, at, starts_anew=starts_anew)
    assert bool([failure for failure in failures if "in its rest" in failure]) is is_late
