from __future__ import annotations

from collections.abc import Iterator
from typing import Any

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


class Path:
    """A path to a server on which answers are lost for some time."""

    def __init__(self, began: float, ended: float) -> None:
        self._break = began, ended

    def has_broken(self, first: float, last: float) -> bool:
        began, ended = self._break
        return began <= last and first <= ended


OPEN = Path(0.0, 0.0)


def check_calls(
    server: StandinServer, at: float, *, starts_anew: bool = False, path: Path = OPEN
) -> list[str]:
    """Check three calls that reach a server *at* seconds after it asked for no calls."""
    notices = Notices()
    proxy: Any = path
    notices.note_sent("rejected", 0)
    notices.rests["app-1"] = [Rest("rejected", 100.0, REST_SECONDS)]
    if starts_anew:
        notices.departures["app-1"] = [[90.0, 100.0 + SECONDS_TO_NEW_START]]
    for number in range(3):
        notices.note_sent(f"late-{number}", 0)
        headers = {"x-request-id": f"late-{number}"}
        server.seen.append(SeenRequest("GET", "/look/x", headers, b"", 100.0 + at))
    failures = notices.check([server], {"app-1": proxy})
    return [failure for failure in failures if "in its rest" in failure]


# soak seed 30: the server had started anew 0.05 s before the calls
@pytest.mark.parametrize(
    ("at", "starts_anew", "is_late"),
    [(1.0, False, True), (2.0, False, True), (1.0, True, True), (2.0, True, False)],
)
def test_a_rest_ends_when_its_server_starts_anew(
    server: StandinServer, at: float, starts_anew: bool, is_late: bool
) -> None:
    assert bool(check_calls(server, at, starts_anew=starts_anew)) is is_late


# soak seed 1147: the proxy before the server had dropped all answers since 8 s
@pytest.mark.parametrize(
    ("began", "ended", "is_late"),
    [(92.0, 101.0, False), (92.0, 99.9, True), (100.6, 103.0, True)],
)
def test_a_rejection_that_is_lost_on_its_way_asks_for_nothing(
    server: StandinServer, began: float, ended: float, is_late: bool
) -> None:
    assert bool(check_calls(server, 1.0, path=Path(began, ended))) is is_late
